"""Turns of connections that have received bytes: none keeps the event loop from the others."""

from __future__ import annotations

import asyncio
import itertools
import json

import pytest

from example.toy import Message, encode_message, read_message
from tests.reading import no_turns
from tests.site import ACCEPTED, job, run_scenario, site, until
from weldquay.net import client_connection
from weldquay.net.read_scheduler import (
    LONG_TURN_S,
    MAX_ITERATION_S,
    SHORT_TURN_S,
    ReadScheduler,
)
from weldquay.net.request_handler import RequestHandler

REQUESTS = 1000
MAX_TIME_LEFT_SLACK_MS = 150


def callbacks(count: int) -> bytes:
    """Return callbacks about unknown requests."""
    return b"".join(
        encode_message(
            "POST /callback HTTP/1.1",
            json.dumps({"id": f"u{number}", "from": "w0", "state": "started"}).encode(),
        )
        for number in range(count)
    )


@pytest.mark.parametrize("is_behind_a_job", [False, True], ids=["received at once", "read ahead"])
def test_pipelined_requests_of_one_connection_do_not_share_a_turn(
    is_behind_a_job: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """With turns of no time, each request is handled in an iteration of the event loop of its own."""
    iteration = 0
    handled_in: list[int] = []
    handle = RequestHandler.handle

    def count_iteration() -> None:
        nonlocal iteration
        iteration += 1
        asyncio.get_running_loop().call_soon(count_iteration)

    def record(handler: RequestHandler) -> None:
        handled_in.append(iteration)
        handle(handler)

    async def scenario() -> None:
        async with site() as test_site:
            worker, release = test_site.workers[0], asyncio.Event()

            async def answer_later(message: Message, writer: asyncio.StreamWriter) -> None:
                writer.write(ACCEPTED)
                await release.wait()
                await worker.send_callback(message.headers["x-correlation-id"], state="done", result="ok")

            worker.script = answer_later
            reader, writer = await asyncio.open_connection("127.0.0.1", test_site.process.server.port)
            if is_behind_a_job:
                writer.write(job("c1"))
                await worker.until("POST")
            writer.write(callbacks(REQUESTS))
            await writer.drain()
            if is_behind_a_job:
                (connection,) = [c for c in test_site.process.server.connections if c.requests.open_request]
                await until(lambda: connection.requests.read_ahead.size >= len(callbacks(REQUESTS)))
            count_iteration()
            handled_in.clear()
            release.set()
            for _ in range(REQUESTS + is_behind_a_job):
                assert (await read_message(reader)).status in (200, 204)
            writer.close()

    monkeypatch.setattr(client_connection, "MAX_TURN_S", 0.0)
    monkeypatch.setattr(RequestHandler, "handle", record)
    run_scenario(scenario())
    assert len(handled_in) >= REQUESTS and max(map(handled_in.count, set(handled_in))) <= 2


def test_turns_of_an_iteration_are_bounded_and_short_ones_come_first() -> None:
    """Once the time of an iteration is used up all wait; turns that fill an iteration come one at a time."""

    async def scenario() -> None:
        scheduler = ReadScheduler()
        assert not scheduler.must_wait(0.0) and scheduler.must_wait(LONG_TURN_S)
        scheduler.record(MAX_ITERATION_S)
        assert scheduler.must_wait(0.0)
        order: list[str] = []
        short_turns = round(MAX_ITERATION_S / SHORT_TURN_S)

        async def wait(name: str, last_turn_s: float) -> None:
            await scheduler.wait(last_turn_s)
            order.append(name)

        tasks = [asyncio.create_task(wait("long", MAX_ITERATION_S)) for _ in range(3)]
        tasks += [asyncio.create_task(wait("short", 0.0)) for _ in range(short_turns + 1)]
        cancelled = asyncio.create_task(wait("cancelled", 0.0))
        await asyncio.sleep(0)
        cancelled.cancel()
        counts = []
        while len(order) < len(tasks):
            await asyncio.sleep(0)
            counts.append(order.count("long"))
        assert order[:short_turns] == ["short"] * short_turns
        assert max(after - before for before, after in itertools.pairwise(counts)) == 1
        assert not scheduler.must_wait(0.0) and "cancelled" not in order
        await asyncio.gather(*tasks, cancelled, return_exceptions=True)

    run_scenario(scenario())


def test_the_time_that_a_request_waits_for_its_turn_is_not_told_to_the_worker(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The client's time runs while its bytes wait in this process."""

    async def scenario() -> None:
        async with site() as test_site:
            async with no_turns(test_site, monkeypatch):
                response = asyncio.create_task(test_site.post("c1", timeout_ms=5000))
                await asyncio.sleep(0.6)
            assert (await response).body == b"TEXT"
            (message,) = [m for m in test_site.workers[0].received if m.method == "POST"]
            assert int(message.headers["x-time-left-ms"]) <= 4400 + MAX_TIME_LEFT_SLACK_MS

    run_scenario(scenario())


def test_the_time_that_a_connection_waits_for_capacity_is_not_told_to_the_worker() -> None:
    """Its first request has been sent before the connection is counted."""

    async def scenario() -> None:
        async with site() as test_site:
            table = test_site.process.server.table
            max_connections, table.max_connections = table.max_connections, 0
            response = asyncio.create_task(test_site.post("c1", timeout_ms=5000))
            await asyncio.sleep(0.6)
            table.max_connections = max_connections
            assert (await response).body == b"TEXT"
            (message,) = [m for m in test_site.workers[0].received if m.method == "POST"]
            assert int(message.headers["x-time-left-ms"]) <= 4400 + MAX_TIME_LEFT_SLACK_MS

    run_scenario(scenario())
