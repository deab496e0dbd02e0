"""Connections that end while bytes are on their way: no answer is taken back, nothing late is sent on."""

from __future__ import annotations

import asyncio
import socket
import time
from typing import Any

import pytest

from example.toy import write_message
from tests.site import Site, job, site, until
from weldquay.net import connection_table
from weldquay.net.client_connection import ClientConnection
from weldquay.net.connection_state import ConnectionState

BIG = "r" * 60_000  # more than the system's buffers below hold


def small(here: Site) -> socket.socket:
    """A client whose system takes in little at a time."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.connect(("127.0.0.1", here.program.server.port))
    sock.setblocking(False)
    return sock


def large_results(here: Site) -> None:
    """The worker's results are large, and the system holds little of them at this end."""
    here.workers[0].script = here.workers[0].telling(BIG)
    assert here.program.server.server is not None
    for sock in here.program.server.server.sockets:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)


async def accepted(here: Site, sock: socket.socket) -> ClientConnection:
    """The dispatcher's end of a client's connection."""
    name = sock.getsockname()
    found: ClientConnection = await until(
        lambda: next(
            (
                each
                for each in here.program.server.connections
                if each.writer.get_extra_info("peername") == name
            ),
            None,
        )
    )
    return found


async def rested(here: Site) -> tuple[socket.socket, ClientConnection]:
    """A client whose first call was served, and the dispatcher's end of its connection."""
    sock = socket.create_connection(("127.0.0.1", here.program.server.port))
    sock.setblocking(False)
    sock.send(job("c1"))
    await asyncio.get_running_loop().sock_recv(sock, 4096)
    connection = await accepted(here, sock)
    await until(lambda: connection.state is ConnectionState.IDLE)
    return sock, connection


async def lingering(here: Site) -> socket.socket:
    """A client that takes in little at a time, while the close behind its large answer lingers."""
    large_results(here)
    sock = small(here)
    connection = await accepted(here, sock)
    here.program.server.context.is_closing = True
    sock.send(job())
    await until(lambda: connection.is_lingering)
    return sock


async def taken(sock: socket.socket, pause_s: float = 0.0) -> bytes:
    """All that comes until the end of the connection, a piece at a time; a reset is an error."""
    got, loop = b"", asyncio.get_running_loop()
    while data := await loop.sock_recv(sock, 2048):
        got += data
        await asyncio.sleep(pause_s)
    return got


@pytest.mark.parametrize("behind", [b"x", b"POST /lookup HTTP/1.1\r\n", b"y" * 50_000])
def test_bytes_behind_the_last_answer_do_not_take_it_back(behind: bytes) -> None:
    """The answer closes its connection, and is still on its way when more comes."""

    async def scenario() -> None:
        async with site() as here:
            sock = await lingering(here)
            sock.send(behind)
            got = await taken(sock)
            assert got.startswith(b"HTTP/1.1 200") and got.endswith(BIG.encode()[-100:])
            assert got.count(b"r") >= len(BIG)
            sock.close()

    asyncio.run(scenario())


