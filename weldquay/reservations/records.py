"""Records of capacity requests, offered workers, reservations and their results."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from weldquay.reservations.timetable import Timetable


class ReservationEndReason(Enum):
    """Why a reservation ended. The values appear in logs and counters."""

    PLACED = "placed"  # sent to a worker with free capacity
    QUEUED = "queued"  # sent to the reserved worker's queue
    TOO_LATE = "too_late"  # no worker can complete the job in time any more
    DELAYED = "slipped"  # the expected start was delayed by more than the settings allow
    MOVED = "moved"  # another worker is expected to complete the job much earlier
    PREEMPTED = "outbid"  # taken over by a request of higher priority
    WORKER_UNAVAILABLE = "worker_out"  # the worker is not usable any more
    NO_HINT = "no_hint"  # the request has no runtime hint
    INACCURATE_HINTS = "bad_hints"  # the mean error of runtime hints is too large
    OVERLOAD = "overload"  # too many requests are queued
    REQUEST_ENDED = "job_over"  # the request was answered or cancelled
    RECONFIGURED = "reload"  # other settings apply


@dataclass(frozen=True, slots=True)
class CapacityRequest:
    """A queued request that needs several slots.

    Attributes:
        request: the request id.
        slots: slots that the job needs.
        memory: units of memory that the job needs.
        run_ns: expected running time on a machine of mean speed, in nanoseconds.
        max_end_ns: deadline of the job, in nanoseconds from now.
        priority_weight: value of the job per nanosecond of a slot.
        has_hint: the client sent a runtime hint.
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
    """The load of the usable workers.

    Attributes:
        worker_count: number of usable workers.
        utilization: fraction of their slots in use.
        queued_count: number of requests without a worker.
    """

    worker_count: int
    utilization: float
    queued_count: int


@dataclass(frozen=True, slots=True)
class BackfillJob:
    """A job that is a candidate for backfilling a reserved worker.

    Attributes:
        request: the request id.
        slots: slots that the job needs.
        memory: units of memory that the job needs.
        run_ns: expected running time at the worker, in nanoseconds.
    """

    request: int
    slots: float
    memory: float
    run_ns: float


@dataclass(frozen=True, slots=True)
class WorkerOffer:
    """A worker that may run the job.

    Attributes:
        worker: the worker's number.
        run_ns: expected running time of the job at the worker, in nanoseconds.
        timetable: computes the worker's timetable.
    """

    worker: int
    run_ns: float
    timetable: Callable[[], Timetable]


@dataclass(slots=True)
class Reservation:
    """Capacity of a worker that is reserved for a request.

    All times except `run_ns` are points in time on the clock of the caller, in nanoseconds.

    Attributes:
        request: the request id.
        worker: the worker's number.
        slots: reserved slots.
        memory: reserved units of memory.
        priority_weight: priority weight of the request.
        created_ns: when the reservation was created.
        start_ns: currently expected start of the job.
        first_start_ns: expected start when the reservation was created.
        expires_ns: deadline of the job when the reservation was created.
        run_ns: expected running time of the job at the worker, in nanoseconds.
    """

    request: int
    worker: int
    slots: float
    memory: float
    priority_weight: float
    created_ns: int
    start_ns: float
    first_start_ns: float
    expires_ns: float
    run_ns: float

    def result(self, now_ns: int, reason: ReservationEndReason) -> ReservationResult:
        """Return the result of the reservation, which ends now."""
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

    Attributes:
        request: the request id.
        worker: the worker's number.
        reason: value of a `ReservationEndReason`.
        reserved_ns: duration of the reservation, in nanoseconds.
        delay_ns: time from the first expected start of the job to the end of the reservation, in nanoseconds;
            negative if the reservation ended earlier.
    """

    request: int
    worker: int
    reason: str
    reserved_ns: int
    delay_ns: int
