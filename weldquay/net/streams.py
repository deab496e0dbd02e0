"""Streams whose owner can see what has come and was not taken in yet: at its reader, and at the system.

Guards against an end that crosses bytes on their way: a connection is only shut, or used again, where nothing
waits on it.
"""

from __future__ import annotations

import asyncio
import select
import socket
from collections.abc import Iterable
from typing import SupportsIndex

COMING = select.POLLIN
HUNG_UP = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class CountingReader(asyncio.StreamReader):
    """A reader that tells how many bytes wait in it."""

    def __init__(self, limit: int) -> None:
        super().__init__(limit=limit)
        self.waiting = 0

    def feed_data(self, data: Iterable[SupportsIndex]) -> None:
        """Take in what has come."""
        data = bytes(data)
        self.waiting += len(data)
        super().feed_data(data)

    async def read(self, n: int = -1) -> bytes:
        """Hand out what has come."""
        data = await super().read(n)
        self.waiting -= len(data)
        return data


def polled(sock: socket.socket, events: int) -> bool:
    """True where the system tells one of these of a socket; a closed one must not be asked."""
    poll = select.poll()
    poll.register(sock.fileno(), events)
    return any(found & events for _, found in poll.poll(0))


def shows(writer: asyncio.StreamWriter, events: int) -> bool:
    """The same of a connection; nothing once it is closed here."""
    return not writer.is_closing() and polled(writer.get_extra_info("socket"), events)


def unread(reader: CountingReader, writer: asyncio.StreamWriter) -> bool:
    """True where bytes have come, or the other side's end, that nobody has taken in."""
    return reader.waiting > 0 or shows(writer, COMING)


async def connect(host: str, port: int, limit: int) -> tuple[CountingReader, asyncio.StreamWriter]:
    """A connection to a server; OSError where none comes up."""
    loop, reader = asyncio.get_running_loop(), CountingReader(limit)
    protocol = asyncio.StreamReaderProtocol(reader)
    transport, _ = await loop.create_connection(lambda: protocol, host, port)
    return reader, asyncio.StreamWriter(transport, protocol, reader, loop)
