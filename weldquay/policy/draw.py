"""The draw: which workers may take a job, which are looked at first, and Theorem 4 among them."""

from __future__ import annotations

import heapq
import math
from functools import partial
from itertools import chain, islice
from operator import mul

from weldquay.candidates.group import Group as Candidates, count, rows
from weldquay.candidates.tables import Limits
from weldquay.interface import CloseIdle, Effect, Group, Probe, Send, SetTimer
from weldquay.ledger.records import Attempt, Job, Worker
from weldquay.planning.planner import Offer, Want
from weldquay.policy.health import DOUBT, FRESH_NS, LOOK_WAIT_NS, PROBE_REST_NS
from weldquay.policy.members import Members
from weldquay.policy.state import FIRST_SLOTS, RATE_TIME_NS
from weldquay.policy.times import COVER_NS
from weldquay.policy.water_fill import water_fill

START_NS = 50_000_000  # a job that has not told its start by then waits: its way takes a few ms
LOOK_MOST = 4  # probes for one look: the best of a few random ones is nearly as good as the best of all
LOOK_ENOUGH = 4  # workers in sight with room and fresh news that make a look needless
SLOW = math.log(2.5)  # a worker is left out where its jobs take so many times what its kind needs for them
FAR_LOAD = 2.0  # jobs that a near worker may hold more than a far one where crossing has a price
SEEK_NS, SEEK_AMONG = 10_000_000, 16  # how often room is sought for a job, and among how many workers
LIMITS = Limits(FRESH_NS, START_NS, COVER_NS, SLOW, DOUBT)


