"""Lingering closes: no response is lost to a reset, and no request after the close is forwarded."""

from __future__ import annotations

import asyncio
import errno
import socket
import struct
import time
from typing import Any

import pytest

from example.toy import encode_message
from tests.site import Site, job, site, until
from weldquay.net import connection_table
from weldquay.net.client_connection import ClientConnection
from weldquay.net.connection_state import ConnectionState

LARGE_RESULT = "r" * 60_000  # exceeds the small system buffers set below


def connect_with_small_buffer(test_site: Site) -> socket.socket:
    """Connect a client with a small receive buffer."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.connect(("127.0.0.1", test_site.process.server.port))
    sock.setblocking(False)
    return sock


def return_large_results(test_site: Site) -> None:
    """Make the worker return large results, and shrink the dispatcher's send buffers."""
    test_site.workers[0].script = test_site.workers[0].completing_with(LARGE_RESULT)
    assert test_site.process.server.server is not None
    for sock in test_site.process.server.server.sockets:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)


async def accepted_connection(test_site: Site, sock: socket.socket) -> ClientConnection:
    """Return the dispatcher's end of a client's connection."""
    client_address = sock.getsockname()
    found: ClientConnection = await until(
        lambda: next(
            (
                connection
                for connection in test_site.process.server.connections
                if connection.writer.get_extra_info("peername") == client_address
            ),
            None,
        )
    )
    return found


async def idle_client(test_site: Site) -> tuple[socket.socket, ClientConnection]:
    """Connect a client, complete one request, and return both ends of the idle connection."""
    sock = socket.create_connection(("127.0.0.1", test_site.process.server.port))
    sock.setblocking(False)
    sock.send(job("c1"))
    await asyncio.get_running_loop().sock_recv(sock, 4096)
    connection = await accepted_connection(test_site, sock)
    await until(lambda: connection.state is ConnectionState.IDLE)
    return sock, connection


async def lingering_client(test_site: Site) -> socket.socket:
    """Return a client with a small receive buffer whose connection lingers with a large unsent response."""
    return_large_results(test_site)
    sock = connect_with_small_buffer(test_site)
    connection = await accepted_connection(test_site, sock)
    test_site.process.server.context.is_closing = True
    sock.send(job())
    await until(lambda: connection.is_lingering)
    return sock


async def read_to_end(sock: socket.socket, pause_s: float = 0.0) -> bytes:
    """Read in small pieces until the end of the stream; a reset raises an error."""
    received = b""
    loop = asyncio.get_running_loop()
    while data := await loop.sock_recv(sock, 2048):
        received += data
        await asyncio.sleep(pause_s)
    return received


@pytest.mark.parametrize("following", [b"x", b"POST /lookup HTTP/1.1\r\n", b"y" * 50_000])
def test_bytes_after_the_last_request_do_not_reset_its_answer(following: bytes) -> None:
    """The bytes arrive while part of the response is still unsent."""

    async def scenario() -> None:
        async with site() as test_site:
            sock = await lingering_client(test_site)
            sock.send(following)
            received = await read_to_end(sock)
            assert received.startswith(b"HTTP/1.1 200") and received.endswith(LARGE_RESULT.encode()[-100:])
            assert received.count(b"r") >= len(LARGE_RESULT)
            sock.close()

    asyncio.run(scenario())


