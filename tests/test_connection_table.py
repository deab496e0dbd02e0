"""The table of client connections without sockets: limit, eviction and timeouts."""

from __future__ import annotations

import pytest

from weldquay.net.connection_state import TRANSITIONS, ConnectionState
from weldquay.net.connection_table import (
    LINGER_TIMEOUT_S,
    MIN_CONNECTIONS,
    REQUEST_TIMEOUT_S,
    ConnectionTable,
)
from weldquay.net.counters import Counters

IDLE = ConnectionState.IDLE
LINGERING = ConnectionState.LINGERING
READING = ConnectionState.READING
WAITING = ConnectionState.WAITING


class FakeConnection:
    """A connection without a socket."""

    def __init__(self, state: ConnectionState, state_entered_at: float = 0.0) -> None:
        self.state = state
        self.state_entered_at = state_entered_at
        self.is_unread = False
        self.is_unsent = False
        self.is_aborted = False
        self.timed_out_at: float | None = None

    def has_unread_data(self) -> bool:
        """Return the value set by the test."""
        return self.is_unread

    def has_unsent_data(self) -> bool:
        """Return the value set by the test."""
        return self.is_unsent

    def abort(self) -> None:
        """Record the call."""
        self.is_aborted = True

    def reject_partial_request(self, counter: str) -> None:
        """Do nothing."""

    def has_client_left(self) -> bool:
        """Return False."""
        return False

    def drop(self) -> None:
        """Do nothing."""

    def on_timeout(self, now: float) -> None:
        """Record the time of the call."""
        self.timed_out_at = now


def full_table(*states: ConnectionState) -> tuple[ConnectionTable[FakeConnection], list[FakeConnection]]:
    """Return a table at its limit and its connections, one in each of the given states."""
    table: ConnectionTable[FakeConnection] = ConnectionTable(Counters(), len(states))
    connections = [FakeConnection(state) for state in states]
    for connection in connections:
        table.add(connection)
    return table, connections


def test_lingering_is_the_only_final_state() -> None:
    """Every other state can change to LINGERING, and every state can be reached from another one."""
    assert set(TRANSITIONS) == set(ConnectionState)
    assert [state for state in ConnectionState if not TRANSITIONS[state]] == [LINGERING]
    assert all(LINGERING in following for state, following in TRANSITIONS.items() if state is not LINGERING)
    assert set().union(*TRANSITIONS.values()) == set(ConnectionState)


def test_eviction_follows_its_order_and_counts_each_state() -> None:
    """LINGERING before READING before IDLE, oldest first; never a connection with an open request."""
    table, (waiting, idle, reading, later, lingering) = full_table(WAITING, IDLE, READING, READING, LINGERING)
    for expected in (lingering, reading, later, idle):
        assert table.evict_one() and expected.is_aborted and expected not in table.connections
    assert not table.evict_one() and not waiting.is_aborted and list(table.connections) == [waiting]
    assert table.counters.counts == {
        "client_connections_evicted_lingering": 1,
        "client_connections_evicted_reading": 2,
        "client_connections_evicted_idle": 1,
    }


def test_an_active_connection_is_evicted_after_a_silent_one() -> None:
    """READING connections are evicted by the time of their last received bytes."""
    table, (first, second) = full_table(READING, READING)
    table.mark_active(first)
    assert table.evict_one() and second.is_aborted and not first.is_aborted


@pytest.mark.parametrize("state", [READING, IDLE, LINGERING])
def test_a_connection_with_unsent_data_is_not_evicted(state: ConnectionState) -> None:
    """An eviction would lose its response."""
    table, (connection,) = full_table(state)
    connection.is_unsent = True
    assert not table.evict_one() and not connection.is_aborted


@pytest.mark.parametrize(("state", "is_evicted"), [(READING, False), (IDLE, False), (LINGERING, True)])
def test_unread_data_prevents_an_eviction_unless_it_is_dropped(
    state: ConnectionState, is_evicted: bool
) -> None:
    """A LINGERING connection drops the data that it reads."""
    table, (connection,) = full_table(state)
    connection.is_unread = True
    assert table.evict_one() is connection.is_aborted is is_evicted


def test_connections_are_evicted_only_at_the_limit() -> None:
    """Below the limit none is evicted; a reservation lowers the limit, but not below MIN_CONNECTIONS."""
    table, (connection,) = full_table(IDLE)
    table.max_connections = 2
    assert table.ensure_capacity() and not connection.is_aborted
    table.max_connections = 1
    assert table.ensure_capacity() and connection.is_aborted
    table.connection_limit = 100
    table.reserve(30)
    assert table.max_connections == 70
    table.reserve(1000)
    assert table.max_connections == MIN_CONNECTIONS


def test_a_lower_limit_evicts_all_connections_that_may_be_evicted() -> None:
    """A reservation takes effect at once; connections with an open request remain."""
    table, connections = full_table(*[WAITING] * 10, *[READING] * 10, *[IDLE] * 10)
    table.reserve(15)
    assert list(table.connections) == [*connections[:10], *connections[25:]]
    table.reserve(29)
    assert list(table.connections) == connections[:10]


def test_few_partial_requests_remain_in_the_older_process_of_a_hot_restart() -> None:
    """The oldest give way, but none with unread data, which may complete its request."""
    table, connections = full_table(*[READING] * 80, *[WAITING] * 16, *[IDLE] * 16)
    connections[0].is_unread = True
    table.evict_reading()
    assert [connection.is_aborted for connection in connections] == [False] + [True] * 66 + [False] * 45


@pytest.mark.parametrize(
    ("state", "timeout_s"), [(READING, REQUEST_TIMEOUT_S), (LINGERING, LINGER_TIMEOUT_S)]
)
def test_timeouts_apply_while_reading_and_lingering(state: ConnectionState, timeout_s: float) -> None:
    """They do not apply early, and never to WAITING or IDLE connections."""
    table, (connection, waiting, idle) = full_table(state, WAITING, IDLE)
    table.enforce_timeouts(timeout_s - 0.01)
    assert connection.timed_out_at is None
    table.enforce_timeouts(timeout_s)
    assert connection.timed_out_at == timeout_s
    table.enforce_timeouts(1000.0)
    assert waiting.timed_out_at is None and idle.timed_out_at is None
