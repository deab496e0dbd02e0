"""The lease on the endpoint list: how long attempts may be sent by it without an update from discovery.

A change counts as reported MAX_STALENESS_NS after discovery had it and was reachable, and no attempt may be
sent to a worker whose draining counts as reported.  So each proof that no change has been missed grants a
lease, and no attempt is sent after its expiry:

- A complete line of an open watch proves that all earlier changes have come.  The lease runs from the line.
- A poll that is refused proves that discovery was unreachable then.  The lease runs from the poll, unless an
  earlier poll reached discovery and got no update, since that update may be lost.
- A connection that times out proves the same, also after a watch fell silent: one network fault explains
  both.
- A poll that discovery ends after a wait, behind a watch that was closed, shows an outage that goes on, since
  discovery closes its watches when it goes down.  The lease runs until the next poll has had time to end.
- A poll that was accepted and not answered proves nothing.  The lease does not change.

A list that neither this process nor an earlier one of this dispatcher has confirmed may be of any age.  It
has no lease until a complete line comes.

docs/design/discovery.md adds up the times for each failure, and for consecutive failures.
"""

from __future__ import annotations

from weldquay.interface import DiscoveryFailure, EndpointListKind, EndpointListUpdate, LeaseState

MAX_STALENESS_NS = 6_000_000_000
MAX_LOCAL_STALENESS_NS = 4_000_000_000  # of a local agent's list after a change of the agent's address
BUSY_LEASE_NS = 13_000_000_000  # time in which the next poll ends: 10 s of delay, 2.4 s of waiting, a margin
SEND_MARGIN_NS = 200_000_000  # from the check of the lease to the first byte of an attempt

NO_EXPIRY_NS = 2**63 - 1
UNREACHABLE_FAILURES = (DiscoveryFailure.REFUSED, DiscoveryFailure.CONNECT_TIMEOUT)


class ListLease:
    """The moment from which on no attempt is sent by the present list.

    is_local_agent: the list comes from an agent of this machine.  It receives no changes while discovery is
    down and does not answer then, so that any failure shows that no change was missed.
    """

    def __init__(self, is_local_agent: bool = False) -> None:
        """Start without a lease."""
        self.is_local_agent = is_local_agent
        self.expiry_ns = 0  # when a change that may have been missed counts as reported; 0: no lease
        self.poll_missed = False  # since the last update a poll reached discovery and got none
        self.watch_silent = False  # the watch fell silent, and no connection has timed out since

    @property
    def granted(self) -> bool:
        """True where this process or an earlier one has confirmed the list."""
        return self.expiry_ns > 0

    @property
    def until_ns(self) -> int:
        """The moment from which on no attempt is sent by the list; 0 without a lease."""
        return self.expiry_ns - SEND_MARGIN_NS if self.granted else 0

    def apply(self, now_ns: int, update: EndpointListUpdate) -> None:
        """Apply an update from discovery, or a failure to get one."""
        match update.kind:
            case EndpointListKind.FAILED:
                self.fail(now_ns, update.since_update_ns, update.failure)
            case EndpointListKind.CACHED:
                self.inherit(update.lease)
            case EndpointListKind.ADDRESS_CHANGED:
                self.move(now_ns)
            case _:
                self.confirm(now_ns)

    def confirm(self, now_ns: int) -> None:
        """Extend the lease after a complete line, which shows that no change was missed."""
        self.expiry_ns = max(self.expiry_ns, now_ns + MAX_STALENESS_NS)
        self.poll_missed = False
        self.watch_silent = False

    def state(self) -> LeaseState:
        """Return the state to be handed to a later process of this dispatcher."""
        return LeaseState(self.until_ns, self.poll_missed, self.watch_silent)

    def inherit(self, state: LeaseState) -> None:
        """Restore the state of an earlier process of this dispatcher."""
        self.expiry_ns = state.until_ns + SEND_MARGIN_NS if state.until_ns else 0
        self.poll_missed = state.missed
        self.watch_silent = state.silent

    def move(self, now_ns: int) -> None:
        """Limit the lease after a change of discovery's address."""
        if self.granted:
            staleness_ns = MAX_LOCAL_STALENESS_NS if self.is_local_agent else MAX_STALENESS_NS
            self.expiry_ns = min(self.expiry_ns, now_ns + staleness_ns)

    def fail(self, now_ns: int, since_update_ns: int, failure: DiscoveryFailure) -> None:
        """Extend the lease where a failed poll or watch shows that no change was missed.

        since_update_ns: time since the last complete line, or since the start of the poll.
        """
        if not self.granted:
            return
        begun_ns = now_ns - since_update_ns
        if self.is_local_agent:
            self.expiry_ns = max(self.expiry_ns, begun_ns + MAX_STALENESS_NS)
        elif failure is DiscoveryFailure.HEARTBEAT_TIMEOUT:
            self.watch_silent = True
        elif failure is DiscoveryFailure.RESPONSE_TIMEOUT:
            self.poll_missed = True
        elif failure is not DiscoveryFailure.CLOSED and not self.poll_missed:
            if failure is DiscoveryFailure.CONNECT_TIMEOUT:
                self.watch_silent = False
            if not self.watch_silent:
                is_busy = failure is DiscoveryFailure.BUSY
                expiry_ns = now_ns + BUSY_LEASE_NS if is_busy else begun_ns + MAX_STALENESS_NS
                self.expiry_ns = max(self.expiry_ns, expiry_ns)


class EndlessLease(ListLease):
    """A lease that never expires, for a transport that reports every change and every failure."""

    @property
    def granted(self) -> bool:
        """Always True."""
        return True

    @property
    def until_ns(self) -> int:
        """Later than any step."""
        return NO_EXPIRY_NS