class Draw(Members):
    """Where a job goes."""

    def _suits(self, job: Job, worker: Worker) -> bool:
        """True where the worker is of the kind and group that the job needs, and warm enough for it."""
        entry, rules, risky, need = worker.entry, job.rules, job.risky, job.request
        if rules.kind not in (-1, entry.kind) or (worker.errors > DOUBT and rules.effect is Effect.UNSAFE):
            return False  # what failed last is tried with jobs that may run again
        if (
            risky is not None
            and rules.effect is Effect.KEYED
            and (
                (rules.group is Group.CELL and entry.cell != risky.worker.entry.cell)
                or (rules.group is Group.ZONE and entry.zone != risky.worker.entry.zone)
            )
        ):
            return False
        # Guards against jobs that wait one behind another: what has not started there tells of a queue.
        if self.settings.tells_start and worker.waits(self.now_ns - START_NS):
            return False
        # Guards against long jobs that an old machine would still run when the client gives up.
        if need.hint_ns and self._takes_ns(job, worker) > min(job.due_ns, self.end_ns) - self.now_ns:
            return False
        return self._cold_room(worker) >= need.slots * self._expected_ns(job) and (
            entry.worker not in self.planner.by_worker
            or self.planner.admits(
                self.now_ns,
                need.request,
                need.slots,
                need.memory,
                self._takes_ns(job, worker),
                entry.worker,
                partial(self.index.table, worker),
            )
        )

    def _untold(self, job: Job) -> list[Candidates]:
        """The workers without news that may have room, going by the mean of their zone."""
        likely = -0.5 if self.settings.may_probe else 0.5  # where looks can tell, the mean must leave more
        least = min(self.usual_load.values(), default=-FIRST_SLOTS) + job.request.slots
        return [] if least > likely else self.index.unreported(job.request, partial(self._suits, job), likely)

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
            pool = self.index.suited(job, partial(self._suits, job))
        some = self.random.sample(pool, min(len(pool), 3 * count))
        rows = chain((each for each in self.index.chilled() if each not in some), some)
        fit = (each for each in rows if each.may_be_asked(now, FRESH_NS) and self._suits(job, each))
        asked = list(islice(fit, count))
        for worker in asked:
            worker.probe_out, worker.next_probe_ns = True, now + PROBE_REST_NS
            self.index.probed(worker)
            self.out.append(Probe(worker.entry.worker))
        self.probes_left -= len(asked)
        if not asked and not job.looks:  # join the look of another job
            asked = self.index.asked()
        if asked:
            job.looked_ns, job.looks, job.looking = now, job.looks + 1, asked
            self.out.append(SetTimer(LOOK_WAIT_NS, 4))
        return bool(asked)

    def _place(self, job: Job) -> bool:
        """Draw a worker for the job by the water-fill and push; False where none may take it or it waits."""
        rules, index = self.settings, self.index
        choice = index.reported(job, partial(self._suits, job))
        m = rules.dispatchers * self._rate() * self.interval.ns
        turns = [row for row in choice if row.alone and row.first.entry.worker in index.cold]
        if back := [row for row in choice if row.alone and row.first.entry.worker in self.back]:
            choice = back  # guards against a worker that stays unused, as others are nearer or faster
        elif rules.may_probe and rules.reports_in_probes:
            fresh = [row for row in choice if row.fresh]
            if not turns and count(fresh) < (1 if job.looks else LOOK_ENOUGH) and self._look(job):
                return False
            fresh = turns or [row for row in fresh if row.home] or fresh
            if choice:  # the others look at other workers: only a part of their jobs comes to these
                m *= min(1.0, index.usable * count(fresh or choice) / (count(choice) * len(self.ready)))
            choice = fresh or choice or self._untold(job)
        else:
            choice += self._untold(job)
        if choice:
            self._push(job, self._draw(rows(choice), m))
        return bool(choice)

    def _draw(self, choice: list[Candidates], m: float) -> Worker:
        """One of the candidates by the water-fill; m: jobs that come to them within a report interval."""
        rules, counts = self.settings, [len(row.members) for row in choice]
        rates = [1 / self.running.pace(row.first.entry.kind) for row in choice]
        total, loads = sum(map(mul, rates, counts)), list[float]()
        rates = [rate * sum(counts) / total for rate in rates]
        for row, rate in zip(choice, rates, strict=True):
            far, size = rules.cross_zone_price > 0 and row.first.entry.zone != rules.zone, row.first.size
            loads.append(row.load + round(size or self.usual_size) + FAR_LOAD * far * max(1.0, m * rate))
        weights = list(map(mul, water_fill(loads, m, rates, counts), counts))
        members = self.random.choices(choice, weights)[0].members
        return members[0] if len(members) == 1 else self.random.choice(members)

    def _push(self, job: Job, worker: Worker) -> None:
        """Send a job to a worker."""
        now, need = self.now_ns, job.request
        idle_ns = now - worker.used_ns if worker.used_ns and not worker.live else 0
        if idle_ns >= self.idle.now(now, self.settings.conn_idle_ns):
            self.out.append(CloseIdle(worker.entry.worker))
            idle_ns = 0
        self._book(Attempt(job, job.attempts, worker, now, idle_ns))
        self.back.discard(worker.entry.worker)
        self.index.touch(worker.entry.worker)
        worker.note_change(now, need.slots, need.memory)
        self.planner.drop(now, need.request, "placed")
        self.planner.sent(self._worth(job), need.slots * self._expected_ns(job))
        if self._cold_room(worker) < math.inf:
            worker.pushed.append((now - worker.started_ns, need.slots * self._expected_ns(job)))
            worker.cold_ns = -1
        self.push_rate, self.push_rate_ns = self._rate() + 1 / RATE_TIME_NS, self.now_ns
        by_ns = math.inf if job.risky is None else self._repeat_by_ns(job, job.risky)
        self.out.append(Send(need.request, worker.entry.worker, 0, 0 if by_ns == math.inf else int(by_ns)))

    def _seek(self, job: Job) -> Worker | None:
        """Have room held for a job that found none; the worker whose queue it is to join, if there is one."""
        rules, need, run_ns, now = job.rules, job.request, self._expected_ns(job), self.now_ns
        if now < job.sought_ns + SEEK_NS:
            return None
        job.sought_ns, told = now, self.index.all_reported()
        busy = self.index.busy(told)
        end_ns = min(job.born_ns + rules.aim_ns + rules.stretch * run_ns, job.due_ns, self.end_ns)
        want = Want(
            need.request, need.slots, need.memory, run_ns, end_ns - now, self._worth(job), bool(need.hint_ns)
        )
        offers = [
            Offer(worker.entry.worker, self._takes_ns(job, worker), partial(self.index.table, worker))
            for worker in heapq.nsmallest(SEEK_AMONG, told, key=self._load)
            if self._suits(job, worker)
        ]
        number = self.planner.seek(now, want, offers, len(told), busy, len(self.held))
        return None if number is None else self.workers[number]

    def _book(self, attempt: Attempt) -> None:
        job, key = attempt.job, (attempt.job.request.request, attempt.number)
        job.attempts, job.live[attempt.number] = attempt.number + 1, attempt
        self.attempts[key] = attempt.worker.live[key] = attempt
