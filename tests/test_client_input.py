"""What clients send, on real sockets: malformed input, slow requests, many connections."""

from __future__ import annotations

import asyncio
import os
import socket

import pytest

from example.toy import encode_message, read_message, request
from tests.site import job, run_scenario, site, until
from weldquay.net import client_server, connection_table, http_channel
from weldquay.net import dispatcher_process as program
from weldquay.net.connection_state import ConnectionState


def test_a_client_that_does_not_read_uses_little_memory(monkeypatch: pytest.MonkeyPatch) -> None:
    """Its next requests wait until it has read, and the shutdown does not wait for it."""

    async def scenario() -> None:
        async with site() as here:
            here.workers[0].script = here.workers[0].completing_with("x" * 60_000)
            client = socket.socket()
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            client.connect(("127.0.0.1", here.program.server.port))
            client.sendall(b"".join(job(f"c{number}") for number in range(300)))
            connection, *_ = await until(lambda: list(here.program.server.connections))
            size = connection.writer.transport.get_write_buffer_size
            await until(lambda: size() > 60_000)
            await asyncio.sleep(0.1)
            assert size() < 200_000 and len(here.program.coordinator.requests) <= 1
            await here.program.shut_down()
            client.close()

    monkeypatch.setattr(program, "DRAIN_KEEP_CONNECTIONS_S", 0.01)
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
def test_malformed_input_is_answered_and_its_rest_is_not_forwarded(data: bytes, statuses: list[str]) -> None:
    """The connection closes after the answer, also behind a complete request.

    A request that is hidden in a body of ambiguous length is not forwarded.
    """

    async def scenario() -> None:
        async with site() as here:
            reader, writer = await asyncio.open_connection("127.0.0.1", here.program.server.port)
            writer.write(data)
            assert [(await read_message(reader)).start_line.split()[1] for _ in statuses] == statuses
            assert await reader.read() == b""
            assert here.workers[0].methods() == ["POST"] * statuses.count("200")
            assert here.program.counters.counts["requests"] == statuses.count("200")
            writer.close()

    run_scenario(scenario())


PARTIAL_REQUESTS = [b"", b"POST /loo", HEAD, HEAD + b"X-Correlation-Id: a\r\nContent-Length: 9\r\n\r\nhalf"]


