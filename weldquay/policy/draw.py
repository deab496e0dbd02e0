"""The draw: which workers may take a job, which are looked at first, and Theorem 4 among them."""

from __future__ import annotations

import heapq
import math
from functools import partial
from itertools import chain, islice
from operator import mul

from weldquay.candidates.candidate_group import CandidateGroup, worker_count, split_small_groups
from weldquay.candidates.inputs import CandidateLimits
from weldquay.interface import CloseIdleConnections, Idempotency, DeduplicationScope, Probe, Send, SetTimer
from weldquay.state.records import Attempt, Job, Worker
from weldquay.reservations.scheduler import WorkerOffer, CapacityRequest
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
LIMITS = CandidateLimits(FRESH_NS, START_NS, COVER_NS, SLOW, DOUBT)


class Draw(Members):
    """Where a job goes."""

    def _suits(self, job: Job, worker: Worker) -> bool:
        """True where the worker is of the kind and group that the job needs, and warm enough for it."""
        entry, rules, risky, need = worker.entry, job.class_settings, job.possibly_executed, job.request
        if rules.machine_kind not in (-1, entry.kind) or (
            worker.failure_score > DOUBT and rules.idempotency is Idempotency.NON_IDEMPOTENT
        ):
            return False  # what failed last is tried with jobs that may run again
        if (
            risky is not None
            and rules.idempotency is Idempotency.IDEMPOTENT_BY_KEY
            and (
                (
                    rules.deduplication_scope is DeduplicationScope.CELL
                    and entry.cell != risky.worker.entry.cell
                )
                or (
                    rules.deduplication_scope is DeduplicationScope.ZONE
                    and entry.zone != risky.worker.entry.zone
                )
            )
        ):
            return False
        # Guards against jobs that wait one behind another: what has not started there tells of a queue.
        if self.settings.reports_start and worker.has_unstarted_attempt(self.now_ns - START_NS):
            return False
        # Guards against long jobs that an old machine would still run when the client gives up.
        if (
            need.runtime_hint_ns
            and self._takes_ns(job, worker) > min(job.answer_due_ns, self.shutdown_ns) - self.now_ns
        ):
            return False
        return self._cold_room(worker) >= need.slots * self._expected_ns(job) and (
            entry.worker not in self.scheduler.by_worker
            or self.scheduler.admits(
                self.now_ns,
                need.request_id,
                need.slots,
                need.memory,
                self._takes_ns(job, worker),
                entry.worker,
                partial(self.index.timetable, worker),
            )
        )

    def _untold(self, job: Job) -> list[CandidateGroup]:
        """The workers without news that may have room, going by the mean of their zone."""
        likely = -0.5 if self.settings.may_probe else 0.5  # where looks can tell, the mean must leave more
        least = min(self.mean_zone_load.values(), default=-FIRST_SLOTS) + job.request.slots
        return (
            []
            if least > likely
            else self.index.unreported_candidates(job.request, partial(self._suits, job), likely)
        )

    def _look(self, job: Job) -> bool:
        """Probe a few workers without fresh news, those of its own subset first; True: the job waits."""
        now = self.now_ns
        if job.probe_rounds:
            if now - job.last_probed_ns < LOOK_WAIT_NS and any(
                worker.probe_pending for worker in job.probed_workers
            ):
                return True
            if job.probe_rounds > 1 and now - job.last_probed_ns < FRESH_NS:
                return False
        probe_count = int(min(LOOK_MOST, self.probe_budget))
        pool = self.ready_workers if job.probe_rounds else self.subset
        if job.class_settings.machine_kind != -1 or job.possibly_executed is not None:
            pool = self.index.eligible(job, partial(self._suits, job))
        some = self.random.sample(pool, min(len(pool), 3 * probe_count))
        rows = chain((each for each in self.index.warming_workers() if each not in some), some)
        fit = (each for each in rows if each.may_be_probed(now, FRESH_NS) and self._suits(job, each))
        asked = list(islice(fit, probe_count))
        for worker in asked:
            worker.probe_pending, worker.next_probe_ns = True, now + PROBE_REST_NS
            self.index.probe_sent(worker)
            self.actions.append(Probe(worker.entry.worker))
        self.probe_budget -= len(asked)
        if not asked and not job.probe_rounds:  # join the look of another job
            asked = self.index.probed_workers()
        if asked:
            job.last_probed_ns, job.probe_rounds, job.probed_workers = now, job.probe_rounds + 1, asked
            self.actions.append(SetTimer(LOOK_WAIT_NS, 4))
        return bool(asked)

    def _place(self, job: Job) -> bool:
        """Draw a worker for the job by the water-fill and push; False where none may take it or it waits."""
        rules, index = self.settings, self.index
        choice = index.reported_candidates(job, partial(self._suits, job))
        m = rules.dispatcher_count * self._rate() * self.report_interval.ns
        turns = [row for row in choice if row.is_individual and row.first.entry.worker in index.warming]
        if back := [row for row in choice if row.is_individual and row.first.entry.worker in self.reinstated]:
            choice = back  # guards against a worker that stays unused, as others are nearer or faster
        elif rules.may_probe and rules.reports_in_probes:
            fresh = [row for row in choice if row.is_fresh]
            if (
                not turns
                and worker_count(fresh) < (1 if job.probe_rounds else LOOK_ENOUGH)
                and self._look(job)
            ):
                return False
            fresh = turns or [row for row in fresh if row.in_subset] or fresh
            if choice:  # the others look at other workers: only a part of their jobs comes to these
                m *= min(
                    1.0,
                    index.usable_count
                    * worker_count(fresh or choice)
                    / (worker_count(choice) * len(self.ready_workers)),
                )
            choice = fresh or choice or self._untold(job)
        else:
            choice += self._untold(job)
        if choice:
            self._push(job, self._draw(split_small_groups(choice), m))
        return bool(choice)

    def _draw(self, choice: list[CandidateGroup], m: float) -> Worker:
        """One of the candidates by the water-fill; m: jobs that come to them within a report interval."""
        rules, counts = self.settings, [len(row.members) for row in choice]
        rates = [1 / self.runtimes.relative_runtime(row.first.entry.kind) for row in choice]
        total, loads = sum(map(mul, rates, counts)), list[float]()
        rates = [rate * sum(counts) / total for rate in rates]
        for row, rate in zip(choice, rates, strict=True):
            far, size = (
                rules.cross_zone_cost > 0 and row.first.entry.zone != rules.zone,
                row.first.estimated_slots,
            )
            loads.append(row.load + round(size or self.mean_slots) + FAR_LOAD * far * max(1.0, m * rate))
        weights = list(map(mul, water_fill(loads, m, rates, counts), counts))
        members = self.random.choices(choice, weights)[0].members
        return members[0] if len(members) == 1 else self.random.choice(members)

    def _push(self, job: Job, worker: Worker) -> None:
        """Send a job to a worker."""
        now, need = self.now_ns, job.request
        idle_ns = (
            now - worker.connection_idle_since_ns
            if worker.connection_idle_since_ns and not worker.in_flight
            else 0
        )
        if idle_ns >= self.idle_timeout.now(now, self.settings.connection_idle_timeout_ns):
            self.actions.append(CloseIdleConnections(worker.entry.worker))
            idle_ns = 0
        self._book(Attempt(job, job.attempts, worker, now, idle_ns))
        self.reinstated.discard(worker.entry.worker)
        self.index.mark_changed(worker.entry.worker)
        worker.record_change(now, need.slots, need.memory)
        self.scheduler.cancel(now, need.request_id, "placed")
        self.scheduler.record_send(self._worth(job), need.slots * self._expected_ns(job))
        if self._cold_room(worker) < math.inf:
            worker.slow_start_sends.append((now - worker.started_ns, need.slots * self._expected_ns(job)))
            worker.slow_start_budget_at_ns = -1
        self.send_rate, self.send_rate_updated_ns = self._rate() + 1 / RATE_TIME_NS, self.now_ns
        by_ns = math.inf if job.possibly_executed is None else self._repeat_by_ns(job, job.possibly_executed)
        self.actions.append(
            Send(need.request_id, worker.entry.worker, 0, 0 if by_ns == math.inf else int(by_ns))
        )

    def _seek(self, job: Job) -> Worker | None:
        """Have room held for a job that found none; the worker whose queue it is to join, if there is one."""
        rules, need, run_ns, now = job.class_settings, job.request, self._expected_ns(job), self.now_ns
        if now < job.reservation_tried_ns + SEEK_NS:
            return None
        job.reservation_tried_ns, told = now, self.index.all_healthy_reported()
        busy = self.index.utilization(told)
        end_ns = min(
            job.first_received_ns + rules.latency_objective_ns + rules.runtime_allowance * run_ns,
            job.answer_due_ns,
            self.shutdown_ns,
        )
        want = CapacityRequest(
            need.request_id,
            need.slots,
            need.memory,
            run_ns,
            end_ns - now,
            self._worth(job),
            bool(need.runtime_hint_ns),
        )
        offers = [
            WorkerOffer(
                worker.entry.worker, self._takes_ns(job, worker), partial(self.index.timetable, worker)
            )
            for worker in heapq.nsmallest(SEEK_AMONG, told, key=self._load)
            if self._suits(job, worker)
        ]
        number = self.scheduler.request_capacity(now, want, offers, len(told), busy, len(self.queued))
        return None if number is None else self.workers[number]

    def _book(self, attempt: Attempt) -> None:
        job, key = attempt.job, (attempt.job.request.request_id, attempt.number)
        job.attempts, job.in_flight[attempt.number] = attempt.number + 1, attempt
        self.attempts[key] = attempt.worker.in_flight[key] = attempt