@pytest.mark.parametrize("half", [True, False])
def test_a_client_that_reads_slowly_gets_its_whole_answer(
    half: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Longer than the close lingers, as long as it takes something; also where it has shut its own half."""
    monkeypatch.setattr(connection_table, "LINGER_TIMEOUT_S", 0.2)

    async def scenario() -> None:
        async with site() as here:
            large_results(here)
            sock = small(here)
            connection = await accepted(here, sock)
            here.program.server.context.is_closing = not half
            sock.send(job())
            if half:
                await until(lambda: connection.state is ConnectionState.IDLE)
                sock.shutdown(socket.SHUT_WR)
            await until(lambda: connection.is_lingering)
            begun = time.monotonic()
            got = await taken(sock, 0.03)
            assert got.count(b"r") >= len(BIG) and time.monotonic() - begun > 0.4
            sock.close()

    asyncio.run(scenario())


def test_a_client_that_reads_nothing_is_let_go(monkeypatch: pytest.MonkeyPatch) -> None:
    """After the close has lingered."""
    monkeypatch.setattr(connection_table, "LINGER_TIMEOUT_S", 0.2)

    async def scenario() -> None:
        async with site() as here:
            sock = await lingering(here)
            await until(lambda: not here.program.server.connections)
            sock.close()

    asyncio.run(scenario())


def test_a_request_on_a_connection_that_was_just_shut_is_not_sent_on() -> None:
    """The client finds the end, not a reset, and no answer: it comes again elsewhere."""

    async def scenario() -> None:
        async with site() as here:
            sock, _ = await rested(here)
            here.program.server.begin_closing()
            sock.send(job("c2"))
            sock.send(job("c3"))  # a reset connection would refuse this one
            assert await taken(sock) == b""
            assert not here.program.coordinator.requests and here.workers[0].methods() == ["POST"]
            sock.close()
            await until(lambda: not here.program.server.connections)

    asyncio.run(scenario())


@pytest.mark.parametrize("where", ["system", "reader"])
def test_a_request_that_came_before_the_shutdown_is_answered(where: str) -> None:
    """It waits at the system, or has been read by the loop and not yet by the connection."""

    async def scenario() -> None:
        async with site() as here:
            sock, connection = await rested(here)
            if where == "system":
                sock.send(job("c2"))
            else:
                connection.reader.feed_data(job("c2"))
            here.program.server.begin_closing()
            got = await taken(sock)
            assert got.startswith(b"HTTP/1.1 200") and b"Connection: close" in got and got.endswith(b"TEXT")
            sock.close()

    asyncio.run(scenario())


@pytest.mark.parametrize("behind", [0, 200_000])
@pytest.mark.parametrize(
    ("data", "status"),
    [
        (write_message("GET /lookup HTTP/1.1"), b"405"),
        (write_message("POST /unknown HTTP/1.1"), b"404"),
        (b"nonsense\r\n\r\n", b"400"),
        (b"POST /lookup HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999\r\n\r\n", b"413"),
        (write_message("GET /_health HTTP/1.1"), b"200"),
    ],
)
def test_the_last_answer_arrives_whatever_comes_behind_the_request(
    data: bytes, status: bytes, behind: int
) -> None:
    """A client that sends on is read to its end, so that its answer is not lost to a reset."""

    async def scenario() -> None:
        async with site() as here:
            await until(
                lambda: here.program.coordinator.is_endpoint_list_confirmed
            )  # /_health says no before
            reader, writer = await asyncio.open_connection("127.0.0.1", here.program.server.port)
            writer.write(data)
            if behind:
                await until(lambda: here.program.server.table.by_state[ConnectionState.LINGERING])
                writer.write(b"z" * behind)
                await writer.drain()
            got = await reader.read()
            assert got.startswith(b"HTTP/1.1 " + status)
            writer.close()
            await until(lambda: not here.program.server.connections)

    asyncio.run(scenario())


def test_an_idle_connection_with_a_request_on_it_is_not_timed_out() -> None:
    """Its time is over in the moment in which its first bytes have come."""

    async def scenario() -> None:
        async with site() as here:
            sock = socket.create_connection(("127.0.0.1", here.program.server.port))
            sock.setblocking(False)
            connection = await accepted(here, sock)
            sock.send(job())
            connection.on_timeout(time.monotonic())
            got = await asyncio.get_running_loop().sock_recv(sock, 4096)
            assert got.startswith(b"HTTP/1.1 200")
            sock.close()

    asyncio.run(scenario())


def test_room_is_made_without_closing_on_what_has_come() -> None:
    """Neither a connection whose request waits to be read nor one whose answer is still on its way."""

    async def scenario() -> None:
        async with site() as here:
            large_results(here)
            slow, fresh = small(here), socket.create_connection(("127.0.0.1", here.program.server.port))
            fresh.setblocking(False)
            slow.send(job("c1"))
            leaving = await accepted(here, slow)
            await until(lambda: leaving.state is ConnectionState.IDLE)
            here.program.server.context.is_closing = True
            leaving.close_gracefully()
            assert leaving.is_lingering and leaving.has_unsent_data()
            await until(lambda: len(here.program.server.connections) == 2)  # the worker's have ended
            fresh.send(job("c2"))
            assert not here.program.server.table.evict_one()
            assert (await taken(slow)).count(b"r") >= len(BIG)
            got: Any = await taken(fresh)
            assert got.startswith(b"HTTP/1.1 200")
            slow.close()
            fresh.close()

    asyncio.run(scenario())
