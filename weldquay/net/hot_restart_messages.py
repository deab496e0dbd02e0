"""The messages between the older and the newer process of one dispatcher during a hot restart.

The receiver of a message owns the file descriptor in it and closes it; NO_DESCRIPTOR stands for none.
`hot_restart_codec` defines the wire format.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from weldquay.interface import NO_LEASE, UNKNOWN_WORKER, JobClass, LeaseState, WorkerSnapshot
from weldquay.net.hot_restart_packet import NO_DESCRIPTOR as NO_DESCRIPTOR  # part of this module's interface
from weldquay.net.late_outcomes import Outcomes

PROTOCOL_VERSION = 1  # processes with different versions do not perform a hot restart


@dataclass(frozen=True, slots=True)
class ListenerRequest:
    """The newer process requests the listener.

    Attributes:
        protocol_version: the version of the messages that it sends and expects.
        reads_class_settings: it reads the class settings and late outcomes of migrated requests; earlier
            releases do not.
    """

    protocol_version: int | None = PROTOCOL_VERSION
    reads_class_settings: bool = False


@dataclass(frozen=True, slots=True)
class ListenerOffer:
    """The older process sends a duplicate of its listener.

    Attributes:
        descriptor: the duplicate of the listener.
        banned_worker_ids: the workers that operators have banned.
        out_of_service_since: when operators took the dispatcher out of service, in seconds of the monotonic
            clock; None while it is in service.
    """

    descriptor: int = NO_DESCRIPTOR
    banned_worker_ids: tuple[str, ...] = ()
    out_of_service_since: float | None = None


@dataclass(frozen=True, slots=True)
class EndpointListChunk:
    """A part of the older process's endpoint list; all parts are sent before the listener offer.

    Attributes:
        revision: the revision of the list.
        discovery_address: the discovery service that issued the revision; None: unknown.
        lease: the state of the list's lease.
        endpoints: members of the list in the JSON format of discovery (`messages.endpoint_to_json`).
    """

    revision: int = 0
    discovery_address: tuple[str, int] | None = None
    lease: LeaseState = NO_LEASE
    endpoints: tuple[Mapping[str, Any], ...] = ()


@dataclass(frozen=True, slots=True)
class NewerProcessReady:
    """The newer process is ready to accept connections."""


@dataclass(frozen=True, slots=True)
class AcceptingStopped:
    """The older process has stopped accepting connections."""


@dataclass(frozen=True, slots=True)
class WorkerStateMessage:
    """The state of one worker, and its address."""

    worker_id: str
    host: str
    port: int
    snapshot: WorkerSnapshot = UNKNOWN_WORKER


@dataclass(frozen=True, slots=True)
class OpenRequests:
    """The ids of the older process's open requests; the newer process rejects new requests with these ids."""

    request_ids: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ClientConnectionCount:
    """The number of client connections of the older process."""

    connections: int = 0


@dataclass(frozen=True, slots=True)
class MigratedAttempt:
    """An attempt in flight at a worker.  Times are in nanoseconds of the monotonic clock.

    Attributes:
        number: the number of the attempt within its request.
        worker_id: the worker that it was sent to.
        sent_ns: when it was sent.
        deadline_ns: when it times out.
        started_ns: when the worker reported that the job had started; 0: not reported.
    """

    number: int
    worker_id: str
    sent_ns: int
    deadline_ns: int
    started_ns: int = 0


@dataclass(frozen=True, slots=True)
class MigratedRequest:
    """An open request of a client.  Times are in nanoseconds of the monotonic clock.

    Attributes:
        class_name: the name of its job class.
        opened_ns: when the request was received.
        deadline_ns: when the client expects the response.
        attempts_sent: the number of attempts so far, including those that have ended.
        attempts: the attempts in flight.
        late_outcomes: the outcomes that callbacks of ended attempts may still report, by worker; None: not
            reported by the older process's release.
        class_settings: the settings of its job class when it was received, except the machine kind; None: not
            reported.
        max_attempts: the maximum number of its attempts; None: not reported.
    """

    class_name: str = ""
    opened_ns: int = 0
    deadline_ns: int = 0
    attempts_sent: int = 0
    attempts: tuple[MigratedAttempt, ...] = ()
    late_outcomes: Mapping[str, Outcomes] | None = None
    class_settings: JobClass | None = None
    max_attempts: int | None = None


@dataclass(frozen=True, slots=True)
class MigratedConnection:
    """A client connection.

    Attributes:
        descriptor: the socket.
        unparsed: received bytes for the newer process to parse; the open request comes first.
        is_idle: whether the connection is between two requests.
        state_since: when it entered its state, in seconds of the monotonic clock; None: now.
        request: the open request; None: there is none.
    """

    descriptor: int = NO_DESCRIPTOR
    unparsed: bytes = b""
    is_idle: bool = False
    state_since: float | None = None
    request: MigratedRequest | None = None


@dataclass(frozen=True, slots=True)
class BanChange:
    """Operators have banned a worker or lifted its ban."""

    worker_id: str
    is_banned: bool = True


@dataclass(frozen=True, slots=True)
class ForwardedCallback:
    """The body of a worker's callback that matches no attempt at the process that received it."""

    body: bytes = b""


@dataclass(frozen=True, slots=True)
class MigrationEnded:
    """The older process has sent all messages."""


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
