"""The states of a client connection and the transitions between them."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum


class ConnectionState(Enum):
    """The states of a client connection."""

    READING = "reading"  # new, or part of a request has arrived; limited to REQUEST_TIMEOUT_S
    WAITING = "waiting"  # a request waits for its response
    IDLE = "idle"  # kept open between two requests
    LINGERING = "lingering"  # last response written, received bytes dropped; limited to LINGER_TIMEOUT_S

    # Enum.__hash__ is implemented in Python and would run at each table lookup; members compare by identity.
    __hash__ = object.__hash__


TRANSITIONS: Mapping[ConnectionState, frozenset[ConnectionState]] = {
    # A complete request may arrive at once, so IDLE can skip READING and WAITING.
    ConnectionState.READING: frozenset(
        {ConnectionState.WAITING, ConnectionState.IDLE, ConnectionState.LINGERING}
    ),
    ConnectionState.WAITING: frozenset({ConnectionState.IDLE, ConnectionState.LINGERING}),
    ConnectionState.IDLE: frozenset(
        {
            ConnectionState.READING,
            ConnectionState.WAITING,
            ConnectionState.IDLE,
            ConnectionState.LINGERING,
        }
    ),
    ConnectionState.LINGERING: frozenset(),
}
