"""The figures of an upgrade under load, and the checks that they have to pass; see benchmarks/upgrade.py."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum


class RequestResult(Enum):
    """What a client got for one request."""

    ANSWERED = "answered (200)"
    REJECTED = "rejected (503)"
    WRONG = "wrong answer"
    LOST = "lost"


def classify(status: int, body: bytes, expected: bytes) -> RequestResult:
    """Return the result of a request that was answered."""
    if status == 200 and body == expected:
        return RequestResult.ANSWERED
    return RequestResult.REJECTED if status == 503 else RequestResult.WRONG


@dataclass
class Figures:
    """What one direction came to."""

    results: Counter[RequestResult] = field(default_factory=Counter)
    connections: int = 0  # persistent ones
    connections_reopened: int = 0
    surplus_answers: int = 0
    ready_after_s: float = 0.0
    jobs_while_banned: int = 0
    jobs_after_ban: int = 0
    repeated_jobs: int = 0
    failed_callbacks: int = 0
    exit_statuses: list[int] = field(default_factory=list)
    tracebacks: int = 0

    def line(self) -> str:
        """Return all figures in one line."""
        results = ", ".join(f"{result.value} {self.results[result]}" for result in RequestResult)
        return (
            f"requests sent {self.results.total()}, {results}, surplus answers {self.surplus_answers}; "
            f"persistent connections {self.connections}, reopened {self.connections_reopened}; "
            f"newer process ready after {self.ready_after_s:.2f} s; "
            f"jobs to the banned worker {self.jobs_while_banned}, "
            f"after its ban was lifted {self.jobs_after_ban}; "
            f"non-idempotent jobs run twice {self.repeated_jobs}; "
            f"call-backs without an answer {self.failed_callbacks}; "
            f"exit statuses {self.exit_statuses}, tracebacks {self.tracebacks}"
        )

    def failures(self) -> list[str]:
        """Return the checks that failed."""
        checks = {
            "no request was answered": not self.results[RequestResult.ANSWERED],
            "requests without an answer": self.results[RequestResult.LOST],
            "wrong answers": self.results[RequestResult.WRONG],
            "surplus answers": self.surplus_answers,
            "jobs to the banned worker": self.jobs_while_banned,
            "no job after the ban was lifted": not self.jobs_after_ban,
            "non-idempotent jobs run twice": self.repeated_jobs,
            "call-backs without an answer": self.failed_callbacks,
            "exit statuses": self.exit_statuses != [0, 0],
            "tracebacks": self.tracebacks,
        }
        return [name for name, has_failed in checks.items() if has_failed]


@dataclass(frozen=True, slots=True)
class ReceivedJob:
    """A job that a worker received, and when, by the monotonic clock in seconds."""

    request_id: str
    received_s: float


def count_between(jobs: Sequence[ReceivedJob], begin_s: float, end_s: float) -> int:
    """Return how many jobs came from begin_s on and before end_s."""
    return sum(begin_s <= job.received_s < end_s for job in jobs)


def count_repeated(jobs: Sequence[ReceivedJob], request_ids: set[str]) -> int:
    """Return how many of the given requests came to workers more than once."""
    received = Counter(job.request_id for job in jobs)
    return sum(received[request_id] > 1 for request_id in request_ids)
