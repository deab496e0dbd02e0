"""The draw: which workers may take a job, which are looked at first, and Theorem 4 among them."""

from __future__ import annotations

import heapq
import math
from functools import partial

from weldquay.interface import CloseIdle, Effect, Group, Probe, Send, SetTimer
from weldquay.ledger.records import LAPSE_NS, Attempt, Job, Worker
from weldquay.planning.planner import Offer, Want
from weldquay.planning.timetable import Own, Timetable, seen
from weldquay.policy.health import DOUBT, FRESH_NS, LOOK_WAIT_NS, PROBE_REST_NS
from weldquay.policy.members import Members
from weldquay.policy.state import FIRST_SLOTS, RATE_TIME_NS
from weldquay.policy.water_fill import water_fill

START_NS = 50_000_000  # a job that has not told its start by then waits: its way takes a few ms
LOOK_MOST = 4  # probes for one look: the best of a few random ones is nearly as good as the best of all
LOOK_ENOUGH = 4  # workers in sight with room and fresh news that make a look needless
SLOW = math.log(2.5)  # a worker is left out where its jobs take so many times what its kind needs for them
FAR_LOAD = 2.0  # jobs that a near worker may hold more than a far one where crossing has a price
SEEK_NS, SEEK_AMONG = 10_000_000, 16  # how often room is sought for a job, and among how many workers


