"""Clients that disconnect: no attempt of their request starts afterwards."""

from __future__ import annotations

import asyncio
import socket
import struct
import time

import pytest

from example.toy import Message, encode_message
from tests.site import ACCEPTED, Site, job, site, until
from weldquay.net.hot_restart_messages import MigratedConnection
from weldquay.net.worker_connection import WorkerConnection
from weldquay.net.worker_endpoint import WorkerEndpoint

AHEAD = [0, 3_000, 20_000, 100_000, 400_000]  # bytes sent behind the call: within and over each bound


def client(here: Site, call: str, ahead: int = 0) -> socket.socket:
    """A client with one request, and `ahead` bytes after it."""
    sock = socket.create_connection(("127.0.0.1", here.program.server.port))
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1024 * 1024)
    assert sock.send(job(call) + b"x" * ahead) > ahead / 2
    return sock


def leave(sock: socket.socket, how: str) -> None:
    """End a client's connection."""
    if how == "reset":
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    if how == "half":
        sock.shutdown(socket.SHUT_WR)
    else:
        sock.close()


async def requests_open(here: Site, count: int) -> None:
    """Wait until so many requests are open."""
    await until(lambda: len(here.program.coordinator.requests) == count)


async def clients_disconnected(here: Site, count: int = 1) -> float:
    """Wait until so many clients are counted as disconnected; return the time that took (s)."""
    begun = time.monotonic()
    await until(lambda: here.program.counters.counts["clients_disconnected"] == count)
    return time.monotonic() - begun


async def return_worker_to_service(here: Site) -> None:
    """Return the worker to service, and serve one request."""
    await here.discovery.change(here.workers[0], "SERVING")
    assert (await here.post("last")).body == b"TEXT"


async def drain_worker(here: Site) -> None:
    """Drain the only worker, so that requests wait."""
    await here.discovery.change(here.workers[0], "DRAINING")
    await until(lambda: here.program.discovery.revision == here.discovery.revision)


@pytest.mark.parametrize("how", ["close", "reset", "half"])
@pytest.mark.parametrize("ahead", AHEAD)
def test_disconnection_while_waiting_for_first_attempt(how: str, ahead: int) -> None:
    """The disconnection is noticed however much the client has sent after its request."""

    async def scenario() -> None:
        async with site() as here:
            await drain_worker(here)
            sock = client(here, "c1", ahead)
            await requests_open(here, 1)
            await asyncio.sleep(0.05)  # what lies ahead is read, as far as it is
            leave(sock, how)
            assert await clients_disconnected(here) < 1  # in 0.1 s, unless this machine stalls
            assert here.program.server.context.read_ahead_budget.used_bytes == 0
            await return_worker_to_service(here)
            assert here.workers[0].methods() == ["POST"]
            sock.close()

    asyncio.run(scenario())


def test_burst_of_disconnections() -> None:
    """All disconnect at one moment, when capacity becomes available."""

    async def scenario() -> None:
        async with site() as here:
            await drain_worker(here)
            socks = [client(here, f"c{number}", 100) for number in range(120)]
            await requests_open(here, 120)
            for number, sock in enumerate(socks):
                leave(sock, "reset" if number % 2 else "close")
            await here.discovery.change(here.workers[0], "SERVING")
            await clients_disconnected(here, 120)
            assert (await here.post("last")).body == b"TEXT"
            assert here.workers[0].methods().count("POST") == 1

    asyncio.run(scenario())


@pytest.mark.parametrize("cancel", [True, False])
@pytest.mark.parametrize("path", ["/lookup", "/import"])
def test_disconnection_while_connecting_to_worker(path: str, cancel: bool) -> None:
    """Nothing is written on the new connection, even if the settings allow no cancellation."""

    async def scenario() -> None:
        async with site(caps={"probes": False, "cancel": cancel}) as here:
            workers, gate = here.program.workers, asyncio.Event()
            connect = workers.connections.connect

            async def slow(worker: WorkerEndpoint) -> WorkerConnection:
                await gate.wait()
                return await connect(worker)

            workers.connections.connect = slow  # type: ignore[method-assign]
            sock = socket.create_connection(("127.0.0.1", here.program.server.port))
            sock.sendall(job(path=path))
            await until(lambda: here.program.coordinator.attempts)
            sock.close()
            await clients_disconnected(here)
            gate.set()
            await until(lambda: not here.program.coordinator.attempts and not workers.attempts.sending)
            assert (await here.post("last")).body == b"TEXT"
            assert here.workers[0].methods() == ["POST"]  # and no DELETE: nothing was there to give up

    asyncio.run(scenario())


