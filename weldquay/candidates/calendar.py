"""A calendar queue of the times at which a worker's group may change without an event."""

from __future__ import annotations

import heapq
import math

from weldquay.state.records import Worker


class RecheckCalendar:
    """Pending rechecks of workers, earliest first.

    An entry is valid only while its time equals the worker's `recheck_ns`; replaced entries stay in the heap.

    Attributes:
        entries: heap of (time in nanoseconds, worker number).
    """

    def __init__(self) -> None:
        """Start without entries."""
        self.entries: list[tuple[int, int]] = []

    def schedule(self, worker: Worker, now_ns: int, due_ns: float) -> None:
        """Schedule a recheck of the worker at due_ns; infinity: never.

        Nothing is scheduled if an earlier recheck is pending, since that one schedules the next.
        """
        if due_ns < math.inf and not now_ns < worker.recheck_ns <= due_ns:
            worker.recheck_ns = int(due_ns)
            heapq.heappush(self.entries, (worker.recheck_ns, worker.entry.worker))

    def pop_due(self, now_ns: int) -> list[tuple[int, int]]:
        """Remove and return the entries that are due, including those that have been replaced."""
        due = []
        while self.entries and self.entries[0][0] <= now_ns:
            due.append(heapq.heappop(self.entries))
        return due