@pytest.mark.parametrize("is_reused", [False, True])
@pytest.mark.parametrize("part", PARTIAL_REQUESTS)
def test_a_request_that_is_too_slow_is_rejected(
    part: bytes, is_reused: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The time counts from the connection's start, or the first byte of a later request."""

    async def scenario() -> None:
        async with site() as here:
            reader, writer = await asyncio.open_connection("127.0.0.1", here.program.server.port)
            if is_reused:
                writer.write(job())
                assert (await read_message(reader)).body == b"TEXT"
                await asyncio.sleep(3 * connection_table.REQUEST_TIMEOUT_S)
            writer.write(part)
            if is_reused and not part:
                writer.write(job("c2"))
                assert (await read_message(reader)).body == b"TEXT"
            else:
                assert (await reader.read()).startswith(b"HTTP/1.1 408 " if part else b"")
            writer.close()

    monkeypatch.setattr(connection_table, "REQUEST_TIMEOUT_S", 0.2)
    run_scenario(scenario())


def test_a_request_that_arrived_while_the_process_stood_still_is_answered() -> None:
    """Its timeout is handled before its last bytes are read: it was answered with 408."""

    async def scenario() -> None:
        async with site() as here:
            data = job("c1")
            client = socket.create_connection(("127.0.0.1", here.program.server.port))
            client.sendall(data[:-1])
            connection, *_ = await until(lambda: list(here.program.server.connections))
            await until(lambda: connection.has_received)
            client.sendall(data[-1:])
            late = connection.since + connection_table.REQUEST_TIMEOUT_S + 0.1
            here.program.server.table.enforce_timeouts(late)
            reader, writer = await asyncio.open_connection(sock=client)
            assert (await read_message(reader)).status == 200
            writer.close()

    run_scenario(scenario())


def test_a_client_that_sends_without_end_is_rejected_all_the_same() -> None:
    """Unread bytes at each check of the timeouts postpone the end a few times only."""

    async def scenario() -> None:
        async with site() as here:
            data = job("c1")
            client = socket.create_connection(("127.0.0.1", here.program.server.port))
            client.sendall(data[:20])
            connection, *_ = await until(lambda: list(here.program.server.connections))
            await until(lambda: connection.has_received)
            late = connection.since + connection_table.REQUEST_TIMEOUT_S + 0.1
            for position in range(20, 30):
                client.sendall(data[position : position + 1])
                here.program.server.table.enforce_timeouts(late)
            reader, writer = await asyncio.open_connection(sock=client)
            assert (await read_message(reader)).status == 408
            writer.close()

    run_scenario(scenario())


async def send_megabytes(writer: asyncio.StreamWriter, count: int) -> None:
    """Send as many megabytes, one after another."""
    for _ in range(count):
        writer.write(bytes(1_000_000))
        await writer.drain()


def test_a_large_body_is_rejected_and_not_buffered() -> None:
    """The client reads the answer and continues to send, until the connection is closed."""

    async def scenario() -> None:
        async with site() as here:
            reader, writer = await asyncio.open_connection("127.0.0.1", here.program.server.port)
            writer.write(HEAD + b"X-Correlation-Id: a\r\nContent-Length: 60000000\r\n\r\n")
            assert (await read_message(reader)).start_line.split()[1] == "413"
            with pytest.raises(ConnectionError):
                await send_megabytes(writer, 60)
            assert not here.program.server.connections

    run_scenario(scenario())


def test_many_idle_connections_block_neither_requests_nor_callbacks() -> None:
    """Connections without a complete request are evicted; the one with requests is not."""

    async def scenario() -> None:
        async with site() as here:
            here.program.server.table.max_connections = 10
            reader, writer = await asyncio.open_connection("127.0.0.1", here.program.server.port)
            others = []
            for number in range(5):
                writer.write(job(f"c{number}"))
                assert (await read_message(reader)).body == b"TEXT"
                for _ in range(20):
                    others.append(await asyncio.open_connection("127.0.0.1", here.program.server.port))
                    others[-1][1].write(b"GET /_he")
                assert (await request(here.address, encode_message("GET /_health HTTP/1.1"))).body == b"ok"
                assert len(here.program.server.connections) <= 10
            assert here.program.counters.counts["client_connections_evicted_reading"] >= 80
            for _, other_writer in [*others, (reader, writer)]:
                other_writer.close()

    run_scenario(scenario())


def test_a_request_that_arrives_in_pieces_is_evicted_after_silent_ones() -> None:
    """It is the oldest connection, but the others have received nothing for longer."""

    async def scenario() -> None:
        async with site() as here:
            here.program.server.table.max_connections = 10
            address = ("127.0.0.1", here.program.server.port)
            reader, writer = await asyncio.open_connection(*address)
            others: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
            counts = here.program.counters.counts
            for piece in (job()[start : start + 20] for start in range(0, len(job()), 20)):
                writer.write(piece)
                others.extend([await asyncio.open_connection(*address) for _ in range(5)])
                await until(lambda: counts["client_connections"] > len(others))
            assert (await read_message(reader)).body == b"TEXT"
            assert counts["client_connections_evicted_reading"] > 10
            for _, other_writer in [*others, (reader, writer)]:
                other_writer.close()

    run_scenario(scenario())


def test_an_idle_connection_with_an_unread_request_is_not_evicted() -> None:
    """One that has just been aborted has no unread request, and is evicted."""

    async def scenario() -> None:
        async with site() as here:
            server = here.program.server
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
            await asyncio.sleep(0)  # its socket is closed, its end not yet taken in
            assert not idle.has_unread_data() and server.table.evict_one()
            writer.close()

    run_scenario(scenario())


def test_few_connections_are_accepted_in_one_turn_of_the_loop() -> None:
    """So the limit of connections is enforced before all descriptors are used."""

    async def scenario() -> None:
        async with site() as here:
            address = ("127.0.0.1", here.program.server.port)
            others = [socket.create_connection(address) for _ in range(100)]  # the loop does not run
            descriptors = len(os.listdir("/proc/self/fd"))
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            assert len(os.listdir("/proc/self/fd")) - descriptors <= 2 * client_server.MAX_ACCEPTS
            await until(lambda: here.program.counters.counts["client_connections"] >= 100)
            for sock in others:
                sock.close()

    run_scenario(scenario())


def test_malformed_input_does_not_affect_another_connection() -> None:
    """Each input has its status, while another connection is in use."""

    async def scenario() -> None:
        async with site() as here:
            reader, writer = await asyncio.open_connection("127.0.0.1", here.program.server.port)
            for number, (data, status) in enumerate(BAD_REQUESTS):
                bad_reader, bad_writer = await asyncio.open_connection("127.0.0.1", here.program.server.port)
                bad_writer.write(data)
                answer = await read_message(bad_reader)
                assert int(answer.start_line.split()[1]) == status, data[:80]
                assert await bad_reader.read() == b"", data[:80]
                bad_writer.close()
                writer.write(job(f"c{number}"))
                assert (await read_message(reader)).body == b"TEXT"
            assert http_channel.MAX_HEAD_BYTES < 20_000

    run_scenario(scenario())


def test_requests_above_the_limit_are_rejected_at_once() -> None:
    """The answer has Retry-After; the open request is not affected."""

    async def scenario() -> None:
        async with site(caps={"max_open": 1}) as here:
            worker = here.workers[0]
            worker.script = worker.accept
            first = asyncio.create_task(here.post("c1"))
            await worker.until("POST")
            second = await here.post("c2")
            assert (second.start_line.split()[1], second.headers["retry-after"]) == ("503", "2.000")
            await worker.send_callback("c1", state="done", result="ok")
            assert (await first).body == b"ok"

    run_scenario(scenario())
