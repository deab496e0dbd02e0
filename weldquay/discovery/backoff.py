"""The delays before polls of discovery: exponential backoff with full jitter, within the staleness limit.

All dispatchers poll one service, which processes its requests in order.  Each delay is drawn from the whole
interval from 0 to a bound (full jitter, Brooker 2015), so that polls that failed together are not repeated
together.  The bound grows with consecutive failures and with the number of dispatchers.

A dispatcher is deemed to know a change MAX_STALENESS_NS after discovery had it and was reachable, whatever
has failed meanwhile.  So the bound is limited to the time that remains until then, minus a margin and the
time that a poll may spend in discovery's queue.  The time starts again whenever discovery was unreachable,
and once it is over, for the changes that follow.  Longer delays are used only where the polls of a large
fleet keep discovery busy.

An agent on the dispatcher's own machine is polled immediately, and again after a short delay until it
responds.
"""

from __future__ import annotations

import random

from weldquay.discovery.list_lease import MAX_STALENESS_NS, UNREACHABLE_FAILURES
from weldquay.interface import DiscoveryFailure

MIN_REFUSED_DELAY_NS = 1_000_000_000  # minimum bound after a refused poll
REFUSED_DELAY_PER_DISPATCHER_NS = 200_000_000  # bound after a refused poll, per dispatcher
POLL_DELAY_PER_DISPATCHER_NS = 40_000_000  # bound after other failures, per dispatcher
INITIAL_DELAY_PER_DISPATCHER_NS = 10_000_000  # bound before the first poll, per other dispatcher
BACKOFF_FACTOR = 1.6  # growth of the bound with each consecutive failure
MAX_BACKOFF_STEPS = 20  # number of consecutive failures after which the bound stops growing
MAX_QUEUE_NS = 2_000_000_000  # discovery fails a poll that has been in its queue for this long
RESPONSE_MARGIN_NS = 400_000_000  # time for the network and the dispatcher's processing
MAX_DELAY_NS = MAX_STALENESS_NS - MAX_QUEUE_NS - RESPONSE_MARGIN_NS
MIN_DELAY_NS = 200_000_000  # minimum of the bound when no time remains
MAX_LOCAL_AGENT_DELAY_NS = 100_000_000  # short, since a draining worker has to be excluded within 250 ms


def jittered_delay_ns(rng: random.Random, mean_ns: float) -> int:
    """Return a random delay from 0.5 to 1.5 times the mean, for the Retry-After of a rejected request."""
    return int(mean_ns * (0.5 + rng.random()))


class Backoff:
    """Computes the delay before the first poll of discovery and after each failed one."""

    def __init__(self, rng: random.Random, dispatcher_count: int, is_local_agent: bool = False) -> None:
        """Start without failures.

        dispatcher_count: how many poll the same discovery; is_local_agent: it is an agent on this machine.
        """
        self.rng = rng
        self.dispatcher_count = dispatcher_count
        self.is_local_agent = is_local_agent
        self.consecutive_failures = 0
        self.deadline_ns = 0  # when a missed change is deemed known; in the past: no deadline

    def initial_delay_ns(self, now_ns: int) -> int:
        """Return the delay before the first poll of a process."""
        if self.is_local_agent:
            return 0
        self.deadline_ns = now_ns + MAX_STALENESS_NS
        bound_ns = min(MAX_DELAY_NS, INITIAL_DELAY_PER_DISPATCHER_NS * (self.dispatcher_count - 1))
        return int(self.rng.random() * bound_ns)

    def reset(self) -> None:
        """Record a successful poll."""
        self.consecutive_failures = 0
        self.deadline_ns = 0

    def retry_delay_ns(
        self,
        now_ns: int,
        max_delay_ns: int,
        since_update_ns: int = 0,
        failure: DiscoveryFailure = DiscoveryFailure.BUSY,
    ) -> int:
        """Return the delay after a failure: at most the greater of max_delay_ns and MIN_REFUSED_DELAY_NS.

        since_update_ns: time since the last update, or since the start of the poll that failed.
        """
        if self.is_local_agent:
            return int(self.rng.random() * MAX_LOCAL_AGENT_DELAY_NS)
        growth = BACKOFF_FACTOR ** min(self.consecutive_failures, MAX_BACKOFF_STEPS)
        self.consecutive_failures += 1
        remaining_ns = self._remaining_delay_ns(now_ns, since_update_ns, failure)
        limit_ns = max(MIN_REFUSED_DELAY_NS, max_delay_ns)
        refused_delay_ns = REFUSED_DELAY_PER_DISPATCHER_NS * self.dispatcher_count
        if failure in UNREACHABLE_FAILURES:
            bound_ns = min(remaining_ns, max(MIN_REFUSED_DELAY_NS, refused_delay_ns) * growth)
        elif failure is DiscoveryFailure.BUSY and refused_delay_ns > MAX_DELAY_NS:
            # The fleet's own polls keep discovery busy.  From the second failure on, polls are less frequent
            # than the deadline demands, and only the second half of the delay is random.
            if growth > 1:
                return int((1 + self.rng.random()) / 2 * min(refused_delay_ns * growth, limit_ns))
            bound_ns = float(MAX_DELAY_NS)
        else:
            poll_delay_ns = POLL_DELAY_PER_DISPATCHER_NS * self.dispatcher_count
            bound_ns = min(remaining_ns, max(MIN_DELAY_NS, poll_delay_ns) * growth)
        return int(self.rng.random() * min(bound_ns, limit_ns))

    def _remaining_delay_ns(self, now_ns: int, since_update_ns: int, failure: DiscoveryFailure) -> int:
        """Update the deadline, and return the longest delay with which the next poll can still meet it."""
        deadline_ns = now_ns - since_update_ns + MAX_STALENESS_NS
        if failure not in UNREACHABLE_FAILURES and self.deadline_ns > now_ns:
            deadline_ns = min(deadline_ns, self.deadline_ns)
        if deadline_ns <= now_ns:
            # The deadline has passed; later changes get a new one.
            self.deadline_ns = now_ns + MAX_STALENESS_NS
            return MAX_DELAY_NS
        self.deadline_ns = deadline_ns
        return max(MIN_DELAY_NS, deadline_ns - RESPONSE_MARGIN_NS - MAX_QUEUE_NS - now_ns)
