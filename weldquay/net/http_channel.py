"""The server side of HTTP/1.1 for one connection, without I/O.

It parses received bytes into requests and serializes responses.  A request with an ambiguous length or a body
that is too large is rejected as soon as it is detected.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

import h11

from weldquay.net.http_receiver import HttpReceiver
from weldquay.net.messages import MAX_BODY_BYTES, Body, RequestHead, reduce_head

MAX_HEAD_BYTES = 16 * 1024
MAX_BODY_PARTS = 64  # parts of a body that arrive separately; more are joined, since each has an overhead
REASON_PHRASES = {
    200: b"OK",
    204: b"No Content",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
}


class Progress(Enum):
    """The result of parsing the received bytes."""

    NEED_DATA = "need data"  # the request is incomplete
    REQUEST = "request"  # a request is complete
    CLOSED = "closed"  # the client shut down its write half between two requests


@dataclass(frozen=True, slots=True)
class Rejection:
    """The status and the text of the response to a bad request."""

    status: int
    reason: str


TOO_LARGE = Rejection(413, "the body is too large")


class HttpChannel:
    """Parses the requests of one connection and serializes their responses, one at a time."""

    def __init__(self) -> None:
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.receiver = HttpReceiver(self.http)
        self.request: RequestHead | None = None  # the head of the current request, once it was parsed
        self.body_parts: list[Body] = []
        self.body_size = 0  # bytes received so far

    def feed_data(self, data: bytes) -> None:
        """Add received bytes; b"" marks the end of the stream."""
        self.receiver.receive_data(data)

    def advance(self) -> Progress | Rejection:
        """Parse up to the end of a request, or up to an error that rejects it."""
        rejection: Rejection | None = None
        try:
            while rejection is None:
                event = self.receiver.next_event()
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
        """Start a request from its head.  Return a Rejection if the head is not acceptable."""
        self.request = reduce_head(request)
        self.body_parts = []
        self.body_size = 0
        headers = dict(request.headers)
        if b"transfer-encoding" in headers and (
            b"content-length" in headers or request.http_version < b"1.1"
        ):
            # Request smuggling: the end of such a body depends on which header is used, so that the body
            # could hide a second request.
            return Rejection(400, "the length of the body is ambiguous")
        return TOO_LARGE if int(headers.get(b"content-length", b"0")) > MAX_BODY_BYTES else None

    def _collect(self, data: bytes | bytearray) -> Rejection | None:
        """Add a part of the body.  Return a Rejection if the body becomes too large."""
        self.body_size += len(data)
        if self.body_size > MAX_BODY_BYTES:
            return TOO_LARGE
        self.body_parts.append(memoryview(data))
        if len(self.body_parts) == MAX_BODY_PARTS:
            self._join_body_parts()
        return None

    def _join_body_parts(self) -> None:
        self.body_parts = [b"".join(self.body_parts)]

    @property
    def body(self) -> Body:
        """The body of the current request; a view of the received bytes if it arrived in one part."""
        if len(self.body_parts) != 1:
            self._join_body_parts()
        return self.body_parts[0]

    @property
    def unparsed_data(self) -> bytes:
        """Received bytes after the current request, which are not parsed yet."""
        return self.receiver.unparsed_data

    @property
    def held_bytes(self) -> int:
        """The number of bytes that are held of the current request and of those behind it."""
        return self.body_size + self.receiver.held_bytes

    @property
    def has_unparsed_data(self) -> bool:
        """Whether bytes have been received that are not part of the current request yet."""
        return self.receiver.held_bytes > 0

    def release(self) -> None:
        """Drop all received bytes; nothing is parsed after this."""
        if self.held_bytes:
            self.http = h11.Connection(h11.SERVER)
            self.receiver = HttpReceiver(self.http)
        self.request = None
        self.body_parts = []
        self.body_size = 0

    def continue_response(self) -> bytes:
        """Serialize a 100 response if the client waits for it before it sends the body; else return b""."""
        if not self.http.they_are_waiting_for_100_continue:
            return b""
        return self.http.send(h11.InformationalResponse(status_code=100, headers=[])) or b""

    def serialize_response(self, status: int, body: bytes, headers: list[tuple[bytes, bytes]]) -> bytes:
        """Serialize the response to the current request."""
        response = h11.Response(status_code=status, headers=headers, reason=REASON_PHRASES[status])
        data = self.http.send(response) or b""
        if body:
            data += self.http.send(h11.Data(data=body)) or b""
        return data + (self.http.send(h11.EndOfMessage()) or b"")

    def start_next_request(self) -> bool:
        """Prepare for the next request.  Return False if the connection has to close after the response."""
        self.request = None
        self.body_parts = []
        self.body_size = 0
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
            return True
        return False


def parse_request(data: bytes) -> tuple[RequestHead, bytearray]:
    """Parse the complete request at the start of data; return its head and its body."""
    http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
    http.receive_data(data)
    request = http.next_event()
    assert isinstance(request, h11.Request)
    body = bytearray()
    while isinstance(event := http.next_event(), h11.Data):
        body += event.data
    return reduce_head(request), body
