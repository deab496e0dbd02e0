"""A client that has gone: no attempt of its call begins any more, however it left, whatever lay between."""

from __future__ import annotations

import asyncio
import socket
import struct
import time


import pytest

from example.toy import Message, write_message
from tests.site import ACCEPTED, Site, job, site, until
from weldquay.net.hot_restart_messages import MigratedConnection
from weldquay.net.worker_connection import WorkerConnection
from weldquay.net.worker_endpoint import WorkerEndpoint

AHEAD = [0, 3_000, 20_000, 100_000, 400_000]  # bytes sent behind the call: within and over each bound


def client(here: Site, call: str, ahead: int = 0) -> socket.socket:
    """A client with one call, and so many bytes behind it."""
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


async def in_hand(here: Site, count: int) -> None:
    """Wait until so many calls wait."""
    await until(lambda: len(here.program.coordinator.requests) == count)


async def gone(here: Site, count: int = 1) -> float:
    """Wait until so many clients count as gone; how long that took, in seconds."""
    begun = time.monotonic()
    await until(lambda: here.program.counters.counts["clients_gone"] == count)
    return time.monotonic() - begun


async def serve_again(here: Site) -> None:
    """Have the worker back, and one call served there."""
    await here.discovery.change(here.workers[0], "SERVING")
    assert (await here.post("last")).body == b"TEXT"


async def drained(here: Site) -> None:
    """No worker takes work: calls wait."""
    await here.discovery.change(here.workers[0], "DRAINING")
    await until(lambda: here.program.discovery.revision == here.discovery.revision)


@pytest.mark.parametrize("how", ["close", "reset", "half"])
@pytest.mark.parametrize("ahead", AHEAD)
def test_a_call_that_waits_for_its_first_attempt(how: str, ahead: int) -> None:
    """However much its client had sent behind it: it was not read any more, and so not seen to go."""

    async def scenario() -> None:
        async with site() as here:
            await drained(here)
            sock = client(here, "c1", ahead)
            await in_hand(here, 1)
            await asyncio.sleep(0.05)  # what lies ahead is read, as far as it is
            leave(sock, how)
            assert await gone(here) < 1  # in 0.1 s, unless this machine stalls
            assert here.program.server.context.read_ahead_budget.used_bytes == 0
            await serve_again(here)
            assert here.workers[0].methods() == ["POST"]
            sock.close()

    asyncio.run(scenario())


def test_a_burst_of_hundreds() -> None:
    """All leave at one moment, and right then there is room."""

    async def scenario() -> None:
        async with site() as here:
            await drained(here)
            socks = [client(here, f"c{number}", 100) for number in range(120)]
            await in_hand(here, 120)
            for number, sock in enumerate(socks):
                leave(sock, "reset" if number % 2 else "close")
            await here.discovery.change(here.workers[0], "SERVING")
            await gone(here, 120)
            assert (await here.post("last")).body == b"TEXT"
            assert here.workers[0].methods().count("POST") == 1

    asyncio.run(scenario())


@pytest.mark.parametrize("cancel", [True, False])
@pytest.mark.parametrize("path", ["/lookup", "/import"])
def test_while_the_connection_to_the_worker_comes_up(path: str, cancel: bool) -> None:
    """Nothing is written on it once it is up, also where the settings allow no attempt to be given up."""

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
            await gone(here)
            gate.set()
            await until(lambda: not here.program.coordinator.attempts and not workers.attempts.sending)
            assert (await here.post("last")).body == b"TEXT"
            assert here.workers[0].methods() == ["POST"]  # and no DELETE: nothing was there to give up

    asyncio.run(scenario())


def test_between_two_attempts() -> None:
    """The next one waits until the worker has been told that nobody waits for the first."""

    async def scenario() -> None:
        async with site(caps={"probes": False}) as here:
            worker, gate, posts = here.workers[0], asyncio.Event(), list[Message]()

            async def cut(message: Message, writer: asyncio.StreamWriter) -> None:
                posts.append(message)
                writer.transport.abort()

            answer = worker.answer

            async def held(message: Message, writer: asyncio.StreamWriter) -> None:
                if message.method == "DELETE":
                    await gate.wait()
                await answer(message, writer)

            worker.script, worker.answer = cut, held  # type: ignore[method-assign]
            sock = socket.create_connection(("127.0.0.1", here.program.server.port))
            sock.sendall(job())
            await until(
                lambda: any(
                    request.attempts_started == 2
                    for request in here.program.coordinator.requests.by_number.values()
                )
            )
            sock.close()
            await gone(here)
            gate.set()
            await until(lambda: not here.program.workers.busy and not here.program.workers.attempts.sending)
            assert len(posts) == 1

    asyncio.run(scenario())


def test_while_its_connection_is_passed_on() -> None:
    """It is not read any more, and its call cannot go yet: its leaving shows all the same."""

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
            await gone(here)
            assert not passed

    asyncio.run(scenario())


def test_what_fits_behind_a_call_is_served_in_its_turn() -> None:
    """Requests that came ahead are kept, up to a bound; past it the connection closes after its answer."""

    async def scenario() -> None:
        async with site() as here:
            reader, writer = await asyncio.open_connection("127.0.0.1", here.program.server.port)
            big = b"y" * 30_000
            for number in range(4):
                writer.write(
                    write_message(
                        "POST /lookup HTTP/1.1", big, f"X-Correlation-Id: c{number}", "X-Time-Left-Ms: 5000"
                    )
                )
            got = b""
            while got.count(b"Y" * 30_000) < 4:
                got += await reader.read(65536)
            assert got.count(b"200 OK") == 4
            writer.close()

    asyncio.run(scenario())


def test_a_flood_behind_a_call_is_bounded_and_its_answer_comes() -> None:
    """All of it is read, none of it kept past the bound, and the connection ends behind the answer."""

    async def scenario() -> None:
        async with site() as here:
            worker, told = here.workers[0], asyncio.Event()

            async def later(message: Message, writer: asyncio.StreamWriter) -> None:
                writer.write(ACCEPTED)
                await told.wait()
                await worker.tell(message.headers["x-correlation-id"], state="done", result="late")

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
            told.set()
            got = b""
            while data := await reader.read(65536):
                got += data
            assert got.startswith(b"HTTP/1.1 200") and got.endswith(b"late")
            assert b"Connection: close" in got
            writer.close()

    asyncio.run(scenario())
