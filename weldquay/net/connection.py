"""A connection that a client or a match worker opened: its requests in, its answers out.

Rules: one request at a time; a call that waits keeps its connection read, as that is how a client's leaving
shows; what cannot be taken in is answered, then the connection closes.  Each end is a lingering close: the
writing half is shut, what still comes is read and dropped, and only then the connection is closed.  So no
answer is taken back by a reset, and no request that was read after the shutdown is sent on.  The server
owns the connection and may end it.
"""

from __future__ import annotations

import asyncio
import os
import time
from contextlib import suppress
from enum import Enum
from typing import TYPE_CHECKING

import h11

from weldquay.net.calls import Answer, Call, Expected, Overload, Passed, Served
from weldquay.net.messages import (
    MAX_BODY,
    Body,
    Figures,
    MessageError,
    callback,
    class_name,
    figures,
    job_of,
    last_answer,
    request_again,
    retry_after,
)
from weldquay.net.streams import HUNG_UP, CountingReader, shows, unread

if TYPE_CHECKING:
    from weldquay.net.server import ClientServer

READ_SIZE = 16 * 1024
MAX_HEAD = 16 * 1024
MAX_AHEAD = 16 * 1024  # bytes taken in while a call waits; beyond that they count against all clients' share
MOST_AHEAD = 256 * 1024  # of one client; the rest is dropped, and its connection closes after the answer
PASS_S = 0.02  # how often a call in hand is looked at that is to be passed on
MAX_LINGER = 1024 * 1024  # and may send on so much, which is read and dropped
SLOW_S = 10.0  # a client that takes its last answer slowly has so long; one that takes nothing LINGER_S
REASONS = {
    200: b"OK",
    204: b"No Content",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
}
HEALTH, CALLBACK = b"/_health", b"/callback"


class State(Enum):
    """What a connection is doing."""

    READING = "reading"  # new, or in the midst of a request: its time is limited
    CALLING = "calling"  # a call waits for its answer
    RESTING = "resting"  # kept between requests
    LEAVING = "leaving"  # the last answer is out; what still comes is dropped


