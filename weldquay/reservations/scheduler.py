"""Reserve workers for jobs that need several slots, and admit other jobs beside them.

This is EASY backfill (Lifka 1995) for workers that are shared with dispatchers that do not communicate.  A
reservation keeps only this dispatcher's jobs away, and admits those that do not delay the reserved start.
Jobs of other dispatchers are kept away by the worker's own queue: shortly before the expected start the job
is sent, and is then the first in that queue.  A dispatcher without peers does not send early.

A request has at most one reservation, and so has a worker.  A reservation that is taken over by a request of
higher priority is not returned, so that requests cannot wait for each other in a cycle.

All `now_ns` parameters are moments of the caller's clock.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

if TYPE_CHECKING:  # msgspec is imported only where reservations are configured
    from weldquay.reservations.settings import ReservationSettings
from weldquay.reservations.placement import (
    Placement,
    create_reservation,
    is_worthwhile,
    joins_queue,
    max_reservations,
    may_take_over,
    rejection_reason,
)
from weldquay.reservations.records import (
    BackfillJob,
    CapacityRequest,
    FleetLoad,
    Reservation,
    ReservationEndReason,
    ReservationResult,
    WorkerOffer,
)
from weldquay.reservations.timetable import NEVER, QueuedJob, Timetable

__all__ = [
    "BackfillJob",
    "BackfillScheduler",
    "CapacityRequest",
    "FleetLoad",
    "Reservation",
    "ReservationResult",
    "WorkerOffer",
]

MOVE_RATIO = 0.7  # of expected ends, below which a reservation moves to another worker
SAMPLE_WEIGHT = 0.05  # of a new sample in exponential means, for a send: for each second of slot time
MAX_SEND_WEIGHT = 0.2


class BackfillScheduler:
    """The reservations of one dispatcher."""

    def __init__(
        self,
        settings: ReservationSettings | None = None,
        dispatcher_count: int = 1,
        serves_in_order: bool = True,
    ) -> None:
        """Start without reservations.

        settings: None where nothing is reserved; serves_in_order: workers serve queues in order of arrival.
        """
        self.settings = settings
        self.traffic_fraction = _traffic_fraction(dispatcher_count, serves_in_order)
        self.by_request: dict[int, Reservation] = {}
        self.by_worker: dict[int, Reservation] = {}
        self.results: list[ReservationResult] = []
        self.changed_workers: set[int] = set()  # reserved or released; cleared by weldquay/candidates
        self.counts: Counter[str] = Counter()
        self.mean_slot_value = 0.0  # mean priority weight of sent jobs, for each ns of a slot
        self.hint_bias = 0.0  # mean logarithm of actual over hinted running times
        self.hint_error = 0.0  # mean absolute deviation of that logarithm

    def reconfigure(
        self,
        now_ns: int,
        settings: ReservationSettings | None,
        dispatcher_count: int,
        serves_in_order: bool = True,
    ) -> None:
        """Apply other settings and end all reservations."""
        for reservation in list(self.by_request.values()):
            self._end(now_ns, reservation, ReservationEndReason.RECONFIGURED)
        self.settings = settings
        self.traffic_fraction = _traffic_fraction(dispatcher_count, serves_in_order)

    def handles(self, slots: float) -> bool:
        """Return True where capacity is reserved for jobs of this many slots."""
        settings = self.settings
        return settings is not None and settings.is_enabled and slots >= settings.min_slots

    def record_send(self, priority_weight: float, slot_ns: float) -> None:
        """Update the mean value of a slot with a job that was sent; slot_ns: slots times running time."""
        weight = min(MAX_SEND_WEIGHT, SAMPLE_WEIGHT * slot_ns / 1e9) if self.mean_slot_value else 1.0
        self.mean_slot_value += weight * (priority_weight - self.mean_slot_value)

    def record_runtime(self, error: float) -> None:
        """Update the accuracy of hints; error: logarithm of a job's actual running time over its hint."""
        self.hint_error += SAMPLE_WEIGHT * (abs(error - self.hint_bias) - self.hint_error)
        self.hint_bias += SAMPLE_WEIGHT * (error - self.hint_bias)

    def request_capacity(
        self,
        now_ns: int,
        request: CapacityRequest,
        offers: Iterable[WorkerOffer],
        load: FleetLoad,
    ) -> int | None:
        """Reserve a worker for a request that found none with room, or update its reservation.

        Returns the worker whose queue the job joins now, None where it waits.
        """
        settings = self.settings
        if settings is None:
            return None
        reservation = self.by_request.get(request.request)
        reason = rejection_reason(settings, request, self.hint_error, load.worker_count, load.queued_count)
        if reason is not None:
            self._end(now_ns, reservation, reason)
            return None
        placement = self._choose_placement(settings, request, offers, load.utilization)
        if placement is None:
            self._end(now_ns, reservation, ReservationEndReason.TOO_LATE)
            return None
        return self._apply_placement(now_ns, settings, request, placement, load.worker_count)

    def _apply_placement(
        self,
        now_ns: int,
        settings: ReservationSettings,
        request: CapacityRequest,
        placement: Placement,
        worker_count: int,
    ) -> int | None:
        """Create, update or end the reservation; return the worker whose queue the job joins now."""
        reservation = self.by_request.get(request.request)
        if reservation is not None and reservation.worker != placement.offer.worker:
            self._end(now_ns, reservation, ReservationEndReason.MOVED)
            reservation = None
        start_ns = now_ns + placement.start.wait_ns
        if reservation is not None:
            max_delay_ns = settings.max_delay * reservation.run_ns
            if start_ns > reservation.first_start_ns + max_delay_ns:
                self._end(now_ns, reservation, ReservationEndReason.DELAYED)
                return None
        if joins_queue(settings, placement, self.traffic_fraction):
            self._end(now_ns, reservation, ReservationEndReason.QUEUED)
            self.counts["queued"] += 1
            return placement.offer.worker
        if reservation is not None:
            reservation.start_ns = start_ns
        elif len(self.by_request) + 1 <= max_reservations(settings, worker_count):
            self._reserve(now_ns, request, placement)
        else:
            self.counts["over_cap"] += 1
        return None

    def _choose_placement(
        self,
        settings: ReservationSettings,
        request: CapacityRequest,
        offers: Iterable[WorkerOffer],
        utilization: float,
    ) -> Placement | None:
        """Return the placement with the earliest end; the reserved one unless another is much better."""
        reservation = self.by_request.get(request.request)
        best: Placement | None = None
        current: Placement | None = None
        for offer in offers:
            other = self.by_worker.get(offer.worker)
            if other is not None and not may_take_over(request, other):
                continue
            start = offer.timetable().earliest_start(request.slots, request.memory)
            end_ns = start.wait_ns + offer.run_ns
            if start.wait_ns == NEVER or end_ns > request.max_end_ns:
                continue
            if not is_worthwhile(settings, request, start, utilization, self.mean_slot_value):
                self.counts["not_worth_it"] += 1
                continue
            placement = Placement(offer, start, end_ns)
            if reservation is not None and reservation.worker == offer.worker:
                current = placement
            if best is None or end_ns < best.end_ns:
                best = placement
        if best is not None and current is not None and best.end_ns > MOVE_RATIO * current.end_ns:
            return current
        return best

    def _reserve(self, now_ns: int, request: CapacityRequest, placement: Placement) -> None:
        worker = placement.offer.worker
        self._end(now_ns, self.by_worker.get(worker), ReservationEndReason.PREEMPTED)
        reservation = create_reservation(now_ns, request, placement)
        self.by_request[reservation.request] = reservation
        self.by_worker[worker] = reservation
        self.counts["made"] += 1
        self.changed_workers.add(worker)

    def admits(
        self,
        now_ns: int,
        job: BackfillJob,
        worker: int,
        timetable: Callable[[], Timetable],
    ) -> bool:
        """Return True where a job at the worker does not delay the start of another request's reservation."""
        reservation = self.by_worker.get(worker)
        if reservation is None or reservation.request == job.request:
            return True
        run_ns = job.run_ns * (self.settings.hint_margin if self.settings is not None else 1.0)
        current = timetable()
        before = current.earliest_start(reservation.slots, reservation.memory)
        backfilled = (QueuedJob(run_ns, job.slots, job.memory),)
        after = current.earliest_start(reservation.slots, reservation.memory, backfilled)
        return after.wait_ns <= max(before.wait_ns, reservation.start_ns - now_ns)

    def expire(self, now_ns: int, is_usable: Callable[[int], bool]) -> None:
        """End the reservations that have expired, and those of workers that are not usable any more."""
        for reservation in list(self.by_request.values()):
            if not is_usable(reservation.worker):
                self._end(now_ns, reservation, ReservationEndReason.WORKER_UNAVAILABLE)
            elif now_ns >= reservation.expires_ns:
                self._end(now_ns, reservation, ReservationEndReason.TOO_LATE)

    def cancel(self, now_ns: int, request: int, reason: str) -> None:
        """End the reservation of a request, if there is one; reason: value of a ReservationEndReason."""
        if (reservation := self.by_request.get(request)) is not None:
            self._end(now_ns, reservation, ReservationEndReason(reason))

    def take_results(self) -> list[ReservationResult]:
        """Return the reservations that have ended since the last call."""
        results = self.results
        self.results = []
        return results

    def _end(self, now_ns: int, reservation: Reservation | None, reason: ReservationEndReason) -> None:
        if reservation is None:
            return
        del self.by_request[reservation.request]
        del self.by_worker[reservation.worker]
        self.counts[f"ended_{reason.value}"] += 1
        self.changed_workers.add(reservation.worker)
        self.results.append(reservation.result(now_ns, reason))


def _traffic_fraction(dispatcher_count: int, serves_in_order: bool) -> float:
    """Return the fraction of the workers' traffic that reservations are to regard as this dispatcher's own.

    A queue that is not served in order keeps no slots free, so that joining it early is of no use: then the
    fraction is that of a dispatcher without peers.
    """
    return 1.0 / max(1, dispatcher_count) if serves_in_order else 1.0
