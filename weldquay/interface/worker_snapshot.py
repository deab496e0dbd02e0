"""The state that a dispatcher process has of one worker, for the process that replaces it in a hot restart.

All times are integer nanoseconds of the monotonic clock, which both processes read.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

NEVER_REPORTED_NS = -2_000_000_000  # a report time so long ago that the report no longer counts
INITIAL_BACKOFF_NS = 1_000_000_000  # the first pause before an ejected worker is tried again


class LoadChange(NamedTuple):
    """Slots and memory that an attempt of this dispatcher took (positive) or returned (negative)."""

    at_ns: int
    slots: float
    memory: float


class SlowStartSend(NamedTuple):
    """Work that was sent to a warming worker, and the worker's age at that time."""

    worker_age_ns: int
    work_ns: float


@dataclass(frozen=True, slots=True)
class WorkerSnapshot:
    """The state of one worker; the defaults are those of a worker without any.

    Attributes:
        free_slots: by its last load report, less its queue; None without a report.
        free_memory: by its last load report; None without a report.
        estimated_slots: its capacity as learned from its reports; 0 while unknown.
        reported_ns: when its last load report arrived.
        unreported_changes: load changes that its last report may not contain.
        unreported_slots: sum of the slots of `unreported_changes`.
        unreported_memory: sum of the memory of `unreported_changes`.
        last_response_ns: when one of its attempts last gave a sign of life.
        consecutive_rejections: attempts in a row that it rejected as overloaded.
        failure_score: grows with failed attempts and decays with successful ones.
        backoff_until_ns: no attempt before this time, after a rejection.
        next_probe_ns: no health check before this time.
        consecutive_probe_failures: failed health checks in a row.
        is_ejected: it gets no attempts until a health check or a trial succeeds.
        next_trial_ns: when an ejected worker is tried again.
        trial_backoff_ns: the pause before the trial after that.
        reinstated_ns: when operators lifted its ban; 0: never.
        slow_start_sends: work that was sent to it while it was warming up.
        slow_start_budget_ns: work that may still be sent to it while it is warming up.
        slow_start_budget_at_ns: when that budget was computed; -1: it has to be computed.
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
