"""Client input on real sockets: malformed data, slow requests and many connections."""

from __future__ import annotations

import asyncio
import os
import socket

import pytest

from example.toy import encode_message, read_message, request
from tests.site import job, run_scenario, site, until
from weldquay.net import client_server, connection_table, dispatcher_process, http_channel
from weldquay.net.connection_state import ConnectionState


def test_a_client_that_does_not_read_uses_little_memory(monkeypatch: pytest.MonkeyPatch) -> None:
    """Its later requests are not handled until it reads its responses; a shutdown does not wait for it."""

    async def scenario() -> None:
        async with site() as test_site:
            test_site.workers[0].script = test_site.workers[0].completing_with("x" * 60_000)
            client = socket.socket()
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            client.connect(("127.0.0.1", test_site.process.server.port))
            client.sendall(b"".join(job(f"c{number}") for number in range(300)))
            connection, *_ = await until(lambda: list(test_site.process.server.connections))
            buffer_size = connection.writer.transport.get_write_buffer_size
            await until(lambda: buffer_size() > 60_000)
            await asyncio.sleep(0.1)
            assert buffer_size() < 200_000 and len(test_site.process.coordinator.requests) <= 1
            await test_site.process.shut_down()
            client.close()

    monkeypatch.setattr(dispatcher_process, "DRAIN_KEEP_CONNECTIONS_S", 0.01)
    monkeypatch.setattr(connection_table, "LINGER_TIMEOUT_S", 0.1)
    run_scenario(scenario())


HEAD = b"POST /lookup HTTP/1.1\r\nHost: a\r\n"


BAD_REQUESTS = [
    (b"nonsense\r\n\r\n", 400),
    (HEAD + b"Content-Length: 0\r\n\r\n", 400),
    (HEAD + b"X-Correlation-Id: a/b\r\nContent-Length: 0\r\n\r\n", 400),
    (HEAD + b"X-Correlation-Id: a\r\nX-Time-Left-Ms: soon\r\nContent-Length: 0\r\n\r\n", 400),
    (HEAD + b"X-Correlation-Id: a\r\nX-Facts: slots=nan\r\nContent-Length: 0\r\n\r\n", 400),
    (HEAD + b"Content-Length: -1\r\n\r\n", 400),
    (HEAD + b"Content-Length: 65537\r\n\r\n", 413),
    (
        HEAD
        + b"Transfer-Encoding: chunked\r\n\r\n"
        + b"4000\r\n"
        + bytes(0x4000)
        + b"\r\n"
        + (b"4000\r\n" + bytes(0x4000) + b"\r\n") * 4,
        413,
    ),
    (HEAD + b"X: " + b"x" * 20_000, 431),
    (b"POST /other HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", 404),
    (b"GET /lookup HTTP/1.1\r\nHost: a\r\n\r\n", 405),
    (b"POST /_health HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", 405),
    (b"POST /callback HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{]", 400),
]


HIDDEN_REQUEST = b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + job("hidden")


@pytest.mark.parametrize(
    ("data", "statuses"),
    [
        (job() + b"nonsense\r\n\r\n", ["200", "400"]),
        (HEAD + b"X-Correlation-Id: c1\r\nContent-Length: 99\r\n" + HIDDEN_REQUEST, ["400"]),
        (b"POST /lookup HTTP/1.0\r\nHost: a\r\nX-Correlation-Id: c1\r\n" + HIDDEN_REQUEST, ["400"]),
    ],
    ids=["after a request", "two lengths", "an encoding in HTTP/1.0"],
)
def test_malformed_input_is_answered_and_nothing_after_it_is_forwarded(
    data: bytes, statuses: list[str]
) -> None:
    """The connection closes after the error response, also if a complete request came first.

    A request hidden in a body of ambiguous length (request smuggling) is not forwarded.
    """

    async def scenario() -> None:
        async with site() as test_site:
            reader, writer = await asyncio.open_connection("127.0.0.1", test_site.process.server.port)
            writer.write(data)
            assert [(await read_message(reader)).start_line.split()[1] for _ in statuses] == statuses
            assert await reader.read() == b""
            assert test_site.workers[0].methods() == ["POST"] * statuses.count("200")
            assert test_site.process.counters.counts["requests"] == statuses.count("200")
            writer.close()

    run_scenario(scenario())


