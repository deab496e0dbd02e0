"""The lingering close of a client connection.

The writing half is shut down, what still arrives is read and dropped, and then the socket is closed.  A close
with unread bytes would reset the connection, and a reset can destroy an answer that is under way.
"""

from __future__ import annotations

import asyncio

READ_SIZE = 16 * 1024  # bytes
MAX_DROPPED_BYTES = 1024 * 1024  # of one lingering close
SLOW_READER_TIMEOUT_S = 10.0  # for a client that reads its last answer slowly


class LingeringClose:
    """One lingering close, from the end of the last answer."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, now: float) -> None:
        """Shut down the writing half; now: on the monotonic clock (s)."""
        self.reader = reader
        self.writer = writer
        self.started_at = now
        self.unsent_bytes = self._count_unsent_bytes()
        if writer.can_write_eof() and not writer.is_closing():
            writer.write_eof()

    def _count_unsent_bytes(self) -> int:
        return self.writer.transport.get_write_buffer_size()

    def has_progressed(self, now: float) -> bool:
        """True where the client has read more of its answer since the last call, and may take longer."""
        unsent_bytes = self._count_unsent_bytes()
        if unsent_bytes < self.unsent_bytes and now - self.started_at < SLOW_READER_TIMEOUT_S:
            self.unsent_bytes = unsent_bytes
            return True
        return False

    async def drain(self) -> None:
        """Drop what arrives up to the end of the stream, then wait until the answer is written.

        The caller limits the time.  A client that has shut down its own writing half may still read.

        Raises:
            OSError: the connection is lost.
        """
        dropped_bytes = 0
        while dropped_bytes < MAX_DROPPED_BYTES and (data := await self.reader.read(READ_SIZE)):
            dropped_bytes += len(data)
        self.writer.transport.set_write_buffer_limits(high=0)
        await self.writer.drain()