def test_disconnection_between_two_attempts() -> None:
    """The retry waits for the DELETE of the first attempt, and is not sent after the disconnection."""

    async def scenario() -> None:
        async with site(caps={"probes": False}) as here:
            worker, gate, posts = here.workers[0], asyncio.Event(), list[Message]()

            async def cut(message: Message, writer: asyncio.StreamWriter) -> None:
                posts.append(message)
                writer.transport.abort()

            answer = worker.answer

            async def delayed(message: Message, writer: asyncio.StreamWriter) -> None:
                if message.method == "DELETE":
                    await gate.wait()
                await answer(message, writer)

            worker.script, worker.answer = cut, delayed  # type: ignore[method-assign]
            sock = socket.create_connection(("127.0.0.1", here.program.server.port))
            sock.sendall(job())
            await until(
                lambda: any(
                    request.attempts_started == 2
                    for request in here.program.coordinator.requests.by_number.values()
                )
            )
            sock.close()
            await clients_disconnected(here)
            gate.set()
            await until(lambda: not here.program.workers.busy and not here.program.workers.attempts.sending)
            assert len(posts) == 1

    asyncio.run(scenario())


def test_disconnection_while_connection_migrates() -> None:
    """The disconnection is noticed although the connection is not read and cannot migrate yet."""

    async def scenario() -> None:
        async with site() as here:
            worker, passed = here.workers[0], list[MigratedConnection]()

            async def silent(_message: Message, _writer: asyncio.StreamWriter) -> None:
                await asyncio.sleep(3600)

            worker.script = silent
            sock = socket.create_connection(("127.0.0.1", here.program.server.port))
            sock.sendall(job(path="/import"))
            await worker.until("POST")
            here.program.server.start_migration(passed.append)
            await asyncio.sleep(0.05)
            sock.close()
            await clients_disconnected(here)
            assert not passed

    asyncio.run(scenario())


def test_pipelined_requests_within_limit_are_served() -> None:
    """Pipelined requests are buffered up to a limit, and served in order."""

    async def scenario() -> None:
        async with site() as here:
            reader, writer = await asyncio.open_connection("127.0.0.1", here.program.server.port)
            big = b"y" * 30_000
            for number in range(4):
                writer.write(
                    encode_message(
                        "POST /lookup HTTP/1.1", big, f"X-Correlation-Id: c{number}", "X-Time-Left-Ms: 5000"
                    )
                )
            received = b""
            while received.count(b"Y" * 30_000) < 4:
                received += await reader.read(65536)
            assert received.count(b"200 OK") == 4
            writer.close()

    asyncio.run(scenario())


def test_flood_after_request_is_limited_and_request_is_answered() -> None:
    """All of it is read, none is buffered past the limit, and the connection closes after the response."""

    async def scenario() -> None:
        async with site() as here:
            worker, may_finish = here.workers[0], asyncio.Event()

            async def later(message: Message, writer: asyncio.StreamWriter) -> None:
                writer.write(ACCEPTED)
                await may_finish.wait()
                await worker.send_callback(message.headers["x-correlation-id"], state="done", result="late")

            worker.script = later
            reader, writer = await asyncio.open_connection("127.0.0.1", here.program.server.port)
            writer.write(job())
            await worker.until("POST")
            connection, *_ = here.program.server.connections
            for _ in range(32):
                writer.write(b"z" * 100_000)
                await writer.drain()
            await until(lambda: connection.requests.read_ahead.is_exceeded)
            assert here.program.server.context.read_ahead_budget.used_bytes <= 256 * 1024
            may_finish.set()
            received = b""
            while data := await reader.read(65536):
                received += data
            assert received.startswith(b"HTTP/1.1 200") and received.endswith(b"late")
            assert b"Connection: close" in received
            writer.close()

    asyncio.run(scenario())
