"""Rules for retries, and cancellation of attempts."""

from __future__ import annotations

import math
from dataclasses import dataclass

from weldquay.interface import Cancel, Idempotency
from weldquay.policy.request_table import RequestTable
from weldquay.policy.step_context import StepContext
from weldquay.state.records import Attempt, Job, Worker


@dataclass(slots=True, eq=False)
class RetryRules:
    """Decides whether a request may be retried after an attempt that a worker may have executed.

    Attributes:
        context: the state of the current step.
        requests: the requests without a final answer.
    """

    context: StepContext
    requests: RequestTable

    def may_retry(self, job: Job, attempt: Attempt) -> bool:
        """Return whether the request may be retried although the attempt may have been executed."""
        if job.attempts >= job.max_attempts or job.response_started or job.unprocessable:
            return False
        return self.context.now_ns < self.retry_deadline_ns(job, attempt)

    def retry_deadline_ns(self, job: Job, attempt: Attempt) -> float:
        """Return until when the request may be retried although the attempt may have been executed.

        Infinite for idempotent requests, 0 for non-idempotent ones. With an idempotency key, it is the send
        time of the first such attempt plus nine tenths of the key's window; the rest allows for a difference
        between the clocks of the worker and the dispatcher.
        """
        rules = job.class_settings
        if rules.idempotency is Idempotency.IDEMPOTENT_BY_KEY:
            first_attempt = job.possibly_executed or attempt
            return first_attempt.sent_ns + rules.idempotency_window_ns * 9 // 10
        return math.inf if rules.idempotency is Idempotency.IDEMPOTENT else 0

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt, at most once, if the settings allow it and no response has started."""
        if self.context.settings.may_cancel and not attempt.cancelled and not attempt.job.response_started:
            attempt.cancelled = True
            self.context.actions.append(Cancel(attempt.job.request.request_id, attempt.number))

    def cancel_retryable(self, worker: Worker) -> None:
        """Cancel the worker's attempts whose requests may be retried; their outcomes queue them again."""
        for attempt in worker.in_flight.values():
            job = attempt.job
            if job.request.request_id in self.requests.jobs and self.may_retry(job, attempt):
                self.cancel(attempt)
