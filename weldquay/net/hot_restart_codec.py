"""The wire format of the hot-restart messages: message kinds, and the names and order of their fields.

The constants are shared by all releases with the same PROTOCOL_VERSION, so they are independent of the names
of classes and fields.  A decoder ignores unknown fields.  A missing field has the default that
`hot_restart_messages` gives it, except for the ids and addresses that a message requires.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import Any

from weldquay.errors import OperatorError
from weldquay.interface import NO_LEASE, LeaseState, Outcome
from weldquay.net.class_settings_codec import decode_class_settings, encode_class_settings
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
from weldquay.net.hot_restart_packet import Packet
from weldquay.net.late_outcomes import Outcomes
from weldquay.net.worker_state_codec import decode_worker_state, encode_worker_state

# Message kinds.
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

# Fields of `ask`, `offer` and `members`.
PROTOCOL_VERSION = "form"
READS_CLASS_SETTINGS = "reads_settings"
BANNED_WORKER_IDS = "bans"
OUT_OF_SERVICE_SINCE = "out_since"
REVISION = "revision"
DISCOVERY_ADDRESS = "discovery"
LEASE = "lease"
ENDPOINTS = "members"

# Fields of `worker`, `open`, `held` and `ban`.
WORKER_ID = "id"
WORKER_STATE_FIELDS = "memory"
WORKER_ADDRESS = "at"
REQUEST_IDS = "ids"
CONNECTIONS = "clients"
IS_BANNED = "on"

# Fields of `client`, and of the request in it.
IS_IDLE = "resting"
STATE_SINCE = "since"
REQUEST = "call"
CLASS_NAME = "class"
OPENED = "opened_ns"
DEADLINE = "deadline_ns"
ATTEMPTS_SENT = "sends"
ATTEMPTS = "attempts"
LATE_OUTCOMES = "late"
CLASS_SETTINGS = "settings"
MAX_ATTEMPTS = "max_attempts"

# Values of `late`: the states of callbacks.
OUTCOME_NAMES: dict[Outcome, str] = {
    Outcome.OK: "done",
    Outcome.ERROR: "failed",
    Outcome.OVERLOADED: "returned",
    Outcome.RESET: "lost",
}


class MalformedMessage(OperatorError, ValueError):
    """A message lacks a required id or address."""

    error_code = "malformed-message"
    remedy = "none for this restart; upgrade through releases that have the same hot-restart protocol version"


class UnknownMessageKind(OperatorError, ValueError):
    """This release does not support the kind of the message."""

    error_code = "unknown-message-kind"
    remedy = "none needed; a later release sends this message, and this release can ignore it"


def encode(message: HotRestartMessage) -> Packet:
    """Encode a message as a packet."""
    return _ENCODERS[type(message)](message)


def decode(packet: Packet) -> HotRestartMessage:
    """Decode the message in a packet.

    Raises:
        UnknownMessageKind: the kind is unknown; a later release may have sent it, and it can be ignored.
        MalformedMessage: a required id or address is missing.
        ValueError: a list has the wrong length.
    """
    if (decoder := _DECODERS.get(packet.kind)) is None:
        raise UnknownMessageKind(f"unknown message kind: {packet.kind}")
    return decoder(packet)


def _required_field(packet: Packet, name: str) -> Any:
    if name not in packet.fields:
        raise MalformedMessage(f"message {packet.kind} lacks the field {name}")
    return packet.fields[name]


def _decode_listener_request(packet: Packet) -> ListenerRequest:
    return ListenerRequest(
        protocol_version=packet.fields.get(PROTOCOL_VERSION),
        reads_class_settings=packet.fields.get(READS_CLASS_SETTINGS, False),
    )


def _encode_listener_request(request: ListenerRequest) -> Packet:
    fields: dict[str, Any] = {PROTOCOL_VERSION: request.protocol_version}
    if request.reads_class_settings:
        fields[READS_CLASS_SETTINGS] = True
    return Packet(LISTENER_REQUEST, fields)


def _encode_offer(offer: ListenerOffer) -> Packet:
    fields = {
        BANNED_WORKER_IDS: list(offer.banned_worker_ids),
        OUT_OF_SERVICE_SINCE: offer.out_of_service_since,
    }
    return Packet(LISTENER_OFFER, fields, descriptor=offer.descriptor)


def _decode_offer(packet: Packet) -> ListenerOffer:
    return ListenerOffer(
        descriptor=packet.descriptor,
        banned_worker_ids=tuple(packet.fields.get(BANNED_WORKER_IDS, ())),
        out_of_service_since=packet.fields.get(OUT_OF_SERVICE_SINCE),
    )


def _encode_endpoints(chunk: EndpointListChunk) -> Packet:
    address = chunk.discovery_address
    lease = chunk.lease
    fields = {
        REVISION: chunk.revision,
        DISCOVERY_ADDRESS: None if address is None else list(address),
        LEASE: [lease.send_deadline_ns, lease.may_have_missed_change, lease.watch_timed_out],
        ENDPOINTS: list(chunk.endpoints),
    }
    return Packet(ENDPOINT_LIST_CHUNK, fields)


def _decode_endpoints(packet: Packet) -> EndpointListChunk:
    address = packet.fields.get(DISCOVERY_ADDRESS)
    return EndpointListChunk(
        revision=packet.fields.get(REVISION, 0),
        discovery_address=None if address is None else (address[0], address[1]),
        lease=_decode_lease(packet.fields.get(LEASE, ())),
        endpoints=tuple(packet.fields.get(ENDPOINTS, ())),
    )


def _decode_lease(values: Sequence[Any]) -> LeaseState:
    """Decode a lease from the list of its values; an earlier release may send fewer, a later one more."""
    defaults: Sequence[Any] = NO_LEASE
    send_deadline_ns, may_have_missed_change, watch_timed_out = [
        *values[: len(defaults)],
        *defaults[len(values) :],
    ]
    return LeaseState(
        send_deadline_ns=send_deadline_ns,
        may_have_missed_change=may_have_missed_change,
        watch_timed_out=watch_timed_out,
    )


def _encode_worker(message: WorkerStateMessage) -> Packet:
    fields = {
        WORKER_ID: message.worker_id,
        WORKER_STATE_FIELDS: encode_worker_state(message.snapshot),
        WORKER_ADDRESS: [message.host, message.port],
    }
    return Packet(WORKER_STATE, fields)


def _decode_worker(packet: Packet) -> WorkerStateMessage:
    host, port = _required_field(packet, WORKER_ADDRESS)
    return WorkerStateMessage(
        worker_id=_required_field(packet, WORKER_ID),
        host=host,
        port=port,
        snapshot=decode_worker_state(packet.fields.get(WORKER_STATE_FIELDS, {})),
    )


def _encode_open_requests(message: OpenRequests) -> Packet:
    return Packet(OPEN_REQUESTS, {REQUEST_IDS: list(message.request_ids)})


def _decode_open_requests(packet: Packet) -> OpenRequests:
    return OpenRequests(request_ids=tuple(packet.fields.get(REQUEST_IDS, ())))


def _encode_connection_count(message: ClientConnectionCount) -> Packet:
    return Packet(CLIENT_CONNECTION_COUNT, {CONNECTIONS: message.connections})


def _decode_connection_count(packet: Packet) -> ClientConnectionCount:
    return ClientConnectionCount(connections=packet.fields.get(CONNECTIONS, 0))


def _encode_connection(connection: MigratedConnection) -> Packet:
    request = connection.request
    fields = {
        IS_IDLE: connection.is_idle,
        STATE_SINCE: connection.state_since,
        REQUEST: None if request is None else _encode_request(request),
    }
    return Packet(MIGRATED_CONNECTION, fields, connection.unparsed, connection.descriptor)


def _decode_connection(packet: Packet) -> MigratedConnection:
    request = packet.fields.get(REQUEST)
    return MigratedConnection(
        descriptor=packet.descriptor,
        unparsed=packet.data,
        is_idle=packet.fields.get(IS_IDLE, False),
        state_since=packet.fields.get(STATE_SINCE),
        request=None if request is None else _decode_request(request),
    )


def _encode_request(request: MigratedRequest) -> dict[str, Any]:
    fields: dict[str, Any] = {
        CLASS_NAME: request.class_name,
        OPENED: request.opened_ns,
        DEADLINE: request.deadline_ns,
        ATTEMPTS_SENT: request.attempts_sent,
        ATTEMPTS: [_encode_attempt(attempt) for attempt in request.attempts],
    }
    if request.late_outcomes is not None:
        fields[LATE_OUTCOMES] = {
            worker_id: sorted(OUTCOME_NAMES[outcome] for outcome in outcomes)
            for worker_id, outcomes in request.late_outcomes.items()
        }
    if request.class_settings is not None:
        fields[CLASS_SETTINGS] = encode_class_settings(request.class_settings)
    if request.max_attempts is not None:
        fields[MAX_ATTEMPTS] = request.max_attempts
    return fields


def _decode_request(fields: Mapping[str, Any]) -> MigratedRequest:
    return MigratedRequest(
        class_name=fields.get(CLASS_NAME, ""),
        opened_ns=fields.get(OPENED, 0),
        deadline_ns=fields.get(DEADLINE, 0),
        attempts_sent=fields.get(ATTEMPTS_SENT, 0),
        attempts=tuple(_decode_attempt(values) for values in fields.get(ATTEMPTS, ())),
        late_outcomes=_decode_late_outcomes(fields.get(LATE_OUTCOMES)),
        class_settings=decode_class_settings(fields.get(CLASS_SETTINGS)),
        max_attempts=fields.get(MAX_ATTEMPTS),
    )


def _decode_late_outcomes(fields: Mapping[str, Sequence[str]] | None) -> dict[str, Outcomes] | None:
    if fields is None:
        return None
    return {
        worker_id: frozenset(outcome for outcome, name in OUTCOME_NAMES.items() if name in names)
        for worker_id, names in fields.items()
    }


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


def _encode_ban(message: BanChange) -> Packet:
    return Packet(BAN_CHANGE, {WORKER_ID: message.worker_id, IS_BANNED: message.is_banned})


def _decode_ban(packet: Packet) -> BanChange:
    return BanChange(
        worker_id=_required_field(packet, WORKER_ID), is_banned=packet.fields.get(IS_BANNED, True)
    )


def _encode_callback(callback: ForwardedCallback) -> Packet:
    return Packet(FORWARDED_CALLBACK, {}, callback.body)


def _decode_callback(packet: Packet) -> ForwardedCallback:
    return ForwardedCallback(body=packet.data)


_ENCODERS: dict[type[HotRestartMessage], Callable[[Any], Packet]] = {
    ListenerRequest: _encode_listener_request,
    ListenerOffer: _encode_offer,
    EndpointListChunk: _encode_endpoints,
    NewerProcessReady: lambda _: Packet(NEWER_PROCESS_READY, {}),
    AcceptingStopped: lambda _: Packet(ACCEPTING_STOPPED, {}),
    WorkerStateMessage: _encode_worker,
    OpenRequests: _encode_open_requests,
    ClientConnectionCount: _encode_connection_count,
    MigratedConnection: _encode_connection,
    BanChange: _encode_ban,
    ForwardedCallback: _encode_callback,
    MigrationEnded: lambda _: Packet(MIGRATION_ENDED, {}),
    MigrationEndConfirmed: lambda _: Packet(MIGRATION_END_CONFIRMED, {}),
}

_DECODERS: dict[str, Callable[[Packet], HotRestartMessage]] = {
    LISTENER_REQUEST: _decode_listener_request,
    LISTENER_OFFER: _decode_offer,
    ENDPOINT_LIST_CHUNK: _decode_endpoints,
    NEWER_PROCESS_READY: lambda _: NewerProcessReady(),
    ACCEPTING_STOPPED: lambda _: AcceptingStopped(),
    WORKER_STATE: _decode_worker,
    OPEN_REQUESTS: _decode_open_requests,
    CLIENT_CONNECTION_COUNT: _decode_connection_count,
    MIGRATED_CONNECTION: _decode_connection,
    BAN_CHANGE: _decode_ban,
    FORWARDED_CALLBACK: _decode_callback,
    MIGRATION_ENDED: lambda _: MigrationEnded(),
    MIGRATION_END_CONFIRMED: lambda _: MigrationEndConfirmed(),
}
