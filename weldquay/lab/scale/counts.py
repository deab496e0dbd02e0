"""Counters of messages and bytes at the stand-ins, separately for real and hollow dispatchers.

A hollow dispatcher connects from its own address in 127.1.0.0/16, a real one from 127.0.0.1.  A request id
begins with the number of the dispatcher that received the request; real dispatchers have the numbers from 0.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import cast

from weldquay.lab.http import Message, Pool

HOLLOW_ADDRESS_PREFIX = "127.1."
MAX_IDLE_CONNECTIONS = 2  # kept open to each address, as a dispatcher does to each worker


def hollow_address(number: int) -> str:
    """Return the source address of a hollow dispatcher's connections."""
    return f"{HOLLOW_ADDRESS_PREFIX}{number // 250}.{number % 250 + 1}"


def peer_side(writer: asyncio.StreamWriter) -> str:
    """Return `real` or `hollow`: the kind of dispatcher at the other end of a connection."""
    peer = writer.get_extra_info("peername")
    return "hollow" if peer and str(peer[0]).startswith(HOLLOW_ADDRESS_PREFIX) else "real"


def message_size(message: Message) -> int:
    """Return the size in bytes of a received message."""
    lines = sum(len(name) + len(value) + 4 for name, value in message.headers.items())
    return len(message.start_line) + 2 + lines + 2 + len(message.body)


def request_kind(data: bytes) -> str:
    """Return the kind of an encoded request, by its method and target."""
    if data.startswith(b"POST /callback "):
        return "callbacks"
    return {b"POST": "attempts", b"GET ": "probes"}.get(data[:4], "deletes")


class MessageCounter(Counter[str]):
    """Counters named `side.name`: each message adds 1 to its name and its size to `name_bytes`."""

    def count_message(self, side: str, name: str, size: int) -> None:
        """Count a message and its bytes."""
        self[f"{side}.{name}"] += 1
        self[f"{side}.{name}_bytes"] += size

    def count_bytes(self, side: str, name: str, size: int) -> None:
        """Add bytes to a message that is counted already, such as those of its response."""
        self[f"{side}.{name}_bytes"] += size


class CountingWriter:
    """Counts the bytes of the response to one request; replaces the stream's own writer."""

    def __init__(self, writer: asyncio.StreamWriter, message: Message) -> None:
        self.writer, self.message, self.size = writer, message, 0

    def write(self, data: bytes) -> None:
        """Write data and count its bytes."""
        self.size += len(data)
        self.writer.write(data)

    def as_stream_writer(self) -> asyncio.StreamWriter:
        """Return itself, typed for callers that only write."""
        return cast(asyncio.StreamWriter, self)


class CountingPool(Pool):
    """Connection pool for one address that counts requests and responses and keeps few idle connections.

    source: the local address to connect from; empty: the operating system chooses.
    """

    def __init__(self, address: str, counter: MessageCounter, side: str, source: str = "") -> None:
        super().__init__(address)
        self.counter, self.side, self.source = counter, side, source

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection and count it."""
        self.counter[f"{self.side}.connections"] += 1
        local = (self.source, 0) if self.source else None
        return await asyncio.open_connection(self.host, self.port, local_addr=local)

    async def send_request(self, data: bytes) -> Message:
        """Send a request and read its response; both count under the kind of the request."""
        name = request_kind(data)
        self.counter.count_message(self.side, name, len(data))
        answer = await super().send_request(data)
        self.counter.count_bytes(self.side, name, message_size(answer))
        while len(self.idle) > MAX_IDLE_CONNECTIONS:
            self.idle.pop(0)[1].transport.abort()
        return answer
