"""The acceptor: one listener for clients, for `/_health` and for the call-backs of match workers."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable
from contextlib import suppress

import h11

from weldquay.net.config import Config
from weldquay.net.counters import Counters
from weldquay.net.exchange import Answer, Call, Exchange, Overload, Served
from weldquay.net.messages import (
    MAX_BODY, Body, Figures, Job, MessageError, callback, class_name, figures, retry_after,
)
from weldquay.net.tasks import Tasks

log = logging.getLogger(__name__)

READ_SIZE = 64 * 1024
MAX_HEAD = 16 * 1024
MAX_AHEAD = 2 * MAX_BODY  # bytes that a client may send on while it waits for an answer
BACKLOG = 256
LINGER_S = 1.0  # after a refused message the client has this long to read why
REASONS = {
    200: b"OK", 204: b"No Content", 400: b"Bad Request", 404: b"Not Found", 405: b"Method Not Allowed",
    409: b"Conflict", 413: b"Content Too Large", 431: b"Request Header Fields Too Large",
    501: b"Not Implemented", 502: b"Bad Gateway", 503: b"Service Unavailable",
}
HEALTH, CALLBACK = b"/_health", b"/callback"
MALFORMED = (h11.RemoteProtocolError, MessageError)


class Acceptor:
    """The listener and its connections."""

    def __init__(
        self, config: Config, counters: Counters, exchange: Exchange, serving: Callable[[], bool]
    ) -> None:
        self.config, self.counters, self.exchange, self.serving = config, counters, exchange, serving
        self.closing = False  # every connection closes after its answer
        self.classes = {name: number for number, name in enumerate(config.class_names)}
        self.connections: dict[Connection, None] = {}
        self.most_connections = config.sockets * 6 // 10
        self.in_hand: set[str] = set()  # ids of the calls in hand
        self.tasks = Tasks()
        self.server: asyncio.Server | None = None

    async def listen(self) -> None:
        """Open the listener."""
        host, port = self.config.listen
        self.server = await asyncio.start_server(
            self._accept, host, port, backlog=BACKLOG, limit=READ_SIZE)

    @property
    def port(self) -> int:
        """The port that the listener has."""
        assert self.server is not None
        return int(self.server.sockets[0].getsockname()[1])

    def begin_closing(self) -> None:
        """Close the connections on which nothing is under way, and the others after their answers."""
        self.closing = True
        for connection in list(self.connections):
            if connection.idle:
                connection.close()

    async def stop(self) -> None:
        """Close the listener and all connections, answers being written out first."""
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            connection.close()
        try:
            async with asyncio.timeout(LINGER_S):
                while self.connections:
                    await asyncio.sleep(0.01)
        except TimeoutError:  # clients that do not read must not keep the program from its end
            for connection in list(self.connections):
                connection.writer.transport.abort()
        await self.tasks.stop()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self.connections) >= self.most_connections and not self._make_room():
            self.counters.add("clients_over_limit")
            writer.transport.abort()
            return
        connection = Connection(self, reader, writer)
        self.connections[connection] = None
        self.counters.add("client_connections")
        try:
            await connection.run()
        except OSError:
            pass  # the client's end of the connection broke; nothing more is owed on it
        except Exception:
            log.exception("a client's connection failed")
            self.counters.add("connections_broken")
        finally:
            del self.connections[connection]
            connection.lost()
            writer.transport.abort()

    def _make_room(self) -> bool:
        """Close the connection that has been idle for longest."""
        idle = [connection for connection in self.connections if connection.idle]
        if idle:
            min(idle, key=lambda connection: connection.last_used).close()
        return bool(idle)


class Connection:
    """A connection that a client or a match worker opened; it carries one request at a time."""

    def __init__(
        self, acceptor: Acceptor, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.acceptor, self.reader, self.writer = acceptor, reader, writer
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD)
        self.request: h11.Request | None = None
        self.body: list[Body] = []
        self.size = 0
        self.call: Call | None = None
        self.ahead = 0
        self.closing = False
        self.last_used = time.monotonic()

    @property
    def idle(self) -> bool:
        """True between requests."""
        return self.request is None and not self.closing

    def close(self) -> None:
        """Close once what is written has gone out."""
        self.closing = True
        self.writer.close()

    def lost(self) -> None:
        """The connection has ended: a call still in hand loses its client."""
        if self.call is not None:
            self.acceptor.in_hand.discard(self.call.id)
            self.acceptor.exchange.client_gone(self.call)
            self.call = None

    async def run(self) -> None:
        """Read until the connection ends, while a call waits too: that is how a client's leaving shows."""
        while not self.closing:
            await self.writer.drain()
            data = await self.reader.read(READ_SIZE)
            if not data and self.call is not None:
                return
            self.http.receive_data(data)
            if self.call is not None:
                self.ahead += len(data)
                if self.ahead > MAX_AHEAD:
                    return
            self._advance()
        await self._linger()

    async def _linger(self) -> None:
        """Let the last answer arrive: closed with bytes unread, a socket takes its answer back."""
        try:
            if self.writer.can_write_eof() and not self.writer.is_closing():
                self.writer.write_eof()
            async with asyncio.timeout(LINGER_S):
                while await self.reader.read(READ_SIZE):
                    pass
        except TimeoutError:
            pass

    def _advance(self) -> None:
        """Take in what has been read, up to a call that has to wait for its answer."""
        try:
            while self.call is None and not self.closing:
                event = self.http.next_event()
                if isinstance(event, h11.Request):
                    self._begin(event)
                elif isinstance(event, h11.Data):
                    self._collect(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    self._finish()
                elif isinstance(event, h11.ConnectionClosed):
                    self.closing = True
                else:  # more bytes are needed
                    if self.http.they_are_waiting_for_100_continue:
                        self.writer.write(self.http.send(
                            h11.InformationalResponse(status_code=100, headers=[])) or b"")
                    return
        except h11.RemoteProtocolError as error:
            self._reject(error.error_status_hint, str(error))

    def _begin(self, request: h11.Request) -> None:
        self.request, self.body, self.size = request, [], 0
        headers = dict(request.headers)
        if b"transfer-encoding" in headers and (
                b"content-length" in headers or request.http_version < b"1.1"):
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
        """Answer what cannot be taken in, and close."""
        self.acceptor.counters.add(f"rejected_{status}")
        if self.http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self._write(status, why.encode(), close=True)
        self.closing = True

    def _finish(self) -> None:
        """Act on a whole request."""
        request = self.request
        assert request is not None
        body: Body = self.body[0] if len(self.body) == 1 else b"".join(self.body)
        path = request.target.split(b"?", 1)[0]
        try:
            if path == HEALTH:
                if request.method in (b"GET", b"HEAD"):
                    serving = self.acceptor.serving()
                    self._write(200 if serving else 503, b"ok" if serving else b"draining")
                else:
                    self._write(405, b"", [(b"Allow", b"GET, HEAD")])
            elif path != CALLBACK and class_name(path) not in self.acceptor.classes:
                self._turn_away(404, "no such class or path")
            elif request.method != b"POST":
                self._write(405, b"", [(b"Allow", b"POST")])
            elif path == CALLBACK:
                self.acceptor.exchange.call_back(callback(body, self.acceptor.config.report_fields))
                self._write(204)
            else:
                self._open(request, self.acceptor.classes[class_name(path)], body)
        except MessageError as error:
            self._turn_away(400, str(error))

    def _turn_away(self, status: int, why: str) -> None:
        self.acceptor.counters.add(f"rejected_{status}")
        self._write(status, why.encode())

    def _open(self, request: h11.Request, job_class: int, body: Body) -> None:
        """Hand a call to the exchange."""
        told: Figures = figures(request.headers)
        if told.id in self.acceptor.in_hand:
            self._turn_away(409, "a call with this id is in hand")
            return
        job = Job(request.target, body, dict(request.headers).get(b"content-type"))
        self.ahead = 0
        self.call = self.acceptor.exchange.open(job_class, told, job, self._answer)
        if self.call is None:
            self._overload(self.acceptor.config.settings.max_retry_after_ns)
        else:
            self.acceptor.in_hand.add(told.id)

    def _answer(self, answer: Answer) -> None:
        """Write the final answer of the call in hand."""
        assert self.call is not None
        self.acceptor.in_hand.discard(self.call.id)
        self.call = None
        if isinstance(answer, Served):
            self._write(200, answer.result.encode())
        elif isinstance(answer, Overload):
            self._overload(answer.retry_after_ns)
        else:
            self._write(502, b"failed")
        if self.http.trailing_data[0]:
            self.acceptor.tasks.start(self._go_on(), "the next call of a connection")

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
            if self.closing:  # nothing more will be read: `run` must not wait for it
                self.writer.close()

    def _write(
        self, status: int, body: bytes = b"", headers: list[tuple[bytes, bytes]] | None = None,
        close: bool = False,
    ) -> None:
        """Write an answer; the connection closes after it where either side wants that."""
        headers = headers or []
        if status != 204:
            headers.append((b"Content-Length", b"%d" % len(body)))
        if close or self.acceptor.closing:
            headers.append((b"Connection", b"close"))
        data = self.http.send(h11.Response(
            status_code=status, headers=headers, reason=REASONS.get(status, b"Error"))) or b""
        if body and self.request is not None and self.request.method == b"HEAD":
            body = b""
        if body:
            data += self.http.send(h11.Data(data=body)) or b""
        data += self.http.send(h11.EndOfMessage()) or b""
        self.writer.write(data)
        self.request, self.body = None, []
        self.last_used = time.monotonic()
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
        else:
            self.closing = True
            if self.http.their_state in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED):
                self.writer.close()  # after what is written
