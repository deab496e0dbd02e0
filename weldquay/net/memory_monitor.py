"""Measures the peak memory of the process, and logs what holds it when it comes near the limit."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

from weldquay.limits import BASE_MEMORY_MB
from weldquay.net.counters import Counters
from weldquay.net.tasks import Tasks

log = logging.getLogger(__name__)

STATUS_PATH = Path("/proc/self/status")
PEAK_FIELD = "VmHWM:"  # in KiB
CHECK_INTERVAL_S = 0.5
WARNING_FRACTIONS = (0.5, 0.6, 0.7, 0.8, 0.9, 1.0)  # of the limit; each is logged once


def peak_memory_mb() -> float:
    """Return the peak resident memory of this process in MB; 0 if the system does not tell."""
    with suppress(OSError, ValueError, IndexError):
        for line in STATUS_PATH.read_text().splitlines():
            if line.startswith(PEAK_FIELD):
                return int(line.split()[1]) / 1024
    return 0.0


class MemoryMonitor:
    """Records `peak_memory_mb`, and logs its holders at each of WARNING_FRACTIONS."""

    def __init__(self, counters: Counters, limit_mb: int, describe: Callable[[], str]) -> None:
        """Monitor a process; describe: returns what holds memory, as one line."""
        self._counters = counters
        self._limit_mb = limit_mb
        self._describe = describe
        self._logged_fraction = 0.0

    def start(self, tasks: Tasks) -> None:
        """Start measuring, as one of these tasks."""
        if self._limit_mb <= BASE_MEMORY_MB:
            log.warning(
                "the memory limit of %d MB is too low: a process without clients takes %d MB",
                self._limit_mb,
                BASE_MEMORY_MB,
            )
        tasks.start(self._run(), "memory monitor")

    def check(self) -> None:
        """Measure once."""
        peak_mb = peak_memory_mb()
        self._counters.record_peak("peak_memory_mb", peak_mb)
        reached = [fraction for fraction in WARNING_FRACTIONS if peak_mb >= fraction * self._limit_mb]
        if reached and reached[-1] > self._logged_fraction:
            self._logged_fraction = reached[-1]
            log.warning(
                "peak memory %.0f MB of %d MB, held by: %s", peak_mb, self._limit_mb, self._describe()
            )

    async def _run(self) -> None:
        while True:
            self.check()
            await asyncio.sleep(CHECK_INTERVAL_S)
