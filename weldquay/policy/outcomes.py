"""Handling of attempt outcomes: a table of rules, and the state changes that they cause."""

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
        context: the state of the current step.
        requests: the requests without a final answer, and the attempts in flight.
        open_requests: ends requests and gives final answers.
        retries: decides whether a request may be retried.
        ejection: tracks worker health.
        load_estimates: mean loads of zones.
        load_reports: applies the load reports in answers.
        runtime_model: learns from successful attempts.
        idle_timeout: learns from connections that were reset.
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
        """Release the load of an attempt, update worker state, and end, answer or requeue its request.

        Outcomes of unknown attempts are ignored.
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
        """Queue the request again if it may have another attempt, else give its final answer."""
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
        """Record the start of an attempt, or its progress; both show that the worker is alive."""
        attempt = self.requests.attempts.get((event.request_id, event.attempt))
        if attempt is not None:
            if event.progress is None:
                attempt.started_ns = self.context.now_ns
            self.ejection.record_liveness(attempt.worker)

    def apply_success(self, event: AttemptEnded, attempt: Attempt) -> None:
        """Decay the worker's failure score and record the running time."""
        attempt.worker.failure_score *= FAILURE_SCORE_DECAY
        self.runtime_model.record_success(attempt, event.latency_ns)

    def apply_error(self, _event: AttemptEnded, attempt: Attempt) -> None:
        """Raise the worker's failure score."""
        self.ejection.record_error(attempt.worker)

    def apply_overload(self, _event: AttemptEnded, attempt: Attempt) -> None:
        """Back off from the worker and, from the request's second overload on, delay its retries.

        The worker's backoff doubles, as it may report free slots while it rejects requests.
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
        """Update the estimate of how long idle connections can be reused."""
        self.idle_timeout.record_reset(
            self.context.now_ns,
            self.context.settings.connection_idle_timeout_ns,
            attempt.connection_idle_ns,
            event.latency_ns,
        )


@dataclass(frozen=True, slots=True)
class OutcomeRule:
    """How an outcome is handled. `Outcome.never_executed` tells whether the worker began the request.

    Attributes:
        proves_liveness: the worker has answered, so an ejection ends.
        is_connection_reusable: the attempt leaves an idle connection to the worker.
        finishes_request: the client has its answer.
        handler: the method that updates the state that is specific to this outcome; None: there is none.
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
