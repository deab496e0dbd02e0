"""Operators' calls, on real sockets."""

from __future__ import annotations

import asyncio

import pytest

from example.toy import read_message, request
from tests.site import job, site, until
from weldquay.net import operators, program


def test_callers_that_complete_nothing_hold_up_nobody(monkeypatch: pytest.MonkeyPatch) -> None:
    """They make room for others, and have a limited time from connecting."""
    async def scenario() -> None:
        async with site() as here:
            idle = []
            for _ in range(3 * operators.MOST_CALLERS):
                idle.append(await asyncio.open_connection("127.0.0.1", here.program.operators.port))
                idle[-1][1].write(b"POST /control/in-")
            await until(lambda: here.program.exchange.listed)
            assert await here.operate("ready", "GET") == 200
            for reader, _ in idle:
                assert await reader.read() == b""
            assert await here.operate("ready", "POST") == 404
            assert await here.operate("in-service/x") == 404
            address = f"127.0.0.1:{here.program.operators.port}"
            assert (await request(address, b"nonsense\r\n\r\n")).start.split()[1] == "400"
    monkeypatch.setattr(operators, "CALL_S", 0.2)
    asyncio.run(scenario())


def test_an_operators_drain_empties_the_dispatcher_and_ends(monkeypatch: pytest.MonkeyPatch) -> None:
    """Health says no, resting clients and late calls go, a call in hand is served, call-backs go on."""
    async def scenario() -> None:
        async with site() as here:
            worker, port = here.workers[0], here.program.acceptor.port
            resting, rested = await asyncio.open_connection("127.0.0.1", port)
            rested.write(job("c0"))
            await read_message(resting)
            worker.script = worker.accept
            owed = asyncio.create_task(here.post())
            await until(lambda: worker.methods() == ["POST"] * 2)
            assert await here.operate("out-of-service") == await here.operate("out-of-service") == 200
            assert await here.health() == 503
            assert await resting.read() == b""
            await until(lambda: here.program.acceptor.refusing)
            late = await here.post("late")
            assert (late.start.split()[1], late.headers["connection"]) == ("503", "close")
            await worker.tell("c1", state="done", result="kept")
            assert ((answer := await owed).body, answer.headers["connection"]) == (b"kept", "close")
            assert await here.operate("in-service") == await here.health() == 200
            worker.script = None
            assert (again := await here.post("c2")).body == b"TEXT" and "connection" not in again.headers
            rested.close()
            ending = asyncio.create_task(here.program.finish())
            await until(lambda: here.program.phase is program.Phase.DRAINING)
            assert await here.operate("out-of-service") == await here.operate("in-service") == 503
            assert await here.operate("ready", "GET") == 503
            await ending
    monkeypatch.setattr(program, "SEEN_S", 0.05)
    monkeypatch.setattr(program, "EMPTY_S", 0.1)
    monkeypatch.setattr(program, "STAY_S", 0.2)
    asyncio.run(scenario())
