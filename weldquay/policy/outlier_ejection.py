"""Worker health: ejection of failing workers, trials, and backoff after rejections and errors."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from weldquay.candidates.index import CandidateIndex
from weldquay.interface import WorkerState
from weldquay.policy.limits import FRESH_REPORT_NS, MAX_BACKOFF_NS
from weldquay.policy.retries import RetryRules
from weldquay.policy.step_context import StepContext
from weldquay.policy.worker_table import WorkerTable
from weldquay.state.records import INITIAL_TRIAL_BACKOFF_NS, SECOND_NS, Attempt, Worker

FAILURE_SCORE_DECAY = 0.5  # factor that each success applies to a worker's failure score
# A worker with own attempts in flight is unresponsive after this many progress intervals without a response.
MAX_MISSED_PROGRESS_INTERVALS = 2.2
MIN_UNRESPONSIVE_NS = SECOND_NS  # minimum time without a response after which a worker is unresponsive
MAX_BACKOFF_DOUBLINGS = 8


@dataclass(slots=True, eq=False)
class OutlierEjection:
    """Tracks worker health and decides which workers get no requests.

    Attributes:
        context: the state of the current step.
        table: provides the banned workers.
        index: the candidate index.
        retries: cancels the attempts of an ejected worker.
    """

    context: StepContext
    table: WorkerTable
    index: CandidateIndex
    retries: RetryRules

    def is_healthy(self, worker: Worker) -> bool:
        """Return whether the worker is listed as ready and neither banned, backed off nor ejected.

        If probes are not allowed, an ejected worker counts as healthy once its trial is due.
        """
        now_ns = self.context.now_ns
        if worker.entry.state is not WorkerState.READY or worker.entry.worker in self.table.banned_workers:
            return False
        if now_ns < worker.backoff_until_ns:
            return False
        if not worker.is_ejected:
            return True
        return not self.context.settings.may_probe and now_ns >= worker.next_trial_ns

    def is_unresponsive(self, worker: Worker) -> bool:
        """Return whether own attempts are in flight and the worker has not responded for too long."""
        interval_ns = self.context.settings.progress_interval_ns
        max_unresponsive_ns = max(MIN_UNRESPONSIVE_NS, MAX_MISSED_PROGRESS_INTERVALS * interval_ns)
        return interval_ns > 0 and worker.unresponsive_ns(self.context.now_ns) > max_unresponsive_ns

    def eject(self, worker: Worker) -> None:
        """Eject the worker until it responds or its trial is due, and cancel its retryable attempts.

        An ejected worker is ejected again only once its trial is due. Each ejection doubles the backoff.
        """
        now_ns = self.context.now_ns
        if not worker.is_ejected or now_ns >= worker.next_trial_ns:
            self.index.mark_changed(worker.entry.worker)
            worker.is_ejected = True
            worker.next_trial_ns = now_ns + worker.trial_backoff_ns
            worker.trial_backoff_ns = min(MAX_BACKOFF_NS, worker.trial_backoff_ns * 2)
            self.retries.cancel_retryable(worker)

    def eject_unresponsive(self, attempts: Iterable[Attempt]) -> None:
        """Eject the workers of these attempts that are unresponsive."""
        for attempt in attempts:
            if not attempt.worker.is_ejected and self.is_unresponsive(attempt.worker):
                self.eject(attempt.worker)

    def record_liveness(self, worker: Worker) -> None:
        """Record that an attempt has shown the worker to be alive, which ends its ejection."""
        worker.last_response_ns = self.context.now_ns
        worker.clear_ejection()

    def record_overload(self, worker: Worker) -> None:
        """Back off from a worker that rejected an attempt; consecutive rejections double the backoff."""
        worker.consecutive_rejections += 1
        doublings = min(worker.consecutive_rejections - 1, MAX_BACKOFF_DOUBLINGS)
        backoff_ns = min(MAX_BACKOFF_NS, FRESH_REPORT_NS << doublings)
        worker.backoff_until_ns = self.context.now_ns + backoff_ns

    def record_error(self, worker: Worker) -> None:
        """Raise the worker's failure score; from the second error on, back off from it.

        A worker that fails every request at once has all its slots free, so without a backoff it would
        attract more and more requests.
        """
        worker.failure_score += 1
        if worker.failure_score > 1:
            doublings = min(max(0, int(worker.failure_score) - 2), MAX_BACKOFF_DOUBLINGS)
            backoff_ns = min(MAX_BACKOFF_NS, INITIAL_TRIAL_BACKOFF_NS << doublings)
            worker.backoff_until_ns = self.context.now_ns + backoff_ns
