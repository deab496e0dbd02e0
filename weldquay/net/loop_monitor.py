"""Measures the delays of the event loop: runs of the garbage collector, and turns that take long."""

from __future__ import annotations

import asyncio
import gc
import time

from weldquay.net.counters import Counters
from weldquay.net.tasks import Tasks

INTERVAL_S = 0.1  # between two measurements of the loop's delay


class LoopMonitor:
    """Records the peaks `longest_collection_ms` and `longest_loop_delay_ms`."""

    def __init__(self, counters: Counters) -> None:
        self.counters = counters
        self.collection_begun = 0.0

    def start(self, tasks: Tasks) -> None:
        """Begin to measure, until the tasks are stopped."""
        gc.callbacks.append(self._measure_collection)
        tasks.start(self._measure_delay(), "measuring of the loop's delay")

    def _measure_collection(self, phase: str, _info: dict[str, int]) -> None:
        """Record the time (ms) of each run of the garbage collector; a callback of `gc`."""
        if phase == "start":
            self.collection_begun = time.monotonic()
        else:
            self.counters.peak("longest_collection_ms", (time.monotonic() - self.collection_begun) * 1000)

    async def _measure_delay(self) -> None:
        """Record how late (ms) the event loop runs a timer."""
        while True:
            due = time.monotonic() + INTERVAL_S
            await asyncio.sleep(INTERVAL_S)
            self.counters.peak("longest_loop_delay_ms", (time.monotonic() - due) * 1000)
