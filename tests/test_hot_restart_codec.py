"""The wire format of the hot-restart messages, compared with recorded packets of release 725bba5."""

from __future__ import annotations

import json
import os
from collections.abc import Iterator
from dataclasses import Field, fields, replace
from pathlib import Path
from typing import Any, NamedTuple
from unittest.mock import Mock

import pytest

from weldquay.interface import (
    UNKNOWN_WORKER,
    LeaseState,
    LoadChange,
    SlowStartSend,
    WorkerEntry,
    WorkerSnapshot,
    WorkerState,
)
from weldquay.net import hot_restart_messages as messages
from weldquay.net.counters import Counters
from weldquay.net.hot_restart import HotRestart
from weldquay.net.hot_restart_codec import MalformedMessage, UnknownMessageKind, decode, encode
from weldquay.net.hot_restart_packet import Packet
from weldquay.net.worker_state_codec import decode_worker_state
from weldquay.state.records import Worker
from weldquay.state.worker_state import restore_snapshot, take_snapshot

RECORDED = Path(__file__).parent / "data" / "hot_restart_725bba5.json"
DESCRIPTOR = 77  # a number that stands for a descriptor; no descriptor is opened or closed

# A worker's state with a distinct value for each name.
STATE: dict[str, Any] = {
    "free": 1.5, "free_memory": 2.5, "size": 3.5, "report_ns": 4, "changes": [[5, 1.0, 2.0]], "changed": 6.5,
    "changed_memory": 7.5, "job_sign_ns": 8, "refusals": 9, "errors": 10.5, "rest_ns": 11,
    "next_probe_ns": 12, "strikes": 13, "suspect": True, "trial_ns": 14, "backoff_ns": 15, "back_ns": 16,
    "pushed": [[17, 1.25]], "cold_room": 18.5, "cold_ns": 19,
}  # fmt: skip


class RecordedPacket(NamedTuple):
    """A recorded packet: its kind, its bytes, and its descriptor."""

    kind: str
    data: bytes
    descriptor: int


def recorded() -> Iterator[RecordedPacket]:
    """Yield the packets of two hot restarts in the order in which they were sent."""
    for row in json.loads(RECORDED.read_text()):
        yield RecordedPacket(
            row["kind"], row["packet"].encode("latin-1"), DESCRIPTOR if row["descriptor"] else -1
        )


PACKETS = list(recorded())


def of_kind(kind: str) -> list[Any]:
    """Decode the recorded messages of a kind."""
    return [
        decode(Packet.decode(packet.data, packet.descriptor)) for packet in PACKETS if packet.kind == kind
    ]


def received(kind: str, **fields: Any) -> Any:
    """Decode a packet of this kind with these fields."""
    return decode(Packet.decode(json.dumps({"kind": kind, **fields}).encode() + b"\nbody", DESCRIPTOR))


@pytest.mark.parametrize("packet", PACKETS, ids=lambda packet: packet.kind)
def test_a_decoded_message_is_encoded_to_the_same_bytes(packet: RecordedPacket) -> None:
    """Names, their order, values and the descriptor equal those of the recorded packet."""
    message = decode(Packet.decode(packet.data, packet.descriptor))
    encoded = encode(message)
    assert encoded.encode() == packet.data
    assert encoded.kind == packet.kind and encoded.descriptor == packet.descriptor


@pytest.mark.parametrize("packet", PACKETS, ids=lambda packet: packet.kind)
def test_unknown_names_are_ignored(packet: RecordedPacket) -> None:
    """A later release may add fields to a message, a worker's state or a request, and values to a lease."""
    head, _, data = packet.data.partition(b"\n")
    fields = json.loads(head)
    more = {**fields, "__class__": "x", "snapshot": 1}
    for inner in ("memory", "call"):
        if fields.get(inner) is not None:
            more[inner] = {**fields[inner], "live": {}, "unknown": [1]}
    if "lease" in fields:
        more["lease"] = [*fields["lease"], "unknown"]
    later = Packet.decode(json.dumps(more).encode() + b"\n" + data, packet.descriptor)
    assert decode(later) == decode(Packet.decode(packet.data, packet.descriptor))


def test_all_kinds_are_recorded() -> None:
    """The recorded packets include each kind and each message type."""
    kinds = {packet.kind for packet in PACKETS}
    assert kinds == {
        "ask", "offer", "members", "ready", "taken", "worker", "open", "held", "client", "ban", "call-back",
        "end", "ended",
    }  # fmt: skip
    assert {type(message) for kind in kinds for message in of_kind(kind)} == {
        messages.ListenerRequest,
        messages.ListenerOffer,
        messages.EndpointListChunk,
        messages.NewerProcessReady,
        messages.AcceptingStopped,
        messages.WorkerStateMessage,
        messages.OpenRequests,
        messages.ClientConnectionCount,
        messages.MigratedConnection,
        messages.BanChange,
        messages.ForwardedCallback,
        messages.MigrationEnded,
        messages.MigrationEndConfirmed,
    }


