"""A worker's timetable from what its dispatcher has written down of it."""

from __future__ import annotations

from collections.abc import Callable

from weldquay.state.records import Job, Worker
from weldquay.reservations.timetable import OwnAttempt, Timetable, estimate_timetable


def availability(
    worker: Worker,
    size: int,
    now_ns: int,
    tells_start: bool,
    mean_ns: float,
    takes_ns: Callable[[Job], float],
) -> Timetable:
    """The worker's room over time.

    size: its slots; tells_start: attempts tell when they begin, else each begins when it is sent; mean_ns:
    the usual running time there; takes_ns: the expected running time of a job there.
    """
    own = []
    for attempt in worker.in_flight.values():
        begun_ns = attempt.started_ns or (0 if tells_start else attempt.sent_ns)
        age_ns = now_ns - begun_ns if begun_ns else -1
        need = attempt.job.request
        own.append(OwnAttempt(takes_ns(attempt.job), age_ns, need.slots, need.memory))
    used = size - (size if worker.free_slots is None else worker.free_slots) + worker.unreported_slots
    memory = size - (size if worker.free_memory is None else worker.free_memory) + worker.unreported_memory
    return estimate_timetable(size, own, used, memory, mean_ns)
