"""Tables and values that discovery, workers, operators and another process fill: each has a bound."""

from __future__ import annotations

import asyncio
import json
import time
import tracemalloc
from unittest.mock import Mock

import pytest

from example.toy import encode_message, request
from tests.newer_process import newer_process
from tests.site import SilentDiscovery, run_scenario, site, until
from weldquay.limits import MAX_ENDPOINTS, MAX_JSON_ITEMS, MAX_JSON_OBJECTS, MAX_NAMES
from weldquay.net import endpoint_list_adapter, service_control
from weldquay.net.hot_restart_messages import EndpointListChunk
from weldquay.net.json_stream import MAX_VALUE_BYTES, JsonStreamParser
from weldquay.net.messages import MAX_BODY_BYTES, MessageError, parse_callback, parse_endpoint_list
from weldquay.net.name_numbers import assign_numbers

MAX_PARSED_BYTES = 64 * 1024 * 1024
MAX_CALLBACK_BYTES = 4 * 1024 * 1024
MAX_FEED_S = 2.0


def list_value(revision: int, first: int, count: int, is_complete: bool = False) -> bytes:
    """Return a list of workers w<first>, w<first + 1> and so on."""
    members = [
        {"id": f"w{number}", "host_port": "127.0.0.1:9", "phase": "SERVING", "locality": f"z{number}"}
        for number in range(first, first + count)
    ]
    return json.dumps({"revision": revision, "complete": is_complete, "members": members}).encode()


@pytest.mark.parametrize(
    "value",
    [
        b'{"members":[' + b"{}," * MAX_JSON_OBJECTS + b"{}]}",
        b'{"members":[' + b"[]," * MAX_JSON_OBJECTS + b"[]]}",
        b'{"members":[' + b"0," * MAX_JSON_ITEMS + b"0]}",
        b'{"members":[\n' + b"{},\n" * MAX_JSON_OBJECTS + b"{}]}",
        b"[" + b"[]" * MAX_JSON_OBJECTS,
    ],
    ids=["objects", "arrays", "numbers", "indented", "one line of brackets"],
)
def test_a_value_of_very_many_small_parts_is_rejected_before_it_is_parsed(value: bytes) -> None:
    """4 MiB of {} are 90 MB of objects."""
    assert len(value) < MAX_VALUE_BYTES
    with pytest.raises(MessageError):
        JsonStreamParser().feed(value + b"\n")


def test_the_longest_allowed_list_takes_bounded_memory() -> None:
    """The value as objects, and the list made of it."""
    value = list_value(1, 0, MAX_ENDPOINTS, is_complete=True)
    tracemalloc.start()
    (parsed,) = JsonStreamParser().feed(value + b"\n")
    assert len(parse_endpoint_list(parsed).endpoints) == MAX_ENDPOINTS
    peak_bytes = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert peak_bytes < MAX_PARSED_BYTES


@pytest.mark.parametrize("part", [b"{},", b"[],", b'"ab",', b"1234567,"])
def test_the_objects_of_a_callback_are_bounded(part: bytes) -> None:
    """A callback of the longest body, whose objects are freed once it is parsed."""
    head, end = b'{"id":"c1","from":"w0","state":"started","more":[', b"0]}"
    body = head + part * ((MAX_BODY_BYTES - len(head) - len(end)) // len(part)) + end
    tracemalloc.start()
    assert parse_callback(body, {}).id == "c1"
    held_bytes, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert peak_bytes < MAX_CALLBACK_BYTES and held_bytes < MAX_BODY_BYTES


def test_heartbeats_that_arrive_together_are_one() -> None:
    """Discovery could otherwise queue an event for each byte that it sends."""
    parser = JsonStreamParser()
    assert parser.feed(b"\n" * 10_000) == [b""]
    assert parser.feed(b'\n{"a":1}\n\n\n{"a":2}\n') == [b"", b'{"a":1}', b"", b'{"a":2}']


def test_a_long_value_in_small_pieces_takes_no_quadratic_time() -> None:
    """Each piece was appended to a copy of all pieces before it."""
    parser = JsonStreamParser()
    started_at = time.perf_counter()
    parser.feed(b"x" * (MAX_VALUE_BYTES // 2))
    for _ in range(20_000):
        parser.feed(b"x")
    assert time.perf_counter() - started_at < MAX_FEED_S


def test_names_beyond_the_limit_share_a_number() -> None:
    """Zones and machine kinds are never removed, since workers refer to their numbers."""
    numbers = assign_numbers(("a", "b"))
    assert [numbers[f"n{number}"] for number in range(3 * MAX_NAMES)][-1] == MAX_NAMES
    assert len(numbers) == MAX_NAMES and (numbers["a"], numbers["b"], numbers["n0"]) == (0, 1, 2)


def test_workers_beyond_the_limit_are_ignored(monkeypatch: pytest.MonkeyPatch) -> None:
    """Those that are known are still updated."""
    monkeypatch.setattr(endpoint_list_adapter, "MAX_WORKER_NUMBERS", 50)

    async def scenario() -> None:
        discovery = SilentDiscovery()
        drain = list_value(3, 0, 1).replace(b"SERVING", b"DRAINING")
        discovery.lists = [b"%s\n%s\n%s" % (list_value(1, 0, 40, True), list_value(2, 40, 40), drain)]
        async with site(workers=0, discovery=discovery) as test_site:
            process = test_site.process
            await until(lambda: process.discovery.revision == 3)
            assert len(process.workers.workers) == len(process.coordinator.endpoint_list.worker_numbers) == 50
            await until(lambda: len(process.coordinator.dispatcher.ready_workers) == 49)
            assert process.counters.counts["endpoint_lists_over_limit"] == 1

    run_scenario(scenario())


def test_bans_beyond_the_limit_are_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    """A worker that is banned already stays so, and its ban can be lifted."""
    monkeypatch.setattr(service_control, "MAX_BANS", 1)

    async def scenario() -> None:
        async with site(workers=2) as test_site:
            operations = [("w0", "offline"), ("w1", "offline"), ("w0", "offline"), ("w0", "online")]
            statuses = [await test_site.operate(f"match-workers/{i}/{call}") for i, call in operations]
            assert statuses == [200, 404, 200, 200]

    run_scenario(scenario())


def test_callbacks_for_a_slow_other_process_are_bounded_and_come_again() -> None:
    """One client could fill the memory with callbacks that wait for the other process of an upgrade."""

    async def scenario() -> None:
        async with site() as test_site, newer_process(test_site) as newer:
            body = json.dumps({"id": "c1", "from": "w0", "state": "started"}).encode()
            data = encode_message("POST /callback HTTP/1.1", body)
            assert (await request(test_site.address, data)).status == 204
            link = newer.hot_restart.link
            assert link is not None
            link.unsent_bytes += 2 * 1024 * 1024
            with pytest.raises(asyncio.IncompleteReadError):
                await request(test_site.address, data)
            link.unsent_bytes -= 2 * 1024 * 1024
            assert (await request(test_site.address, data)).status == 204
            assert newer.counters.counts["callbacks_not_forwarded"] == 1

    run_scenario(scenario())


def test_the_list_of_another_process_is_bounded() -> None:
    """Parts beyond the limit are ignored."""

    async def scenario() -> None:
        async with site() as test_site:
            migration = test_site.process.migration
            chunk = EndpointListChunk(endpoints=tuple(Mock() for _ in range(MAX_ENDPOINTS // 2)))
            for _ in range(3):
                migration.handle_message(chunk)
            assert migration.endpoint_list_chunks == [chunk, chunk]

    run_scenario(scenario())
