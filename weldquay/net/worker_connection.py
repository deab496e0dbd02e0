"""One connection to a match worker: a request, its response, and whether the connection can be reused."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Mapping
from dataclasses import dataclass

import h11

from weldquay.net.messages import MAX_BODY_BYTES, Body
from weldquay.net.streams import CountingReader, has_unread_bytes

READ_SIZE = 64 * 1024  # bytes
MAX_HEAD_BYTES = 16 * 1024  # bytes of a response's head


class WorkerRequestError(Exception):
    """A request to a worker has failed; the text says how."""


class RequestNotSent(WorkerRequestError):
    """The last byte of the request was not written, so the worker has not started it."""


class AttemptAborted(RequestNotSent):
    """The request was not written for a reason that lies in this process, not in the worker."""


class ConnectionLost(WorkerRequestError):
    """The connection broke after the request was written and before its response was complete."""


@dataclass(frozen=True, slots=True)
class WorkerResponse:
    """A worker's response; the names of its headers are in lower case."""

    status: int
    headers: Mapping[bytes, bytes]
    body: bytes


class WorkerConnection:
    """One connection to a worker, for one request at a time."""

    def __init__(self, reader: CountingReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        writer.transport.set_write_buffer_limits(high=0)  # so that drain waits for the last byte
        self.http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.idle_since = 0.0  # s, monotonic clock

    async def send_request(self, request: h11.Request, body: Body = b"") -> WorkerResponse:
        """Send a request and read its response.

        Raises RequestNotSent if writing fails, and ConnectionLost if the response breaks off or is invalid.
        """
        parts = self.http.send_with_data_passthrough(request) or []
        if body:
            # h11 passes through anything with a length; only its annotation is narrower.
            parts += self.http.send_with_data_passthrough(h11.Data(data=body)) or []  # type: ignore[arg-type]
        parts += self.http.send_with_data_passthrough(h11.EndOfMessage()) or []
        try:
            self.writer.writelines(parts)
            await self.writer.drain()
        except OSError as error:
            raise RequestNotSent(f"writing the request failed: {error}") from error
        try:
            return await self._read_response()
        except (OSError, h11.RemoteProtocolError) as error:
            raise ConnectionLost(f"reading the response failed: {error}") from error

    async def _read_response(self) -> WorkerResponse:
        status = 0
        headers: dict[bytes, bytes] = {}
        body = bytearray()
        while True:
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                self.http.receive_data(await self.reader.read(READ_SIZE))
            elif isinstance(event, h11.Response):
                status = event.status_code
                headers = dict(event.headers)
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > MAX_BODY_BYTES:
                    raise h11.RemoteProtocolError(f"the body is longer than {MAX_BODY_BYTES} bytes")
            elif isinstance(event, h11.EndOfMessage):
                return WorkerResponse(status, headers, bytes(body))
            elif isinstance(event, h11.ConnectionClosed):
                raise h11.RemoteProtocolError("the connection was closed before the response was complete")

    def mark_idle(self) -> bool:
        """Prepare the connection for the next request; False if it cannot be reused.

        Reading is paused, so that everything that happens to an idle connection stays visible at its socket.
        """
        if self.http.our_state is not h11.DONE or self.http.their_state is not h11.DONE:
            return False
        if self.reader.at_eof() or self.writer.is_closing():
            return False
        if self.reader.buffered_bytes or self.http.trailing_data[0]:
            return False  # bytes after a response would be read as the response to the next request
        self.http.start_next_cycle()
        self.writer.transport.pause_reading()  # type: ignore[attr-defined]
        self.idle_since = time.monotonic()
        return True

    def is_usable(self) -> bool:
        """True if nothing has arrived on the idle connection: neither its end nor unexpected bytes."""
        return not self.writer.is_closing() and not has_unread_bytes(self.reader, self.writer)

    def resume_reading(self) -> None:
        """End the idle state: read from the socket again."""
        self.writer.transport.resume_reading()  # type: ignore[attr-defined]

    def abort(self) -> None:
        """Close the connection at once."""
        self.writer.transport.abort()
