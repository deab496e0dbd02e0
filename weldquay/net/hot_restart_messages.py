"""The messages that an older and a newer process of one dispatcher exchange during a hot restart.

A file descriptor in a message belongs to its receiver, which closes it; NO_DESCRIPTOR stands for none.  Their
external form is in `hot_restart_codec`.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from weldquay.interface import NO_LEASE, UNKNOWN_WORKER, LeaseState, WorkerSnapshot
from weldquay.net.hot_restart_packet import NO_DESCRIPTOR as NO_DESCRIPTOR  # part of this module's interface

PROTOCOL_VERSION = 1  # a process with another version starts without a hot restart


@dataclass(frozen=True, slots=True)
class ListenerRequest:
    """The newer process asks for the listener."""

    protocol_version: int | None = PROTOCOL_VERSION


@dataclass(frozen=True, slots=True)
class ListenerOffer:
    """The older process hands over a duplicate of its listener.

    out_of_service_since: when operators took the dispatcher out of service, on the monotonic clock (s); None
    while it is in service.
    """

    descriptor: int = NO_DESCRIPTOR
    banned_worker_ids: tuple[str, ...] = ()
    out_of_service_since: float | None = None


@dataclass(frozen=True, slots=True)
class EndpointListChunk:
    """A part of the endpoint list of the older process; all parts precede its offer.

    discovery_address: the discovery that the revision belongs to; None: not known.  endpoints: members in
    discovery's own form (`messages.endpoint_to_json`).
    """

    revision: int = 0
    discovery_address: tuple[str, int] | None = None
    lease: LeaseState = NO_LEASE
    endpoints: tuple[Mapping[str, Any], ...] = ()


@dataclass(frozen=True, slots=True)
class NewerProcessReady:
    """The newer process can accept connections."""


@dataclass(frozen=True, slots=True)
class AcceptingStopped:
    """The older process has stopped accepting connections."""


@dataclass(frozen=True, slots=True)
class WorkerStateMessage:
    """The state of one worker and its address."""

    worker_id: str
    host: str
    port: int
    snapshot: WorkerSnapshot = UNKNOWN_WORKER


@dataclass(frozen=True, slots=True)
class OpenRequests:
    """Ids of the requests that are open at the older process; new requests may not use them."""

    request_ids: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ClientConnectionCount:
    """How many client connections the older process holds."""

    connections: int = 0


@dataclass(frozen=True, slots=True)
class MigratedAttempt:
    """An attempt that is out at a worker; times are in nanoseconds of the monotonic clock.

    started_ns: when the worker reported that it runs; 0: not reported.
    """

    number: int
    worker_id: str
    sent_ns: int
    deadline_ns: int
    started_ns: int = 0


@dataclass(frozen=True, slots=True)
class MigratedRequest:
    """A client's open request; times are in nanoseconds of the monotonic clock.

    attempts_sent: all attempts so far; attempts: those that have not ended.
    """

    class_name: str = ""
    opened_ns: int = 0
    deadline_ns: int = 0
    attempts_sent: int = 0
    attempts: tuple[MigratedAttempt, ...] = ()


@dataclass(frozen=True, slots=True)
class MigratedConnection:
    """A client connection.

    unparsed: bytes that were read and not parsed, beginning with the open request; is_idle: it is between two
    requests; state_since: when its state began, on the monotonic clock (s), None: now; request: None without
    an open one.
    """

    descriptor: int = NO_DESCRIPTOR
    unparsed: bytes = b""
    is_idle: bool = False
    state_since: float | None = None
    request: MigratedRequest | None = None


@dataclass(frozen=True, slots=True)
class BanChange:
    """Operators banned a worker, or lifted its ban."""

    worker_id: str
    is_banned: bool = True


@dataclass(frozen=True, slots=True)
class ForwardedCallback:
    """The body of a worker's callback that matches no attempt of the sender."""

    body: bytes = b""


@dataclass(frozen=True, slots=True)
class MigrationEnded:
    """The older process has sent its last message."""


@dataclass(frozen=True, slots=True)
class MigrationEndConfirmed:
    """The newer process has handled all messages."""


HotRestartMessage = (
    ListenerRequest
    | ListenerOffer
    | EndpointListChunk
    | NewerProcessReady
    | AcceptingStopped
    | WorkerStateMessage
    | OpenRequests
    | ClientConnectionCount
    | MigratedConnection
    | BanChange
    | ForwardedCallback
    | MigrationEnded
    | MigrationEndConfirmed
)
