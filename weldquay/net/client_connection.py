"""One connection that a client or a match worker opened: its states, its requests and its answers.

Rules:
- One request is served at a time.
- The connection is read while a call waits for its answer, since that shows when the client leaves.
- A bad request is answered, then the connection closes.
- Each close is a lingering close: the writing half is shut down, what still arrives is read and dropped, and
  then the socket is closed.  So a reset cannot destroy an answer, and no request that arrives after the
  shutdown is served.
- The server owns the connection and may close it.
"""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import Callable
from contextlib import suppress
from enum import Enum
from typing import Protocol

import h11

from weldquay.net.requests import AcceptedRequest, Answer, ClientRequest, Rejected, Completed
from weldquay.net.config import Config
from weldquay.net.counters import Counters
from weldquay.net.request_coordinator import RequestCoordinator
from weldquay.net.hot_restart_messages import MigratedConnection
from weldquay.net.http_channel import HttpChannel, Progress, Rejection
from weldquay.net.messages import (
    Body,
    RequestMetadata,
    MessageError,
    parse_callback,
    class_name,
    parse_request_metadata,
    job_payload,
    closing_response,
    serialize_request,
    retry_after,
)
from weldquay.net.streams import HUNG_UP, CountingReader, has_event, unread
from weldquay.net.tasks import Tasks

READ_SIZE = 16 * 1024
# Bytes that a client may send while its call waits: always up to the allowance, up to the maximum as long as
# all clients together keep under max_ahead.  The rest is dropped, and the connection closes after the answer.
AHEAD_ALLOWANCE = 16 * 1024
MAX_AHEAD_PER_CLIENT = 256 * 1024
PASS_POLL_S = 0.02  # how often a call is checked that waits to be handed over
MAX_LINGER_BYTES = 1024 * 1024  # read and dropped during a lingering close
SLOW_READER_S = 10.0  # limit for a client that reads its last answer slowly; LINGER_S if it reads nothing
HEALTH, CALLBACK = b"/_health", b"/callback"


class State(Enum):
    """The states of a connection."""

    READING = "reading"  # new, or in the middle of a request: its time is limited
    WAITING = "calling"  # a call waits for its answer
    IDLE = "resting"  # kept open between requests
    LINGERING = "leaving"  # the last answer is written; what still arrives is dropped


class ConnectionOwner(Protocol):
    """What a connection uses of the server that owns it; `ClientServer` implements it."""

    config: Config
    counters: Counters
    coordinator: RequestCoordinator
    tasks: Tasks
    serving: Callable[[], bool]
    closing: bool  # every connection closes after its answer
    rejecting: bool  # calls are refused
    classes: dict[bytes, int]  # the number of each offered class, by its name
    connections: dict[ClientConnection, None]
    by_state: dict[State, dict[ClientConnection, None]]  # the connections in each state
    buffered_bytes: int  # bytes that clients have sent ahead of calls that wait
    max_buffered_bytes: int  # bytes; the limit for all clients together
    open_request_ids: set[str]  # ids of the open calls
    peer_request_ids: set[str]  # ids of the calls that are open at an older process
    # Hands a connection over to a newer process; None: there is none.
    migrate_connection: Callable[[MigratedConnection], None] | None
    return_callback: Callable[[bytes], None]  # forwards a call-back that matches nothing to an older process

    def discard_migrated(self, adopted: AcceptedRequest | None) -> None:
        """End an adopted call whose client has gone."""


