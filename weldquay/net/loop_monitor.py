"""Measures what delays the event loop: the garbage collector, and all that runs in one turn."""

from __future__ import annotations

import asyncio
import gc
import time

from weldquay.net.counters import Counters
from weldquay.net.tasks import Tasks

MARK_S = 0.1  # how often the delay of the event loop is measured


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
        """How long the garbage collector stops the program, as its longest run."""
        if phase == "start":
            self.collection_begun = time.monotonic()
        else:
            self.counters.peak("longest_collection_ms", (time.monotonic() - self.collection_begun) * 1000)

    async def _measure_delay(self) -> None:
        """How late the event loop runs, as its longest delay."""
        while True:
            due = time.monotonic() + MARK_S
            await asyncio.sleep(MARK_S)
            self.counters.peak("longest_loop_delay_ms", (time.monotonic() - due) * 1000)
