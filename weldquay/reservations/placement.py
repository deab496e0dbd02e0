"""Rules for placements: whether, where and when a reservation for a request is worthwhile."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:  # msgspec is imported at run time only if reservations are configured
    from weldquay.reservations.settings import ReservationSettings
from weldquay.reservations.records import CapacityRequest, Reservation, ReservationEndReason, WorkerOffer
from weldquay.reservations.timetable import ExpectedStart

START_TOLERANCE_NS = 5_000_000  # a job whose expected start is within this time is sent now
PREEMPTION_RATIO = 1.5  # minimum ratio of priority weights to take over the reservation of another request
SCARCITY_EXPONENT = 4  # the cost of a job's own slots is proportional to this power of the utilization


@dataclass(frozen=True, slots=True)
class Placement:
    """A worker with the expected start and end of the job there.

    Attributes:
        offer: the worker.
        start: the expected start.
        end_ns: the expected end, in nanoseconds from now.
    """

    offer: WorkerOffer
    start: ExpectedStart
    end_ns: float


def rejection_reason(
    settings: ReservationSettings,
    request: CapacityRequest,
    hint_error: float,
    worker_count: int,
    queued_count: int,
) -> ReservationEndReason | None:
    """Return why nothing may be reserved for the request now; None if a reservation is allowed.

    Args:
        settings: the settings of reservations.
        request: the request.
        hint_error: mean absolute deviation of the logarithm of actual over hinted running times.
        worker_count: number of usable workers.
        queued_count: number of requests without a worker.
    """
    if not request.has_hint:
        return ReservationEndReason.NO_HINT
    if hint_error > settings.max_hint_error:
        return ReservationEndReason.INACCURATE_HINTS
    if queued_count > settings.max_queued_per_worker * max(1, worker_count):
        return ReservationEndReason.OVERLOAD
    return None


def may_take_over(request: CapacityRequest, reservation: Reservation) -> bool:
    """Return True if the reservation is the request's own, or that of a request of much lower priority."""
    return (
        reservation.request == request.request
        or request.priority_weight >= PREEMPTION_RATIO * reservation.priority_weight
    )


def is_worthwhile(
    settings: ReservationSettings,
    request: CapacityRequest,
    start: ExpectedStart,
    utilization: float,
    mean_slot_value: float,
) -> bool:
    """Return True if the value of the job exceeds the opportunity cost of the slots.

    Slots that are idle until the start cost in proportion to the utilization. Slots that the job itself uses
    have a significant cost only if nearly all slots are in use.

    Args:
        settings: the settings of reservations.
        request: the request.
        start: the expected start of the job.
        utilization: fraction of the fleet's slots in use.
        mean_slot_value: mean priority weight of sent jobs, per nanosecond of a slot.
    """
    slot_ns = request.slots * request.run_ns
    lost_slot_ns = utilization * start.idle_slot_ns + utilization**SCARCITY_EXPONENT * slot_ns
    return request.priority_weight * slot_ns >= settings.value_margin * (mean_slot_value * lost_slot_ns)


def joins_queue(settings: ReservationSettings, placement: Placement, traffic_fraction: float) -> bool:
    """Return True if the expected start is near enough for the job to join the worker's queue.

    Args:
        settings: the settings of reservations.
        placement: the worker and the expected start.
        traffic_fraction: fraction of the workers' traffic that comes from this dispatcher.
    """
    start = placement.start
    # If no slots are idle before the start, other jobs cannot delay it, so the decision can wait.
    max_lead_fraction = settings.queue_fraction * (1 - traffic_fraction) if start.idle_slot_ns > 0 else 0.0
    return start.wait_ns <= START_TOLERANCE_NS + max_lead_fraction * placement.offer.run_ns


def max_reservations(settings: ReservationSettings, worker_count: int) -> float:
    """Return the maximum number of concurrent reservations, which is at least one."""
    return min(settings.max_reservations, max(1.0, settings.max_reserved_fraction * worker_count))


def create_reservation(now_ns: int, request: CapacityRequest, placement: Placement) -> Reservation:
    """Return a new reservation for a placement."""
    start_ns = now_ns + placement.start.wait_ns
    return Reservation(
        request=request.request,
        worker=placement.offer.worker,
        slots=request.slots,
        memory=request.memory,
        priority_weight=request.priority_weight,
        created_ns=now_ns,
        start_ns=start_ns,
        first_start_ns=start_ns,
        expires_ns=now_ns + request.max_end_ns,
        run_ns=placement.offer.run_ns,
    )
