"""The lease on the endpoint list: how long it may be used to send attempts without an update from discovery.

A dispatcher is deemed to know a change MAX_STALENESS_NS after discovery had it and was reachable.  From then
on it must not send attempts to a worker that the change shows as draining.  So the lease runs from the latest
time up to which the list is known to be complete:

- An update or a heartbeat on an open watch: the list contains all earlier changes.  The lease runs from it.
- A refused connection: discovery is down and reports no changes.  Connection attempts at short intervals
  show the same for the time between two polls.  The lease runs from the last failed attempt, unless
  discovery went unobserved for more than MAX_UNOBSERVED_NS before it.
- A connection established after failed ones: discovery was up, if only briefly, and may have had a change
  then.  Nothing extends the lease until the next update.
- A connection timeout: treated like a refused connection, also after a heartbeat timeout of the watch, since
  one network fault explains both.
- A poll that discovery accepts and ends with an error, after a closed watch: discovery closes its watches
  when it goes down, so the outage continues.  After an immediate error the lease runs from the poll; after a
  late one it lasts until the next poll has had time to end.
- A poll that discovery accepts and does not answer: shows nothing.  The lease does not change.

A list that neither this process nor an earlier one of this dispatcher has confirmed may be of any age.  It
has no lease until the first update or heartbeat.

docs/design/discovery.md adds up the times for each failure, and for consecutive failures.
"""

from __future__ import annotations

from weldquay.interface import DiscoveryFailure, EndpointListKind, EndpointListUpdate, LeaseState

MAX_STALENESS_NS = 6_000_000_000
MAX_LOCAL_STALENESS_NS = 4_000_000_000  # for a local agent's list, after the agent's address has changed
# Lease after a BUSY failure: the next poll has ended by then (10 s delay, 2.4 s response timeout, margin).
BUSY_LEASE_NS = 13_000_000_000
MAX_UNOBSERVED_NS = 500_000_000  # discovery may be up unnoticed for this long in an outage
SEND_MARGIN_NS = 200_000_000  # time between the check of the lease and the first byte of an attempt

NO_EXPIRY_NS = 2**63 - 1
# Discovery was down when the poll began, so the staleness limit of later changes starts at the poll.
UNREACHABLE_FAILURES = (
    DiscoveryFailure.REFUSED,
    DiscoveryFailure.CONNECT_TIMEOUT,
    DiscoveryFailure.UNAVAILABLE,
)


