"""The parser of a watch: bytes in, JSON values and heartbeats out.  No I/O, no clock.

Rules: a value is written on one line, or indented on several lines.  An empty line outside a value is a
heartbeat.  A line that does not begin a value is returned as it is, and rejected by the parser of the value.
Bytes that never complete a value are limited by MAX_VALUE_BYTES.
"""

from __future__ import annotations

import re

from weldquay.net.messages import MessageError

MAX_VALUE_BYTES = 4 * 1024 * 1024  # bytes
_OPENING = (b"{", b"[")
_CLOSING = (b"}", b"]")
_TOKENS = re.compile(rb'"(?:[^"\\]|\\.)*"|[{}\[\]]')  # strings as a whole: brackets in them do not count


class JsonStreamParser:
    """Collects bytes, and returns each complete value, and b"" for each heartbeat."""

    def __init__(self) -> None:
        self._partial_line = bytearray()
        self._partial_value = bytearray()  # the complete lines of a value that has more
        self._depth = 0  # open brackets of the partial value

    def feed(self, data: bytes) -> list[bytes]:
        """The values and heartbeats that the data completes.  Raises MessageError if a value is too long."""
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        completed = []
        for line in lines:
            value = self._add_line(line.strip())
            if value is not None:
                completed.append(bytes(value))
        if len(self._partial_value) + len(self._partial_line) > MAX_VALUE_BYTES:
            raise MessageError("a line is too long")
        return completed

    def _add_line(self, line: bytearray) -> bytearray | None:
        """The value that a line completes; None while it is incomplete."""
        if not self._depth and (_is_complete(line) or not line.startswith(_OPENING)):
            return line
        for token in _TOKENS.findall(line):
            self._depth += (token in _OPENING) - (token in _CLOSING)
        self._partial_value += line
        if self._depth > 0:
            return None
        value = self._partial_value
        self._partial_value = bytearray()
        self._depth = 0
        return value


def _is_complete(line: bytearray) -> bool:
    """True for a value on one line, by the numbers of its brackets.

    Matching the tokens of a long list takes milliseconds; counting does not.
    """
    return (
        line.startswith(b"{")
        and line.endswith(b"}")
        and line.count(b"{") == line.count(b"}")
        and line.count(b"[") == line.count(b"]")
    )