def test_the_listener_and_the_list() -> None:
    """Listener requests, offers in service and out of service, and an endpoint list with its lease."""
    assert of_kind("ask") == [messages.ListenerRequest(1)]
    assert of_kind("offer") == [
        messages.ListenerOffer(DESCRIPTOR, ("w0",), None),
        messages.ListenerOffer(DESCRIPTOR, (), 275.695290842),
    ]
    (chunk,) = of_kind("members")
    assert (chunk.revision, chunk.discovery_address) == (1, ("127.0.0.1", 39129))
    assert chunk.lease == LeaseState(277622397506, False, False)
    assert [line["id"] for line in chunk.endpoints] == ["w0", "w1", "w2", "w3", "w4", "w5"]


def test_a_worker_that_is_warming_up() -> None:
    """The worker w1, whose ban was lifted, has an attempt in flight and several slow-start sends."""
    (warming,) = [each for each in of_kind("worker") if each.worker_id == "w1"]
    assert (warming.host, warming.port) == ("127.0.0.1", 45839)
    state = warming.snapshot
    assert (state.free_slots, state.free_memory, state.estimated_slots) == (4.0, 4.0, 4.0)
    assert state.reported_ns == 271838268601 and state.last_response_ns == 272054602723
    assert len(state.unreported_changes) == 9
    assert state.unreported_changes[-1] == LoadChange(272056724703, 1.0, 0.0)
    assert (state.unreported_slots, state.unreported_memory) == (1.0, 0.0)
    assert (state.reinstated_ns, state.trial_backoff_ns) == (271837116376, 1_000_000_000)
    assert state.slow_start_sends[0] == SlowStartSend(205103434, 857547031.1375)
    assert len(state.slow_start_sends) == 5
    assert (state.slow_start_budget_ns, state.slow_start_budget_at_ns) == (290443656.6101818, 272058012962)


def test_each_name_of_a_workers_state_has_its_field() -> None:
    """Distinct values show that no two names are mixed up."""
    state = received("worker", id="w", at=["h", 1], memory=STATE).snapshot
    assert state == WorkerSnapshot(
        free_slots=1.5,
        free_memory=2.5,
        estimated_slots=3.5,
        reported_ns=4,
        unreported_changes=(LoadChange(5, 1.0, 2.0),),
        unreported_slots=6.5,
        unreported_memory=7.5,
        last_response_ns=8,
        consecutive_rejections=9,
        failure_score=10.5,
        backoff_until_ns=11,
        next_probe_ns=12,
        consecutive_probe_failures=13,
        is_ejected=True,
        next_trial_ns=14,
        trial_backoff_ns=15,
        reinstated_ns=16,
        slow_start_sends=(SlowStartSend(17, 1.25),),
        slow_start_budget_ns=18.5,
        slow_start_budget_at_ns=19,
    )
    encoded = json.loads(encode(messages.WorkerStateMessage("w", "h", 1, state)).encode())
    assert encoded == {"kind": "worker", "id": "w", "memory": STATE, "at": ["h", 1]}
    assert list(encoded["memory"]) == list(STATE)


def test_a_worker_restores_its_snapshot() -> None:
    """After a restore of a state that 725bba5 sent, the worker's snapshot equals that state."""
    for message in of_kind("worker"):
        worker = Worker(WorkerEntry(1, WorkerState.READY))
        # A health check before the restore may have changed these.
        worker.consecutive_probe_failures, worker.failure_score = (3, 1.0)
        restore_snapshot(worker, message.snapshot)
        assert take_snapshot(worker) == message.snapshot
        worker.record_load_change(300_000_000_000, 1.0, 0.0)  # the restored collections are mutable
        worker.slow_start_sends.clear()


def test_a_fresh_worker_has_the_defaults_of_a_snapshot() -> None:
    """A missing name therefore has the initial value of a worker."""
    assert take_snapshot(Worker(WorkerEntry(1, WorkerState.READY))) == UNKNOWN_WORKER


@pytest.mark.parametrize(("name", "field"), [*zip(STATE, fields(WorkerSnapshot), strict=True)])
def test_a_missing_name_of_a_workers_state_has_its_default(name: str, field: Field[Any]) -> None:
    """One name is missing at a time; the other values are decoded."""
    complete = decode_worker_state(STATE)
    partial = decode_worker_state({key: value for key, value in STATE.items() if key != name})
    default = getattr(UNKNOWN_WORKER, field.name)
    assert partial == replace(complete, **{field.name: default}) and partial != complete


