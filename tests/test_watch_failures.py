"""Calls to discovery that fail, on real sockets."""

from __future__ import annotations

import asyncio

import pytest

from example.toy import Message, Server, write_message
from tests.site import play, site, until
from weldquay.net import discovery_client


NOTHING_NEW = b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n\n"
SHORT = {"HEARTBEAT_S": 0.05, "HEARTBEAT_GRACE_S": 0.05, "RESPONSE_TIMEOUT_S": 0.05}


@pytest.mark.parametrize(
    ("answer", "drips", "limits"),
    [
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", False, SHORT),  # no heartbeat after it
        (write_message("HTTP/1.1 503 Busy"), False, SHORT),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{]\n", False, SHORT),
        (b'HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{"revision":7,"mem', False, SHORT),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n{", True, {"VALUE_TIMEOUT_S": 0.2}),
    ],
    ids=["silent", "busy", "nonsense", "cut off", "no end"],
)
def test_a_watch_that_fails_is_asked_for_anew(
    answer: bytes, drips: bool, limits: dict[str, float], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Discovery is silent (its machine vanished), busy or talks nonsense; calls wait for its first answer.

    drips: bytes keep coming, but no line is ever whole; what changes meanwhile would never be received.
    """

    class Failing(Server):
        asked = 0
        well = False

        async def answer(self, _message: Message, writer: asyncio.StreamWriter) -> None:
            self.asked += 1
            writer.write(NOTHING_NEW if self.well else answer)
            while drips and not self.well and not writer.is_closing():
                writer.write(b" ")
                await asyncio.sleep(0.02)

    async def scenario() -> None:
        failing = Failing()
        async with site(discovery=failing) as here:
            waiting = asyncio.create_task(here.post())
            await until(lambda: failing.asked >= 2)
            assert here.program.counters.counts["lists_failed"] >= 1 and not here.workers[0].methods()
            failing.well = True
            assert (await waiting).body == b"TEXT"
            failing.well = False
            assert (await here.post("c2")).body == b"TEXT"

    for name, limit_s in limits.items():
        monkeypatch.setattr(discovery_client, name, limit_s)
    play(scenario())
