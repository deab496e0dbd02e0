"""The client connections by state: the limit of their number, eviction and timeouts."""

from __future__ import annotations

from typing import Generic, Protocol, TypeVar

from weldquay.net.connection_state import ConnectionState
from weldquay.net.counters import Counters

MIN_CONNECTIONS = 8  # the limit is never lower, however many connections another process has
# From a connection's start, or the first byte of a later request, to the last byte of the request.  The
# protocol allows slow clients 3 s.
REQUEST_TIMEOUT_S = 2.6
LINGER_TIMEOUT_S = 1.0  # of a lingering close, for a client that reads nothing
EVICTION_COUNTERS: dict[ConnectionState, str] = {
    ConnectionState.READING: "client_connections_evicted_reading",
    ConnectionState.IDLE: "client_connections_evicted_idle",
    ConnectionState.LINGERING: "client_connections_evicted_lingering",
}
EVICTION_ORDER = (ConnectionState.LINGERING, ConnectionState.READING, ConnectionState.IDLE)


class ManagedConnection(Protocol):
    """What the table uses of a connection."""

    state: ConnectionState
    since: float  # when the state began, on the monotonic clock (s)

    def has_unread_data(self) -> bool:
        """True where bytes, or the end of the stream, have arrived and are not read yet."""

    def has_unsent_data(self) -> bool:
        """True while a part of an answer is not yet in the system's send buffer."""

    def abort(self) -> None:
        """Close at once."""

    def on_timeout(self, now: float) -> None:
        """Handle a state that has lasted too long; now: on the monotonic clock (s)."""


ConnectionT = TypeVar("ConnectionT", bound=ManagedConnection)


class ConnectionTable(Generic[ConnectionT]):
    """All client connections, and those in each state."""

    def __init__(self, counters: Counters, connection_limit: int) -> None:
        self.counters = counters
        self.connection_limit = connection_limit  # without another process of this dispatcher
        self.max_connections = connection_limit
        self.connections: dict[ConnectionT, None] = {}
        # In each state the oldest first; in READING the one that has received nothing for the longest time.
        self.by_state: dict[ConnectionState, dict[ConnectionT, None]] = {
            state: {} for state in ConnectionState
        }

    def add(self, connection: ConnectionT) -> None:
        """Add a new connection."""
        self.connections[connection] = None
        self.by_state[connection.state][connection] = None

    def remove(self, connection: ConnectionT) -> None:
        """Remove a connection; one that is not in the table is ignored."""
        self.by_state[connection.state].pop(connection, None)
        self.connections.pop(connection, None)

    def move(self, connection: ConnectionT, state: ConnectionState) -> None:
        """Move a connection from its present state to the end of those in another one."""
        del self.by_state[connection.state][connection]
        self.by_state[state][connection] = None

    def mark_active(self, connection: ConnectionT) -> None:
        """Move a connection to the end of those in its state."""
        same_state = self.by_state[connection.state]
        same_state[connection] = same_state.pop(connection)

    def reserve(self, count: int) -> None:
        """Lower the limit by the connections that another process has or needs."""
        self.max_connections = max(MIN_CONNECTIONS, self.connection_limit - count)

    def make_room(self) -> bool:
        """Return whether one more connection fits within the limit; evict one where that is necessary."""
        return len(self.connections) < self.max_connections or self.evict_one()

    def evict_one(self) -> bool:
        """Close one connection in EVICTION_ORDER, the oldest of a state first; False if there is none.

        A connection with an open request, unsent answer or unread data is not evicted.
        """
        for state in EVICTION_ORDER:
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
        """Handle the connections that have been READING or LINGERING for too long.

        now: on the monotonic clock (s).
        """
        for state, timeout_s in (
            (ConnectionState.READING, REQUEST_TIMEOUT_S),
            (ConnectionState.LINGERING, LINGER_TIMEOUT_S),
        ):
            for connection in list(self.by_state[state]):
                if now - connection.since >= timeout_s:
                    connection.on_timeout(now)
