"""When to ask discovery, where all dispatchers ask one service that works through calls one after another.

Calls that failed together come again together where each waits as long as the others, and a service that is
behind spends its time on calls whose askers have given up: hardly any is answered in time.  Each wait is
drawn anew from the whole span up to its bound (full jitter, Brooker 2015).  The bound grows with failures in
a row, and with the number of dispatchers: together they ask so many times a second, however many they are.
"""

from __future__ import annotations

import random

FIRST_NS = 1_000_000_000  # bound of the first wait where dispatchers are few
SPACE_NS = 200_000_000  # of the bound for each dispatcher: all of them ask ten times a second, or less
START_NS = 40_000_000  # the same for the first ask, which finds no queue unless a whole fleet starts
GROWTH = 1.6  # of the bound, at each failure in a row


def spread_ns(draw: random.Random, mean_ns: float) -> int:
    """When those who are turned away are to return: honest on the mean, and not all at one moment."""
    return int(mean_ns * (0.5 + draw.random()))


class Backoff:
    """The waits between asks that fail one after another."""

    def __init__(self, draw: random.Random, dispatchers: int) -> None:
        self.random, self.dispatchers = draw, dispatchers
        self.failures = 0

    def first_ns(self) -> int:
        """How long to wait with the first ask, which is the same moment at all where all start at once."""
        return int(self.random.random() * START_NS * (self.dispatchers - 1))

    def clear(self) -> None:
        """An ask has succeeded."""
        self.failures = 0

    def wait_ns(self, most_ns: int) -> int:
        """How long to wait after a failure, most_ns at most."""
        bound_ns = max(FIRST_NS, SPACE_NS * self.dispatchers) * GROWTH ** min(self.failures, 20)
        self.failures += 1
        return int(self.random.random() * min(bound_ns, max(FIRST_NS, most_ns)))