class ListLease:
    """The time until which the current list may be used to send attempts.

    is_local_agent: the list comes from an agent on this machine, which does not respond while discovery is
    down and receives no changes then.  So any failure shows that no change was missed.
    """

    def __init__(self, is_local_agent: bool = False) -> None:
        """Start without a lease."""
        self.is_local_agent = is_local_agent
        self.expiry_ns = 0  # from then on a missed change is deemed known; 0: no lease
        # Discovery was or may have been reachable since the last update, and sent none: nothing extends the
        # lease.
        self.may_have_missed_change = False
        self.watch_timed_out = False  # the watch timed out, and no connection attempt has timed out since
        self.complete_until_ns = 0  # the list contains all changes up to then
        self.unreachable_until_ns = 0  # discovery was unreachable from the watch's timeout up to then
        self.is_watching = False  # an update or a heartbeat arrived, and the watch has not ended since
        self.was_reachable = False  # a connection was established since complete_until_ns
        self.was_unreachable = False  # a connection was refused or timed out since the last update

    @property
    def granted(self) -> bool:
        """True if discovery has confirmed the list to this process or to an earlier one."""
        return self.expiry_ns > 0

    @property
    def send_deadline_ns(self) -> int:
        """The time from which on the list may not be used to send attempts; 0 without a lease."""
        return self.expiry_ns - SEND_MARGIN_NS if self.granted else 0

    def apply(self, now_ns: int, update: EndpointListUpdate) -> None:
        """Apply an update from discovery, or a failure to get one."""
        match update.kind:
            case EndpointListKind.FAILED:
                self.record_failure(now_ns, update.since_update_ns, update.failure)
            case EndpointListKind.CACHED:
                self.restore(update.lease)
            case EndpointListKind.ADDRESS_CHANGED:
                self.record_address_change(now_ns)
            case _:
                self.confirm(now_ns)

    def confirm(self, now_ns: int) -> None:
        """Extend the lease after an update or a heartbeat, which shows that no change was missed."""
        self.may_have_missed_change = False
        self.watch_timed_out = False
        self.was_reachable = False
        self.was_unreachable = False
        self.is_watching = True
        self._extend_from(now_ns)

    def _extend_from(self, until_ns: int) -> None:
        """Record that the list is complete up to a time, and run the lease from that time."""
        self.complete_until_ns = max(self.complete_until_ns, until_ns)
        self.expiry_ns = max(self.expiry_ns, until_ns + MAX_STALENESS_NS)

    def state(self) -> LeaseState:
        """Return the state for the process that replaces this one."""
        return LeaseState(self.send_deadline_ns, self.may_have_missed_change, self.watch_timed_out)

    def restore(self, state: LeaseState) -> None:
        """Restore the state of an earlier process of this dispatcher."""
        self.expiry_ns = state.send_deadline_ns + SEND_MARGIN_NS if state.send_deadline_ns else 0
        self.complete_until_ns = max(0, self.expiry_ns - MAX_STALENESS_NS)
        self.may_have_missed_change = state.may_have_missed_change
        self.watch_timed_out = state.watch_timed_out

    def record_address_change(self, now_ns: int) -> None:
        """Limit the lease after a change of discovery's address."""
        if self.is_watching:
            self._record_watch_end(now_ns)
        if self.granted:
            staleness_ns = MAX_LOCAL_STALENESS_NS if self.is_local_agent else MAX_STALENESS_NS
            self.expiry_ns = min(self.expiry_ns, now_ns + staleness_ns)

    def record_failure(self, now_ns: int, since_update_ns: int, failure: DiscoveryFailure) -> None:
        """Extend the lease if the failure of a poll or watch shows that no change was missed.

        since_update_ns: time since the last update or heartbeat, or since the start of the poll.
        """
        if not self.granted:
            return
        reference_ns = now_ns - since_update_ns
        if self.is_local_agent:
            self._extend_from(reference_ns)
            return
        match failure:
            case DiscoveryFailure.CLOSED:
                self._record_watch_end(now_ns)
            case DiscoveryFailure.HEARTBEAT_TIMEOUT:
                self.is_watching = False
                self.watch_timed_out = True
                self.unreachable_until_ns = 0
            case DiscoveryFailure.RESPONSE_TIMEOUT:
                self.may_have_missed_change = True
            case DiscoveryFailure.REFUSED:
                self._extend_through_outage(reference_ns, reference_ns)
            case DiscoveryFailure.CONNECT_TIMEOUT:
                self._resolve_watch_timeout(reference_ns)
                self._extend_through_outage(reference_ns, reference_ns)
            case DiscoveryFailure.UNAVAILABLE:
                self._extend_after_error(now_ns, reference_ns + MAX_STALENESS_NS)
            case DiscoveryFailure.BUSY:
                self._extend_after_error(now_ns, now_ns + BUSY_LEASE_NS)

    def record_observation(self, from_ns: int, until_ns: int, is_reachable: bool) -> None:
        """Apply the results of connection attempts between two polls; see `DiscoveryObservation`."""
        if not self.granted or self.is_local_agent:
            return
        if not is_reachable:
            self._extend_through_outage(from_ns, until_ns)
        elif self.was_unreachable:
            self.may_have_missed_change = True
        else:
            self.was_reachable = True

    def _record_watch_end(self, now_ns: int) -> None:
        """Record the end of a watch, which has delivered all changes up to then."""
        self.is_watching = False
        self.complete_until_ns = max(self.complete_until_ns, now_ns)

    def _resolve_watch_timeout(self, reference_ns: int) -> None:
        """Attribute a connection timeout and the watch's heartbeat timeout before it to one network fault."""
        if self.watch_timed_out and not self.was_reachable:
            self.watch_timed_out = False
            self.complete_until_ns = max(self.complete_until_ns, reference_ns, self.unreachable_until_ns)

    def _extend_through_outage(self, from_ns: int, until_ns: int) -> None:
        """Extend the lease if discovery was unreachable from complete_until_ns to until_ns, without a gap."""
        self.was_unreachable = True
        if self.watch_timed_out:
            self.unreachable_until_ns = until_ns
        elif self.may_have_missed_change:
            return
        elif self.was_reachable or from_ns - self.complete_until_ns > MAX_UNOBSERVED_NS:
            self.may_have_missed_change = True
        else:
            self._extend_from(until_ns)

    def _extend_after_error(self, now_ns: int, expiry_ns: int) -> None:
        """Extend the lease after a poll that discovery accepted and ended with an error."""
        if self.was_unreachable:
            self.may_have_missed_change = True  # discovery is up again
        elif not self.watch_timed_out and not self.may_have_missed_change:
            self.was_reachable = False
            self.complete_until_ns = max(self.complete_until_ns, now_ns)
            self.expiry_ns = max(self.expiry_ns, expiry_ns)


class NonExpiringLease(ListLease):
    """A lease without expiry, for a transport that reports every change and every failure."""

    @property
    def granted(self) -> bool:
        """Always True."""
        return True

    @property
    def send_deadline_ns(self) -> int:
        """Later than the time of any step."""
        return NO_EXPIRY_NS
