"""Codec of the simulator's binary protocol: decodes batches to events, and encodes actions.

The protocol is defined by the document WIRE.  All numbers are little-endian; a record is a 16-bit code and
its fields.  Tables map each code to its decoder and each action to its encoder.
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

from weldquay import interface as api
from weldquay.errors import OperatorError
from weldquay.settings import load_report

HEADER = struct.Struct("<IIQ")  # header of a batch: bytes of its body, number of records, time in ns
REPLY_HEADER = struct.Struct("<I")  # header of a reply: bytes of its body
MAX_TEXT_BYTES = 60_000  # a longer text in a record is truncated


class EventCode(IntEnum):
    """Codes of the records in a batch, named as in the document WIRE."""

    REPORT_BACK = 256
    REQUEST = 257
    MAIL = 258
    DEADLINE_HIT = 259
    HEARTBEAT = 260
    GONE = 261
    KILLED = 262
    FOR = 263  # selects the instance of the records that follow
    ACK_FIRST = 264
    MEMBERSHIP = 265
    CHECKED = 266
    POWER_ON = 267


class ActionCode(IntEnum):
    """Codes of the records in a reply, named as in the document WIRE."""

    ISSUE = 320
    DECLINE = 321
    ABORT = 322
    CALL_OFF = 323
    REMIND = 324
    SOUND_OUT = 325
    DROP_CONNS = 326
    SHARE = 327
    RECORD = 328
    FAULT = 329
    OBSERVE = 330
    INSTANCE = 332  # selects the instance of the records that follow


_OUTCOMES = {
    10: api.Outcome.OK,
    20: api.Outcome.ERROR,
    30: api.Outcome.OVERLOADED,
    40: api.Outcome.TIMEOUT,
    50: api.Outcome.CONNECT_FAILED,
    60: api.Outcome.RESET,
    70: api.Outcome.CANCELLED,
    80: api.Outcome.ABORTED_BEFORE_SEND,
}
_WORKER_STATES = {0: api.WorkerState.GONE, 1: api.WorkerState.READY, 2: api.WorkerState.DRAINING}
_LIST_KINDS = {
    0: api.EndpointListKind.DELTA,
    1: api.EndpointListKind.FULL,
    2: api.EndpointListKind.CACHED,
    3: api.EndpointListKind.FAILED,
}

# Layouts of the fields after a record's code; actions are packed by their encoders.
_CODE = struct.Struct("<H")
_U32 = struct.Struct("<I")
_REPORT_BACK = struct.Struct("<IHIBQBBB")
_REQUEST = struct.Struct("<IBIQQQffH")
_PEER_MESSAGE = struct.Struct("<HH")
_PROGRESS = struct.Struct("<IHIBf")
_RESPONSE_STARTED = struct.Struct("<IHIQ")
_MEMBERSHIP = struct.Struct("<IBI")
_MEMBER = struct.Struct("<HHBIHQf")
_PROBE_RESULT = struct.Struct("<QBIB")
_POWER_ON = struct.Struct("<QI")

_PROGRESS_STARTED = 1  # kind of progress without an amount
_REQUEST_HAS_HINT = 1  # bits of a request's flags
_REQUEST_IS_RETRY = 2
_ALL_PEERS = 0xFFFFFFFF
_WATCH_ENABLED = 1
_NO_INSTANCE = -1


class WireError(OperatorError):
    """A frame violates the protocol; the message says what is wrong, and where."""

    error_code = "wire-error"
    remedy = "start the adapter from a simulator with the same version of the protocol; nothing else uses it"


@dataclass(frozen=True, slots=True)
class InstanceStarted:
    """An instance starts without state, with its seed and the text of its settings."""

    seed: int
    settings_text: str


@dataclass(frozen=True, slots=True)
class InstanceKilled:
    """An instance has ended and its state is discarded."""


WireEvent = api.Event | InstanceStarted | InstanceKilled


class _Reader:
    """Reads fields from a frame's body.  Raises WireError if they extend past its end."""

    def __init__(self, body: bytes) -> None:
        self.body = body
        self.offset = 0  # byte offset of the next field
        self.record_index = 0  # index of the current record in the frame, for error messages

    def unpack(self, layout: struct.Struct) -> tuple[int, ...]:
        """Read the next fields; those with a float format are floats at run time."""
        if self.offset + layout.size > len(self.body):
            raise WireError(
                f"record {self.record_index}: fields extend past the end of the frame at byte {self.offset}"
            )
        fields = layout.unpack_from(self.body, self.offset)
        self.offset += layout.size
        return fields

    def read(self, count: int) -> bytes:
        """Read the next `count` bytes."""
        start = self.offset
        if start + count > len(self.body):
            raise WireError(
                f"record {self.record_index}: {count} bytes extend past the end of the frame at byte {start}"
            )
        self.offset += count
        return self.body[start : self.offset]


