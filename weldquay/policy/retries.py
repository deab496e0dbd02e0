"""Which requests may be sent again, and the cancelling of attempts."""

from __future__ import annotations

import math
from dataclasses import dataclass

from weldquay.interface import Cancel, Idempotency
from weldquay.policy.request_table import RequestTable
from weldquay.policy.step_context import StepContext
from weldquay.state.records import Attempt, Job, Worker


@dataclass(slots=True, eq=False)
class RetryRules:
    """The rules for a further attempt after one that a worker may have executed.

    Attributes:
        context: the step.
        requests: the requests that are owed an answer.
    """

    context: StepContext
    requests: RequestTable

    def may_retry(self, job: Job, attempt: Attempt) -> bool:
        """Return whether the request may be sent again though the attempt may have been executed."""
        if job.attempts >= job.max_attempts or job.response_started or job.unprocessable:
            return False
        return self.context.now_ns < self.retry_deadline_ns(job, attempt)

    def retry_deadline_ns(self, job: Job, attempt: Attempt) -> float:
        """Return until when the request may be sent again though the attempt may have been executed.

        It is infinite for idempotent requests and 0 for those that are not. With an idempotency key it is
        nine tenths of the key's window after the first such attempt; the rest allows for the worker's clock.
        """
        rules = job.class_settings
        if rules.idempotency is Idempotency.IDEMPOTENT_BY_KEY:
            first_attempt = job.possibly_executed or attempt
            return first_attempt.sent_ns + rules.idempotency_window_ns * 9 // 10
        return math.inf if rules.idempotency is Idempotency.IDEMPOTENT else 0

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt, once, where the settings allow it and no response has started."""
        if self.context.settings.may_cancel and not attempt.cancelled and not attempt.job.response_started:
            attempt.cancelled = True
            self.context.actions.append(Cancel(attempt.job.request.request_id, attempt.number))

    def cancel_retryable(self, worker: Worker) -> None:
        """Cancel the worker's attempts whose requests may be sent again; their outcomes queue them."""
        for attempt in worker.in_flight.values():
            job = attempt.job
            if job.request.request_id in self.requests.jobs and self.may_retry(job, attempt):
                self.cancel(attempt)
