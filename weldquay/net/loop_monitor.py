"""Measures event-loop delays and the garbage collections that cause some of them."""

from __future__ import annotations

import asyncio
import gc
import time

from weldquay.net.counters import Counters
from weldquay.net.tasks import Tasks

MEASUREMENT_INTERVAL_S = 0.1


class LoopMonitor:
    """Records the maxima `longest_collection_ms` and `longest_loop_delay_ms`."""

    def __init__(self, counters: Counters) -> None:
        """Record the maxima in these counters."""
        self.counters = counters
        self.collection_started_at = 0.0  # on the monotonic clock (s)

    def start(self, tasks: Tasks) -> None:
        """Start measuring.  The measurement of timer delays runs as one of these tasks."""
        gc.callbacks.append(self._measure_collection)
        tasks.start(self._measure_delay(), "event-loop delay monitor")

    def _measure_collection(self, phase: str, _info: dict[str, int]) -> None:
        """Record the duration of a garbage collection; called by `gc` at its start and its end."""
        if phase == "start":
            self.collection_started_at = time.monotonic()
        else:
            self.counters.record_peak(
                "longest_collection_ms", (time.monotonic() - self.collection_started_at) * 1000
            )

    async def _measure_delay(self) -> None:
        """Record how late the event loop runs a timer."""
        while True:
            due_at = time.monotonic() + MEASUREMENT_INTERVAL_S
            await asyncio.sleep(MEASUREMENT_INTERVAL_S)
            self.counters.record_peak("longest_loop_delay_ms", (time.monotonic() - due_at) * 1000)
