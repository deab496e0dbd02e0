"""The lease on the endpoint list: how long attempts may be sent by it without an update from discovery.

A change counts as reported MAX_STALENESS_NS after discovery had it and was reachable, and no attempt may be
sent to a worker whose draining counts as reported.  So each proof that no change has been missed grants a
lease, and no attempt is sent after its expiry:

- A complete line of an open watch proves that all earlier changes have come.  The lease runs from the line.
- While discovery refuses connections it reports nothing.  Connection attempts at short intervals show this
  for the time between two polls.  The lease runs from the last attempt that failed, unless discovery was not
  observed for MAX_UNOBSERVED_NS since the last proof.
- A connection that is established after others failed shows that discovery was back, if only for a moment.
  A change may have come then, so nothing extends the lease until the next update.
- A connection that times out shows the same as a refused one, also after a watch fell silent: one network
  fault explains both.
- Where discovery accepts connections throughout an outage, a poll that it ends with an error, behind a watch
  that was closed, shows an outage that goes on, since discovery closes its watches when it goes down.  After
  an error at once the lease runs from the poll; after a late one, until the next poll has had time to end.
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
MAX_UNOBSERVED_NS = 500_000_000  # a time in which discovery is reachable and this process does not notice it
SEND_MARGIN_NS = 200_000_000  # from the check of the lease to the first byte of an attempt

NO_EXPIRY_NS = 2**63 - 1
# Discovery had nothing to report at the start of the poll, so that later changes have the whole time.
UNREACHABLE_FAILURES = (
    DiscoveryFailure.REFUSED,
    DiscoveryFailure.CONNECT_TIMEOUT,
    DiscoveryFailure.UNAVAILABLE,
)


class ListLease:
    """The moment from which on no attempt is sent by the present list.

    is_local_agent: the list comes from an agent of this machine.  It receives no changes while discovery is
    down and does not answer then, so that any failure shows that no change was missed.
    """

    def __init__(self, is_local_agent: bool = False) -> None:
        """Start without a lease."""
        self.is_local_agent = is_local_agent
        self.expiry_ns = 0  # when a change that may have been missed counts as reported; 0: no lease
        # Since the last update discovery was reached, or may have been, and sent none: no extension.
        self.may_have_missed_change = False
        self.watch_timed_out = False  # the watch fell silent, and no connection has timed out since
        self.proven_ns = 0  # no change up to then has been missed
        self.silent_until_ns = 0  # since the watch fell silent discovery was unreachable, up to then
        self.is_watching = False  # the last event was an update
        self.was_reachable = False  # a connection was accepted since proven_ns
        self.was_unreachable = False  # a connection was refused or timed out since the last update

    @property
    def granted(self) -> bool:
        """True where this process or an earlier one has confirmed the list."""
        return self.expiry_ns > 0

    @property
    def send_deadline_ns(self) -> int:
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
        self.may_have_missed_change = False
        self.watch_timed_out = False
        self.was_reachable = False
        self.was_unreachable = False
        self.is_watching = True
        self._prove(now_ns)

    def _prove(self, until_ns: int) -> None:
        """Record that no change up to a moment was missed, and extend the lease from it."""
        self.proven_ns = max(self.proven_ns, until_ns)
        self.expiry_ns = max(self.expiry_ns, until_ns + MAX_STALENESS_NS)

    def state(self) -> LeaseState:
        """Return the state to be handed to a later process of this dispatcher."""
        return LeaseState(self.send_deadline_ns, self.may_have_missed_change, self.watch_timed_out)

    def inherit(self, state: LeaseState) -> None:
        """Restore the state of an earlier process of this dispatcher."""
        self.expiry_ns = state.send_deadline_ns + SEND_MARGIN_NS if state.send_deadline_ns else 0
        self.proven_ns = max(0, self.expiry_ns - MAX_STALENESS_NS)
        self.may_have_missed_change = state.may_have_missed_change
        self.watch_timed_out = state.watch_timed_out

    def move(self, now_ns: int) -> None:
        """Limit the lease after a change of discovery's address."""
        if self.is_watching:
            self._end_watch(now_ns)
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
            self._prove(begun_ns)
            return
        match failure:
            case DiscoveryFailure.CLOSED:
                self._end_watch(now_ns)
            case DiscoveryFailure.HEARTBEAT_TIMEOUT:
                self.is_watching = False
                self.watch_timed_out = True
                self.silent_until_ns = 0
            case DiscoveryFailure.RESPONSE_TIMEOUT:
                self.may_have_missed_change = True
            case DiscoveryFailure.REFUSED:
                self._extend_by_outage(begun_ns, begun_ns)
            case DiscoveryFailure.CONNECT_TIMEOUT:
                self._explain_silence(begun_ns)
                self._extend_by_outage(begun_ns, begun_ns)
            case DiscoveryFailure.UNAVAILABLE:
                self._extend_by_error(now_ns, begun_ns + MAX_STALENESS_NS)
            case DiscoveryFailure.BUSY:
                self._extend_by_error(now_ns, now_ns + BUSY_LEASE_NS)

    def record_observation(self, from_ns: int, until_ns: int, is_reachable: bool) -> None:
        """Apply the result of connection attempts between two polls; see `DiscoveryObservation`."""
        if not self.granted or self.is_local_agent:
            return
        if not is_reachable:
            self._extend_by_outage(from_ns, until_ns)
        elif self.was_unreachable:
            self.may_have_missed_change = True
        else:
            self.was_reachable = True

    def _end_watch(self, now_ns: int) -> None:
        """Record that a watch has delivered all changes up to its end."""
        self.is_watching = False
        self.proven_ns = max(self.proven_ns, now_ns)

    def _explain_silence(self, begun_ns: int) -> None:
        """Take a connection that timed out and the silence of the watch before it for one network fault."""
        if self.watch_timed_out and not self.was_reachable:
            self.watch_timed_out = False
            self.proven_ns = max(self.proven_ns, begun_ns, self.silent_until_ns)

    def _extend_by_outage(self, from_ns: int, until_ns: int) -> None:
        """Extend the lease where discovery was unreachable from the last proof until a moment."""
        self.was_unreachable = True
        if self.watch_timed_out:
            self.silent_until_ns = until_ns
        elif self.may_have_missed_change:
            return
        elif self.was_reachable or from_ns - self.proven_ns > MAX_UNOBSERVED_NS:
            self.may_have_missed_change = True
        else:
            self._prove(until_ns)

    def _extend_by_error(self, now_ns: int, expiry_ns: int) -> None:
        """Extend the lease after a poll that discovery accepted and ended with an error."""
        if self.was_unreachable:
            self.may_have_missed_change = True  # it is back
        elif not self.watch_timed_out and not self.may_have_missed_change:
            self.was_reachable = False
            self.proven_ns = max(self.proven_ns, now_ns)
            self.expiry_ns = max(self.expiry_ns, expiry_ns)


class NonExpiringLease(ListLease):
    """A lease that never expires, for a transport that reports every change and every failure."""

    @property
    def granted(self) -> bool:
        """Always True."""
        return True

    @property
    def send_deadline_ns(self) -> int:
        """Later than any step."""
        return NO_EXPIRY_NS
