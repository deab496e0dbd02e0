"""The HTTP/1.1 side of one connection that a client or a match worker opened, without any I/O.

Bytes go in and whole requests come out; answers go in and their bytes come out.  A request whose length is
ambiguous, or whose body is too large, is rejected as soon as that shows.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

import h11

from weldquay.net.messages import MAX_BODY, Body

MAX_HEAD = 16 * 1024  # bytes
REASONS = {
    200: b"OK",
    204: b"No Content",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
}


class Progress(Enum):
    """What the bytes so far amount to."""

    NEED_DATA = "need data"
    REQUEST = "request"  # a whole request has come
    CLOSED = "closed"  # the other side has ended the connection between two requests


@dataclass(frozen=True, slots=True)
class Rejection:
    """A request that is not taken in: the status and the text of its answer."""

    status: int
    why: str


TOO_LARGE = Rejection(413, "the body is too large")


class HttpChannel:
    """Reads the requests of one connection and writes their answers, one at a time."""

    def __init__(self) -> None:
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD)
        self.request: h11.Request | None = None  # the head of the current request, once it has come
        self.parts: list[Body] = []
        self.size = 0  # bytes of its body so far

    def feed_data(self, data: bytes) -> None:
        """Take in what was read; b"" is the end of the other side's half."""
        self.http.receive_data(data)

    def advance(self) -> Progress | Rejection:
        """Parse up to the end of a request, or to the point where it cannot be taken in."""
        rejection: Rejection | None = None
        try:
            while rejection is None:
                event = self.http.next_event()
                if isinstance(event, h11.Request):
                    rejection = self._begin(event)
                elif isinstance(event, h11.Data):
                    rejection = self._collect(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    return Progress.REQUEST
                elif isinstance(event, h11.ConnectionClosed):
                    return Progress.CLOSED
                else:
                    return Progress.NEED_DATA
        except h11.RemoteProtocolError as error:
            rejection = Rejection(error.error_status_hint, str(error))
        return rejection

    def _begin(self, request: h11.Request) -> Rejection | None:
        self.request, self.parts, self.size = request, [], 0
        headers = dict(request.headers)
        if b"transfer-encoding" in headers and (
            b"content-length" in headers or request.http_version < b"1.1"
        ):
            # Guards against a request hidden in a body: where it ends depends on which header one believes.
            return Rejection(400, "the length of the body is ambiguous")
        return TOO_LARGE if int(headers.get(b"content-length", b"0")) > MAX_BODY else None

    def _collect(self, data: bytes | bytearray) -> Rejection | None:
        self.size += len(data)
        if self.size > MAX_BODY:
            return TOO_LARGE
        self.parts.append(memoryview(data))
        return None

    @property
    def body(self) -> Body:
        """The body of the current request; where it came in one piece, a view of what was read."""
        if len(self.parts) != 1:
            self.parts = [b"".join(self.parts)]  # with the parts that it came in it would be held twice
        return self.parts[0]

    @property
    def trailing(self) -> bytes:
        """What has come and is not parsed yet."""
        return self.http.trailing_data[0]

    def interim(self) -> bytes:
        """A 100 response where the client waits for it before it sends its body, else b""."""
        if not self.http.they_are_waiting_for_100_continue:
            return b""
        return self.http.send(h11.InformationalResponse(status_code=100, headers=[])) or b""

    def respond(self, status: int, body: bytes, headers: list[tuple[bytes, bytes]]) -> bytes:
        """The bytes of the current request's answer."""
        response = h11.Response(status_code=status, headers=headers, reason=REASONS[status])
        data = self.http.send(response) or b""
        if body:
            data += self.http.send(h11.Data(data=body)) or b""
        return data + (self.http.send(h11.EndOfMessage()) or b"")

    def begin_next(self) -> bool:
        """Go over to the next request; False where the connection has to close after the answer."""
        self.request, self.parts = None, []
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
            return True
        return False
