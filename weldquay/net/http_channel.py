"""HTTP/1.1 of one connection that a client or a worker opened, without any I/O.

Received bytes become requests, and answers become bytes to send.  A request whose length is ambiguous, or
whose body is too large, is rejected as soon as that can be seen.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

import h11

from weldquay.net.messages import MAX_BODY_BYTES, Body

MAX_HEAD_BYTES = 16 * 1024
REASON_PHRASES = {
    200: b"OK",
    204: b"No Content",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
}


class Progress(Enum):
    """What the received bytes contain."""

    NEED_DATA = "need data"
    REQUEST = "request"  # a complete request
    CLOSED = "closed"  # the client has ended its half of the connection between two requests


@dataclass(frozen=True, slots=True)
class Rejection:
    """A bad request: the status and the text of its answer."""

    status: int
    reason: str


TOO_LARGE = Rejection(413, "the body is too large")


class HttpChannel:
    """Parses the requests of one connection and serializes their answers, one at a time."""

    def __init__(self) -> None:
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.request: h11.Request | None = None  # the head of the current request, once it is parsed
        self.body_parts: list[Body] = []
        self.body_size = 0  # bytes so far

    def feed_data(self, data: bytes) -> None:
        """Add received bytes; b"" is the end of the stream."""
        self.http.receive_data(data)

    def advance(self) -> Progress | Rejection:
        """Parse up to the end of a request, or to the point where it has to be rejected."""
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
        """Start a request with its head."""
        self.request = request
        self.body_parts = []
        self.body_size = 0
        headers = dict(request.headers)
        if b"transfer-encoding" in headers and (
            b"content-length" in headers or request.http_version < b"1.1"
        ):
            # The end of such a body depends on the header used, so it could hide a second request.
            return Rejection(400, "the length of the body is ambiguous")
        return TOO_LARGE if int(headers.get(b"content-length", b"0")) > MAX_BODY_BYTES else None

    def _collect(self, data: bytes | bytearray) -> Rejection | None:
        """Add a part of the body."""
        self.body_size += len(data)
        if self.body_size > MAX_BODY_BYTES:
            return TOO_LARGE
        self.body_parts.append(memoryview(data))
        return None

    @property
    def body(self) -> Body:
        """The body of the current request; a view of the received bytes where it arrived in one part."""
        if len(self.body_parts) != 1:
            self.body_parts = [b"".join(self.body_parts)]  # the parts are released
        return self.body_parts[0]

    @property
    def unparsed_data(self) -> bytes:
        """Received bytes that are not parsed yet."""
        return self.http.trailing_data[0]

    def continue_response(self) -> bytes:
        """A 100 response where the client waits for it before it sends its body, else b""."""
        if not self.http.they_are_waiting_for_100_continue:
            return b""
        return self.http.send(h11.InformationalResponse(status_code=100, headers=[])) or b""

    def serialize_response(self, status: int, body: bytes, headers: list[tuple[bytes, bytes]]) -> bytes:
        """The bytes of the current request's answer."""
        response = h11.Response(status_code=status, headers=headers, reason=REASON_PHRASES[status])
        data = self.http.send(response) or b""
        if body:
            data += self.http.send(h11.Data(data=body)) or b""
        return data + (self.http.send(h11.EndOfMessage()) or b"")

    def start_next_request(self) -> bool:
        """Prepare for the next request; False where the connection has to close after the answer."""
        self.request = None
        self.body_parts = []
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
            return True
        return False


def parse_request(data: bytes) -> tuple[h11.Request, bytearray]:
    """The head and the body of the complete request that data begins with."""
    http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
    http.receive_data(data)
    request = http.next_event()
    assert isinstance(request, h11.Request)
    body = bytearray()
    while isinstance(event := http.next_event(), h11.Data):
        body += event.data
    return request, body
