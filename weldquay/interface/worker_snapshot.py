"""A dispatcher process's state of one worker, which a hot restart passes to the newer process.

All times are integer nanoseconds on the monotonic clock, which both processes share.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

NEVER_REPORTED_NS = -2_000_000_000  # long enough ago that the load report is not used
INITIAL_BACKOFF_NS = 1_000_000_000  # first delay before an ejected worker is tried again


class LoadChange(NamedTuple):
    """Slots and memory that an attempt of this dispatcher has taken (positive) or released (negative)."""

    at_ns: int
    slots: float
    memory: float


class SlowStartSend(NamedTuple):
    """Work that was sent to a worker that was warming up, and the worker's age at that time."""

    worker_age_ns: int
    work_ns: float


@dataclass(frozen=True, slots=True)
class WorkerSnapshot:
    """The state of one worker; the defaults are those of a worker about which nothing is known.

    Attributes:
        free_slots: free slots in its last load report, negative for queued requests; None without a report.
        free_memory: free memory in its last load report; None if unknown.
        estimated_slots: its capacity, as estimated from its load reports; 0 while unknown.
        reported_ns: when its last load report arrived.
        unreported_changes: load changes that its last load report may not include.
        unreported_slots: sum of the slots of `unreported_changes`.
        unreported_memory: sum of the memory of `unreported_changes`.
        last_response_ns: when it last responded to an attempt or reported its start or progress.
        consecutive_rejections: consecutive attempts that it rejected as overloaded.
        failure_score: grows with failed attempts and decays with successful ones.
        backoff_until_ns: after a rejection: it gets no attempt before this time.
        next_probe_ns: it gets no health check before this time.
        consecutive_probe_failures: consecutive health checks that failed.
        is_ejected: it gets no attempts until a health check or a trial attempt succeeds.
        next_trial_ns: when an ejected worker gets a trial attempt.
        trial_backoff_ns: delay before the trial attempt after that.
        reinstated_ns: when operators last lifted its ban; 0: never.
        slow_start_sends: work that was sent to it while it was warming up.
        slow_start_budget_ns: work that may still be sent to it while it is warming up.
        slow_start_budget_at_ns: when that budget was computed; -1: it must be recomputed.
    """

    free_slots: float | None = None
    free_memory: float | None = None
    estimated_slots: float = 0.0
    reported_ns: int = NEVER_REPORTED_NS
    unreported_changes: tuple[LoadChange, ...] = ()
    unreported_slots: float = 0.0
    unreported_memory: float = 0.0
    last_response_ns: int = 0
    consecutive_rejections: int = 0
    failure_score: float = 0.0
    backoff_until_ns: int = 0
    next_probe_ns: int = 0
    consecutive_probe_failures: int = 0
    is_ejected: bool = False
    next_trial_ns: int = 0
    trial_backoff_ns: int = INITIAL_BACKOFF_NS
    reinstated_ns: int = 0
    slow_start_sends: tuple[SlowStartSend, ...] = ()
    slow_start_budget_ns: float = 0.0
    slow_start_budget_at_ns: int = -1


UNKNOWN_WORKER = WorkerSnapshot()
