"""When to ask discovery, where all dispatchers ask one service that works through calls one after another.

Calls that failed together come again together where each waits as long as the others, and a service that is
behind spends its time on calls whose askers have given up: hardly any is answered in time.  Each wait is
drawn anew from the whole span up to its bound (full jitter, Brooker 2015).  The bound grows with failures in
a row, and with the number of dispatchers: together they ask so many times a second, however many they are.

A watch that has fallen silent is no herd and cannot wait so long: what it misses counts as told CLOCK_NS
after it fell silent (the standing test's page).  The spread of the asks after it is what that clock leaves
once the silence so far, discovery's queue and a margin are taken off; only failures past the clock widen it.

Where an agent on the dispatcher's own machine has the list, asking costs nobody anything, and what the agent
has counts as told at once: it is asked at the start, and again soon until it answers.
"""

from __future__ import annotations

import random

FIRST_NS = 1_000_000_000  # bound of the first wait where dispatchers are few
SPACE_NS = 200_000_000  # of the bound for each dispatcher: all of them ask ten times a second, or less
START_NS = 40_000_000  # the same for the first ask, which finds no queue unless a whole fleet starts
GROWTH = 1.6  # of the bound, at each failure in a row
CLOCK_NS = 6_000_000_000  # so long after a watch fell silent, what it missed counts as told
QUEUE_NS = 2_000_000_000  # a call waits so long at discovery at most, then fails
MARGIN_NS = 400_000_000  # of the clock: a dispatcher that is behind, the way there and back
SOON_NS = 200_000_000  # least spread of asks whose clock leaves none
NEAR_NS = 100_000_000  # between asks of an agent that does not answer: a drain is to be kept within 250 ms


def spread_ns(draw: random.Random, mean_ns: float) -> int:
    """When those who are turned away are to return: honest on the mean, and not all at one moment."""
    return int(mean_ns * (0.5 + draw.random()))


class Backoff:
    """The waits before asks of discovery: the first, and those after a failure.

    dispatchers: how many ask the same discovery; near: it is an agent of this dispatcher's own.
    """

    def __init__(self, draw: random.Random, dispatchers: int, near: bool = False) -> None:
        self.random, self.dispatchers, self.near = draw, dispatchers, near
        self.failures = 0
        self.told_ns = 0  # when what a silent watch has missed counts as told; past: no clock runs

    def first_ns(self) -> int:
        """How long to wait with the first ask, which is the same moment at all where all start at once."""
        return 0 if self.near else int(self.random.random() * START_NS * (self.dispatchers - 1))

    def clear(self) -> None:
        """An ask has succeeded."""
        self.failures = self.told_ns = 0

    def wait_ns(self, now_ns: int, most_ns: int, silent_ns: int = 0) -> int:
        """How long to wait after a failure, most_ns at most; silent_ns: a watch had told nothing so long."""
        if silent_ns:
            self.told_ns = self.told_ns or now_ns - silent_ns + CLOCK_NS
        if self.near:
            bound_ns: float = NEAR_NS
        elif now_ns < self.told_ns:
            bound_ns = max(SOON_NS, self.told_ns - MARGIN_NS - QUEUE_NS - now_ns)
        else:
            bound_ns = max(FIRST_NS, SPACE_NS * self.dispatchers) * GROWTH ** min(self.failures, 20)
            self.failures += 1
        return int(self.random.random() * min(bound_ns, max(FIRST_NS, most_ns)))
