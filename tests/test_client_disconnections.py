"""Disconnecting clients: no attempt of their requests starts afterwards."""

from __future__ import annotations

import asyncio
import socket
import struct
import time

import pytest

from example.toy import Message, encode_message
from tests.reading import no_turns
from tests.site import ACCEPTED, Site, job, site, until
from weldquay import interface as api
from weldquay.net.hot_restart_messages import MigratedConnection
from weldquay.net.messages import Callback
from weldquay.net.worker_connection import WorkerConnection
from weldquay.net.worker_endpoint import WorkerEndpoint

# Numbers of bytes that a client sends after its request; within and above each limit on read-ahead.
EXTRA_BYTES = [0, 3_000, 20_000, 100_000, 400_000]


def connect_client(test_site: Site, request_id: str, extra_bytes: int = 0) -> socket.socket:
    """Connect, send one request followed by extra bytes, and return the client's socket."""
    sock = socket.create_connection(("127.0.0.1", test_site.process.server.port))
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1024 * 1024)
    assert sock.send(job(request_id) + b"x" * extra_bytes) > extra_bytes / 2
    return sock


def disconnect(sock: socket.socket, how: str) -> None:
    """Close, reset or half-close a client's connection."""
    if how == "reset":
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    if how == "half":
        sock.shutdown(socket.SHUT_WR)
    else:
        sock.close()


async def wait_for_open_requests(test_site: Site, count: int) -> None:
    """Wait until this number of requests is open."""
    await until(lambda: len(test_site.process.coordinator.requests) == count)


async def wait_for_disconnections(test_site: Site, count: int = 1) -> float:
    """Wait until this number of clients is counted as disconnected, and return the elapsed time (s)."""
    started_at = time.monotonic()
    await until(lambda: test_site.process.counters.counts["clients_disconnected"] == count)
    return time.monotonic() - started_at


async def return_worker_to_service(test_site: Site) -> None:
    """Set the worker to SERVING, and complete one request."""
    await test_site.discovery.change(test_site.workers[0], "SERVING")
    assert (await test_site.post("last")).body == b"TEXT"


async def drain_worker(test_site: Site) -> None:
    """Drain the only worker, so that requests have to wait."""
    await test_site.discovery.change(test_site.workers[0], "DRAINING")
    await until(lambda: test_site.process.discovery.revision == test_site.discovery.revision)


@pytest.mark.parametrize("how", ["close", "reset", "half"])
@pytest.mark.parametrize("extra_bytes", EXTRA_BYTES)
def test_disconnection_while_waiting_for_first_attempt(how: str, extra_bytes: int) -> None:
    """The disconnection is detected however much data the client has sent after its request."""

    async def scenario() -> None:
        async with site() as test_site:
            await drain_worker(test_site)
            sock = connect_client(test_site, "c1", extra_bytes)
            await wait_for_open_requests(test_site, 1)
            await asyncio.sleep(0.05)  # until the extra bytes are read, up to the limit
            disconnect(sock, how)
            assert await wait_for_disconnections(test_site) < 1  # takes 0.1 s unless this machine stalls
            assert test_site.process.server.context.read_ahead_budget.used_bytes == 0
            await return_worker_to_service(test_site)
            assert test_site.workers[0].methods() == ["POST"]
            sock.close()

    asyncio.run(scenario())


def test_burst_of_disconnections() -> None:
    """All clients disconnect at the moment when capacity becomes available."""

    async def scenario() -> None:
        async with site() as test_site:
            await drain_worker(test_site)
            socks = [connect_client(test_site, f"c{number}", 100) for number in range(120)]
            await wait_for_open_requests(test_site, 120)
            for number, sock in enumerate(socks):
                disconnect(sock, "reset" if number % 2 else "close")
            await test_site.discovery.change(test_site.workers[0], "SERVING")
            await wait_for_disconnections(test_site, 120)
            assert (await test_site.post("last")).body == b"TEXT"
            assert test_site.workers[0].methods().count("POST") == 1

    asyncio.run(scenario())