@pytest.mark.parametrize("is_half_closed", [True, False])
def test_a_client_that_reads_slowly_receives_its_complete_answer(
    is_half_closed: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The client may read for longer than LINGER_TIMEOUT_S, and may have shut down its write half."""
    monkeypatch.setattr(connection_table, "LINGER_TIMEOUT_S", 0.2)

    async def scenario() -> None:
        async with site() as test_site:
            return_large_results(test_site)
            sock = connect_with_small_buffer(test_site)
            connection = await accepted_connection(test_site, sock)
            test_site.process.server.context.is_closing = not is_half_closed
            sock.send(job())
            if is_half_closed:
                await until(lambda: connection.state is ConnectionState.IDLE)
                sock.shutdown(socket.SHUT_WR)
            await until(lambda: connection.is_lingering)
            started_at = time.monotonic()
            received = await read_to_end(sock, 0.03)
            assert received.count(b"r") >= len(LARGE_RESULT) and time.monotonic() - started_at > 0.4
            sock.close()

    asyncio.run(scenario())


def test_a_client_that_reads_nothing_is_disconnected(monkeypatch: pytest.MonkeyPatch) -> None:
    """The connection is closed after the timeout of the lingering close."""
    monkeypatch.setattr(connection_table, "LINGER_TIMEOUT_S", 0.2)

    async def scenario() -> None:
        async with site() as test_site:
            sock = await lingering_client(test_site)
            await until(lambda: not test_site.process.server.connections)
            sock.close()

    asyncio.run(scenario())


def test_a_request_after_the_shutdown_is_not_forwarded() -> None:
    """The client gets an end of stream, not a reset, and can retry at another dispatcher."""

    async def scenario() -> None:
        async with site() as test_site:
            sock, _ = await idle_client(test_site)
            test_site.process.server.begin_closing()
            sock.send(job("c2"))
            sock.send(job("c3"))  # a reset connection would raise an error
            assert await read_to_end(sock) == b""
            assert not test_site.process.coordinator.requests and test_site.workers[0].methods() == ["POST"]
            sock.close()
            await until(lambda: not test_site.process.server.connections)

    asyncio.run(scenario())


@pytest.mark.parametrize("where", ["system", "reader"])
def test_a_request_before_the_shutdown_is_answered(where: str) -> None:
    """The request is still unread, in the socket's receive buffer or in the stream reader's buffer."""

    async def scenario() -> None:
        async with site() as test_site:
            sock, connection = await idle_client(test_site)
            if where == "system":
                sock.send(job("c2"))
            else:
                connection.reader.feed_data(job("c2"))
            test_site.process.server.begin_closing()
            received = await read_to_end(sock)
            assert (
                received.startswith(b"HTTP/1.1 200")
                and b"Connection: close" in received
                and received.endswith(b"TEXT")
            )
            sock.close()

    asyncio.run(scenario())


@pytest.mark.parametrize("following", [0, 200_000])
@pytest.mark.parametrize(
    ("data", "status"),
    [
        (encode_message("GET /lookup HTTP/1.1"), b"405"),
        (encode_message("POST /unknown HTTP/1.1"), b"404"),
        (b"nonsense\r\n\r\n", b"400"),
        (b"POST /lookup HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999\r\n\r\n", b"413"),
        (encode_message("GET /_health HTTP/1.1"), b"200"),
    ],
)
def test_the_last_answer_arrives_whatever_follows_the_request(
    data: bytes, status: bytes, following: int
) -> None:
    """The rest of the client's data is read until it ends, so that no reset discards the response."""

    async def scenario() -> None:
        async with site() as test_site:
            # Until then /_health returns 503.
            await until(lambda: test_site.process.coordinator.is_endpoint_list_confirmed)
            reader, writer = await asyncio.open_connection("127.0.0.1", test_site.process.server.port)
            writer.write(data)
            if following:
                await until(lambda: test_site.process.server.table.by_state[ConnectionState.LINGERING])
                writer.write(b"z" * following)
                await writer.drain()
            received = await reader.read()
            assert received.startswith(b"HTTP/1.1 " + status)
            writer.close()
            await until(lambda: not test_site.process.server.connections)

    asyncio.run(scenario())


def test_a_connection_with_an_unread_request_is_not_timed_out() -> None:
    """Its timeout expires when its first bytes have just arrived."""

    async def scenario() -> None:
        async with site() as test_site:
            sock = socket.create_connection(("127.0.0.1", test_site.process.server.port))
            sock.setblocking(False)
            connection = await accepted_connection(test_site, sock)
            sock.send(job())
            connection.on_timeout(time.monotonic())
            received = await asyncio.get_running_loop().sock_recv(sock, 4096)
            assert received.startswith(b"HTTP/1.1 200")
            sock.close()

    asyncio.run(scenario())


def test_no_connection_with_unread_or_unsent_data_is_evicted() -> None:
    """Neither a connection with an unread request nor one with an unsent response."""

    async def scenario() -> None:
        async with site() as test_site:
            return_large_results(test_site)
            slow_client, new_client = (
                connect_with_small_buffer(test_site),
                socket.create_connection(("127.0.0.1", test_site.process.server.port)),
            )
            new_client.setblocking(False)
            slow_client.send(job("c1"))
            closing = await accepted_connection(test_site, slow_client)
            await until(lambda: closing.state is ConnectionState.IDLE)
            test_site.process.server.context.is_closing = True
            closing.close_gracefully()
            assert closing.is_lingering and closing.has_unsent_data()
            # Until the worker's connections have closed.
            await until(lambda: len(test_site.process.server.connections) == 2)
            new_client.send(job("c2"))
            assert not test_site.process.server.table.evict_one()
            assert (await read_to_end(slow_client)).count(b"r") >= len(LARGE_RESULT)
            received: Any = await read_to_end(new_client)
            assert received.startswith(b"HTTP/1.1 200")
            slow_client.close()
            new_client.close()

    asyncio.run(scenario())


def test_the_close_of_a_connection_that_its_client_has_reset_raises_nothing() -> None:
    """The reset is not read yet; shutting down the write half of the socket then fails with ENOTCONN."""

    async def scenario() -> None:
        async with site() as test_site:
            sock = socket.create_connection(("127.0.0.1", test_site.process.server.port))
            sock.setblocking(False)
            connection = await accepted_connection(test_site, sock)
            sock.send(job()[:20])
            await until(lambda: connection.has_received_data)
            connection.writer.transport.pause_reading()  # type: ignore[attr-defined]
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            sock.close()
            connection.start_lingering_close()
            connection.writer.transport.resume_reading()  # type: ignore[attr-defined]
            await until(lambda: not test_site.process.server.connections)

    asyncio.run(scenario())


def test_an_error_of_one_connection_does_not_end_the_timeouts_of_all(monkeypatch: pytest.MonkeyPatch) -> None:
    """Later clients that stop within a request are still disconnected."""
    monkeypatch.setattr(connection_table, "REQUEST_TIMEOUT_S", 0.2)

    async def scenario() -> None:
        async with site() as test_site:
            table, counts = test_site.process.server.table, test_site.process.counters.counts

            def fail(_now: float) -> None:
                raise OSError(errno.ENOTCONN, "not connected")

            with monkeypatch.context() as patch:
                patch.setattr(table, "enforce_timeouts", fail)
                await until(lambda: counts["client_timeouts_failed"])
            reader, writer = await asyncio.open_connection("127.0.0.1", test_site.process.server.port)
            writer.write(job()[:20])
            assert b"408" in await reader.readline()
            writer.close()

    asyncio.run(scenario())
