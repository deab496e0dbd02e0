"""Answers and call-backs that break off, never end or come twice: one outcome, and no forbidden repeat."""

from __future__ import annotations

import asyncio
import json
import socket
import struct

import pytest

from example.toy import Message, write_message
from tests.site import ACCEPTED, Script, Scripted, Site, job, site, until
from weldquay.net import attempt_runner

FULL = write_message("HTTP/1.1 503 Busy", b"", "X-Unprocessed: 1")


async def cut_head(_message: Message, writer: asyncio.StreamWriter) -> None:
    """Half of the 202's head, then the end."""
    writer.write(ACCEPTED[:15])
    await writer.drain()
    writer.close()


async def cut_body(_message: Message, writer: asyncio.StreamWriter) -> None:
    """A head that promises more than comes."""
    writer.write(b"HTTP/1.1 202 Accepted\r\nContent-Length: 50\r\n\r\nabc")
    await writer.drain()
    writer.close()


async def reset_body(_message: Message, writer: asyncio.StreamWriter) -> None:
    """The same, ended by a reset."""
    writer.write(b"HTTP/1.1 202 Accepted\r\nContent-Length: 50\r\n\r\nabc")
    await writer.drain()
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def garbage(_message: Message, writer: asyncio.StreamWriter) -> None:
    """No HTTP at all."""
    writer.write(b"\x16\x03\x01 nothing of the kind\r\n\r\n")


async def endless(_message: Message, writer: asyncio.StreamWriter) -> None:
    """A chunked answer without an end."""
    writer.write(b"HTTP/1.1 202 Accepted\r\nTransfer-Encoding: chunked\r\n\r\n")
    while not writer.is_closing():
        writer.write(b"1\r\nx\r\n")
        await asyncio.sleep(0.05)


@pytest.mark.parametrize("script", [cut_head, cut_body, reset_body, garbage, endless])
@pytest.mark.parametrize(("path", "posts", "status"), [("/lookup", 2, 200), ("/import", 1, 502)])
def test_a_202_that_breaks_off_leaves_one_outcome(
    script: Script, path: str, posts: int, status: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It may have run: what may run again is sent again, once the worker was told; the other fails."""
    monkeypatch.setattr(attempt_runner, "ACCEPT_TIMEOUT_S", 0.2)

    async def scenario() -> None:
        async with site() as here:
            worker = here.workers[0]

            async def once(message: Message, writer: asyncio.StreamWriter) -> None:
                worker.script = None
                await script(message, writer)

            worker.script = once
            assert (await here.post(path=path, left_ms=1500)).status == status
            await until(lambda: not here.program.coordinator.attempts and not here.program.workers.busy)
            assert worker.methods().count("POST") == posts and "DELETE" in worker.methods()
            if posts == 2:  # never two at once
                assert worker.methods() == ["POST", "DELETE", "POST"]

    asyncio.run(scenario())


@pytest.mark.parametrize("late", [False, True])
def test_a_second_answer_is_not_the_answer_to_the_next_request(late: bool) -> None:
    """It came behind the 202 and told of no room: the next job on that connection was sent twice."""

    async def scenario() -> None:
        async with site(caps={"probes": False}) as here:
            worker = here.workers[0]

            async def twice(message: Message, writer: asyncio.StreamWriter) -> None:
                worker.script = None
                call = message.headers["x-correlation-id"]
                writer.write(ACCEPTED + (b"" if late else FULL))
                if late:
                    await until(
                        lambda: any(each.idle_connections for each in here.program.workers.workers.values())
                    )
                    writer.write(FULL)
                await worker.tell(call, state="done", result="one")

            worker.script = twice
            assert (await here.post("c1")).body == b"one"
            assert (await here.post("c2")).body == b"TEXT"
            counts = here.program.counters.counts
            assert worker.methods() == ["POST", "POST"] and not counts["attempts_full"]
            assert counts["attempts_ok"] == 2

    asyncio.run(scenario())


def done(call: str, worker: Scripted, result: str) -> bytes:
    """A call-back's bytes."""
    told = json.dumps({"id": call, "from": worker.name, "state": "done", "result": result}).encode()
    return write_message("POST /callback HTTP/1.1", told)


async def connect(here: Site) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """A connection to the dispatcher."""
    return await asyncio.open_connection("127.0.0.1", here.program.server.port)


async def in_work(here: Site) -> asyncio.Task[Message]:
    """The answer to a call that the worker has taken, and says no more of."""
    here.workers[0].script = here.workers[0].accept
    answer = asyncio.create_task(here.post())
    await here.workers[0].until("POST")
    return answer


@pytest.mark.parametrize("size", [1, 20, 100])
def test_a_call_back_in_pieces_counts_once_it_is_whole(size: int) -> None:
    """However it is cut; one that ends in its midst counts for nothing, and its next try does."""

    async def scenario() -> None:
        async with site() as here:
            answer = await in_work(here)
            data = done("c1", here.workers[0], "whole")
            _, torn = await connect(here)
            torn.write(data[:-3])
            await torn.drain()
            torn.close()
            reader, writer = await connect(here)
            for at in range(0, len(data), size):
                writer.write(data[at : at + size])
                await writer.drain()
            assert (await reader.read(12)).startswith(b"HTTP/1.1 204")
            assert (await answer).body == b"whole"
            assert here.program.counters.counts["attempts_ok"] == 1
            writer.close()

    asyncio.run(scenario())


def test_half_a_call_back_at_the_end_is_taken_in_whole_or_not_at_all() -> None:
    """The rest comes after the shutdown began: it is answered, and closes its connection."""

    async def scenario() -> None:
        async with site() as here:
            answer = await in_work(here)
            data = done("c1", here.workers[0], "late")
            reader, writer = await connect(here)
            writer.write(data[:30])
            await until(
                lambda: any(
                    each.has_received and each.requests.open_request is None
                    for each in here.program.server.connections
                )
            )
            here.program.server.begin_closing()
            writer.write(data[30:])
            assert b"204" in await reader.read() and (await answer).body == b"late"
            writer.close()

    asyncio.run(scenario())


@pytest.mark.parametrize("path", ["/lookup", "/import"])
def test_a_200_that_its_client_cuts_short_runs_nothing_again(path: str) -> None:
    """The call has its result; what becomes of the answer is the client's."""

    async def scenario() -> None:
        async with site() as here:
            worker = here.workers[0]
            worker.script = worker.telling("q" * 60_000)
            sock = socket.create_connection(("127.0.0.1", here.program.server.port))
            sock.setblocking(False)
            sock.send(job(path=path))
            await asyncio.get_running_loop().sock_recv(sock, 100)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            sock.close()
            await until(lambda: not here.program.server.connections)
            assert worker.methods() == ["POST"] and not here.program.coordinator.requests
            assert here.program.counters.counts["answers_served"] == 1

    asyncio.run(scenario())
