"""The external form of the hot-restart messages: their kinds and the names and order of their fields.

The constants are what a process of any release with the same PROTOCOL_VERSION sends and expects.  They do not
follow the names of classes or fields.  A decoder ignores unknown names; a missing name has the default of its
field in `hot_restart_messages`, but for the ids and addresses without which a message has no meaning.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import Any, assert_never

from weldquay.errors import OperatorError
from weldquay.interface import NO_LEASE, LeaseState
from weldquay.net.hot_restart_messages import (
    AcceptingStopped,
    BanChange,
    ClientConnectionCount,
    EndpointListChunk,
    ForwardedCallback,
    HotRestartMessage,
    ListenerOffer,
    ListenerRequest,
    MigratedAttempt,
    MigratedConnection,
    MigratedRequest,
    MigrationEndConfirmed,
    MigrationEnded,
    NewerProcessReady,
    OpenRequests,
    WorkerStateMessage,
)
from weldquay.net.hot_restart_packet import Message
from weldquay.net.worker_state_codec import decode_worker_state, encode_worker_state

# The kinds.
LISTENER_REQUEST = "ask"
LISTENER_OFFER = "offer"
ENDPOINT_LIST_CHUNK = "members"
NEWER_PROCESS_READY = "ready"
ACCEPTING_STOPPED = "taken"
WORKER_STATE = "worker"
OPEN_REQUESTS = "open"
CLIENT_CONNECTION_COUNT = "held"
MIGRATED_CONNECTION = "client"
BAN_CHANGE = "ban"
FORWARDED_CALLBACK = "call-back"
MIGRATION_ENDED = "end"
MIGRATION_END_CONFIRMED = "ended"

# The fields of `ask`, `offer` and `members`.
PROTOCOL_VERSION = "form"
BANNED_WORKER_IDS = "bans"
OUT_OF_SERVICE_SINCE = "out_since"
REVISION = "revision"
DISCOVERY_ADDRESS = "discovery"
LEASE = "lease"
ENDPOINTS = "members"

# The fields of `worker`, `open`, `held` and `ban`.
WORKER_ID = "id"
WORKER_STATE_FIELDS = "memory"
WORKER_ADDRESS = "at"
REQUEST_IDS = "ids"
CONNECTIONS = "clients"
IS_BANNED = "on"

# The fields of `client`, and of the request in it.
IS_IDLE = "resting"
STATE_SINCE = "since"
REQUEST = "call"
CLASS_NAME = "class"
OPENED = "opened_ns"
DEADLINE = "deadline_ns"
ATTEMPTS_SENT = "sends"
ATTEMPTS = "attempts"


class MalformedMessage(OperatorError, ValueError):
    """A message without an id or an address that it needs."""

    error_code = "malformed-message"
    remedy = "nothing for this restart; upgrade in steps of releases that have the same hot-restart protocol"


class UnknownMessageKind(OperatorError, ValueError):
    """A message of a kind that this release does not have."""

    error_code = "unknown-message-kind"
    remedy = "nothing; a later release sends it, and this one can do without it"


def encode(message: HotRestartMessage) -> Message:
    """The packet of a message."""
    match message:
        case ListenerRequest():
            return Message(LISTENER_REQUEST, {PROTOCOL_VERSION: message.protocol_version})
        case ListenerOffer():
            return _encode_offer(message)
        case EndpointListChunk():
            return _encode_endpoints(message)
        case NewerProcessReady():
            return Message(NEWER_PROCESS_READY, {})
        case AcceptingStopped():
            return Message(ACCEPTING_STOPPED, {})
        case WorkerStateMessage():
            return _encode_worker(message)
        case OpenRequests():
            return Message(OPEN_REQUESTS, {REQUEST_IDS: list(message.request_ids)})
        case ClientConnectionCount():
            return Message(CLIENT_CONNECTION_COUNT, {CONNECTIONS: message.connections})
        case MigratedConnection():
            return _encode_connection(message)
        case BanChange():
            return Message(BAN_CHANGE, {WORKER_ID: message.worker_id, IS_BANNED: message.is_banned})
        case ForwardedCallback():
            return Message(FORWARDED_CALLBACK, {}, message.body)
        case MigrationEnded():
            return Message(MIGRATION_ENDED, {})
        case MigrationEndConfirmed():
            return Message(MIGRATION_END_CONFIRMED, {})
        case _:
            assert_never(message)


def decode(packet: Message) -> HotRestartMessage:
    """The message of a packet.

    Raises:
        UnknownMessageKind: a later release may have sent it; it can be ignored.
        MalformedMessage: an id or an address is missing.
        ValueError: a list in it has the wrong length.
    """
    if (decoder := _DECODERS.get(packet.kind)) is None:
        raise UnknownMessageKind(packet.kind)
    return decoder(packet)


def _required(packet: Message, name: str) -> Any:
    if name not in packet.told:
        raise MalformedMessage(f"{packet.kind} without {name}")
    return packet.told[name]


def _decode_listener_request(packet: Message) -> ListenerRequest:
    return ListenerRequest(protocol_version=packet.told.get(PROTOCOL_VERSION))


def _encode_offer(offer: ListenerOffer) -> Message:
    fields = {
        BANNED_WORKER_IDS: list(offer.banned_worker_ids),
        OUT_OF_SERVICE_SINCE: offer.out_of_service_since,
    }
    return Message(LISTENER_OFFER, fields, file=offer.file)


def _decode_offer(packet: Message) -> ListenerOffer:
    return ListenerOffer(
        file=packet.file,
        banned_worker_ids=tuple(packet.told.get(BANNED_WORKER_IDS, ())),
        out_of_service_since=packet.told.get(OUT_OF_SERVICE_SINCE),
    )


def _encode_endpoints(chunk: EndpointListChunk) -> Message:
    address = chunk.discovery_address
    lease = chunk.lease
    fields = {
        REVISION: chunk.revision,
        DISCOVERY_ADDRESS: None if address is None else list(address),
        LEASE: [lease.until_ns, lease.missed, lease.silent],
        ENDPOINTS: list(chunk.endpoints),
    }
    return Message(ENDPOINT_LIST_CHUNK, fields)


def _decode_endpoints(packet: Message) -> EndpointListChunk:
    address = packet.told.get(DISCOVERY_ADDRESS)
    return EndpointListChunk(
        revision=packet.told.get(REVISION, 0),
        discovery_address=None if address is None else (address[0], address[1]),
        lease=_decode_lease(packet.told.get(LEASE, ())),
        endpoints=tuple(packet.told.get(ENDPOINTS, ())),
    )


def _decode_lease(values: Sequence[Any]) -> LeaseState:
    """A lease from the list of its values, of which an earlier release may have sent fewer."""
    defaults: Sequence[Any] = NO_LEASE
    until_ns, missed, silent = [*values[: len(defaults)], *defaults[len(values) :]]
    return LeaseState(until_ns=until_ns, missed=missed, silent=silent)


def _encode_worker(message: WorkerStateMessage) -> Message:
    fields = {
        WORKER_ID: message.worker_id,
        WORKER_STATE_FIELDS: encode_worker_state(message.snapshot),
        WORKER_ADDRESS: [message.host, message.port],
    }
    return Message(WORKER_STATE, fields)


def _decode_worker(packet: Message) -> WorkerStateMessage:
    host, port = _required(packet, WORKER_ADDRESS)
    return WorkerStateMessage(
        worker_id=_required(packet, WORKER_ID),
        host=host,
        port=port,
        snapshot=decode_worker_state(packet.told.get(WORKER_STATE_FIELDS, {})),
    )


def _decode_open_requests(packet: Message) -> OpenRequests:
    return OpenRequests(request_ids=tuple(packet.told.get(REQUEST_IDS, ())))


def _decode_connection_count(packet: Message) -> ClientConnectionCount:
    return ClientConnectionCount(connections=packet.told.get(CONNECTIONS, 0))


def _encode_connection(connection: MigratedConnection) -> Message:
    request = connection.request
    fields = {
        IS_IDLE: connection.is_idle,
        STATE_SINCE: connection.state_since,
        REQUEST: None if request is None else _encode_request(request),
    }
    return Message(MIGRATED_CONNECTION, fields, connection.unparsed, connection.file)


def _decode_connection(packet: Message) -> MigratedConnection:
    request = packet.told.get(REQUEST)
    return MigratedConnection(
        file=packet.file,
        unparsed=packet.data,
        is_idle=packet.told.get(IS_IDLE, False),
        state_since=packet.told.get(STATE_SINCE),
        request=None if request is None else _decode_request(request),
    )


def _encode_request(request: MigratedRequest) -> dict[str, Any]:
    return {
        CLASS_NAME: request.class_name,
        OPENED: request.opened_ns,
        DEADLINE: request.deadline_ns,
        ATTEMPTS_SENT: request.attempts_sent,
        ATTEMPTS: [_encode_attempt(attempt) for attempt in request.attempts],
    }


def _decode_request(fields: Mapping[str, Any]) -> MigratedRequest:
    return MigratedRequest(
        class_name=fields.get(CLASS_NAME, ""),
        opened_ns=fields.get(OPENED, 0),
        deadline_ns=fields.get(DEADLINE, 0),
        attempts_sent=fields.get(ATTEMPTS_SENT, 0),
        attempts=tuple(_decode_attempt(values) for values in fields.get(ATTEMPTS, ())),
    )


def _encode_attempt(attempt: MigratedAttempt) -> list[Any]:
    return [
        attempt.number,
        attempt.worker_id,
        attempt.sent_ns,
        attempt.deadline_ns,
        attempt.started_ns,
    ]


def _decode_attempt(values: Sequence[Any]) -> MigratedAttempt:
    number, worker_id, sent_ns, deadline_ns, started_ns = values
    return MigratedAttempt(
        number=number,
        worker_id=worker_id,
        sent_ns=sent_ns,
        deadline_ns=deadline_ns,
        started_ns=started_ns,
    )


def _decode_ban(packet: Message) -> BanChange:
    return BanChange(worker_id=_required(packet, WORKER_ID), is_banned=packet.told.get(IS_BANNED, True))


def _decode_callback(packet: Message) -> ForwardedCallback:
    return ForwardedCallback(body=packet.data)


_DECODERS: dict[str, Callable[[Message], HotRestartMessage]] = {
    LISTENER_REQUEST: _decode_listener_request,
    LISTENER_OFFER: _decode_offer,
    ENDPOINT_LIST_CHUNK: _decode_endpoints,
    NEWER_PROCESS_READY: lambda packet: NewerProcessReady(),
    ACCEPTING_STOPPED: lambda packet: AcceptingStopped(),
    WORKER_STATE: _decode_worker,
    OPEN_REQUESTS: _decode_open_requests,
    CLIENT_CONNECTION_COUNT: _decode_connection_count,
    MIGRATED_CONNECTION: _decode_connection,
    BAN_CHANGE: _decode_ban,
    FORWARDED_CALLBACK: _decode_callback,
    MIGRATION_ENDED: lambda packet: MigrationEnded(),
    MIGRATION_END_CONFIRMED: lambda packet: MigrationEndConfirmed(),
}
