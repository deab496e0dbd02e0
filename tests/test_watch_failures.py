"""Failing watches: discovery falls silent, is busy or sends invalid data, and is polled again."""

from __future__ import annotations

import asyncio

import pytest

from example.toy import Message, Server, encode_message
from tests.site import run_scenario, site, until
from weldquay.net import discovery_client

UNCHANGED_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n\n"
SHORT_TIMEOUTS = {"HEARTBEAT_S": 0.05, "HEARTBEAT_GRACE_S": 0.05, "RESPONSE_TIMEOUT_S": 0.05}


@pytest.mark.parametrize(
    ("response", "sends_partial_value", "timeouts"),
    [
        # No heartbeat follows.
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", False, SHORT_TIMEOUTS),
        (encode_message("HTTP/1.1 503 Busy"), False, SHORT_TIMEOUTS),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{]\n", False, SHORT_TIMEOUTS),
        (b'HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{"revision":7,"mem', False, SHORT_TIMEOUTS),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n{", True, {"VALUE_TIMEOUT_S": 0.2}),
    ],
    ids=["no heartbeat", "busy", "invalid JSON", "truncated value", "endless value"],
)
def test_failed_watch_is_polled_again(
    response: bytes, sends_partial_value: bool, timeouts: dict[str, float], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Discovery sends nothing, is busy or sends invalid data; a request is held until its first valid value.

    sends_partial_value: bytes keep arriving, but no value is ever complete.
    """

    class FailingDiscovery(Server):
        polls = 0
        is_healthy = False

        async def answer(self, _message: Message, writer: asyncio.StreamWriter) -> None:
            self.polls += 1
            writer.write(UNCHANGED_RESPONSE if self.is_healthy else response)
            while sends_partial_value and not self.is_healthy and not writer.is_closing():
                writer.write(b" ")
                await asyncio.sleep(0.02)

    async def scenario() -> None:
        failing = FailingDiscovery()
        async with site(discovery=failing) as test_site:
            response_task = asyncio.create_task(test_site.post())
            await until(lambda: failing.polls >= 2)
            assert (
                test_site.process.counters.counts["discovery_failures"] >= 1
                and not test_site.workers[0].methods()
            )
            failing.is_healthy = True
            assert (await response_task).body == b"TEXT"
            failing.is_healthy = False
            assert (await test_site.post("c2")).body == b"TEXT"

    for name, timeout_s in timeouts.items():
        monkeypatch.setattr(discovery_client, name, timeout_s)
    run_scenario(scenario())
