"""One connection to a match worker: a request out, its answer in, and whether it may be used again."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Mapping
from dataclasses import dataclass

import h11

from weldquay.net.messages import MAX_BODY, Body
from weldquay.net.streams import CountingReader, unread

READ_SIZE = 64 * 1024
MAX_HEAD = 16 * 1024


class RequestNotSent(Exception):
    """The request's last byte was never written: the worker has not begun it."""


class AttemptAborted(RequestNotSent):
    """The request was not written, and nothing tells against the worker: it is not to have it any more."""


class ConnectionLost(Exception):
    """The connection broke after the request was written and before its answer was whole."""


@dataclass(frozen=True, slots=True)
class WorkerResponse:
    """A worker's answer."""

    status: int
    headers: Mapping[bytes, bytes]
    body: bytes


class WorkerConnection:
    """One connection to a worker, for one request at a time."""

    def __init__(self, reader: CountingReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        writer.transport.set_write_buffer_limits(high=0)  # so that drain waits for the last byte
        self.http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD)
        self.idle_since = 0.0

    async def ask(
        self, method: bytes, target: bytes, headers: list[tuple[bytes, bytes]], body: Body = b""
    ) -> WorkerResponse:
        """Send a request and read its answer."""
        parts = (
            self.http.send_with_data_passthrough(h11.Request(method=method, target=target, headers=headers))
            or []
        )
        if body:
            # h11 passes on what has a length; only its annotation is narrower.
            parts += self.http.send_with_data_passthrough(h11.Data(data=body)) or []  # type: ignore[arg-type]
        parts += self.http.send_with_data_passthrough(h11.EndOfMessage()) or []
        try:
            self.writer.writelines(parts)
            await self.writer.drain()
        except OSError as error:
            raise RequestNotSent from error
        try:
            return await self._read()
        except (OSError, h11.RemoteProtocolError) as error:
            raise ConnectionLost from error

    async def _read(self) -> WorkerResponse:
        status, headers, body = 0, dict[bytes, bytes](), bytearray()
        while True:
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                self.http.receive_data(await self.reader.read(READ_SIZE))
            elif isinstance(event, h11.Response):
                status, headers = event.status_code, dict(event.headers)
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > MAX_BODY:
                    raise h11.RemoteProtocolError("the answer is too large")
            elif isinstance(event, h11.EndOfMessage):
                return WorkerResponse(status, headers, bytes(body))
            elif isinstance(event, h11.ConnectionClosed):
                raise h11.RemoteProtocolError("the connection ended before the answer")

    def rest(self) -> bool:
        """Make ready to lie idle; False where the connection cannot be used again.

        Reading is paused, so that all that happens to an idle connection stays visible at its socket.
        """
        if self.http.our_state is not h11.DONE or self.http.their_state is not h11.DONE:
            return False
        if self.reader.at_eof() or self.writer.is_closing():
            return False
        if self.reader.buffered or self.http.trailing_data[0]:
            return False  # what comes behind an answer would pass for the answer to the next request
        self.http.start_next_cycle()
        self.writer.transport.pause_reading()  # type: ignore[attr-defined]
        self.idle_since = time.monotonic()
        return True

    def usable(self) -> bool:
        """True where nothing has come on the idle connection: neither its end nor stray bytes."""
        return not self.writer.is_closing() and not unread(self.reader, self.writer)

    def wake(self) -> None:
        """Read again."""
        self.writer.transport.resume_reading()  # type: ignore[attr-defined]

    def abort(self) -> None:
        """Close at once."""
        self.writer.transport.abort()