@pytest.mark.parametrize("cancel", [True, False])
@pytest.mark.parametrize("path", ["/lookup", "/import"])
def test_disconnection_while_connecting_to_worker(path: str, cancel: bool) -> None:
    """Nothing is written on the new connection, even if the settings allow no cancellation."""

    async def scenario() -> None:
        async with site(caps={"probes": False, "cancel": cancel}) as test_site:
            workers, gate = test_site.process.workers, asyncio.Event()
            connect = workers.connections.connect

            async def delayed_connect(worker: WorkerEndpoint) -> WorkerConnection:
                await gate.wait()
                return await connect(worker)

            workers.connections.connect = delayed_connect  # type: ignore[method-assign]
            sock = socket.create_connection(("127.0.0.1", test_site.process.server.port))
            sock.sendall(job(path=path))
            await until(lambda: test_site.process.coordinator.attempts)
            sock.close()
            await wait_for_disconnections(test_site)
            gate.set()
            await until(lambda: not test_site.process.coordinator.attempts and not workers.attempts.sending)
            assert (await test_site.post("last")).body == b"TEXT"
            assert test_site.workers[0].methods() == ["POST"]  # no DELETE, since no job had been sent

    asyncio.run(scenario())


def test_disconnection_between_two_attempts() -> None:
    """The retry waits for the DELETE of the first attempt, and is not sent after the disconnection."""

    async def scenario() -> None:
        async with site(caps={"probes": False}) as test_site:
            worker, gate, posts = test_site.workers[0], asyncio.Event(), list[Message]()

            async def abort(message: Message, writer: asyncio.StreamWriter) -> None:
                posts.append(message)
                writer.transport.abort()

            answer = worker.answer

            async def delay_delete(message: Message, writer: asyncio.StreamWriter) -> None:
                if message.method == "DELETE":
                    await gate.wait()
                await answer(message, writer)

            worker.script, worker.answer = abort, delay_delete  # type: ignore[method-assign]
            sock = socket.create_connection(("127.0.0.1", test_site.process.server.port))
            sock.sendall(job())
            await until(
                lambda: any(
                    request.attempts_started == 2
                    for request in test_site.process.coordinator.requests.by_number.values()
                )
            )
            sock.close()
            await wait_for_disconnections(test_site)
            gate.set()
            await until(
                lambda: (
                    not test_site.process.workers.has_pending_cancellations
                    and not test_site.process.workers.attempts.sending
                )
            )
            assert len(posts) == 1

    asyncio.run(scenario())


def test_disconnection_while_connection_migrates() -> None:
    """The disconnection is detected although reading is paused and the connection cannot migrate yet."""

    async def scenario() -> None:
        async with site() as test_site:
            worker, migrated = test_site.workers[0], list[MigratedConnection]()

            async def hang(_message: Message, _writer: asyncio.StreamWriter) -> None:
                await asyncio.sleep(3600)

            worker.script = hang
            sock = socket.create_connection(("127.0.0.1", test_site.process.server.port))
            sock.sendall(job(path="/import"))
            await worker.until("POST")
            test_site.process.server.start_migration(migrated.append)
            await asyncio.sleep(0.05)
            sock.close()
            await wait_for_disconnections(test_site)
            assert not migrated

    asyncio.run(scenario())


def test_pipelined_requests_within_limit_are_served() -> None:
    """Pipelined requests are buffered up to a limit, and served in order."""

    async def scenario() -> None:
        async with site() as test_site:
            reader, writer = await asyncio.open_connection("127.0.0.1", test_site.process.server.port)
            body = b"y" * 30_000
            for number in range(4):
                writer.write(
                    encode_message(
                        "POST /lookup HTTP/1.1", body, f"X-Correlation-Id: c{number}", "X-Time-Left-Ms: 5000"
                    )
                )
            received = b""
            while received.count(b"Y" * 30_000) < 4:
                received += await reader.read(65536)
            assert received.count(b"200 OK") == 4
            writer.close()

    asyncio.run(scenario())


