"""The metrics of one process, for its log: counters and peaks."""

from __future__ import annotations

from collections import Counter

import ujson


class Counters:
    """Counts by name, and the largest value of each measured quantity."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.peaks: dict[str, float] = {}

    def add(self, name: str) -> None:
        """Increment a count."""
        self.counts[name] += 1

    def peak(self, name: str, value: float) -> None:
        """Record a value of a quantity; only the largest one is kept."""
        if value > self.peaks.get(name, 0.0):
            self.peaks[name] = value

    def line(self) -> str:
        """All counts and peaks as one line of JSON, sorted by name; peaks have three decimals."""
        peaks = {name: round(value, 3) for name, value in self.peaks.items()}
        return ujson.dumps(dict(sorted({**self.counts, **peaks}.items())))
