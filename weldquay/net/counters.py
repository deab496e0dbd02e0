"""The metrics of one process, which it logs: counters and peak values."""

from __future__ import annotations

from collections import Counter

import ujson

from weldquay.net.request_log import RequestLog


class Counters:
    """Counters by name, the peak value of each measured quantity, and the log of single requests."""

    def __init__(self) -> None:
        self.request_log = RequestLog()
        self.counts: Counter[str] = Counter()
        self.peaks: dict[str, float] = {}

    def add(self, name: str) -> None:
        """Increment a counter."""
        self.counts[name] += 1

    def record_peak(self, name: str, value: float) -> None:
        """Record a value of a quantity; only the largest is kept."""
        if value > self.peaks.get(name, 0.0):
            self.peaks[name] = value

    def as_json(self) -> str:
        """Return all counters and peaks as one line of JSON, sorted by name; peaks have 3 decimals."""
        peaks = {name: round(value, 3) for name, value in self.peaks.items()}
        return ujson.dumps(dict(sorted({**self.counts, **peaks}.items())))
