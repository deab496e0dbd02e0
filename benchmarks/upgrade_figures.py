"""The figures of an upgrade under load (benchmarks/upgrade.py) and the checks that they must pass."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum


class RequestResult(Enum):
    """The result of one request for its client."""

    ANSWERED = "answered (200)"
    REJECTED = "rejected (503)"
    WRONG = "wrong response"
    LOST = "lost"


def classify_response(status: int, body: bytes, expected: bytes) -> RequestResult:
    """Return the result of a request that got a response."""
    if status == 200 and body == expected:
        return RequestResult.ANSWERED
    return RequestResult.REJECTED if status == 503 else RequestResult.WRONG


@dataclass
class UpgradeFigures:
    """The figures of one direction."""

    results: Counter[RequestResult] = field(default_factory=Counter)
    connections: int = 0  # number of connections of persistent clients
    connections_reopened: int = 0
    surplus_responses: int = 0
    ready_after_s: float = 0.0
    jobs_while_banned: int = 0
    jobs_after_ban: int = 0
    repeated_jobs: int = 0
    unanswered_callbacks: int = 0
    exit_statuses: list[int] = field(default_factory=list)
    tracebacks: int = 0

    def summary(self) -> str:
        """Return all figures in one line of text."""
        results = ", ".join(f"{result.value} {self.results[result]}" for result in RequestResult)
        return (
            f"requests sent {self.results.total()}, {results}, surplus responses {self.surplus_responses}; "
            f"persistent connections {self.connections}, reopened {self.connections_reopened}; "
            f"newer process ready after {self.ready_after_s:.2f} s; "
            f"jobs to the banned worker {self.jobs_while_banned}, "
            f"after its ban was lifted {self.jobs_after_ban}; "
            f"non-idempotent jobs run twice {self.repeated_jobs}; "
            f"callbacks without a response {self.unanswered_callbacks}; "
            f"exit statuses {self.exit_statuses}, tracebacks {self.tracebacks}"
        )

    def failures(self) -> list[str]:
        """Return the names of the failed checks."""
        checks = {
            "no successful request": not self.results[RequestResult.ANSWERED],
            "requests without a response": self.results[RequestResult.LOST],
            "wrong responses": self.results[RequestResult.WRONG],
            "surplus responses": self.surplus_responses,
            "jobs to the banned worker": self.jobs_while_banned,
            "no job after the ban was lifted": not self.jobs_after_ban,
            "non-idempotent jobs run twice": self.repeated_jobs,
            "callbacks without a response": self.unanswered_callbacks,
            "exit statuses": self.exit_statuses != [0, 0],
            "tracebacks": self.tracebacks,
        }
        return [name for name, has_failed in checks.items() if has_failed]


@dataclass(frozen=True, slots=True)
class ReceivedJob:
    """A job that a worker received, with the time of the monotonic clock."""

    request_id: str
    received_s: float


def count_received_between(jobs: Sequence[ReceivedJob], start_s: float, end_s: float) -> int:
    """Return how many jobs were received at or after `start_s` and before `end_s`."""
    return sum(start_s <= job.received_s < end_s for job in jobs)


def count_repeated(jobs: Sequence[ReceivedJob], request_ids: set[str]) -> int:
    """Return how many of the given requests were received by workers more than once."""
    received = Counter(job.request_id for job in jobs)
    return sum(received[request_id] > 1 for request_id in request_ids)
