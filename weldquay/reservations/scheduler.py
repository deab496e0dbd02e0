"""Reserve workers for jobs that need several slots, and backfill them with other jobs.

This is EASY backfill (Lifka 1995) for workers that are shared with dispatchers that do not communicate.  A
reservation blocks only this dispatcher's jobs, except for those that do not delay the reserved start.  Jobs
of other dispatchers are blocked by the worker's own queue: shortly before the expected start, the job is sent
and is then first in that queue.  A dispatcher without peers does not send early.

A request has at most one reservation, and a worker is reserved for at most one request.  A reservation that
was taken over by a request of higher priority is not returned, so that requests cannot wait for each other in
a cycle.

All `now_ns` parameters are points in time on the clock of the caller, in nanoseconds.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

if TYPE_CHECKING:  # msgspec is imported at run time only if reservations are configured
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

# A reservation moves to the worker where the job is expected to end first, if the time until that end is at
# most this fraction of the time until the end at the reserved worker.
MOVE_RATIO = 0.7
# Weight of a new sample in an exponential moving average.  A sent job has this weight for each second of its
# slot time (slots times running time), up to MAX_SEND_WEIGHT.
SAMPLE_WEIGHT = 0.05
MAX_SEND_WEIGHT = 0.2  # maximum weight of a sent job in the moving average of the slot value


class BackfillScheduler:
    """The reservations of one dispatcher.

    Attributes:
        settings: when capacity is reserved; None: never.
        traffic_fraction: fraction of the workers' traffic that counts as this dispatcher's.
        by_request: the reservations by request id.
        by_worker: the same by worker number.
        results: reservations that have ended since the last `take_results`.
        changed_workers: workers that were reserved or released; `weldquay/candidates` clears it.
        counts: number of decisions by kind.
        mean_slot_value: mean priority weight of sent jobs, per nanosecond of a slot.
        hint_bias: mean logarithm of actual over hinted running times.
        hint_error: mean absolute deviation of that logarithm.
    """

    def __init__(
        self,
        settings: ReservationSettings | None = None,
        dispatcher_count: int = 1,
        serves_in_order: bool = True,
    ) -> None:
        """Start without reservations.

        Args:
            settings: when capacity is reserved; None: never.
            dispatcher_count: number of dispatchers that share the workers.
            serves_in_order: workers serve their queues in order of arrival.
        """
        self.settings = settings
        self.traffic_fraction = _traffic_fraction(dispatcher_count, serves_in_order)
        self.by_request: dict[int, Reservation] = {}
        self.by_worker: dict[int, Reservation] = {}
        self.results: list[ReservationResult] = []
        self.changed_workers: set[int] = set()
        self.counts: Counter[str] = Counter()
        self.mean_slot_value = 0.0
        self.hint_bias = 0.0
        self.hint_error = 0.0

    def reconfigure(
        self,
        now_ns: int,
        settings: ReservationSettings | None,
        dispatcher_count: int,
        serves_in_order: bool = True,
    ) -> None:
        """Apply new settings, which ends all reservations."""
        for reservation in list(self.by_request.values()):
            self._end(now_ns, reservation, ReservationEndReason.RECONFIGURED)
        self.settings = settings
        self.traffic_fraction = _traffic_fraction(dispatcher_count, serves_in_order)

    def handles(self, slots: float) -> bool:
        """Return True if capacity is reserved for jobs with this many slots."""
        settings = self.settings
        return settings is not None and settings.is_enabled and slots >= settings.min_slots

    def record_send(self, priority_weight: float, slot_ns: float) -> None:
        """Update the mean value of a slot with a job that was sent.

        Args:
            priority_weight: value of the job per nanosecond of a slot.
            slot_ns: its slots times its expected running time, in nanoseconds.
        """
        weight = min(MAX_SEND_WEIGHT, SAMPLE_WEIGHT * slot_ns / 1e9) if self.mean_slot_value else 1.0
        self.mean_slot_value += weight * (priority_weight - self.mean_slot_value)

    def record_runtime(self, error: float) -> None:
        """Update the bias and the accuracy of runtime hints.

        Args:
            error: logarithm of a job's actual over its hinted running time.
        """
        self.hint_error += SAMPLE_WEIGHT * (abs(error - self.hint_bias) - self.hint_error)
        self.hint_bias += SAMPLE_WEIGHT * (error - self.hint_bias)

    def request_capacity(
        self,
        now_ns: int,
        request: CapacityRequest,
        offers: Iterable[WorkerOffer],
        load: FleetLoad,
    ) -> int | None:
        """Reserve a worker for a request that no worker has free capacity for, or update its reservation.

        Returns:
            The worker whose queue the job joins now; None if the job waits.
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
        """Create, update or end the reservation; return the worker whose queue the job joins now, if any."""
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
        """Return the placement with the earliest end, or the reserved one unless that is much later."""
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
        """Create a reservation, which takes over an existing one of the worker."""
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
        """Return True if the job does not delay the reserved start of another request at the worker."""
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
        """End the reservations that have expired or whose worker is not usable any more."""
        for reservation in list(self.by_request.values()):
            if not is_usable(reservation.worker):
                self._end(now_ns, reservation, ReservationEndReason.WORKER_UNAVAILABLE)
            elif now_ns >= reservation.expires_ns:
                self._end(now_ns, reservation, ReservationEndReason.TOO_LATE)

    def cancel(self, now_ns: int, request: int, reason: str) -> None:
        """End the reservation of a request, if there is one; `reason` is a `ReservationEndReason` value."""
        if (reservation := self.by_request.get(request)) is not None:
            self._end(now_ns, reservation, ReservationEndReason(reason))

    def take_results(self) -> list[ReservationResult]:
        """Return the results of the reservations that have ended since the last call."""
        results = self.results
        self.results = []
        return results

    def _end(self, now_ns: int, reservation: Reservation | None, reason: ReservationEndReason) -> None:
        """End a reservation, if there is one, and record its result."""
        if reservation is None:
            return
        del self.by_request[reservation.request]
        del self.by_worker[reservation.worker]
        self.counts[f"ended_{reason.value}"] += 1
        self.changed_workers.add(reservation.worker)
        self.results.append(reservation.result(now_ns, reason))


def _traffic_fraction(dispatcher_count: int, serves_in_order: bool) -> float:
    """Return the fraction of the workers' traffic that counts as this dispatcher's.

    Without in-order service, a job that joins a worker's queue early holds no slots, so joining early is
    useless. The fraction is then that of a dispatcher without peers, which never joins early.
    """
    return 1.0 / max(1, dispatcher_count) if serves_in_order else 1.0
