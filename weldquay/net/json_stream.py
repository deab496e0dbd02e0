"""A watch's bytes as JSON values and signs of life.  No I/O, no clock.

Rules: a value stands on one line, or indented over several; an empty line outside a value says that nothing
has changed.  A line that begins no value is handed on as it is, for its reader to refuse.  Bytes that never
make a whole value are bounded by MAX_VALUE.
"""

from __future__ import annotations

import re

from weldquay.net.messages import MessageError

MAX_VALUE = 4 * 1024 * 1024
_MARKS = re.compile(rb'"(?:[^"\\]|\\.)*"|[{}\[\]]')  # strings whole, so that brackets in them do not count


class JsonStreamParser:
    """Takes in bytes as they come; hands out whole values, and b"" for each empty line."""

    def __init__(self) -> None:
        self.rest = bytearray()  # of a line
        self.open = bytearray()  # lines of a value that is not whole
        self.depth = 0

    def feed(self, data: bytes) -> list[bytes]:
        """The values and empty lines that are whole now; MessageError where one is too long."""
        *lines, self.rest = (self.rest + data).split(b"\n")
        done = [bytes(value) for line in lines if (value := self._line(line.strip())) is not None]
        if len(self.open) + len(self.rest) > MAX_VALUE:
            raise MessageError("a line is too long")
        return done

    def _line(self, line: bytearray) -> bytearray | None:
        """The value that the line ends; None while it is not whole."""
        if not self.depth and (self._whole(line) or not line.startswith((b"{", b"["))):
            return line
        for mark in _MARKS.findall(line):
            self.depth += (mark in (b"{", b"[")) - (mark in (b"}", b"]"))
        self.open += line
        if self.depth > 0:
            return None
        value, self.open, self.depth = self.open, bytearray(), 0
        return value

    @staticmethod
    def _whole(line: bytearray) -> bool:
        """True for a value on one line: told by counts, as looking at each mark of a long list costs ms."""
        return (
            line.startswith(b"{")
            and line.endswith(b"}")
            and (line.count(b"{") == line.count(b"}") and line.count(b"[") == line.count(b"]"))
        )
