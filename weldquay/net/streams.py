"""Streams that show which bytes have arrived and are not read yet, in the reader's and the system's buffer.

A connection is closed or reused only where it has no such bytes.  Guards against closing a connection at the
moment when the other side writes to it.
"""

from __future__ import annotations

import asyncio
import select
import socket
from collections.abc import Iterable
from typing import SupportsIndex

READABLE = select.POLLIN
HUNG_UP = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class CountingReader(asyncio.StreamReader):
    """A reader that counts the bytes in its buffer."""

    def __init__(self, limit: int) -> None:
        super().__init__(limit=limit)
        self.buffered = 0

    def feed_data(self, data: Iterable[SupportsIndex]) -> None:
        """Add received bytes to the buffer."""
        data = bytes(data)
        self.buffered += len(data)
        super().feed_data(data)

    async def read(self, n: int = -1) -> bytes:
        """Return up to n bytes of the buffer; b"" at the end of the stream."""
        data = await super().read(n)
        self.buffered -= len(data)
        return data


def poll_now(sock: socket.socket, events: int) -> bool:
    """True where one of the poll events is set on a socket, without waiting; ValueError for a closed one."""
    poll = select.poll()
    poll.register(sock.fileno(), events)
    return any(found & events for _, found in poll.poll(0))


def has_event(writer: asyncio.StreamWriter, events: int) -> bool:
    """True where one of the poll events is set on a connection; False once it is closed on this side."""
    return not writer.is_closing() and poll_now(writer.get_extra_info("socket"), events)


def unread(reader: CountingReader, writer: asyncio.StreamWriter) -> bool:
    """True where bytes, or the end of the stream, have arrived and are not read yet."""
    return reader.buffered > 0 or has_event(writer, READABLE)


async def connect(host: str, port: int, limit: int) -> tuple[CountingReader, asyncio.StreamWriter]:
    """Connect to a server; limit: bytes of the reader's buffer.  Raises OSError where that fails."""
    loop, reader = asyncio.get_running_loop(), CountingReader(limit)
    protocol = asyncio.StreamReaderProtocol(reader)
    transport, _ = await loop.create_connection(lambda: protocol, host, port)
    return reader, asyncio.StreamWriter(transport, protocol, reader, loop)
