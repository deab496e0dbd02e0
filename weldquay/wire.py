"""Codec of the simulator's wire: frames to interface types and back."""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass

from weldquay import interface as api
from weldquay.errors import OperatorError
from weldquay.settings import load_report

HEADER = struct.Struct("<IIQ")
REPLY_HEADER = struct.Struct("<I")

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
_STATES = {0: api.WorkerState.GONE, 1: api.WorkerState.READY, 2: api.WorkerState.DRAINING}
_LISTS = {
    0: api.EndpointListKind.DELTA,
    1: api.EndpointListKind.FULL,
    2: api.EndpointListKind.CACHED,
    3: api.EndpointListKind.FAILED,
}

_ENTRY = struct.Struct("<HHBIHQf")
_REQUEST = struct.Struct("<IBIQQQffH")
_OUTCOME = struct.Struct("<IHIBQBBB")
_PROBED = struct.Struct("<QBIB")
_NOTE = struct.Struct("<IHIBf")
_BEGUN = struct.Struct("<IHIQ")
_MEMBERS = struct.Struct("<IBI")
_U16 = struct.Struct("<H")
_U32 = struct.Struct("<I")
_POWER_ON = struct.Struct("<QI")
_HINT_VALID, _REPEAT = 1, 2
_EVERY_PEER = 0xFFFFFFFF


class WireError(OperatorError):
    """A frame that does not follow the protocol; the text names what and where."""

    error_code = "wire-error"
    remedy = "start the adapter with the simulator of the same protocol note; nothing else speaks this wire"


@dataclass(frozen=True, slots=True)
class PowerOn:
    """An instance begins empty, with its seed and its settings as text."""

    seed: int
    settings_text: str


@dataclass(frozen=True, slots=True)
class Killed:
    """An instance is gone with all that it held."""


WireEvent = api.Event | PowerOn | Killed


class _Reader:
    """Reads fields off a frame's body and refuses to run past its end."""

    def __init__(self, body: bytes) -> None:
        self.body = body
        self.at = 0
        self.record = 0

    def take(self, layout: struct.Struct) -> tuple[int, ...]:
        """Unpack the next fields (the floats among them are read as such at run time)."""
        if self.at + layout.size > len(self.body):
            raise WireError(f"record {self.record}: fields run past the frame at byte {self.at}")
        fields = layout.unpack_from(self.body, self.at)
        self.at += layout.size
        return fields

    def take_bytes(self, count: int) -> bytes:
        """Take count bytes."""
        if self.at + count > len(self.body):
            raise WireError(f"record {self.record}: {count} bytes run past the frame at byte {self.at}")
        self.at += count
        return self.body[self.at - count : self.at]


def _report(reader: _Reader, count: int, fields: tuple[str, ...]) -> api.LoadReport | None:
    """A load report, or None where it is absent or short of a field."""
    values = struct.unpack(f"<{count}f", reader.take_bytes(4 * count))
    if not fields or count < len(fields):
        return None
    return load_report(dict(zip(fields, values, strict=False)))


def decode_batch(
    body: bytes, count: int, fields_of: dict[int, tuple[str, ...]]
) -> Iterator[tuple[int, WireEvent]]:
    """Yield (instance, event) for each record; fields_of gives each instance's report fields.

    It is a generator so that a PowerOn seen by the caller can set fields_of before the next record is read.
    """
    reader = _Reader(body)
    instance: int | None = None
    for number in range(count):
        reader.record = number
        (code,) = reader.take(_U16)
        if code == 263:
            (instance,) = reader.take(_U32)
            continue
        event = _decode_event(reader, code, fields_of.get(-1 if instance is None else instance, ()))
        if instance is None:
            raise WireError(f"record {number}: an event before any FOR")
        yield instance, event
    if reader.at != len(body):
        raise WireError(f"{len(body) - reader.at} bytes left after the last of {count} records")