class ClientConnection:
    """A connection that a client or a match worker opened; it carries one request at a time."""

    def __init__(
        self,
        server: ConnectionOwner,
        reader: CountingReader,
        writer: asyncio.StreamWriter,
        passed: MigratedConnection | None,
        adopted: AcceptedRequest | None,
    ) -> None:
        self.server, self.reader, self.writer = server, reader, writer
        self.channel = HttpChannel()
        self.call: ClientRequest | None = None
        self.ahead = 0  # bytes received while a call waits
        self.overrun = False  # more was received than is kept: the connection closes after the answer
        self.has_received = False  # any byte has been received
        self.is_passing = False  # it is being handed over to a newer process
        self.adopted = adopted  # the call of its first request, if that was taken over from an older process
        self.state, self.since = State.READING, time.monotonic()
        if passed is not None and passed.request is None:
            self.state = State.IDLE if passed.is_idle else State.READING
            self.since = passed.state_since or self.since
        self.linger_began, self.unsent = 0.0, 0  # when it began; bytes of the answer left then
        server.by_state[self.state][self] = None

    @property
    def is_lingering(self) -> bool:
        """True once the last answer is written."""
        return self.state is State.LINGERING

    def _enter(self, state: State) -> None:
        """Change the state; LINGERING is final."""
        if not self.is_lingering:
            del self.server.by_state[self.state][self]
            self.state, self.since = state, time.monotonic()
            self.server.by_state[state][self] = None
            if state is State.IDLE and self.server.migrate_connection is not None:
                asyncio.get_running_loop().call_soon(self.begin_passing)

    def begin_passing(self) -> None:
        """Stop reading, so that `run` hands the connection over; not in the middle of a request."""
        in_request = self.state is State.READING and self.has_received
        too_much = self.call is not None and (self.ahead > AHEAD_ALLOWANCE or self.overrun)
        if not (self.is_passing or in_request or too_much or self.is_lingering or self.writer.is_closing()):
            self.is_passing = True
            self.writer.transport.pause_reading()  # type: ignore[attr-defined]
            self.reader.feed_eof()  # ends the read in `run`

    async def _pass_on(self, data: bytes) -> None:
        """Hand the connection over to the newer process, with `data` and whatever else was read.

        Waits until an open call can be handed over too, or has its answer, and until all answers are written.
        The newer process gets a duplicate of the descriptor, so closing this one does not end the connection.
        """
        while more := await self.reader.read(READ_SIZE):
            data += more
        server, exchange = self.server, self.server.coordinator
        while self.call is not None and (
            server.migrate_connection is None or not exchange.can_migrate(self.call)
        ):
            if has_event(self.writer, HUNG_UP):  # the client has gone; no read would show it
                return
            await asyncio.sleep(PASS_POLL_S)
        if self.call is None:
            self.writer.transport.set_write_buffer_limits(high=0)
            await self.writer.drain()
        if self.server.migrate_connection is None or self.is_lingering or self.writer.is_closing():
            return
        ahead, request = self.channel.trailing + data, None
        if self.call is not None:
            self.server.counters.add("calls_passed_on")
            assert self.channel.request is not None
            left_ns = self.call.deadline_ns - time.monotonic_ns()
            ahead = serialize_request(self.channel.request, bytes(self.channel.body), left_ns) + ahead
            request = exchange.migrate_request(self.call)
            self.server.open_request_ids.discard(self.call.id)
            self.call = None
        self.server.counters.add("clients_passed_on")
        file = os.dup(self.writer.get_extra_info("socket").fileno())
        self.server.migrate_connection(
            MigratedConnection(file, ahead, self.state is State.IDLE, self.since, request)
        )

    def forget(self) -> None:
        """Remove the connection from the server's tables."""
        self.server.by_state[self.state].pop(self, None)
        self.server.connections.pop(self, None)

    def evict(self) -> None:
        """Close at once to make room; nothing more is read."""
        self.forget()
        self.state = State.LINGERING
        self.abort()

    def abort(self) -> None:
        """Close at once; what is not written yet is lost."""
        self.writer.transport.abort()

    def unread(self) -> bool:
        """True where bytes, or the end of the stream, have arrived and are not read yet."""
        return unread(self.reader, self.writer)

    def pending(self) -> bool:
        """True while a part of an answer is not yet in the system's send buffer."""
        return self.writer.transport.get_write_buffer_size() > 0

    def close_gracefully(self) -> None:
        """Begin a lingering close, unless unread bytes have arrived: those are answered first."""
        if not self.unread():
            self._linger()

    def connection_lost(self) -> None:
        """The connection has ended: end its open call."""
        self.forget()
        self._count_ahead(0)
        self.server.discard_migrated(self.adopted)
        if self.call is not None:
            self.server.open_request_ids.discard(self.call.id)
            self.server.coordinator.client_disconnected(self.call)
            self.call = None

    def _count_ahead(self, size: int) -> None:
        self.server.buffered_bytes += size - self.ahead
        self.ahead = size

    def on_timeout(self, now: float) -> None:
        """Handle a request or a lingering close that took too long; now: of the monotonic clock (s)."""
        if self.state is State.LINGERING:
            left = self.writer.transport.get_write_buffer_size()
            # A slow client that still reads its answer gets more time.
            if left < self.unsent and now - self.linger_began < SLOW_READER_S:
                self.unsent, self.since = left, now
                return
            self.abort()
        elif self.has_received:
            self._reject(408, "the request was not whole in time")
        elif not self.unread():
            self.abort()

    async def run(self) -> None:
        """Read and serve requests until the connection ends; OSError where it breaks.

        Reading goes on while a call waits, since that shows when the client leaves.
        """
        while not self.is_lingering:
            if self.call is None:  # with a call, a client that does not read must not stop the reads
                await self.writer.drain()
            data = await self.reader.read(READ_SIZE)
            if self.is_passing:
                await self._pass_on(data)
                return
            if self.is_lingering or (not data and self.call is not None):
                break
            self.has_received = self.has_received or bool(data)
            if self.state is State.READING:  # it moves to the end of those that may be evicted
                self.server.by_state[State.READING][self] = self.server.by_state[State.READING].pop(self)
            if self.call is None:
                self.channel.feed_data(data)
                self._advance()
            else:
                self._read_ahead(data)
        if self.is_lingering:  # a close with unread bytes would reset the connection and lose the answer
            dropped = 0
            while dropped < MAX_LINGER_BYTES and (data := await self.reader.read(READ_SIZE)):
                dropped += len(data)
            self.writer.transport.set_write_buffer_limits(high=0)
            await self.writer.drain()  # a half-closed client may still read; the server limits the time

    def _read_ahead(self, data: bytes) -> None:
        """Keep what arrives while a call waits, within the limits; drop it once they are exceeded.

        Guards against clients that send without end.
        """
        size = self.ahead + len(data)
        if size > AHEAD_ALLOWANCE and (
            size > MAX_AHEAD_PER_CLIENT
            or self.server.buffered_bytes + len(data) > self.server.max_buffered_bytes
        ):
            self.overrun = True
        if not self.overrun:
            self._count_ahead(size)
            self.channel.feed_data(data)

    def _linger(self) -> None:
        """Begin the lingering close: the last answer is written, and the writing half is shut down."""
        if not self.is_lingering:
            self._enter(State.LINGERING)
            self.linger_began, self.unsent = self.since, self.writer.transport.get_write_buffer_size()
            if self.writer.can_write_eof() and not self.writer.is_closing():
                self.writer.write_eof()

    def _advance(self) -> None:
        """Parse what was read and serve it, up to a call that waits for its answer."""
        while self.call is None and not self.is_lingering and not self.is_passing:
            progress = self.channel.advance()
            if isinstance(progress, Rejection):
                self._reject(progress.status, progress.why)
            elif progress is Progress.REQUEST:
                self._handle_request()
            elif progress is Progress.CLOSED:
                self._linger()
            else:
                if interim := self.channel.interim():
                    self.writer.write(interim)
                if self.state is State.IDLE and (self.channel.request or self.channel.trailing):
                    self._enter(State.READING)
                return

    def _reject(self, status: int, why: str) -> None:
        """Answer a bad request and close the connection."""
        self.server.counters.add(f"rejected_{status}")
        self._respond_and_close(status, why.encode())

    def _respond_and_close(self, status: int, body: bytes) -> None:
        """Write an answer and close the connection; without h11, whose cost would exceed all the rest."""
        request = self.channel.request
        head = request is not None and request.method == b"HEAD"
        self.writer.write(closing_response(status, body, head))
        self._linger()

    def _handle_request(self) -> None:
        """Serve a complete request: a health check, a call-back or a call."""
        request, body = self.channel.request, self.channel.body
        assert request is not None
        path = request.target.split(b"?", 1)[0]
        job_class = self.server.classes.get(class_name(path))
        try:
            if path == HEALTH:
                if request.method not in (b"GET", b"HEAD"):
                    self._reject(405, "only GET and HEAD")
                elif self.server.serving():
                    self._respond_and_close(200, b"ok")
                else:
                    self._respond_and_close(503, b"draining")
            elif path != CALLBACK and job_class is None:
                self._reject(404, "no such class or path")
            elif request.method != b"POST":
                self._reject(405, "only POST")
            elif job_class is None:
                if not self.server.coordinator.handle_callback(
                    parse_callback(body, self.server.config.report_fields)
                ):
                    self.server.return_callback(bytes(body))
                self._respond(204)
            else:
                self._open_call(request, job_class, body)
        except MessageError as error:
            self._reject(400, str(error))

    def _open_call(self, request: h11.Request, job_class: int, body: Body) -> None:
        """Pass a call to the exchange, or go on with the one that was taken over."""
        told: RequestMetadata = parse_request_metadata(request.headers)
        if (adopted := self.adopted) is not None:
            self.adopted, self.call, adopted.request.on_answer = None, adopted.request, self._answer
            self._enter(State.WAITING)
            for answer in adopted.answers:
                self._answer(answer)
            return
        if self.server.rejecting:
            self.server.counters.add("calls_out_of_service")
            self._respond_overload(self.server.config.settings.max_retry_after_ns)
            return
        if told.id in self.server.open_request_ids or told.id in self.server.peer_request_ids:
            self._reject(409, "a call with this id is in hand")
            return
        job = job_payload(request, body)
        self._count_ahead(len(self.channel.trailing))
        self.call = self.server.coordinator.submit(job_class, told, job, self._answer)
        if self.call is None:
            self._respond_overload(self.server.config.settings.max_retry_after_ns)
        else:
            self.server.open_request_ids.add(told.id)
            self._enter(State.WAITING)

    def _answer(self, answer: Answer) -> None:
        """Write the final answer of the open call."""
        assert self.call is not None
        self.server.open_request_ids.discard(self.call.id)
        self.call = None
        if isinstance(answer, Completed):
            self._respond(200, answer.result.encode())
        elif isinstance(answer, Rejected):
            self._respond_overload(answer.retry_after_ns)
        else:
            self._respond(502, b"failed")
        if self.state is State.IDLE and self.channel.trailing:
            self.server.tasks.start(self._resume(), "the next call of a connection")

    def _respond_overload(self, wait_ns: int) -> None:
        wait = [(b"Retry-After", retry_after(wait_ns))] if wait_ns else []
        self._respond(503, b"overloaded, come again", wait)

    async def _resume(self) -> None:
        """Serve the requests that were read already, once the client has read its answers.

        Guards against clients that send requests without reading: their answers would fill the memory.
        """
        with suppress(OSError):
            await self.writer.drain()
            self._advance()

    def _respond(
        self, status: int, body: bytes = b"", headers: list[tuple[bytes, bytes]] | None = None
    ) -> None:
        """Write an answer; the connection closes after it if either side has asked for that."""
        headers = headers or []
        if status != 204:
            headers.append((b"Content-Length", b"%d" % len(body)))
        if self.server.closing or self.overrun:
            headers.append((b"Connection", b"close"))
        self.writer.write(self.channel.respond(status, body, headers))
        if self.channel.begin_next():
            self._enter(State.IDLE)
        else:
            self._linger()