def test_flood_after_request_is_limited_and_request_is_answered() -> None:
    """Bytes beyond the limit are read and dropped, and the connection closes after the response."""

    async def scenario() -> None:
        async with site() as test_site:
            worker, may_finish = test_site.workers[0], asyncio.Event()

            async def complete_later(message: Message, writer: asyncio.StreamWriter) -> None:
                writer.write(ACCEPTED)
                await may_finish.wait()
                await worker.send_callback(message.headers["x-correlation-id"], state="done", result="late")

            worker.script = complete_later
            reader, writer = await asyncio.open_connection("127.0.0.1", test_site.process.server.port)
            writer.write(job())
            await worker.until("POST")
            connection, *_ = test_site.process.server.connections
            for _ in range(32):
                writer.write(b"z" * 100_000)
                await writer.drain()
            await until(lambda: connection.requests.read_ahead.is_exceeded)
            assert test_site.process.server.context.read_ahead_budget.used_bytes <= 256 * 1024
            may_finish.set()
            received = b""
            while data := await reader.read(65536):
                received += data
            assert received.startswith(b"HTTP/1.1 200") and received.endswith(b"late")
            assert b"Connection: close" in received
            writer.close()

    asyncio.run(scenario())


def test_a_waiting_request_is_not_sent_after_its_client_has_left_behind_unread_bytes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The end of the stream is found although a busy process has not read what comes before it."""

    async def scenario() -> None:
        async with site() as test_site:
            await drain_worker(test_site)
            sock = connect_client(test_site, "c1")
            await wait_for_open_requests(test_site, 1)
            async with no_turns(test_site, monkeypatch):
                sock.send(b"x" * 30_000)
                sock.close()
                await test_site.discovery.change(test_site.workers[0], "SERVING")
                await wait_for_disconnections(test_site)
            await return_worker_to_service(test_site)
            assert test_site.workers[0].methods() == ["POST"]

    asyncio.run(scenario())


def test_a_pipelined_request_is_not_submitted_after_its_client_has_left(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The request before it is answered while the end of the stream is unread."""

    async def scenario() -> None:
        async with site() as test_site:
            worker, counts = test_site.workers[0], test_site.process.counters.counts
            worker.script = worker.accept
            sock = connect_client(test_site, "c1")
            await worker.until("POST")
            sock.send(job("c2"))
            (connection,) = [
                each for each in test_site.process.server.connections if each.requests.open_request
            ]
            await until(lambda: connection.requests.read_ahead.size)
            async with no_turns(test_site, monkeypatch):
                sock.send(b"x" * 30_000)
                sock.close()
                callback = completion("c1")
                assert test_site.process.coordinator.handle_callback(callback)
                await until(lambda: counts["requests_of_disconnected_clients"])
            worker.script = None
            assert (await test_site.post("last")).body == b"TEXT"
            ids = {message.headers.get("x-correlation-id") for message in worker.received}
            assert "c2" not in ids and counts["requests"] == 2

    asyncio.run(scenario())


def completion(request_id: str) -> Callback:
    """Return the callback that completes a job of worker w0."""
    return Callback(request_id, "w0", api.Outcome.OK, result="done")


def test_a_request_with_megabytes_unread_behind_it_is_not_sent_after_its_client_has_left() -> None:
    """The end of the stream cannot arrive before the bytes in front of it are read."""

    async def scenario() -> None:
        async with site() as test_site:
            worker = test_site.workers[0]
            assert (await test_site.post("first")).body == b"TEXT"  # later attempts need no probe
            for number in range(5):
                sock = socket.create_connection(("127.0.0.1", test_site.process.server.port))
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4 * 1024 * 1024)
                sock.setblocking(False)
                sent = sock.send(
                    job(f"c{number}") + b"x" * 4_000_000
                )  # the event loop does not run meanwhile
                assert sent > 1_000_000
                sock.close()
            await asyncio.sleep(0.5)
            assert (await test_site.post("last")).body == b"TEXT"
            ids = [m.headers["x-correlation-id"] for m in worker.received if m.method == "POST"]
            assert ids == ["first", "last"]

    asyncio.run(scenario())
