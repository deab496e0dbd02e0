"""Discovery that fails in a chosen way, for tests."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Awaitable, Callable

import pytest

from example.toy import Message, Server
from tests.site import WATCH_HEAD, list_of_one_worker
from weldquay.discovery import backoff, list_lease
from weldquay.net import discovery_client

FailureMode = Callable[[asyncio.StreamWriter, str], Awaitable[None]]


def chunk(data: bytes) -> bytes:
    """Return a chunk of a chunked response."""
    return b"%x\r\n%s\r\n" % (len(data), data)


async def reset(writer: asyncio.StreamWriter, _address: str) -> None:
    """Reset the connection before any response."""
    writer.transport.abort()


async def busy(writer: asyncio.StreamWriter, _address: str) -> None:
    """Respond with 503 immediately."""
    writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")


async def no_response(writer: asyncio.StreamWriter, _address: str) -> None:
    """Send nothing and keep the connection open."""


async def head_only(writer: asyncio.StreamWriter, _address: str) -> None:
    """Send only the head of a response."""
    writer.write(WATCH_HEAD)


async def half_value(writer: asyncio.StreamWriter, address: str) -> None:
    """Send the first half of a JSON value."""
    writer.write(WATCH_HEAD + chunk(list_of_one_worker(8, "DRAINING", address)[:40]))


async def endless_value(writer: asyncio.StreamWriter, _address: str) -> None:
    """Send a JSON value that does not end."""
    writer.write(WATCH_HEAD + chunk(b'{"revision": 8, "members": ['))
    while not writer.is_closing():
        writer.write(chunk(b"1,"))
        await asyncio.sleep(0.02)


async def revision_then_reset(writer: asyncio.StreamWriter, address: str) -> None:
    """Send a complete list, then reset the connection."""
    writer.write(WATCH_HEAD + chunk(list_of_one_worker(7, "SERVING", address) + b"\n"))
    await writer.drain()
    await asyncio.sleep(0.05)
    writer.transport.abort()


async def empty_response(writer: asyncio.StreamWriter, _address: str) -> None:
    """Send a complete response without a list."""
    writer.write(WATCH_HEAD + b"0\r\n\r\n")


async def older_revision(writer: asyncio.StreamWriter, address: str) -> None:
    """Send a list, then a change with an older revision."""
    writer.write(WATCH_HEAD + chunk(list_of_one_worker(7, "SERVING", address) + b"\n"))
    old = json.loads(list_of_one_worker(3, "SERVING", address)) | {"complete": False}
    writer.write(chunk(json.dumps(old).encode() + b"\n"))


async def garbage(writer: asyncio.StreamWriter, _address: str) -> None:
    """Send bytes that are not HTTP."""
    writer.write(b"\x00\x01\x02\r\n\r\n")


class FailingDiscovery(Server):
    """Discovery whose first polls fail; later ones get a list with a draining worker."""

    def __init__(self, failure_mode: FailureMode, failures: int) -> None:
        super().__init__()
        self.failure_mode = failure_mode
        self.failures_left = failures  # number of polls that still fail
        self.worker_address = "127.0.0.1:1"  # address of the worker in the list
        self.poll_times: list[float] = []  # monotonic times of the polls (s)
        self.targets: list[str] = []

    async def answer(self, message: Message, writer: asyncio.StreamWriter) -> None:
        """Fail, or send the list."""
        self.poll_times.append(time.monotonic())
        self.targets.append(message.target)
        self.failures_left -= 1
        if self.failures_left >= 0:
            await self.failure_mode(writer, self.worker_address)
        else:
            writer.write(WATCH_HEAD + chunk(list_of_one_worker(9, "DRAINING", self.worker_address) + b"\n"))


def reduce_timeouts(monkeypatch: pytest.MonkeyPatch) -> None:
    """Reduce the times of the discovery client and of the lease to a tenth."""
    for name in (
        "MIN_REFUSED_DELAY_NS",
        "REFUSED_DELAY_PER_DISPATCHER_NS",
        "POLL_DELAY_PER_DISPATCHER_NS",
        "INITIAL_DELAY_PER_DISPATCHER_NS",
        "MAX_STALENESS_NS",
        "MAX_QUEUE_NS",
        "RESPONSE_MARGIN_NS",
        "MAX_DELAY_NS",
        "MIN_DELAY_NS",
    ):
        monkeypatch.setattr(backoff, name, getattr(backoff, name) // 10)
    for name in ("MAX_STALENESS_NS", "MAX_LOCAL_STALENESS_NS", "SEND_MARGIN_NS"):
        monkeypatch.setattr(list_lease, name, getattr(list_lease, name) // 10)
    for name in (
        "HEARTBEAT_S",
        "HEARTBEAT_GRACE_S",
        "CONNECT_TIMEOUT_S",
        "RESPONSE_TIMEOUT_S",
        "VALUE_TIMEOUT_S",
        "QUEUE_FAILURE_S",
    ):
        monkeypatch.setattr(discovery_client, name, getattr(discovery_client, name) / 10)