def test_a_clients_connection_with_its_request() -> None:
    """An idle connection, and connections with an attempt before and after its start."""
    idle, waiting, started, *_ = of_kind("client")
    assert idle == messages.MigratedConnection(DESCRIPTOR, b"", True, 272.174916748, None)
    assert waiting.descriptor == DESCRIPTOR and not waiting.is_idle and waiting.state_since == 272.056656803
    assert waiting.unparsed.startswith(b"POST /lookup/a?b=1 HTTP/1.1\r\n")
    assert waiting.unparsed.endswith(b"\r\n\r\ntext")
    attempt = messages.MigratedAttempt(0, "w1", 272057147353, 277056602981, 0)
    assert waiting.request == messages.MigratedRequest("lookup", 272056602981, 277056602981, 1, (attempt,))
    assert [attempt.started_ns for attempt in started.request.attempts] == [272068152547]


def test_the_other_messages() -> None:
    """Open requests, connection counts, a lifted ban and a callback."""
    assert of_kind("open") == [messages.OpenRequests(("h0", "d0", "c1", "c0"))]
    assert of_kind("held") == [messages.ClientConnectionCount(5), messages.ClientConnectionCount(0)]
    assert of_kind("ban") == [messages.BanChange("w0", False)]
    (callback,) = of_kind("call-back")
    assert callback.body == b'{"id": "h0", "from": "w5", "state": "done", "result": "early"}'


@pytest.mark.parametrize(
    ("kind", "fields", "expected"),
    [
        ("ask", {}, messages.ListenerRequest(None)),
        ("offer", {}, messages.ListenerOffer(DESCRIPTOR, (), None)),
        ("members", {}, messages.EndpointListChunk(0, None, LeaseState(), ())),
        ("members", {"lease": [5]}, messages.EndpointListChunk(lease=LeaseState(5, False, False))),
        ("members", {"lease": [5, True]}, messages.EndpointListChunk(lease=LeaseState(5, True, False))),
        ("worker", {"id": "w", "at": ["h", 1]}, messages.WorkerStateMessage("w", "h", 1, UNKNOWN_WORKER)),
        ("open", {}, messages.OpenRequests(())),
        ("held", {}, messages.ClientConnectionCount(0)),
        ("client", {}, messages.MigratedConnection(DESCRIPTOR, b"body", False, None, None)),
        (
            "client",
            {"call": {}},
            messages.MigratedConnection(DESCRIPTOR, b"body", request=messages.MigratedRequest()),
        ),
        ("ban", {"id": "w"}, messages.BanChange("w", True)),
    ],
)
def test_missing_names_have_their_defaults(kind: str, fields: dict[str, Any], expected: object) -> None:
    """An earlier release may send fewer fields."""
    assert received(kind, **fields) == expected


@pytest.mark.parametrize(
    ("kind", "fields"),
    [("worker", {"at": ["h", 1]}), ("worker", {"id": "w"}), ("ban", {"on": True})],
)
def test_a_message_without_its_id_or_address_is_refused(kind: str, fields: dict[str, Any]) -> None:
    """Ids and addresses have no default."""
    with pytest.raises(MalformedMessage):
        received(kind, **fields)


def test_an_unknown_kind_is_refused() -> None:
    """The error names the kind."""
    with pytest.raises(UnknownMessageKind, match="later"):
        received("later")


def test_a_packet_that_cannot_be_decoded_is_dropped_with_its_descriptor() -> None:
    """An unknown kind is counted; neither it nor a malformed message reaches the delegate."""
    process, counters = Mock(), Counters()
    hot_restart = HotRestart("toy", counters, process)
    for kind in ("later", "worker"):
        descriptor = os.dup(0)
        hot_restart._receive(Packet(kind, {}, descriptor=descriptor))
        with pytest.raises(OSError, match="Bad file descriptor"):
            os.fstat(descriptor)
    assert not process.method_calls and dict(counters.counts) == {"hot_restart_unknown_messages": 1}


COUNTERS = {
    "worker": "hot_restart_worker_states",
    "members": "hot_restart_endpoint_lists",
    "open": "hot_restart_open_requests",
    "client": "hot_restart_connections",
    "held": "hot_restart_connection_counts",
    "ban": "hot_restart_ban_changes",
    "call-back": "hot_restart_callbacks",
}
HANDLED_BY_THE_LINK = {"ask", "offer", "ready", "taken", "end", "ended"}


@pytest.mark.parametrize("packet", PACKETS, ids=lambda packet: packet.kind)
def test_received_messages_are_counted_by_their_external_kind(packet: RecordedPacket) -> None:
    """Each kind has its own counter; the messages of the handshake are not counted."""
    counters = Counters()
    hot_restart = HotRestart("toy", counters, Mock(offer_listener=Mock(return_value=None)))
    hot_restart._receive(Packet.decode(packet.data, packet.descriptor))
    expected = {} if packet.kind in HANDLED_BY_THE_LINK else {COUNTERS[packet.kind]: 1}
    assert dict(counters.counts) == expected
