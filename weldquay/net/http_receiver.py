"""The receiving side of an h11 connection: it hands over received bytes so that each event costs little.

h11 returns an event for each chunk of a chunked body, so that a body in chunks of one byte would keep the
process busy for a second.  The receiver decodes such chunks itself and passes their data to h11 as one chunk.
It hands over the bytes of one message at a time; heads, trailers and malformed framing remain h11's task.
"""

from __future__ import annotations

import re
from enum import Enum

import h11

from weldquay.limits import MAX_HEAD_LINES, MAX_WHITESPACE_RUN
from weldquay.net.chunk_decoder import CHUNK_HEAD, CRLF, decode_chunks

BLANK_LINE = re.compile(rb"\n\r?\n")
BLANK_LINE_BYTES = 3  # its greatest length
# h11 takes time quadratic in the length of a run of white space in a malformed field.
LONG_WHITESPACE = re.compile(rb"[ \t]{%d}" % (MAX_WHITESPACE_RUN + 1))
MAX_TAKEN_LINES_BYTES = 20 * 1024  # more than the head of a message may have
MAX_CHUNK_HEAD_BYTES = 4 * 1024  # limit for an incomplete head of a chunk; h11 handles longer ones


class Framing(Enum):
    """How the end of the bytes that h11 gets next is found."""

    BLANK_LINE = "the head of a message, or the trailers of a chunked body"
    LENGTH = "a body of known length"
    CHUNKS = "a chunked body"
    UNLIMITED = "all bytes"


