"""When to ask discovery, where all dispatchers ask one service that works through calls one after another.

Calls that failed together come again together where each waits as long as the others, and a service that is
behind spends its time on calls whose askers have given up: hardly any is answered in time.  Each wait is
drawn anew from the whole span up to its bound (full jitter, Brooker 2015).  The bound grows with failures in
a row, and with the number of dispatchers: together they ask so many times a second, however many they are.

All of that within one clock: what a dispatcher without a watch has not heard counts as told CLOCK_NS after
discovery had it and could be reached, whatever has failed meanwhile (the users' final terms).  The spread of
the asks is what that clock leaves once the time since the last good news, discovery's queue and a margin are
taken off.  Where discovery could not be reached at all the clock begins anew; past it a new round begins.
Only a discovery that is behind with a large fleet's own calls, and ends them late, is given more time.
docs/design/discovery.md adds the parts up for each kind of failure.

Where an agent on the dispatcher's own machine has the list, asking costs nobody anything, and what the agent
has counts as told at once: it is asked at the start, and again soon until it answers.
"""

from __future__ import annotations

import random

from weldquay.discovery.list_lease import CLOCK_NS, NOT_REACHED
from weldquay.interface import DiscoveryFailure

MIN_REFUSED_BOUND_NS = 1_000_000_000  # bound of the wait after a refused connection, few dispatchers
REFUSED_INTERVAL_NS = (
    200_000_000  # of that bound for each dispatcher: all of them ask ten times a second, or less
)
CALL_INTERVAL_NS = 40_000_000  # the same for other asks, which hardly find a queue
INITIAL_INTERVAL_NS = 10_000_000  # the same for the first ask of a process, which serves nobody before
GROWTH = 1.6  # of the bound, at each failure in a row
QUEUE_NS = 2_000_000_000  # a call waits so long at discovery at most, then fails
MARGIN_NS = 400_000_000  # of the clock: a dispatcher that is behind, the way there and back
MAX_DELAY_NS = CLOCK_NS - QUEUE_NS - MARGIN_NS  # of a spread: with the queue it stays within the clock
MIN_DELAY_NS = 200_000_000  # least spread of asks whose clock leaves none
LOCAL_AGENT_INTERVAL_NS = (
    100_000_000  # between asks of an agent that does not answer: a drain is to be kept within 250 ms
)


def jittered_delay_ns(draw: random.Random, mean_ns: float) -> int:
    """When those who are turned away are to return: honest on the mean, and not all at one moment."""
    return int(mean_ns * (0.5 + draw.random()))


class Backoff:
    """The waits before asks of discovery: the first, and those after a failure.

    dispatchers: how many ask the same discovery; near: it is an agent of this dispatcher's own.
    """

    def __init__(self, draw: random.Random, dispatchers: int, near: bool = False) -> None:
        self.random, self.dispatcher_count, self.is_local_agent = draw, dispatchers, near
        self.failures = 0
        self.deadline_ns = 0  # when what has been missed counts as told; past: no clock runs

    def initial_delay_ns(self, now_ns: int) -> int:
        """How long to wait with the first ask, which is the same moment at all where all start at once."""
        if self.is_local_agent:
            return 0
        self.deadline_ns = now_ns + CLOCK_NS
        return int(
            self.random.random() * min(MAX_DELAY_NS, INITIAL_INTERVAL_NS * (self.dispatcher_count - 1))
        )

    def reset(self) -> None:
        """An ask has succeeded."""
        self.failures = self.deadline_ns = 0

    def retry_delay_ns(
        self, now_ns: int, most_ns: int, silent_ns: int = 0, failure: DiscoveryFailure = DiscoveryFailure.BUSY
    ) -> int:
        """How long to wait after a failure, most_ns at most.

        silent_ns: since the last good news, or since the call that failed.
        """
        if self.is_local_agent:
            return int(self.random.random() * LOCAL_AGENT_INTERVAL_NS)
        growth, self.failures = GROWTH ** min(self.failures, 20), self.failures + 1
        deadline_ns = now_ns - silent_ns + CLOCK_NS
        if failure not in NOT_REACHED and self.deadline_ns > now_ns:
            deadline_ns = min(deadline_ns, self.deadline_ns)
        left_ns = max(MIN_DELAY_NS, deadline_ns - MARGIN_NS - QUEUE_NS - now_ns)
        if deadline_ns <= now_ns:  # it is too late for what was missed first: the next has a clock of its own
            deadline_ns, left_ns = now_ns + CLOCK_NS, MAX_DELAY_NS
        self.deadline_ns = deadline_ns
        space_ns = REFUSED_INTERVAL_NS * self.dispatcher_count
        if failure in NOT_REACHED:
            bound_ns = min(left_ns, max(MIN_REFUSED_BOUND_NS, space_ns) * growth)
        elif failure is DiscoveryFailure.BUSY and space_ns > MAX_DELAY_NS:
            # What keeps it from working off its queue is this very fleet, and asking sooner costs all of it
            # more time.  From the second failure on half of the wait is certain.
            if growth > 1:
                return int(
                    (1 + self.random.random())
                    / 2
                    * min(space_ns * growth, max(MIN_REFUSED_BOUND_NS, most_ns))
                )
            bound_ns = float(MAX_DELAY_NS)
        else:
            bound_ns = min(left_ns, max(MIN_DELAY_NS, CALL_INTERVAL_NS * self.dispatcher_count) * growth)
        return int(self.random.random() * min(bound_ns, max(MIN_REFUSED_BOUND_NS, most_ns)))