PARTIAL_REQUESTS = [b"", b"POST /loo", HEAD, HEAD + b"X-Correlation-Id: a\r\nContent-Length: 9\r\n\r\nhalf"]


@pytest.mark.parametrize("is_reused", [False, True])
@pytest.mark.parametrize("partial_request", PARTIAL_REQUESTS)
def test_a_request_that_is_too_slow_is_rejected(
    partial_request: bytes, is_reused: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The timeout starts with the connection, or with the first byte of a later request."""

    async def scenario() -> None:
        async with site() as test_site:
            reader, writer = await asyncio.open_connection("127.0.0.1", test_site.process.server.port)
            if is_reused:
                writer.write(job())
                assert (await read_message(reader)).body == b"TEXT"
                await asyncio.sleep(3 * connection_table.REQUEST_TIMEOUT_S)
            writer.write(partial_request)
            if is_reused and not partial_request:
                writer.write(job("c2"))
                assert (await read_message(reader)).body == b"TEXT"
            else:
                assert (await reader.read()).startswith(b"HTTP/1.1 408 " if partial_request else b"")
            writer.close()

    monkeypatch.setattr(connection_table, "REQUEST_TIMEOUT_S", 0.2)
    run_scenario(scenario())


def test_a_request_that_arrived_during_a_stall_is_answered() -> None:
    """After a stall the timeout is checked before the last bytes are read; this used to cause a 408."""

    async def scenario() -> None:
        async with site() as test_site:
            data = job("c1")
            client = socket.create_connection(("127.0.0.1", test_site.process.server.port))
            client.sendall(data[:-1])
            connection, *_ = await until(lambda: list(test_site.process.server.connections))
            await until(lambda: connection.has_received_data)
            client.sendall(data[-1:])
            after_timeout = connection.state_entered_at + connection_table.REQUEST_TIMEOUT_S + 0.1
            test_site.process.server.table.enforce_timeouts(after_timeout)
            reader, writer = await asyncio.open_connection(sock=client)
            assert (await read_message(reader)).status == 200
            writer.close()

    run_scenario(scenario())


def test_a_client_that_keeps_sending_parts_of_a_request_is_rejected() -> None:
    """Unread bytes at a check of the timeouts postpone the timeout a limited number of times."""

    async def scenario() -> None:
        async with site() as test_site:
            data = job("c1")
            client = socket.create_connection(("127.0.0.1", test_site.process.server.port))
            client.sendall(data[:20])
            connection, *_ = await until(lambda: list(test_site.process.server.connections))
            await until(lambda: connection.has_received_data)
            after_timeout = connection.state_entered_at + connection_table.REQUEST_TIMEOUT_S + 0.1
            for position in range(20, 30):
                client.sendall(data[position : position + 1])
                test_site.process.server.table.enforce_timeouts(after_timeout)
            reader, writer = await asyncio.open_connection(sock=client)
            assert (await read_message(reader)).status == 408
            writer.close()

    run_scenario(scenario())


async def send_megabytes(writer: asyncio.StreamWriter, count: int) -> None:
    """Send a number of megabytes, waiting for the send buffer after each."""
    for _ in range(count):
        writer.write(bytes(1_000_000))
        await writer.drain()


def test_a_large_body_is_rejected_and_not_buffered() -> None:
    """The client reads the response and keeps sending until the connection is closed."""

    async def scenario() -> None:
        async with site() as test_site:
            reader, writer = await asyncio.open_connection("127.0.0.1", test_site.process.server.port)
            writer.write(HEAD + b"X-Correlation-Id: a\r\nContent-Length: 60000000\r\n\r\n")
            assert (await read_message(reader)).start_line.split()[1] == "413"
            with pytest.raises(ConnectionError):
                await send_megabytes(writer, 60)
            assert not test_site.process.server.connections

    run_scenario(scenario())


def test_many_idle_connections_block_neither_requests_nor_callbacks() -> None:
    """Connections without a complete request are evicted; the one that sends requests is not."""

    async def scenario() -> None:
        async with site() as test_site:
            test_site.process.server.table.max_connections = 10
            reader, writer = await asyncio.open_connection("127.0.0.1", test_site.process.server.port)
            incomplete = []
            for number in range(5):
                writer.write(job(f"c{number}"))
                assert (await read_message(reader)).body == b"TEXT"
                for _ in range(20):
                    incomplete.append(
                        await asyncio.open_connection("127.0.0.1", test_site.process.server.port)
                    )
                    incomplete[-1][1].write(b"GET /_he")
                assert (
                    await request(test_site.address, encode_message("GET /_health HTTP/1.1"))
                ).body == b"ok"
                assert len(test_site.process.server.connections) <= 10
            assert test_site.process.counters.counts["client_connections_evicted_reading"] >= 80
            for _, other_writer in [*incomplete, (reader, writer)]:
                other_writer.close()

    run_scenario(scenario())


def test_silent_connections_are_evicted_before_one_that_receives_a_request_in_pieces() -> None:
    """The latter is the oldest, but eviction goes by the last received bytes."""

    async def scenario() -> None:
        async with site() as test_site:
            test_site.process.server.table.max_connections = 10
            address = ("127.0.0.1", test_site.process.server.port)
            reader, writer = await asyncio.open_connection(*address)
            silent: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
            counts = test_site.process.counters.counts
            for piece in (job()[start : start + 20] for start in range(0, len(job()), 20)):
                writer.write(piece)
                silent.extend([await asyncio.open_connection(*address) for _ in range(5)])
                await until(lambda: counts["client_connections"] > len(silent))
            assert (await read_message(reader)).body == b"TEXT"
            assert counts["client_connections_evicted_reading"] > 10
            for _, other_writer in [*silent, (reader, writer)]:
                other_writer.close()

    run_scenario(scenario())


def test_an_idle_connection_with_an_unread_request_is_not_evicted() -> None:
    """A connection that has just been aborted counts as having no unread request, and is evicted."""

    async def scenario() -> None:
        async with site() as test_site:
            server = test_site.process.server
            reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
            writer.write(job("c0"))
            await read_message(reader)
            await until(lambda: len(server.connections) == 1)  # the callback's connection has closed
            (idle,) = server.table.by_state[ConnectionState.IDLE]
            writer.write(job("c1"))
            await writer.drain()
            assert idle.has_unread_data() and not server.table.evict_one()
            assert (await read_message(reader)).body == b"TEXT"
            idle.abort()
            await asyncio.sleep(0)  # its socket is closed, but connection_lost has not run yet
            assert not idle.has_unread_data() and server.table.evict_one()
            writer.close()

    run_scenario(scenario())


def test_few_connections_are_accepted_per_loop_iteration() -> None:
    """Otherwise descriptors could run out before the connection limit is enforced."""

    async def scenario() -> None:
        async with site() as test_site:
            address = ("127.0.0.1", test_site.process.server.port)
            socks = [socket.create_connection(address) for _ in range(100)]  # the loop does not run meanwhile
            descriptors_before = len(os.listdir("/proc/self/fd"))
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            assert len(os.listdir("/proc/self/fd")) - descriptors_before <= 2 * client_server.MAX_ACCEPTS
            await until(lambda: test_site.process.counters.counts["client_connections"] >= 100)
            for sock in socks:
                sock.close()

    run_scenario(scenario())


def test_malformed_input_does_not_affect_another_connection() -> None:
    """Each bad request gets its status while a valid connection continues to work."""

    async def scenario() -> None:
        async with site() as test_site:
            reader, writer = await asyncio.open_connection("127.0.0.1", test_site.process.server.port)
            for number, (data, status) in enumerate(BAD_REQUESTS):
                bad_reader, bad_writer = await asyncio.open_connection(
                    "127.0.0.1", test_site.process.server.port
                )
                bad_writer.write(data)
                response = await read_message(bad_reader)
                assert int(response.start_line.split()[1]) == status, data[:80]
                assert await bad_reader.read() == b"", data[:80]
                bad_writer.close()
                writer.write(job(f"c{number}"))
                assert (await read_message(reader)).body == b"TEXT"
            assert http_channel.MAX_HEAD_BYTES < 20_000

    run_scenario(scenario())


def test_requests_above_the_limit_are_rejected_at_once() -> None:
    """The rejection has a Retry-After header; the open request is not affected."""

    async def scenario() -> None:
        async with site(caps={"max_open": 1}) as test_site:
            worker = test_site.workers[0]
            worker.script = worker.accept
            first = asyncio.create_task(test_site.post("c1"))
            await worker.until("POST")
            second = await test_site.post("c2")
            assert (second.start_line.split()[1], second.headers["retry-after"]) == ("503", "2.000")
            await worker.send_callback("c1", state="done", result="ok")
            assert (await first).body == b"ok"

    run_scenario(scenario())
