"""Truncated, endless and repeated responses and callbacks: each has one outcome, and no unsafe retry."""

from __future__ import annotations

import asyncio
import json
import socket
import struct

import pytest

from example.toy import Message, encode_message
from tests.site import ACCEPTED, Script, ScriptedWorker, Site, job, site, until
from weldquay.net import attempt_runner

OVERLOADED = encode_message("HTTP/1.1 503 Busy", b"", "X-Unprocessed: 1")


async def truncated_head(_message: Message, writer: asyncio.StreamWriter) -> None:
    """Send half of the head of a 202, then close."""
    writer.write(ACCEPTED[:15])
    await writer.drain()
    writer.close()


async def truncated_body(_message: Message, writer: asyncio.StreamWriter) -> None:
    """Send a body shorter than its Content-Length, then close."""
    writer.write(b"HTTP/1.1 202 Accepted\r\nContent-Length: 50\r\n\r\nabc")
    await writer.drain()
    writer.close()


async def reset_body(_message: Message, writer: asyncio.StreamWriter) -> None:
    """Send a body shorter than its Content-Length, then reset."""
    writer.write(b"HTTP/1.1 202 Accepted\r\nContent-Length: 50\r\n\r\nabc")
    await writer.drain()
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def garbage(_message: Message, writer: asyncio.StreamWriter) -> None:
    """Send bytes that are not HTTP."""
    writer.write(b"\x16\x03\x01 nothing of the kind\r\n\r\n")


async def endless(_message: Message, writer: asyncio.StreamWriter) -> None:
    """Send a chunked response that never ends."""
    writer.write(b"HTTP/1.1 202 Accepted\r\nTransfer-Encoding: chunked\r\n\r\n")
    while not writer.is_closing():
        writer.write(b"1\r\nx\r\n")
        await asyncio.sleep(0.05)


@pytest.mark.parametrize("script", [truncated_head, truncated_body, reset_body, garbage, endless])
@pytest.mark.parametrize(("path", "posts", "status"), [("/lookup", 2, 200), ("/import", 1, 502)])
def test_incomplete_202_has_one_outcome(
    script: Script, path: str, posts: int, status: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The job may have run: an idempotent request is retried after the DELETE, any other fails."""
    monkeypatch.setattr(attempt_runner, "ACCEPT_TIMEOUT_S", 0.2)

    async def scenario() -> None:
        async with site() as test_site:
            worker = test_site.workers[0]

            async def run_script_once(message: Message, writer: asyncio.StreamWriter) -> None:
                worker.script = None
                await script(message, writer)

            worker.script = run_script_once
            assert (await test_site.post(path=path, timeout_ms=1500)).status == status
            await until(
                lambda: (
                    not test_site.process.coordinator.attempts
                    and not test_site.process.workers.has_pending_cancellations
                )
            )
            assert worker.methods().count("POST") == posts and "DELETE" in worker.methods()
            if posts == 2:  # the two jobs do not overlap
                assert worker.methods() == ["POST", "DELETE", "POST"]

    asyncio.run(scenario())


@pytest.mark.parametrize("is_late", [False, True])
def test_second_response_does_not_count_for_next_request(is_late: bool) -> None:
    """A 503 that follows the 202 on a connection is not taken as the response to the next job on it."""

    async def scenario() -> None:
        async with site(caps={"probes": False}) as test_site:
            worker = test_site.workers[0]

            async def respond_twice(message: Message, writer: asyncio.StreamWriter) -> None:
                worker.script = None
                request_id = message.headers["x-correlation-id"]
                writer.write(ACCEPTED + (b"" if is_late else OVERLOADED))
                if is_late:
                    await until(
                        lambda: any(
                            worker.idle_connections for worker in test_site.process.workers.workers.values()
                        )
                    )
                    writer.write(OVERLOADED)
                await worker.send_callback(request_id, state="done", result="one")

            worker.script = respond_twice
            assert (await test_site.post("c1")).body == b"one"
            assert (await test_site.post("c2")).body == b"TEXT"
            counts = test_site.process.counters.counts
            assert worker.methods() == ["POST", "POST"] and not counts["attempts_overloaded"]
            assert counts["attempts_ok"] == 2

    asyncio.run(scenario())


def completion_callback(request_id: str, worker: ScriptedWorker, result: str) -> bytes:
    """Return the bytes of a callback that completes a job."""
    body = json.dumps({"id": request_id, "from": worker.name, "state": "done", "result": result}).encode()
    return encode_message("POST /callback HTTP/1.1", body)


async def connect(test_site: Site) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Connect to the dispatcher."""
    return await asyncio.open_connection("127.0.0.1", test_site.process.server.port)


async def accepted_request(test_site: Site) -> asyncio.Task[Message]:
    """Post a request, wait until the worker has accepted its job, and return the pending task."""
    test_site.workers[0].script = test_site.workers[0].accept
    response_task = asyncio.create_task(test_site.post())
    await test_site.workers[0].until("POST")
    return response_task


@pytest.mark.parametrize("size", [1, 20, 100])
def test_callback_in_pieces_counts_once_complete(size: int) -> None:
    """A callback may arrive in pieces of any size; an incomplete one has no effect, but its retry does."""

    async def scenario() -> None:
        async with site() as test_site:
            response_task = await accepted_request(test_site)
            data = completion_callback("c1", test_site.workers[0], "whole")
            _, incomplete = await connect(test_site)
            incomplete.write(data[:-3])
            await incomplete.drain()
            incomplete.close()
            reader, writer = await connect(test_site)
            for position in range(0, len(data), size):
                writer.write(data[position : position + size])
                await writer.drain()
            assert (await reader.read(12)).startswith(b"HTTP/1.1 204")
            assert (await response_task).body == b"whole"
            assert test_site.process.counters.counts["attempts_ok"] == 1
            writer.close()

    asyncio.run(scenario())


def test_callback_across_shutdown_is_handled_completely() -> None:
    """Its second half arrives after the start of the shutdown; it is handled, then its connection closes."""

    async def scenario() -> None:
        async with site() as test_site:
            response_task = await accepted_request(test_site)
            data = completion_callback("c1", test_site.workers[0], "late")
            reader, writer = await connect(test_site)
            writer.write(data[:30])
            await until(
                lambda: any(
                    connection.has_received_data and connection.requests.open_request is None
                    for connection in test_site.process.server.connections
                )
            )
            test_site.process.server.begin_closing()
            writer.write(data[30:])
            assert b"204" in await reader.read() and (await response_task).body == b"late"
            writer.close()

    asyncio.run(scenario())


@pytest.mark.parametrize("path", ["/lookup", "/import"])
def test_response_reset_by_client_causes_no_retry(path: str) -> None:
    """The request already has its result, so the job is not retried."""

    async def scenario() -> None:
        async with site() as test_site:
            worker = test_site.workers[0]
            worker.script = worker.completing_with("q" * 60_000)
            sock = socket.create_connection(("127.0.0.1", test_site.process.server.port))
            sock.setblocking(False)
            sock.send(job(path=path))
            await asyncio.get_running_loop().sock_recv(sock, 100)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            sock.close()
            await until(lambda: not test_site.process.server.connections)
            assert worker.methods() == ["POST"] and not test_site.process.coordinator.requests
            assert test_site.process.counters.counts["requests_completed"] == 1

    asyncio.run(scenario())
