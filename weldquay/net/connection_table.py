"""The client connections by state: connection limit, eviction and timeouts."""

from __future__ import annotations

from typing import Generic, Protocol, TypeVar

from weldquay.net.buffer_budget import BufferBudget
from weldquay.net.connection_state import ConnectionState
from weldquay.net.counters import Counters

MIN_CONNECTIONS = 8  # lower bound of the limit, however many connections the other process has
# The share of the limit that partial requests may keep in the older process of a hot restart.
MIGRATING_READING_FRACTION = 1 / 8
# Limit from the start of the connection, or the first byte of a later request, to the last byte of the
# request.  The protocol allows slow clients 3 s.
REQUEST_TIMEOUT_S = 2.6
PARTIAL_REQUEST_AGE_S = 0.5  # a younger partial request is not rejected for another connection
LINGER_TIMEOUT_S = 1.0  # limit for a lingering close whose client reads nothing
EVICTION_COUNTERS: dict[ConnectionState, str] = {
    ConnectionState.READING: "client_connections_evicted_reading",
    ConnectionState.IDLE: "client_connections_evicted_idle",
    ConnectionState.LINGERING: "client_connections_evicted_lingering",
}
EVICTION_ORDER = (ConnectionState.LINGERING, ConnectionState.READING, ConnectionState.IDLE)


class ManagedConnection(Protocol):
    """The part of a client connection that the table needs."""

    state: ConnectionState
    state_entered_at: float  # on the monotonic clock (s); progress of a lingering close resets it

    def has_unread_data(self) -> bool:
        """Return whether bytes or the end of the stream have arrived and are unread."""

    def has_unsent_data(self) -> bool:
        """Return whether part of a response is not yet in the system's send buffer."""

    def reject_partial_request(self, counter: str) -> None:
        """Reject the partial request, and close; counter: counts the reason."""

    def has_client_left(self) -> bool:
        """Return whether the client has closed the connection, also if that is not read yet."""

    def drop(self) -> None:
        """End a connection whose client has left."""

    def abort(self) -> None:
        """Close at once, discarding unsent data."""

    def on_timeout(self, now: float) -> None:
        """Handle the timeout of the current state; now: on the monotonic clock (s)."""


ConnectionT = TypeVar("ConnectionT", bound=ManagedConnection)


class ConnectionTable(Generic[ConnectionT]):
    """All client connections, also indexed by state."""

    def __init__(self, counters: Counters, connection_limit: int) -> None:
        self.counters = counters
        self.connection_limit = connection_limit  # the limit while no other process of this dispatcher runs
        self.max_connections = connection_limit
        self.connections: dict[ConnectionT, None] = {}
        # The oldest in a state come first; in READING, the one that has received nothing for longest.
        self.by_state: dict[ConnectionState, dict[ConnectionT, None]] = {
            state: {} for state in ConnectionState
        }

    def add(self, connection: ConnectionT) -> None:
        """Add a new connection."""
        self.connections[connection] = None
        self.by_state[connection.state][connection] = None

    def remove(self, connection: ConnectionT) -> None:
        """Remove a connection, if it is in the table."""
        self.by_state[connection.state].pop(connection, None)
        self.connections.pop(connection, None)

    def move(self, connection: ConnectionT, state: ConnectionState) -> None:
        """Move a connection from its current state to the end of another state's list."""
        del self.by_state[connection.state][connection]
        self.by_state[state][connection] = None

    def mark_active(self, connection: ConnectionT) -> None:
        """Move a connection to the end of its state's list."""
        same_state = self.by_state[connection.state]
        same_state[connection] = same_state.pop(connection)

    def reserve(self, count: int) -> None:
        """Lower the limit by the number of connections that another process has or needs.

        Connections above the new limit are evicted, as far as `evict_one` finds any.
        """
        self.max_connections = max(MIN_CONNECTIONS, self.connection_limit - count)
        while len(self.connections) > self.max_connections and self.evict_one():
            pass

    def evict_reading(self) -> None:
        """Evict the connections with a partial request beyond the share that an older process may keep."""
        max_reading = int(self.connection_limit * MIGRATING_READING_FRACTION)
        while len(self.by_state[ConnectionState.READING]) > max_reading:
            if not self._evict_one_of(ConnectionState.READING):
                return

    def reject_partial_requests(self, budget: BufferBudget, spared: ConnectionT | None = None) -> None:
        """Reject partial requests until the budget suffices, those that have been silent longest first.

        spared: a connection that is not rejected.
        """
        for connection in list(self.by_state[ConnectionState.READING]):
            if not budget.is_exceeded:
                return
            if connection is spared:
                continue
            connection.reject_partial_request("requests_rejected_for_memory")

    def ensure_capacity(self) -> bool:
        """Return whether one more connection may be added; at the limit, evict one to allow it."""
        return len(self.connections) < self.max_connections or self.evict_one()

    def reject_oldest_partial_request(self, now: float) -> bool:
        """Reject the partial request that has been silent longest, and evict its connection.

        Its bytes may have arrived without being read for PARTIAL_REQUEST_AGE_S.  Return False if there is
        none; now: on the monotonic clock (s).
        """
        for connection in self.by_state[ConnectionState.READING]:
            if now - connection.state_entered_at < PARTIAL_REQUEST_AGE_S:
                return False
            connection.reject_partial_request("requests_rejected_for_capacity")
            return self._evict_one_of(ConnectionState.LINGERING)
        return False

    def drop_abandoned(self) -> None:
        """End the connections whose clients have left, once half of the limit is in use.

        A connection that waits for its turn does not read the end of its stream.
        """
        if len(self.connections) * 2 < self.max_connections:
            return
        for connection in list(self.connections):
            if connection.state is not ConnectionState.LINGERING and connection.has_client_left():
                connection.drop()

    def evict_one(self) -> bool:
        """Evict one connection, by EVICTION_ORDER and then by age; return False if none qualifies.

        A connection with an open request or unsent data is not evicted, nor one with unread data, unless it
        is LINGERING and drops what it reads.
        """
        return any(self._evict_one_of(state) for state in EVICTION_ORDER)

    def _evict_one_of(self, state: ConnectionState) -> bool:
        for connection in self.by_state[state]:
            if connection.has_unsent_data():
                continue
            if state is not ConnectionState.LINGERING and connection.has_unread_data():
                continue
            self.counters.add(EVICTION_COUNTERS[state])
            self.remove(connection)
            connection.state = ConnectionState.LINGERING
            connection.abort()
            return True
        return False

    def enforce_timeouts(self, now: float) -> None:
        """Call on_timeout of the connections that have been READING or LINGERING for too long.

        now: on the monotonic clock (s).
        """
        for state, timeout_s in (
            (ConnectionState.READING, REQUEST_TIMEOUT_S),
            (ConnectionState.LINGERING, LINGER_TIMEOUT_S),
        ):
            for connection in list(self.by_state[state]):
                if now - connection.state_entered_at >= timeout_s:
                    connection.on_timeout(now)
