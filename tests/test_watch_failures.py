"""Calls to discovery that fail, on real sockets."""

from __future__ import annotations

import asyncio

import pytest

from example.toy import Message, Server, write_message
from tests.site import play, site, until
from weldquay.net import discovery_client


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",  # and no heartbeat after it
        write_message("HTTP/1.1 503 Busy"),
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{]\n",
        b'HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{"revision":7,"mem',
    ],
)
def test_a_watch_that_fails_is_asked_for_anew(answer: bytes, monkeypatch: pytest.MonkeyPatch) -> None:
    """Discovery that is silent (its machine vanished), busy or talks nonsense; calls go on meanwhile."""

    class Failing(Server):
        asked = 0

        async def answer(self, message: Message, writer: asyncio.StreamWriter) -> None:
            self.asked += 1
            writer.write(answer)

    async def scenario() -> None:
        failing = Failing()
        async with site(discovery=failing) as here:
            assert (await here.post()).body == b"TEXT"
            await until(lambda: failing.asked >= 2)
            assert here.program.counters.counts["lists_failed"] >= 1

    for name in ("BEAT_S", "LATE_S", "ANSWER_S"):
        monkeypatch.setattr(discovery_client, name, 0.05)
    play(scenario())


def test_a_line_that_never_ends_is_no_watch(monkeypatch: pytest.MonkeyPatch) -> None:
    """Bytes keep coming, but no line is ever whole: what changes meanwhile would never be heard of."""

    class Dripping(Server):
        asked = 0

        async def answer(self, message: Message, writer: asyncio.StreamWriter) -> None:
            self.asked += 1
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n{")
            while not writer.is_closing():
                writer.write(b" ")
                await asyncio.sleep(0.02)

    async def scenario() -> None:
        dripping = Dripping()
        async with site(discovery=dripping) as here:
            assert (await here.post()).body == b"TEXT"
            await until(lambda: dripping.asked >= 2)

    monkeypatch.setattr(discovery_client, "VALUE_S", 0.2)
    play(scenario())
