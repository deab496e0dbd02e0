"""The moments at which time alone may change a worker's group."""

from __future__ import annotations

import heapq
import math

from weldquay.state.records import Worker


class RecheckCalendar:
    """A heap of moments; each worker's next one is its `recheck_ns`."""

    def __init__(self) -> None:
        """Start without moments."""
        self.entries: list[tuple[int, int]] = []  # (moment in ns, worker)

    def schedule(self, worker: Worker, now_ns: int, due_ns: float) -> None:
        """Note that the worker has to be rechecked at due_ns; infinity: never.

        Nothing is noted where an earlier moment is still ahead, since that recheck schedules the next one.
        """
        if due_ns < math.inf and not now_ns < worker.recheck_ns <= due_ns:
            worker.recheck_ns = int(due_ns)
            heapq.heappush(self.entries, (worker.recheck_ns, worker.entry.worker))

    def pop_due(self, now_ns: int) -> list[tuple[int, int]]:
        """Remove and return the moments that have come, with their workers.

        A moment counts only where it is still the worker's `recheck_ns`.
        """
        due = []
        while self.entries and self.entries[0][0] <= now_ns:
            due.append(heapq.heappop(self.entries))
        return due