ReportFields = tuple[str, ...]  # what each number of a load report means, in their order


def decode_batch(
    body: bytes, count: int, report_fields: dict[int, ReportFields]
) -> Iterator[tuple[int, WireEvent]]:
    """Yield (instance, event) for each event in a body of `count` records.

    Records are decoded lazily: on InstanceStarted the caller can add the instance's entry to `report_fields`
    before the instance's next record is decoded.

    Raises:
        WireError: the body violates the protocol.
    """
    reader = _Reader(body)
    instance: int | None = None
    for index in range(count):
        reader.record_index = index
        (code,) = reader.unpack(_CODE)
        if code == EventCode.FOR:
            (instance,) = reader.unpack(_U32)
            continue
        decode = _DECODERS.get(code)
        if decode is None:
            raise WireError(f"record {index}: unknown code {code} at byte {reader.offset - _CODE.size}")
        fields = report_fields.get(_NO_INSTANCE if instance is None else instance, ())
        event = decode(reader, fields)
        if instance is None:
            raise WireError(f"record {index}: event before the first FOR record")
        yield instance, event
    if reader.offset != len(body):
        raise WireError(f"{len(body) - reader.offset} bytes left over after {count} records")


def _read_load_report(reader: _Reader, count: int, fields: ReportFields) -> api.LoadReport | None:
    """Read a load report of `count` numbers; None if it is absent or lacks a field."""
    values = struct.unpack(f"<{count}f", reader.read(4 * count))
    if not fields or count < len(fields):
        return None
    return load_report(dict(zip(fields, values, strict=False)))


def _decode_report_back(reader: _Reader, fields: ReportFields) -> api.AttemptEnded:
    request, attempt, worker, status, latency_ns, is_finished, _note, count = reader.unpack(_REPORT_BACK)
    report = _read_load_report(reader, count, fields)
    outcome = _OUTCOMES.get(status, api.Outcome.UNKNOWN)
    return api.AttemptEnded(request, attempt, worker, outcome, latency_ns, bool(is_finished), report)


def _decode_request(reader: _Reader, _fields: ReportFields) -> api.RequestReceived:
    request, job_class, _tenant, key, time_left_ns, hint_ns, slots, memory, flags = reader.unpack(_REQUEST)
    return api.RequestReceived(
        request,
        job_class,
        time_left_ns,
        float(slots),
        float(memory),
        hint_ns if flags & _REQUEST_HAS_HINT else None,
        key,
        bool(flags & _REQUEST_IS_RETRY),
    )


def _decode_peer_message(reader: _Reader, _fields: ReportFields) -> api.PeerMessage:
    sender, size = reader.unpack(_PEER_MESSAGE)
    return api.PeerMessage(sender, reader.read(size))


def _decode_deadline_hit(reader: _Reader, _fields: ReportFields) -> api.TimerDue:
    return api.TimerDue(reader.unpack(_U32)[0])


def _decode_progress(reader: _Reader, _fields: ReportFields) -> api.AttemptProgress:
    request, attempt, worker, kind, amount = reader.unpack(_PROGRESS)
    return api.AttemptProgress(request, attempt, worker, None if kind == _PROGRESS_STARTED else float(amount))


def _decode_gone(reader: _Reader, _fields: ReportFields) -> api.ClientDisconnected:
    return api.ClientDisconnected(reader.unpack(_U32)[0])


def _decode_killed(_reader: _Reader, _fields: ReportFields) -> InstanceKilled:
    return InstanceKilled()


def _decode_response_started(reader: _Reader, _fields: ReportFields) -> api.ResponseStarted:
    request, attempt, worker, _latency_ns = reader.unpack(_RESPONSE_STARTED)
    return api.ResponseStarted(request, attempt, worker)


def _decode_membership(reader: _Reader, _fields: ReportFields) -> api.EndpointListUpdate:
    _sequence, kind, count = reader.unpack(_MEMBERSHIP)
    if kind not in _LIST_KINDS:
        raise WireError(f"record {reader.record_index}: unknown list kind {kind}")
    members = _Reader(reader.read(count * _MEMBER.size))
    entries = tuple(_decode_member(members, reader.record_index) for _ in range(count))
    return api.EndpointListUpdate(_LIST_KINDS[kind], entries)


def _decode_member(reader: _Reader, record_index: int) -> api.WorkerEntry:
    cell, kind, state, worker, zone, started_ns, weight = reader.unpack(_MEMBER)
    if state not in _WORKER_STATES:
        raise WireError(f"record {record_index}: unknown worker state {state}")
    return api.WorkerEntry(
        worker, _WORKER_STATES[state], cell, kind, zone, started_ns, float(weight), start_id=worker
    )


