"""The states of a client connection and the transitions between them."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum


class ConnectionState(Enum):
    """The states of a client connection."""

    READING = "reading"  # new, or part of a request has arrived; REQUEST_TIMEOUT_S
    WAITING = "waiting"  # an open request has no answer yet
    IDLE = "idle"  # kept open between two requests
    LINGERING = "lingering"  # the last answer is written, received bytes are dropped; LINGER_TIMEOUT_S

    # Members are compared by identity; Enum's own hash is a Python function, called at each table lookup.
    __hash__ = object.__hash__


TRANSITIONS: Mapping[ConnectionState, frozenset[ConnectionState]] = {
    # A whole request may arrive at once, so an idle connection can skip READING and WAITING.
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
