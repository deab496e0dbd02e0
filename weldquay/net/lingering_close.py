"""Lingering close of a client connection.

The write half is shut down, bytes that still arrive are read and discarded, and then the socket is closed.
Closing a socket with unread bytes resets the connection, and a reset can discard a response in transit.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress

READ_SIZE = 16 * 1024  # bytes
MAX_DISCARDED_BYTES = 1024 * 1024  # limit for each lingering close
SLOW_READER_TIMEOUT_S = 10.0  # limit for a client that reads its last response slowly


class LingeringClose:
    """One lingering close, which starts after the last response was written."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, now: float) -> None:
        """Shut down the write half; now is in seconds of the monotonic clock."""
        self.reader = reader
        self.writer = writer
        self.started_at = now
        self.unsent_bytes = self._count_unsent_bytes()
        if writer.can_write_eof() and not writer.is_closing():
            with suppress(OSError):  # the client has reset the connection, which is not read yet
                writer.write_eof()

    def _count_unsent_bytes(self) -> int:
        return self.writer.transport.get_write_buffer_size()

    def has_progressed(self, now: float) -> bool:
        """Return whether the client has read more of its response since the last call and may take longer."""
        unsent_bytes = self._count_unsent_bytes()
        if unsent_bytes < self.unsent_bytes and now - self.started_at < SLOW_READER_TIMEOUT_S:
            self.unsent_bytes = unsent_bytes
            return True
        return False

    async def drain(self) -> None:
        """Discard received bytes until the end of the stream, then wait until the response is written.

        The caller sets the timeout.  A client that has shut down its own write half may still be reading.

        Raises:
            OSError: the connection is lost.
        """
        discarded_bytes = 0
        while discarded_bytes < MAX_DISCARDED_BYTES and (data := await self.reader.read(READ_SIZE)):
            discarded_bytes += len(data)
        self.writer.transport.set_write_buffer_limits(high=0)
        await self.writer.drain()
