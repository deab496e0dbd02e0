"""The requests without a final answer, and the attempts in flight."""

from __future__ import annotations

from dataclasses import dataclass, field

from weldquay.state.records import Attempt, Job


@dataclass(slots=True, eq=False)
class RequestTable:
    """Requests and attempts by id.

    Attributes:
        jobs: requests without a final answer, by request id.
        queued: the requests among them that wait for a worker, in the order in which they were queued.
        attempts: attempts without an outcome, by request id and attempt number; their request may already
            have its final answer.
    """

    jobs: dict[int, Job] = field(default_factory=dict)
    queued: dict[int, Job] = field(default_factory=dict)
    attempts: dict[tuple[int, int], Attempt] = field(default_factory=dict)

    def add_attempt(self, attempt: Attempt) -> None:
        """Add an attempt to the table, to its request and to its worker."""
        job = attempt.job
        key = (job.request.request_id, attempt.number)
        job.attempts = attempt.number + 1
        job.in_flight[attempt.number] = attempt
        self.attempts[key] = attempt.worker.in_flight[key] = attempt

    def remove_attempt(self, request_id: int, number: int) -> Attempt | None:
        """Remove an attempt from the table, its request and its worker; return None if it is unknown."""
        key = (request_id, number)
        attempt = self.attempts.pop(key, None)
        if attempt is not None:
            del attempt.worker.in_flight[key]
            attempt.job.in_flight.pop(number, None)
        return attempt