def _decode_probe_result(reader: _Reader, fields: ReportFields) -> api.ProbeEnded:
    latency_ns, status, worker, count = reader.unpack(_PROBE_RESULT)
    report = _read_load_report(reader, count, fields)
    return api.ProbeEnded(worker, _OUTCOMES.get(status, api.Outcome.UNKNOWN), latency_ns, report)


def _decode_power_on(reader: _Reader, _fields: ReportFields) -> InstanceStarted:
    seed, size = reader.unpack(_POWER_ON)
    return InstanceStarted(seed, reader.read(size).decode("utf-8", "replace"))


_DECODERS: dict[int, Callable[[_Reader, ReportFields], WireEvent]] = {
    EventCode.REPORT_BACK: _decode_report_back,
    EventCode.REQUEST: _decode_request,
    EventCode.MAIL: _decode_peer_message,
    EventCode.DEADLINE_HIT: _decode_deadline_hit,
    EventCode.HEARTBEAT: _decode_progress,
    EventCode.GONE: _decode_gone,
    EventCode.KILLED: _decode_killed,
    EventCode.ACK_FIRST: _decode_response_started,
    EventCode.MEMBERSHIP: _decode_membership,
    EventCode.CHECKED: _decode_probe_result,
    EventCode.POWER_ON: _decode_power_on,
}


def encode_actions(instance: int, actions: list[api.Action]) -> bytes:
    """Encode the actions of one instance; empty if there are none."""
    if not actions:
        return b""
    records = [struct.pack("<HI", ActionCode.INSTANCE, instance)]
    records += [_ENCODERS[type(action)](action) for action in actions]
    return b"".join(records)


def encode_fault(instance: int, text: str) -> bytes:
    """Encode an exception in the decision module of an instance."""
    data = text.encode()[:MAX_TEXT_BYTES]
    return struct.pack("<HIHH", ActionCode.INSTANCE, instance, ActionCode.FAULT, len(data)) + data


def frame_reply(body: bytes) -> bytes:
    """Prepend the header of a reply to its body."""
    return REPLY_HEADER.pack(len(body)) + body


def _encode_send(action: api.Send) -> bytes:
    return struct.pack("<HIQI", ActionCode.ISSUE, action.request_id, action.timeout_ns, action.worker)


def _encode_reject(action: api.Reject) -> bytes:
    return struct.pack("<HIQ", ActionCode.DECLINE, action.request_id, action.retry_after_ns)


def _encode_fail(action: api.Fail) -> bytes:
    return struct.pack("<HI", ActionCode.ABORT, action.request_id)


def _encode_cancel(action: api.Cancel) -> bytes:
    return struct.pack("<HIH", ActionCode.CALL_OFF, action.request_id, action.attempt)


def _encode_set_timer(action: api.SetTimer) -> bytes:
    return struct.pack("<HQI", ActionCode.REMIND, action.delay_ns, action.token)


def _encode_probe(action: api.Probe) -> bytes:
    return struct.pack("<HI", ActionCode.SOUND_OUT, action.worker)


def _encode_close_idle(action: api.CloseIdleConnections) -> bytes:
    return struct.pack("<HI", ActionCode.DROP_CONNS, action.worker)


def _encode_peer_message(action: api.SendToPeer) -> bytes:
    peer = _ALL_PEERS if action.peer is None else action.peer
    return struct.pack("<HIH", ActionCode.SHARE, peer, len(action.data)) + action.data


def _encode_log(action: api.Log) -> bytes:
    data = action.text.encode()[:MAX_TEXT_BYTES]
    return struct.pack("<HH", ActionCode.RECORD, len(data)) + data


def _encode_watch(_action: api.WatchEndpoints) -> bytes:
    return struct.pack("<HB", ActionCode.OBSERVE, _WATCH_ENABLED)


def _encode_nothing(_action: api.ReservationEnded) -> bytes:
    """Encode nothing: the simulator has no record for the end of a reservation."""
    return b""


_ENCODERS: dict[type[api.Action], Callable[[Any], bytes]] = {
    api.Send: _encode_send,
    api.Reject: _encode_reject,
    api.Fail: _encode_fail,
    api.Cancel: _encode_cancel,
    api.SetTimer: _encode_set_timer,
    api.Probe: _encode_probe,
    api.CloseIdleConnections: _encode_close_idle,
    api.SendToPeer: _encode_peer_message,
    api.Log: _encode_log,
    api.WatchEndpoints: _encode_watch,
    api.ReservationEnded: _encode_nothing,
}
