"""Requests for capacity, offers of workers, reservations and how they end."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from weldquay.reservations.timetable import Timetable


class ReservationEndReason(Enum):
    """Why a reservation ended."""

    PLACED = "placed"  # sent to a worker that had room
    QUEUED = "queued"  # sent to the reserved worker's queue
    TOO_LATE = "too_late"  # no worker can end the job in time any more
    DELAYED = "slipped"  # the expected start has moved by more than the settings allow
    MOVED = "moved"  # another worker ends the job much sooner
    PREEMPTED = "outbid"  # taken over by a request of higher priority
    WORKER_UNAVAILABLE = "worker_out"
    NO_HINT = "no_hint"  # the request has no runtime hint
    INACCURATE_HINTS = "bad_hints"
    OVERLOAD = "overload"  # too many requests are queued
    REQUEST_ENDED = "job_over"
    RECONFIGURED = "reload"


@dataclass(frozen=True, slots=True)
class CapacityRequest:
    """A queued request that needs several slots.

    run_ns: expected running time on a machine of mean speed; max_end_ns: time from now by which the job has
    to end; priority_weight: for each nanosecond of a slot.
    """

    request: int
    slots: float
    memory: float
    run_ns: float
    max_end_ns: float
    priority_weight: float
    has_hint: bool = True


@dataclass(frozen=True, slots=True)
class FleetLoad:
    """The load of the workers that may be used.

    utilization: fraction of their slots in use; queued_count: requests without a worker.
    """

    worker_count: int
    utilization: float
    queued_count: int


@dataclass(frozen=True, slots=True)
class BackfillJob:
    """A job that may run beside a reservation; run_ns: expected running time at the worker."""

    request: int
    slots: float
    memory: float
    run_ns: float


@dataclass(frozen=True, slots=True)
class WorkerOffer:
    """A worker that may run the job, with the job's expected running time there."""

    worker: int
    run_ns: float
    timetable: Callable[[], Timetable]


@dataclass(slots=True)
class Reservation:
    """Capacity of a worker that is reserved for a request; all times but run_ns are moments."""

    request: int
    worker: int
    slots: float
    memory: float
    priority_weight: float
    created_ns: int
    start_ns: float  # as expected now
    first_start_ns: float  # as expected at creation
    expires_ns: float
    run_ns: float

    def result(self, now_ns: int, reason: ReservationEndReason) -> ReservationResult:
        """Return how the reservation ended that ends now."""
        return ReservationResult(
            request=self.request,
            worker=self.worker,
            reason=reason.value,
            reserved_ns=now_ns - self.created_ns,
            delay_ns=int(now_ns - self.first_start_ns),
        )


@dataclass(frozen=True, slots=True)
class ReservationResult:
    """How a reservation ended.

    reason: value of a ReservationEndReason; reserved_ns: its duration; delay_ns: from the start that was
    expected at first to the end of the reservation, negative where it ended before.
    """

    request: int
    worker: int
    reason: str
    reserved_ns: int
    delay_ns: int