def _decode_event(reader: _Reader, code: int, fields: tuple[str, ...]) -> WireEvent:
    if code == 256:
        call, hop, worker, status, latency, over, _note, n = reader.take(_OUTCOME)
        report = _report(reader, n, fields)
        outcome = _OUTCOMES.get(status, api.Outcome.UNKNOWN)
        return api.AttemptEnded(call, hop, worker, outcome, latency, bool(over), report)
    if code == 257:
        call, kind, _tenant, key, left, hint, slots, memory, flags = reader.take(_REQUEST)
        return api.RequestReceived(
            call,
            kind,
            left,
            float(slots),
            float(memory),
            hint if flags & _HINT_VALID else None,
            key,
            bool(flags & _REPEAT),
        )
    if code == 260:
        call, hop, worker, what, amount = reader.take(_NOTE)
        return api.AttemptProgress(call, hop, worker, None if what == 1 else float(amount))
    if code == 266:
        latency, status, worker, n = reader.take(_PROBED)
        report = _report(reader, n, fields)
        return api.ProbeEnded(worker, _OUTCOMES.get(status, api.Outcome.UNKNOWN), latency, report)
    if code == 259:
        return api.TimerDue(reader.take(_U32)[0])
    if code == 261:
        return api.ClientDisconnected(reader.take(_U32)[0])
    if code == 262:
        return Killed()
    if code == 264:
        call, hop, worker, _latency = reader.take(_BEGUN)
        return api.ResponseStarted(call, hop, worker)
    if code == 258:
        sender, size = reader.take(struct.Struct("<HH"))
        return api.PeerMessage(sender, reader.take_bytes(size))
    if code == 265:
        _seq, kind, n = reader.take(_MEMBERS)
        if kind not in _LISTS:
            raise WireError(f"record {reader.record}: unknown list kind {kind}")
        rows = _Reader(reader.take_bytes(n * _ENTRY.size))
        return api.EndpointListUpdate(_LISTS[kind], tuple(_entry(rows, reader.record) for _ in range(n)))
    if code == 267:
        seed, size = reader.take(_POWER_ON)
        return PowerOn(seed, reader.take_bytes(size).decode("utf-8", "replace"))
    raise WireError(f"record {reader.record}: unknown code {code} at byte {reader.at - 2}")


def _entry(rows: _Reader, record: int) -> api.WorkerEntry:
    cell, kind, state, worker, zone, started, weight = rows.take(_ENTRY)
    if state not in _STATES:
        raise WireError(f"record {record}: unknown worker state {state}")
    return api.WorkerEntry(worker, _STATES[state], cell, kind, zone, started, float(weight), worker)


def encode_actions(instance: int, actions: list[api.Action]) -> bytes:
    """The records of one instance's actions; empty where there are none."""
    if not actions:
        return b""
    parts = [struct.pack("<HI", 332, instance)]
    for action in actions:
        parts.append(_encode_action(action))
    return b"".join(parts)


def _encode_action(action: api.Action) -> bytes:
    match action:
        case api.Send():
            return struct.pack("<HIQI", 320, action.request_id, action.timeout_ns, action.worker)
        case api.Reject():
            return struct.pack("<HIQ", 321, action.request_id, action.retry_after_ns)
        case api.Fail():
            return struct.pack("<HI", 322, action.request_id)
        case api.Cancel():
            return struct.pack("<HIH", 323, action.request_id, action.attempt)
        case api.SetTimer():
            return struct.pack("<HQI", 324, action.delay_ns, action.token)
        case api.Probe():
            return struct.pack("<HI", 325, action.worker)
        case api.CloseIdleConnections():
            return struct.pack("<HI", 326, action.worker)
        case api.SendToPeer():
            peer = _EVERY_PEER if action.peer is None else action.peer
            return struct.pack("<HIH", 327, peer, len(action.data)) + action.data
        case api.Log():
            text = action.text.encode()[:60_000]
            return struct.pack("<HH", 328, len(text)) + text
        case api.WatchEndpoints():
            return struct.pack("<HB", 330, 1)
        case api.ReservationEnded():
            return b""  # news for operators; the simulator has no record for it


def encode_fault(instance: int, text: str) -> bytes:
    """The records that declare an instance's decision code broken."""
    data = text.encode()[:60_000]
    return struct.pack("<HIHH", 332, instance, 329, len(data)) + data


def frame_reply(body: bytes) -> bytes:
    """A whole reply frame."""
    return REPLY_HEADER.pack(len(body)) + body