class HttpReceiver:
    """Passes received bytes to an h11 connection and returns its events."""

    __slots__ = (
        "_chunk_left",
        "_fed_bytes",
        "_fed_tail",
        "_framing",
        "_has_ended",
        "_length_left",
        "_lines",
        "_needs_data",
        "_pending",
        "http",
    )

    def __init__(self, http: h11.Connection) -> None:
        """Receive for this connection, in the role of a client or of a server."""
        self.http = http
        self._pending = bytearray()  # received bytes that h11 does not have yet
        self._needs_data = True  # h11 has no event until it gets more bytes
        self._has_ended = False  # the end of the stream has been received and h11 does not know it yet
        self._framing = Framing.BLANK_LINE
        self._fed_tail = b""  # the last bytes that h11 got of the lines before the blank line
        self._fed_bytes = 0  # bytes of an incomplete head or of incomplete trailers that h11 got
        self._lines = 0  # lines that h11 got since the start of the head or the trailers
        self._length_left = 0  # bytes of a body of known length
        self._chunk_left: int | None = None  # bytes of the incomplete chunk; None: a chunk head comes next

    def receive_data(self, data: bytes) -> None:
        """Add received bytes; b"" marks the end of the stream."""
        self._pending += data
        self._has_ended = self._has_ended or not data

    def next_event(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        """Return the next event.

        Raises:
            h11.RemoteProtocolError: the bytes are not valid HTTP.
        """
        event: h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED] = h11.NEED_DATA
        while event is h11.NEED_DATA:
            if self._needs_data:
                data = self._take()
                if data is None:
                    return h11.NEED_DATA
                self.http.receive_data(data)
            event = self.http.next_event()
            self._needs_data = event is h11.NEED_DATA
        if isinstance(event, (h11.Request, h11.Response)):
            self._begin_body(event)
        elif isinstance(event, h11.EndOfMessage):
            self._begin_lines()
            self._needs_data = True
        return event

    @property
    def unparsed_data(self) -> bytes:
        """The received bytes that are not part of an event yet."""
        return self.http.trailing_data[0] + self._pending

    @property
    def held_bytes(self) -> int:
        """The number of received bytes that are not part of an event yet."""
        return len(self._pending) + self._fed_bytes

    def _begin_lines(self) -> None:
        self._framing = Framing.BLANK_LINE
        self._fed_tail = b""
        self._lines = 0
        self._fed_bytes = 0

    def _begin_body(self, head: h11.Request | h11.Response) -> None:
        """Choose the framing of the body as h11 does; the body of a response may end with the stream."""
        self._fed_bytes = 0
        self._framing = Framing.LENGTH if isinstance(head, h11.Request) else Framing.UNLIMITED
        self._length_left = 0
        for name, value in head.headers:
            if name == b"transfer-encoding":  # h11 accepts only chunked
                self._framing = Framing.CHUNKS
                self._chunk_left = None
            elif name == b"content-length":
                self._length_left = int(value)
                self._needs_data = self._length_left > 0

    def _take(self) -> bytes | None:
        """Return the next bytes for h11, b"" for the end of the stream, or None if there are none."""
        if self.http.their_state is h11.DONE and self._pending:
            return None
        data = self._take_pending() if self._pending else b""
        if data or not self._has_ended:
            return data or None
        if self._pending:  # an incomplete head of a chunk
            return self._take_first(len(self._pending))
        self._has_ended = False
        return b""

    def _take_pending(self) -> bytes:
        """Return the pending bytes up to the next end by the framing; b"" if more are needed."""
        if self._framing is Framing.BLANK_LINE:
            return self._take_lines()
        if self._framing is Framing.LENGTH:
            data = self._take_first(self._length_left)
            self._length_left -= len(data)
            return data
        if self._framing is Framing.CHUNKS:
            return self._take_chunks()
        return self._take_first(len(self._pending))

    def _take_first(self, length: int) -> bytes:
        data = bytes(self._pending[:length])
        del self._pending[:length]
        return data

    def _take_lines(self) -> bytes:
        """Return the pending bytes up to the first blank line, or all if there is none.

        Raises:
            h11.RemoteProtocolError: the head or the trailers have too many lines, or too much white space.
        """
        window = self._pending[:MAX_TAKEN_LINES_BYTES]
        match = BLANK_LINE.search(self._fed_tail + window)
        length = len(window) if match is None else match.end() - len(self._fed_tail)
        data = self._take_first(length)
        self._fed_bytes += length
        self._lines += data.count(b"\n")
        if self._lines > MAX_HEAD_LINES:
            raise h11.RemoteProtocolError("too many header fields", error_status_hint=431)
        if match is not None and LONG_WHITESPACE.search(self.http.trailing_data[0] + data):
            raise h11.RemoteProtocolError("a header field has too much white space")
        self._fed_tail = (self._fed_tail + data)[1 - BLANK_LINE_BYTES :]
        return data

    def _take_chunks(self) -> bytes:
        """Return one chunk with the data of all received chunks; b"" if none of their data is pending."""
        body = self._take_chunk_data()
        if self._chunk_left is None:
            chunks, length = decode_chunks(self._pending)
            body += chunks
            del self._pending[:length]
            self._begin_chunk()
            body += self._take_chunk_data()
        if body:
            return b"%x\r\n%b\r\n" % (len(body), bytes(body))
        return self._take_pending() if self._framing is not Framing.CHUNKS else b""

    def _begin_chunk(self) -> None:
        """Handle the head of a chunk that is incomplete, empty or malformed."""
        match = CHUNK_HEAD.match(self._pending)
        if match is None:
            if CRLF in self._pending or len(self._pending) > MAX_CHUNK_HEAD_BYTES:
                self._framing = Framing.UNLIMITED  # h11 rejects it
            return
        size = int(match[1], 16)
        if size:
            del self._pending[: match.end()]
            self._chunk_left = size
        else:
            self._begin_lines()  # the last chunk and the trailers end with a blank line

    def _take_chunk_data(self) -> bytearray:
        """Return the pending data of the incomplete chunk, and remove its CRLF once it is complete.

        Raises:
            h11.RemoteProtocolError: the data is not followed by CRLF.
        """
        if self._chunk_left is None:
            return bytearray()
        data = self._pending[: self._chunk_left]
        del self._pending[: self._chunk_left]
        self._chunk_left -= len(data)
        if not self._chunk_left and self._pending:
            if not CRLF.startswith(self._pending[: len(CRLF)]):
                raise h11.RemoteProtocolError("a chunk is longer than its size")
            if len(self._pending) >= len(CRLF):
                del self._pending[: len(CRLF)]
                self._chunk_left = None
        return data