class Connection:
    """A connection that a client or a match worker opened; it carries one request at a time."""

    def __init__(
        self,
        server: ClientServer,
        reader: CountingReader,
        writer: asyncio.StreamWriter,
        passed: Passed | None,
        expected: Expected | None,
    ) -> None:
        self.server, self.reader, self.writer = server, reader, writer
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD)
        self.request: h11.Request | None = None
        self.body: list[Body] = []
        self.size = 0
        self.call: Call | None = None
        self.ahead = 0  # bytes taken in while a call waits
        self.overrun = False  # more came than is kept: the connection closes after the answer
        self.heard = False  # something has come
        self.passing = False  # it goes to a newer process
        self.expected = expected  # the call of its first request, where that goes on here
        self.state, self.since = State.READING, time.monotonic()
        if passed is not None and passed.call is None:
            self.state, self.since = State.RESTING if passed.resting else State.READING, passed.since
        self.left_at, self.unsent = 0.0, 0  # since when it leaves, and what of its answer is still here
        server.among[self.state][self] = None

    @property
    def leaving(self) -> bool:
        """True once the last answer is out."""
        return self.state is State.LEAVING

    def _enter(self, state: State) -> None:
        """Go over into another state; what leaves stays so."""
        if not self.leaving:
            del self.server.among[self.state][self]
            self.state, self.since = state, time.monotonic()
            self.server.among[state][self] = None
            if state is State.RESTING and self.server.pass_on is not None:
                asyncio.get_running_loop().call_soon(self.begin_passing)

    def begin_passing(self) -> None:
        """Stop reading, unless in the midst of a request; what was read goes along, by way of `run`."""
        midst = self.state is State.READING and self.heard
        full = self.call is not None and (self.ahead > MAX_AHEAD or self.overrun)
        if not (self.passing or midst or full or self.leaving or self.writer.is_closing()):
            self.passing = True
            self.writer.transport.pause_reading()  # type: ignore[attr-defined]
            self.reader.feed_eof()  # ends the waiting of `run`

    async def _pass_on(self, data: bytes) -> None:
        """Give the connection to the newer process, once all is written; its end here closes nothing.

        With a call in hand it waits until that can go as well, or has its answer.
        """
        while more := await self.reader.read(READ_SIZE):
            data += more
        server, exchange = self.server, self.server.exchange
        while self.call is not None and (server.pass_on is None or not exchange.may_pass(self.call)):
            if shows(self.writer, HUNG_UP):  # its leaving must show, though nothing is read any more
                return
            await asyncio.sleep(PASS_S)
        if self.call is None:
            self.writer.transport.set_write_buffer_limits(high=0)
            await self.writer.drain()
        if self.server.pass_on is None or self.leaving or self.writer.is_closing():
            return
        ahead, told = self.http.trailing_data[0] + data, None
        if self.call is not None:
            self.server.counters.add("calls_passed_on")
            assert self.request is not None
            left_ns = self.call.deadline_ns - time.monotonic_ns()
            ahead = request_again(self.request, b"".join(self.body), left_ns) + ahead
            told = exchange.pass_on(self.call)
            self.server.in_hand.discard(self.call.id)
            self.call = None
        self.server.counters.add("clients_passed_on")
        file = os.dup(self.writer.get_extra_info("socket").fileno())
        self.server.pass_on(Passed(file, ahead, self.state is State.RESTING, self.since, told))

    def forget(self) -> None:
        """Count no more among the connections."""
        self.server.among[self.state].pop(self, None)
        self.server.connections.pop(self, None)

    def evict(self) -> None:
        """Close at once and make room; what it may still bring is not taken in."""
        self.forget()
        self.state = State.LEAVING
        self.abort()

    def abort(self) -> None:
        """Close at once."""
        self.writer.transport.abort()

    def unread(self) -> bool:
        """True where something has come that was not taken in."""
        return unread(self.reader, self.writer)

    def pending(self) -> bool:
        """True while a part of an answer has not gone to the system."""
        return self.writer.transport.get_write_buffer_size() > 0

    def shut(self) -> None:
        """End the connection where nothing is under way on it; what has come by now is answered first."""
        if not self.unread():
            self._leave()

    def lost(self) -> None:
        """The connection has ended: a call still in hand loses its client."""
        self.forget()
        self._count_ahead(0)
        self.server.forget_call(self.expected)
        if self.call is not None:
            self.server.in_hand.discard(self.call.id)
            self.server.exchange.client_gone(self.call)
            self.call = None

    def _count_ahead(self, size: int) -> None:
        self.server.ahead += size - self.ahead
        self.ahead = size

    def out_of_time(self, now: float) -> None:
        """The request took too long, or the last answer is not read."""
        if self.state is State.LEAVING:
            left = self.writer.transport.get_write_buffer_size()
            if left < self.unsent and now - self.left_at < SLOW_S:  # a slow client still takes its answer
                self.unsent, self.since = left, now
                return
            self.abort()
        elif self.heard:
            self._reject(408, "the request was not whole in time")
        elif not self.unread():
            self.abort()

    async def run(self) -> None:
        """Read until the connection ends, while a call waits too: that is how a client's leaving shows."""
        while not self.leaving:
            if self.call is None:  # a client that does not read must not hide its leaving
                await self.writer.drain()
            data = await self.reader.read(READ_SIZE)
            if self.passing:
                await self._pass_on(data)
                return
            if self.leaving or (not data and self.call is not None):
                break
            self.heard = self.heard or bool(data)
            if self.state is State.READING:  # what makes progress is not the first to make room
                self.server.among[State.READING][self] = self.server.among[State.READING].pop(self)
            if self.call is None:
                self.http.receive_data(data)
                self._advance()
            else:
                self._read_ahead(data)
        if self.leaving:  # closed with bytes unread, a socket would take its answer back
            dropped = 0
            while dropped < MAX_LINGER and (data := await self.reader.read(READ_SIZE)):
                dropped += len(data)
            self.writer.transport.set_write_buffer_limits(high=0)
            await self.writer.drain()  # a client that has sent all may still read; the server bounds it

    def _read_ahead(self, data: bytes) -> None:
        """Take in what comes while a call waits.

        Guards against clients that send without end; they are read on, as else their leaving would not show.
        """
        most = self.server.most_ahead
        if self.ahead + len(data) > MAX_AHEAD and (
            self.ahead + len(data) > MOST_AHEAD or self.server.ahead + len(data) > most
        ):
            self.overrun = True
        if not self.overrun:
            self._count_ahead(self.ahead + len(data))
            self.http.receive_data(data)

    def _leave(self) -> None:
        """The last answer is written: end the writing half, so that the client sees it, and drop the rest."""
        if not self.leaving:
            self._enter(State.LEAVING)
            self.left_at, self.unsent = self.since, self.writer.transport.get_write_buffer_size()
            if self.writer.can_write_eof() and not self.writer.is_closing():
                self.writer.write_eof()

    def _advance(self) -> None:
        """Take in what has been read, up to a call that has to wait for its answer."""
        try:
            while self.call is None and not self.leaving and not self.passing:
                event = self.http.next_event()
                if isinstance(event, h11.Request):
                    self._begin(event)
                elif isinstance(event, h11.Data):
                    self._collect(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    self._finish()
                elif isinstance(event, h11.ConnectionClosed):
                    self._leave()
                else:  # more bytes are needed
                    if self.http.they_are_waiting_for_100_continue:
                        self.writer.write(
                            self.http.send(h11.InformationalResponse(status_code=100, headers=[])) or b""
                        )
                    if self.state is State.RESTING and (self.request or self.http.trailing_data[0]):
                        self._enter(State.READING)
                    return
        except h11.RemoteProtocolError as error:
            self._reject(error.error_status_hint, str(error))

    def _begin(self, request: h11.Request) -> None:
        self.request, self.body, self.size = request, [], 0
        headers = dict(request.headers)
        if b"transfer-encoding" in headers and (
            b"content-length" in headers or request.http_version < b"1.1"
        ):
            # Guards against a request hidden in a body: where it ends depends on which header one believes.
            self._reject(400, "the length of the body is ambiguous")
        elif int(headers.get(b"content-length", b"0")) > MAX_BODY:
            self._reject(413, "the body is too large")

    def _collect(self, data: bytes | bytearray) -> None:
        self.size += len(data)
        if self.size > MAX_BODY:
            self._reject(413, "the body is too large")
        else:
            self.body.append(memoryview(data))

    def _reject(self, status: int, why: str) -> None:
        """Answer what cannot be taken in, and close: a client that sends such has nothing else to say."""
        self.server.counters.add(f"rejected_{status}")
        self._last(status, why.encode())

    def _last(self, status: int, body: bytes) -> None:
        """Write an answer after which the connection closes, past h11, which costs more than the rest."""
        head = self.request is not None and self.request.method == b"HEAD"
        self.writer.write(last_answer(status, body, head))
        self._leave()

    def _finish(self) -> None:
        """Act on a whole request."""
        request = self.request
        assert request is not None
        body: Body = self.body[0] if len(self.body) == 1 else b"".join(self.body)
        self.body = [body]  # in one piece only: with those that it came in it would be held twice
        path = request.target.split(b"?", 1)[0]
        job_class = self.server.classes.get(class_name(path))
        try:
            if path == HEALTH:
                if request.method not in (b"GET", b"HEAD"):
                    self._reject(405, "only GET and HEAD")
                elif self.server.serving():
                    self._last(200, b"ok")
                else:
                    self._last(503, b"draining")
            elif path != CALLBACK and job_class is None:
                self._reject(404, "no such class or path")
            elif request.method != b"POST":
                self._reject(405, "only POST")
            elif job_class is None:
                if not self.server.exchange.call_back(callback(body, self.server.config.report_fields)):
                    self.server.pass_back(bytes(body))
                self._write(204)
            else:
                self._open(request, job_class, body)
        except MessageError as error:
            self._reject(400, str(error))

    def _open(self, request: h11.Request, job_class: int, body: Body) -> None:
        """Hand a call to the exchange."""
        told: Figures = figures(request.headers)
        if (expected := self.expected) is not None:
            self.expected, self.call, expected.call.on_answer = None, expected.call, self._answer
            self._enter(State.CALLING)
            for answer in expected.answers:
                self._answer(answer)
            return
        if self.server.refusing:
            self.server.counters.add("calls_out_of_service")
            self._overload(self.server.config.settings.max_retry_after_ns)
            return
        if told.id in self.server.in_hand or told.id in self.server.elsewhere:
            self._reject(409, "a call with this id is in hand")
            return
        job = job_of(request, body)
        self._count_ahead(len(self.http.trailing_data[0]))
        self.call = self.server.exchange.open(job_class, told, job, self._answer)
        if self.call is None:
            self._overload(self.server.config.settings.max_retry_after_ns)
        else:
            self.server.in_hand.add(told.id)
            self._enter(State.CALLING)

    def _answer(self, answer: Answer) -> None:
        """Write the final answer of the call in hand."""
        assert self.call is not None
        self.server.in_hand.discard(self.call.id)
        self.call = None
        if isinstance(answer, Served):
            self._write(200, answer.result.encode())
        elif isinstance(answer, Overload):
            self._overload(answer.retry_after_ns)
        else:
            self._write(502, b"failed")
        if self.state is State.RESTING and self.http.trailing_data[0]:
            self.server.tasks.start(self._go_on(), "the next call of a connection")

    def _overload(self, wait_ns: int) -> None:
        wait = [(b"Retry-After", retry_after(wait_ns))] if wait_ns else []
        self._write(503, b"overloaded, come again", wait)

    async def _go_on(self) -> None:
        """Take in what has been read already, once the client has read its answers.

        Guards against clients that send on and on without reading: their answers would fill the memory.
        """
        with suppress(OSError):
            await self.writer.drain()
            self._advance()

    def _write(
        self, status: int, body: bytes = b"", headers: list[tuple[bytes, bytes]] | None = None
    ) -> None:
        """Write an answer; the connection closes after it where either side wants that."""
        headers = headers or []
        if status != 204:
            headers.append((b"Content-Length", b"%d" % len(body)))
        if self.server.closing or self.overrun:
            headers.append((b"Connection", b"close"))
        data = (
            self.http.send(h11.Response(status_code=status, headers=headers, reason=REASONS[status])) or b""
        )
        if body:
            data += self.http.send(h11.Data(data=body)) or b""
        data += self.http.send(h11.EndOfMessage()) or b""
        self.writer.write(data)
        self.request, self.body = None, []
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
            self._enter(State.RESTING)
        else:
            self._leave()
