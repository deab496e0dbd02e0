"""Streams that show whether there are unread bytes, in the reader's buffer or in the kernel's.

A connection is closed or reused only if it has no unread bytes, since the peer may just have written to it.
"""

from __future__ import annotations

import asyncio
import select
import socket
from collections.abc import Iterable
from typing import SupportsIndex

# Events for poll(2).
READABLE = select.POLLIN
WRITABLE = select.POLLOUT
HUNG_UP = select.POLLRDHUP | select.POLLHUP | select.POLLERR


RECEIVE_SIZE = 16 * 1024  # bytes that the event loop reads from a socket at a time


class CountingReader(asyncio.StreamReader):
    """A stream reader that counts the bytes in its buffer."""

    def __init__(self, limit: int) -> None:
        super().__init__(limit=limit)
        self.buffered_bytes = 0

    def feed_data(self, data: Iterable[SupportsIndex]) -> None:
        """Add received bytes to the buffer."""
        data = bytes(data)
        self.buffered_bytes += len(data)
        super().feed_data(data)

    async def read(self, n: int = -1) -> bytes:
        """Read up to n bytes; return b"" at the end of the stream."""
        data = await super().read(n)
        self.buffered_bytes -= len(data)
        return data


def limit_receive_size(writer: asyncio.StreamWriter) -> None:
    """Limit what the event loop reads from the connection at a time; asyncio's own limit is 256 KiB."""
    writer.transport.max_size = RECEIVE_SIZE  # type: ignore[attr-defined]


def socket_has_event(sock: socket.socket, events: int) -> bool:
    """Return whether one of the poll events is set on a socket, without waiting.

    Raises:
        ValueError: the socket is closed.
    """
    poll = select.poll()
    poll.register(sock.fileno(), events)
    return any(found_events & events for _, found_events in poll.poll(0))


def has_event(writer: asyncio.StreamWriter, events: int) -> bool:
    """Return whether one of the poll events is set on a connection; False once this side closed it."""
    return not writer.is_closing() and socket_has_event(writer.get_extra_info("socket"), events)


def has_peer_closed(writer: asyncio.StreamWriter) -> bool:
    """Return whether the peer has closed the connection or its write half, or this side has closed it.

    The end of the stream is found even behind unread bytes.
    """
    return writer.is_closing() or socket_has_event(writer.get_extra_info("socket"), HUNG_UP)


def has_unread_bytes(reader: CountingReader, writer: asyncio.StreamWriter) -> bool:
    """Return whether bytes, or the end of the stream, have arrived and are unread."""
    return reader.buffered_bytes > 0 or has_event(writer, READABLE)


async def connect(host: str, port: int, limit: int) -> tuple[CountingReader, asyncio.StreamWriter]:
    """Connect to a server; limit is the size of the reader's buffer in bytes.

    Raises:
        OSError: the connection failed, or the host is invalid.
    """
    loop = asyncio.get_running_loop()
    reader = CountingReader(limit)
    protocol = asyncio.StreamReaderProtocol(reader)
    try:
        transport, _ = await loop.create_connection(lambda: protocol, host, port)
    except UnicodeError as error:  # the host has an empty or too long label
        raise OSError(f"invalid host: {error}") from error
    writer = asyncio.StreamWriter(transport, protocol, reader, loop)
    limit_receive_size(writer)
    return reader, writer
