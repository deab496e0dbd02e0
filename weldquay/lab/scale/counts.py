"""Counts of messages and bytes at the stand-ins, apart for real and hollow dispatchers.

A hollow dispatcher connects from an address of its own in 127.1.0.0/16, a real one from 127.0.0.1.  The id
of a request begins with the number of the dispatcher that it came to: the real ones first, from 0 on.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import cast

from weldquay.lab.http import Message, Pool

HOLLOW_NET = "127.1."
MAX_IDLE = 2  # connections kept to one address, as a dispatcher keeps them to a worker


def hollow_address(number: int) -> str:
    """Where the hollow dispatcher of a number connects from."""
    return f"{HOLLOW_NET}{number // 250}.{number % 250 + 1}"


def side_of(writer: asyncio.StreamWriter) -> str:
    """`real` or `hollow`: who is at the other end."""
    peer = writer.get_extra_info("peername")
    return "hollow" if peer and str(peer[0]).startswith(HOLLOW_NET) else "real"


def size_of(message: Message) -> int:
    """The bytes of a message that was read."""
    lines = sum(len(name) + len(value) + 4 for name, value in message.headers.items())
    return len(message.start_line) + 2 + lines + 2 + len(message.body)


def kind_of(data: bytes) -> str:
    """What a request is, by its first bytes."""
    if data.startswith(b"POST /callback "):
        return "callbacks"
    return {b"POST": "attempts", b"GET ": "probes"}.get(data[:4], "deletes")


class Tally(Counter[str]):
    """Counts by `side.name`; each message counts under its name, its bytes under `name_bytes`."""

    def note(self, side: str, name: str, size: int) -> None:
        """Count a message."""
        self[f"{side}.{name}"] += 1
        self[f"{side}.{name}_bytes"] += size

    def more(self, side: str, name: str, size: int) -> None:
        """Count bytes that belong to a message counted before: its answer."""
        self[f"{side}.{name}_bytes"] += size


class Answer:
    """A writer that counts what is written to one request; it stands in for the stream's own."""

    def __init__(self, writer: asyncio.StreamWriter, message: Message) -> None:
        self.writer, self.message, self.size = writer, message, 0

    def write(self, data: bytes) -> None:
        """Write and count."""
        self.size += len(data)
        self.writer.write(data)

    def as_writer(self) -> asyncio.StreamWriter:
        """The same to a caller that only writes."""
        return cast(asyncio.StreamWriter, self)


class CountingPool(Pool):
    """Connections to one address; requests and answers are counted, and few connections lie idle.

    source: the address to connect from; empty: the system's choice.
    """

    def __init__(self, address: str, tally: Tally, side: str, source: str = "") -> None:
        super().__init__(address)
        self.tally, self.side, self.source = tally, side, source

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """A new connection, counted."""
        self.tally[f"{self.side}.connections"] += 1
        local = (self.source, 0) if self.source else None
        return await asyncio.open_connection(self.host, self.port, local_addr=local)

    async def send_request(self, data: bytes) -> Message:
        """Send a request and read its answer; both count under the kind of request."""
        name = kind_of(data)
        self.tally.note(self.side, name, len(data))
        answer = await super().send_request(data)
        self.tally.more(self.side, name, size_of(answer))
        while len(self.idle) > MAX_IDLE:
            self.idle.pop(0)[1].transport.abort()
        return answer
