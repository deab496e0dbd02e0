"""Checks whether a worker may take a request, apart from its load."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial

from weldquay.candidates.index import CandidateIndex
from weldquay.interface import DeduplicationScope, Idempotency
from weldquay.policy.limits import MAX_FAILURE_SCORE, START_REPORT_TIMEOUT_NS
from weldquay.policy.runtime_model import RuntimeModel
from weldquay.policy.slow_start import SlowStart
from weldquay.policy.step_context import StepContext
from weldquay.reservations.scheduler import BackfillJob, BackfillScheduler
from weldquay.state.records import Job, Worker


@dataclass(slots=True, eq=False)
class Eligibility:
    """Checks a worker against the requirements of a request.

    Attributes:
        context: the state of the current step.
        runtime_model: expected running times.
        slow_start: provides the budgets of workers that are warming up.
        scheduler: the capacity reservations.
        index: provides the timetable of a worker with a reservation.
    """

    context: StepContext
    runtime_model: RuntimeModel
    slow_start: SlowStart
    scheduler: BackfillScheduler
    index: CandidateIndex

    def is_eligible(self, job: Job, worker: Worker) -> bool:
        """Return whether the worker may take the request, regardless of its load.

        It must have the required machine kind, a low failure score if the request is not idempotent, and be
        in the deduplication scope of an attempt that may have been executed. No own attempt may be overdue to
        start there, which would show that requests are queued. If the request has a runtime hint, it must be
        expected to end in time. The worker must have slow start budget for the request, and no reservation
        may be delayed by it.
        """
        request, rules = job.request, job.class_settings
        if rules.machine_kind not in (-1, worker.entry.kind):
            return False
        if worker.failure_score > MAX_FAILURE_SCORE and rules.idempotency is Idempotency.NON_IDEMPOTENT:
            return False
        if job.possibly_executed is not None and not _is_in_deduplication_scope(job, worker):
            return False
        context = self.context
        if context.settings.reports_start and worker.has_unstarted_attempt(
            context.now_ns - START_REPORT_TIMEOUT_NS
        ):
            return False
        if request.runtime_hint_ns:
            time_left_ns = min(job.deadline_ns, context.shutdown_ns) - context.now_ns
            if self.runtime_model.expected_at_worker_ns(job, worker) > time_left_ns:
                return False
        work_ns = request.slots * self.runtime_model.expected_ns(job)
        if self.slow_start.remaining_ns(worker) < work_ns:
            return False
        return worker.entry.worker not in self.scheduler.by_worker or self._fits_reservation(job, worker)

    def _fits_reservation(self, job: Job, worker: Worker) -> bool:
        request = job.request
        backfill_job = BackfillJob(
            request.request_id,
            request.slots,
            request.memory,
            self.runtime_model.expected_at_worker_ns(job, worker),
        )
        timetable = partial(self.index.timetable, worker)
        return self.scheduler.admits(self.context.now_ns, backfill_job, worker.entry.worker, timetable)


def _is_in_deduplication_scope(job: Job, worker: Worker) -> bool:
    """Return whether the worker recognises a retry of the attempt that may have been executed."""
    rules, attempt = job.class_settings, job.possibly_executed
    if attempt is None or rules.idempotency is not Idempotency.IDEMPOTENT_BY_KEY:
        return True
    if rules.deduplication_scope is DeduplicationScope.CELL:
        return worker.entry.cell == attempt.worker.entry.cell
    if rules.deduplication_scope is DeduplicationScope.ZONE:
        return worker.entry.zone == attempt.worker.entry.zone
    return True
