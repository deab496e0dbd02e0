"""The health of workers: ejection of outliers, pauses after rejections and errors, and trials."""

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

FAILURE_SCORE_DECAY = 0.5  # factor on a worker's failure score at each success
MAX_MISSED_PROGRESS_INTERVALS = 2.2  # intervals without a sign of life that eject a worker
MIN_UNRESPONSIVE_NS = SECOND_NS  # the least silence that counts, where progress intervals are shorter
MAX_BACKOFF_DOUBLINGS = 8


@dataclass(slots=True, eq=False)
class OutlierEjection:
    """Decides whether a worker gets requests.

    Attributes:
        context: the step.
        table: the banned workers.
        index: the candidates.
        retries: cancels the attempts of an ejected worker.
    """

    context: StepContext
    table: WorkerTable
    index: CandidateIndex
    retries: RetryRules

    def is_healthy(self, worker: Worker) -> bool:
        """Return whether the worker is listed as ready and neither banned, backing off nor ejected.

        Where probes are not allowed, an ejected worker counts as healthy once its trial is due.
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
        """Return whether own attempts are in flight and the worker has missed its progress notes."""
        interval_ns = self.context.settings.progress_interval_ns
        max_unresponsive_ns = max(MIN_UNRESPONSIVE_NS, MAX_MISSED_PROGRESS_INTERVALS * interval_ns)
        return interval_ns > 0 and worker.unresponsive_ns(self.context.now_ns) > max_unresponsive_ns

    def eject(self, worker: Worker) -> None:
        """Eject the worker until a sign of life or a trial, and cancel its retryable attempts.

        An ejected worker is ejected again only when its trial is due; each time the pause doubles.
        """
        now_ns = self.context.now_ns
        if not worker.is_ejected or now_ns >= worker.next_trial_ns:
            self.index.mark_changed(worker.entry.worker)
            worker.is_ejected = True
            worker.next_trial_ns = now_ns + worker.trial_backoff_ns
            worker.trial_backoff_ns = min(MAX_BACKOFF_NS, worker.trial_backoff_ns * 2)
            self.retries.cancel_retryable(worker)

    def eject_unresponsive(self, attempts: Iterable[Attempt]) -> None:
        """Eject the workers of these attempts that are silent."""
        for attempt in attempts:
            if not attempt.worker.is_ejected and self.is_unresponsive(attempt.worker):
                self.eject(attempt.worker)

    def record_liveness(self, worker: Worker) -> None:
        """End the ejection of a worker that has given a sign of life on an attempt."""
        worker.last_response_ns = self.context.now_ns
        worker.clear_ejection()

    def record_overload(self, worker: Worker) -> None:
        """Pause sends to a worker that rejected an attempt; the pause doubles with rejections in a row."""
        worker.consecutive_rejections += 1
        doublings = min(worker.consecutive_rejections - 1, MAX_BACKOFF_DOUBLINGS)
        pause_ns = min(MAX_BACKOFF_NS, FRESH_REPORT_NS << doublings)
        worker.backoff_until_ns = self.context.now_ns + pause_ns

    def record_error(self, worker: Worker) -> None:
        """Raise the failure score; from the second error on, sends pause.

        A worker that fails each request at once has all slots free, so it would attract ever more of them.
        """
        worker.failure_score += 1
        if worker.failure_score > 1:
            doublings = min(max(0, int(worker.failure_score) - 2), MAX_BACKOFF_DOUBLINGS)
            pause_ns = min(MAX_BACKOFF_NS, INITIAL_TRIAL_BACKOFF_NS << doublings)
            worker.backoff_until_ns = self.context.now_ns + pause_ns
