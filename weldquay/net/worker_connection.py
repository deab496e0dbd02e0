"""An HTTP/1.1 client connection to a match worker, which can be reused for later requests."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Mapping
from dataclasses import dataclass

import h11

from weldquay.net.buffer_budget import BufferBudget, BufferShare
from weldquay.net.http_receiver import HttpReceiver
from weldquay.net.messages import MAX_BODY_BYTES, Body
from weldquay.net.streams import CountingReader, has_unread_bytes

READ_SIZE = 16 * 1024  # bytes
MAX_UNBUDGETED_BYTES = 4 * 1024  # of the body of a response that is read whatever others hold
MAX_HEAD_BYTES = 16 * 1024  # limit for the head of a response


class WorkerRequestError(Exception):
    """A request to a worker failed; the text describes the failure."""


class RequestNotSent(WorkerRequestError):
    """The request was not written completely, so the worker has not started it."""


class AttemptAborted(RequestNotSent):
    """The request was not written for a reason in this process, not in the worker."""


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

    def __init__(self, reader: CountingReader, writer: asyncio.StreamWriter, buffers: BufferBudget) -> None:
        """Use a connection; buffers: what all connections of the process may hold."""
        self.held = BufferShare(buffers)
        self.reader = reader
        self.writer = writer
        writer.transport.set_write_buffer_limits(high=0)  # makes drain wait until all bytes are written
        self.http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.receiver = HttpReceiver(self.http)
        self.idle_since = 0.0  # seconds, monotonic clock

    async def send_request(self, request: h11.Request, body: Body = b"") -> WorkerResponse:
        """Send a request and read its response.

        Raises:
            RequestNotSent: the request could not be written.
            ConnectionLost: the response is incomplete or invalid.
        """
        parts = self.http.send_with_data_passthrough(request) or []
        if body:
            # h11 passes through any object with a length, but its type annotation is narrower.
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
        finally:
            self.held.set_size(0)

    async def _read_response(self) -> WorkerResponse:
        status = 0
        headers: dict[bytes, bytes] = {}
        body = bytearray()
        while True:
            event = self.receiver.next_event()
            if event is h11.NEED_DATA:
                if self.reader.buffered_bytes:
                    await asyncio.sleep(0)  # a read of buffered bytes does not give way to other tasks
                self.receiver.receive_data(await self.reader.read(READ_SIZE))
            elif isinstance(event, h11.Response):
                status = event.status_code
                headers = dict(event.headers)
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > MAX_BODY_BYTES:
                    raise h11.RemoteProtocolError(f"the body is longer than {MAX_BODY_BYTES} bytes")
                self.held.set_size(len(body))
                if len(body) > MAX_UNBUDGETED_BYTES and self.held.budget.is_exceeded:
                    raise h11.RemoteProtocolError("all connections together hold too much")
            elif isinstance(event, h11.EndOfMessage):
                return WorkerResponse(status, headers, bytes(body))
            elif isinstance(event, h11.ConnectionClosed):
                raise h11.RemoteProtocolError("the connection was closed before the response was complete")

    def mark_idle(self) -> bool:
        """Prepare the connection for the next request.  Return False if it cannot be reused.

        Reading is paused, so that bytes or a close that arrive on the idle connection remain pending at the
        socket, where `is_usable` detects them.
        """
        if self.http.our_state is not h11.DONE or self.http.their_state is not h11.DONE:
            return False
        if self.reader.at_eof() or self.writer.is_closing():
            return False
        if self.reader.buffered_bytes or self.receiver.unparsed_data:
            return False  # excess bytes after a response would be parsed as the next response
        self.http.start_next_cycle()
        self.writer.transport.pause_reading()  # type: ignore[attr-defined]
        self.idle_since = time.monotonic()
        return True

    def is_usable(self) -> bool:
        """Return whether neither the end of the stream nor unexpected bytes arrived while it was idle."""
        return not self.writer.is_closing() and not has_unread_bytes(self.reader, self.writer)

    def resume_reading(self) -> None:
        """Resume reading from the socket after the idle state."""
        self.writer.transport.resume_reading()  # type: ignore[attr-defined]

    def abort(self) -> None:
        """Close the connection immediately."""
        self.writer.transport.abort()
