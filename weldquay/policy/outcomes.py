"""What follows from the outcome of an attempt: a table by outcome, and the state that it changes."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from weldquay.estimators.idle_timeout import IdleTimeoutEstimator
from weldquay.interface import AttemptEnded, AttemptProgress, Outcome
from weldquay.policy.limits import FRESH_REPORT_NS
from weldquay.policy.load import LoadEstimates
from weldquay.policy.load_reports import LoadReports
from weldquay.policy.open_requests import OpenRequests
from weldquay.policy.outlier_ejection import FAILURE_SCORE_DECAY, OutlierEjection
from weldquay.policy.request_table import RequestTable
from weldquay.policy.retries import RetryRules
from weldquay.policy.runtime_model import RuntimeModel
from weldquay.policy.step_context import StepContext
from weldquay.state.records import Attempt, Job

MAX_RETRY_DELAY_DOUBLINGS = 8


@dataclass(slots=True, eq=False)
class AttemptOutcomes:
    """Applies the outcomes of attempts to requests and workers, by `OUTCOME_RULES`.

    Attributes:
        context: the step.
        requests: the requests and the attempts in flight.
        open_requests: ends requests and gives final answers.
        retries: whether a request may be sent again.
        ejection: health of workers.
        load_estimates: means of loads.
        load_reports: applies the reports that answers carry.
        runtime_model: learns from successes.
        idle_timeout: learns from connections that break.
    """

    context: StepContext
    requests: RequestTable
    open_requests: OpenRequests
    retries: RetryRules
    ejection: OutlierEjection
    load_estimates: LoadEstimates
    load_reports: LoadReports
    runtime_model: RuntimeModel
    idle_timeout: IdleTimeoutEstimator

    def apply(self, event: AttemptEnded) -> None:
        """Release what the attempt held, learn from its outcome, then answer or queue its request.

        The outcome of an unknown attempt is ignored.
        """
        attempt = self.requests.remove_attempt(event.request_id, event.attempt)
        if attempt is None:
            return
        now_ns, worker, request = self.context.now_ns, attempt.worker, attempt.job.request
        rule = OUTCOME_RULES[event.outcome]
        worker.record_load_change(now_ns, -request.slots, -request.memory)
        if event.report is not None:
            self.load_reports.apply(worker, event.report)
        if rule.proves_liveness:
            self.ejection.record_liveness(worker)
        worker.connection_idle_since_ns = now_ns if rule.is_connection_reusable else 0
        if rule.handler is not None:
            rule.handler(self, event, attempt)
        if event.request_finished or rule.finishes_request:
            self.open_requests.finish(event.request_id)
        elif event.request_id in self.requests.jobs:
            self._retry_or_answer(attempt.job, attempt, event.outcome)

    def _retry_or_answer(self, job: Job, attempt: Attempt, outcome: Outcome) -> None:
        """Queue the request again where it may have a further attempt, else give its final answer."""
        if not outcome.never_executed and job.possibly_executed is None:
            job.possibly_executed = attempt
        job.unprocessable = outcome is Outcome.UNPROCESSABLE
        if job.in_flight:
            return
        was_not_executed = outcome.never_executed and job.possibly_executed is None
        has_attempts_left = job.attempts < job.max_attempts
        if (was_not_executed and has_attempts_left) or self.retries.may_retry(job, attempt):
            self.requests.queued[job.request.request_id] = job
        else:
            self.open_requests.give_final_answer(job)

    def record_progress(self, event: AttemptProgress) -> None:
        """Record a sign of life of a running attempt, and its start."""
        attempt = self.requests.attempts.get((event.request_id, event.attempt))
        if attempt is not None:
            if event.progress is None:
                attempt.started_ns = self.context.now_ns
            self.ejection.record_liveness(attempt.worker)

    def apply_success(self, event: AttemptEnded, attempt: Attempt) -> None:
        """Decay the worker's failure score and learn the running time."""
        attempt.worker.failure_score *= FAILURE_SCORE_DECAY
        self.runtime_model.record_success(attempt, event.latency_ns)

    def apply_error(self, _event: AttemptEnded, attempt: Attempt) -> None:
        """Raise the worker's failure score."""
        self.ejection.record_error(attempt.worker)

    def apply_overload(self, _event: AttemptEnded, attempt: Attempt) -> None:
        """Pause sends to the worker, and from the second overload on the request too.

        The pause of a worker doubles, as its reports may show free slots that it does not give.
        """
        job = attempt.job
        self.load_estimates.record_overload(attempt.worker.entry.zone)
        job.overload_count += 1
        doublings = min(job.overload_count - 1, MAX_RETRY_DELAY_DOUBLINGS)
        job.retry_not_before_ns = self.context.now_ns + FRESH_REPORT_NS * ((1 << doublings) - 1)
        self.ejection.record_overload(attempt.worker)

    def apply_connect_failure(self, _event: AttemptEnded, attempt: Attempt) -> None:
        """Eject the worker."""
        self.ejection.eject(attempt.worker)

    def apply_reset(self, event: AttemptEnded, attempt: Attempt) -> None:
        """Learn how long an idle connection may be reused."""
        self.idle_timeout.record_reset(
            self.context.now_ns,
            self.context.settings.connection_idle_timeout_ns,
            attempt.connection_idle_ns,
            event.latency_ns,
        )


@dataclass(frozen=True, slots=True)
class OutcomeRule:
    """What an outcome means. Whether a worker began the request is `Outcome.never_executed`.

    Attributes:
        proves_liveness: the worker has answered, so an ejection ends.
        is_connection_reusable: the attempt leaves an idle connection to the worker.
        finishes_request: the client has its answer.
        handler: what is learned from the outcome; None: nothing.
    """

    proves_liveness: bool = False
    is_connection_reusable: bool = False
    finishes_request: bool = False
    handler: Callable[[AttemptOutcomes, AttemptEnded, Attempt], None] | None = None


OUTCOME_RULES: Final[dict[Outcome, OutcomeRule]] = {
    Outcome.OK: OutcomeRule(
        proves_liveness=True,
        is_connection_reusable=True,
        finishes_request=True,
        handler=AttemptOutcomes.apply_success,
    ),
    Outcome.ERROR: OutcomeRule(
        proves_liveness=True, is_connection_reusable=True, handler=AttemptOutcomes.apply_error
    ),
    Outcome.UNPROCESSABLE: OutcomeRule(proves_liveness=True, is_connection_reusable=True),
    Outcome.OVERLOADED: OutcomeRule(is_connection_reusable=True, handler=AttemptOutcomes.apply_overload),
    Outcome.CONNECT_FAILED: OutcomeRule(handler=AttemptOutcomes.apply_connect_failure),
    Outcome.RESET: OutcomeRule(handler=AttemptOutcomes.apply_reset),
    Outcome.TIMEOUT: OutcomeRule(),
    Outcome.CANCELLED: OutcomeRule(),
    Outcome.ABORTED_BEFORE_SEND: OutcomeRule(),
    Outcome.UNKNOWN: OutcomeRule(),
}