class Draw(Members):
    """Where a job goes."""

    def _suits(self, job: Job, worker: Worker) -> bool:
        """True where the worker is of the kind and group that the job needs, and warm enough for it."""
        entry, rules, risky, need = worker.entry, job.rules, job.risky, job.request
        if rules.kind not in (-1, entry.kind) or (worker.errors > DOUBT and rules.effect is Effect.UNSAFE):
            return False  # what failed last is tried with jobs that may run again
        if risky is not None and rules.effect is Effect.KEYED and (
                (rules.group is Group.CELL and entry.cell != risky.worker.entry.cell)
                or (rules.group is Group.ZONE and entry.zone != risky.worker.entry.zone)):
            return False
        # Guards against jobs that wait one behind another: what has not started there tells of a queue.
        if self.settings.tells_start and any(not each.started_ns and each.sent_ns < self.now_ns - START_NS
                                             for each in worker.live.values()):
            return False
        # Guards against long jobs that an old machine would still run when the client gives up.
        if need.hint_ns and self._takes_ns(job, worker) > min(job.due_ns, self.end_ns) - self.now_ns:
            return False
        return self._cold_room(worker) >= need.slots * self._expected_ns(job) and (
            entry.worker not in self.planner.by_worker or self.planner.admits(
                self.now_ns, need.request, need.slots, need.memory, self._takes_ns(job, worker), entry.worker,
                partial(self._table, worker)))

    def _told(self) -> list[Worker]:
        """The workers in health whose news has not lapsed: few at a dispatcher with little traffic."""
        while self.news and self.now_ns - self.news[first := next(iter(self.news))].report_ns > LAPSE_NS:
            del self.news[first]
        told = [worker for worker in self.news.values() if worker.free is not None and self._healthy(worker)]
        quick = [worker for worker in told if self._drag(worker) < SLOW]
        return quick if 2 * len(quick) >= len(told) else told  # where all are slow, none is left out

    def _untold(self, job: Job) -> list[tuple[Worker, float]]:
        """The workers without news that may have room, going by the mean of their zone."""
        likely = -0.5 if self.settings.may_probe else 0.5  # where looks can tell, the mean must leave more
        if min(self.usual_load.values(), default=-FIRST_SLOTS) + job.request.slots > likely:
            return []
        rows = [(worker, self._load(worker)) for worker in self.ready
                if worker.entry.worker not in self.news and self._healthy(worker)
                and not (worker.probe_out and self.now_ns < worker.next_probe_ns)]
        return [row for row in rows if row[1] + job.request.slots <= likely and self._suits(job, row[0])]

    def _look(self, job: Job) -> bool:
        """Probe a few workers without fresh news, those of its own subset first; True: the job waits."""
        now = self.now_ns
        if job.looks:
            if now - job.looked_ns < LOOK_WAIT_NS and any(worker.probe_out for worker in job.looking):
                return True
            if job.looks > 1 and now - job.looked_ns < FRESH_NS:
                return False
        count = int(min(LOOK_MOST, self.probes_left))
        pool = self.ready if job.looks else self.home
        if job.rules.kind != -1 or job.risky is not None:
            pool = [worker for worker in self.ready if self._suits(job, worker)]
        some = self.random.sample(pool, min(len(pool), 3 * count))
        some = [each for each in self.ready if self._cold_room(each) < math.inf and each not in some] + some
        asked = [worker for worker in some
                 if now - worker.report_ns > FRESH_NS
                 and now >= max(worker.next_probe_ns, worker.rest_ns, worker.suspect * worker.trial_ns)
                 and self._suits(job, worker)][:count]
        for worker in asked:
            worker.probe_out, worker.next_probe_ns = True, now + PROBE_REST_NS
            self.out.append(Probe(worker.entry.worker))
        self.probes_left -= len(asked)
        if not asked and not job.looks:  # join the look of another job
            asked = [worker for worker in self.news.values() if worker.probe_out] or [
                worker for worker in self.ready if worker.probe_out]
        if asked:
            job.looked_ns, job.looks, job.looking = now, job.looks + 1, asked
            self.out.append(SetTimer(LOOK_WAIT_NS, 4))
        return bool(asked)

    def _place(self, job: Job, told: list[Worker]) -> bool:
        """Draw a worker for the job by the water-fill and push; False where none may take it or it waits."""
        rules, now, slots = self.settings, self.now_ns, job.request.slots
        choice = [(worker, load) for worker in told
                  if (load := self._load(worker)) + slots <= 0.5 and self._suits(job, worker)
                  and (worker.free_memory is None
                       or worker.free_memory - worker.changed_memory >= job.request.memory)]
        m = rules.dispatchers * self._rate() * self.interval.ns
        turns = [row for row in choice if self._cold_room(row[0]) < math.inf]
        if back := [row for row in choice if row[0].entry.worker in self.back]:
            choice = back  # guards against a worker that stays unused, as others are nearer or faster
        elif rules.may_probe and rules.reports_in_probes:
            fresh = [row for row in choice if now - row[0].report_ns <= FRESH_NS]
            if not turns and len(fresh) < (1 if job.looks else LOOK_ENOUGH) and self._look(job):
                return False
            home = set(self.home)
            fresh = turns or [row for row in fresh if row[0] in home] or fresh
            if choice:  # the others look at other workers: only a part of their jobs comes to these
                m *= min(1.0, len(told) * len(fresh or choice) / (len(choice) * len(self.ready)))
            choice = fresh or choice or self._untold(job)
        else:
            choice += self._untold(job)
        if not choice:
            return False
        rates = [1 / self.running.pace(worker.entry.kind) for worker, _ in choice]
        count, total, loads = len(rates), sum(rates), list[float]()
        rates = [rate * count / total for rate in rates]  # summed once: the sum in here made it quadratic
        for (worker, load), rate in zip(choice, rates, strict=True):
            far = rules.cross_zone_price > 0 and worker.entry.zone != rules.zone
            loads.append(load + round(worker.size or self.usual_size) + FAR_LOAD * far * max(1.0, m * rate))
        shares = water_fill(loads, m, rates)
        self._push(job, self.random.choices([row[0] for row in choice], weights=shares)[0])
        return True

    def _push(self, job: Job, worker: Worker) -> None:
        """Send a job to a worker."""
        now, need = self.now_ns, job.request
        idle_ns = now - worker.used_ns if worker.used_ns and not worker.live else 0
        if idle_ns >= self.idle.now(now, self.settings.conn_idle_ns):
            self.out.append(CloseIdle(worker.entry.worker))
            idle_ns = 0
        self._book(Attempt(job, job.attempts, worker, now, idle_ns))
        self.back.discard(worker.entry.worker)
        worker.note_change(now, need.slots, need.memory)
        self.planner.drop(now, need.request, "placed")
        self.planner.sent(self._worth(job), need.slots * self._expected_ns(job))
        if self._cold_room(worker) < math.inf:
            worker.pushed.append((now - worker.started_ns, need.slots * self._expected_ns(job)))
            worker.cold_ns = -1
        self.push_rate, self.push_rate_ns = self._rate() + 1 / RATE_TIME_NS, self.now_ns
        by_ns = math.inf if job.risky is None else self._repeat_by_ns(job, job.risky)
        self.out.append(Send(need.request, worker.entry.worker, 0, 0 if by_ns == math.inf else int(by_ns)))

    def _seek(self, job: Job, told: list[Worker]) -> Worker | None:
        """Have room held for a job that found none; the worker whose queue it is to join, if there is one."""
        rules, need, run_ns, now = job.rules, job.request, self._expected_ns(job), self.now_ns
        if not self.planner.plans_for(need.slots) or now < job.sought_ns + SEEK_NS:
            return None
        job.sought_ns = now
        free = sum(max(0.0, -self._load(worker)) for worker in told)
        busy = 1 - free / max(1.0, free, sum(worker.size for worker in told))
        end_ns = min(job.born_ns + rules.aim_ns + rules.stretch * run_ns, job.due_ns, self.end_ns)
        want = Want(
            need.request, need.slots, need.memory, run_ns, end_ns - now, self._worth(job), bool(need.hint_ns))
        offers = [Offer(worker.entry.worker, self._takes_ns(job, worker), partial(self._table, worker))
                  for worker in heapq.nsmallest(SEEK_AMONG, told, key=self._load) if self._suits(job, worker)]
        number = self.planner.seek(now, want, offers, len(told), busy, len(self.held))
        return None if number is None else self.workers[number]

    def _table(self, worker: Worker) -> Timetable:
        """A worker's room over time."""
        size, own = round(worker.size if worker.size >= 0.5 else self.usual_size), []
        for attempt in worker.live.values():
            begun_ns = attempt.started_ns or (0 if self.settings.tells_start else attempt.sent_ns)
            own.append(Own(self._takes_ns(attempt.job, worker), self.now_ns - begun_ns if begun_ns else -1,
                           attempt.job.request.slots, attempt.job.request.memory))
        used = size - (size if worker.free is None else worker.free) + worker.changed
        memory = size - (size if worker.free_memory is None else worker.free_memory) + worker.changed_memory
        return seen(size, own, used, memory, self.running.pace(worker.entry.kind) * self.running.mean())

    def _book(self, attempt: Attempt) -> None:
        job, key = attempt.job, (attempt.job.request.request, attempt.number)
        job.attempts, job.live[attempt.number] = attempt.number + 1, attempt
        self.attempts[key] = attempt.worker.live[key] = attempt
