"""An incremental parser for the JSON values and heartbeats of a watch, without I/O and without a clock.

A value stands on one line, or indented on several lines.  An empty line outside a value is a heartbeat.  A
line that does not start a value is returned unchanged, so that the parser of the value rejects it.
MAX_VALUE_BYTES limits the bytes of a value; limits on its objects and items bound what it is parsed into.
"""

from __future__ import annotations

import re

from weldquay.limits import MAX_JSON_ITEMS, MAX_JSON_OBJECTS
from weldquay.net.messages import MessageError

MAX_VALUE_BYTES = 4 * 1024 * 1024
HEARTBEAT = b""
_OPENING_BRACKETS = (b"{", b"[")
_CLOSING_BRACKETS = (b"}", b"]")
_TOKENS = re.compile(rb'"(?:[^"\\]|\\.)*"|[{}\[\]]')  # matches whole strings, to skip the brackets in them


class JsonStreamParser:
    """Buffers received bytes and returns the complete values; b"" stands for a heartbeat."""

    def __init__(self) -> None:
        self._partial_line = bytearray()
        self._partial_value = bytearray()  # the complete lines of an incomplete value
        self._depth = 0  # number of open brackets in the partial value
        self._objects = 0  # objects and arrays of the partial value
        self._items = 0  # its commas and colons

    def feed(self, data: bytes) -> list[bytes]:
        """Add received bytes, and return the values and heartbeats that they complete.

        Raises:
            MessageError: a value is too long, or has too many objects or items.
        """
        if b"\n" in data:
            *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        else:
            lines = []
            self._partial_line += data
        completed: list[bytes] = []
        for line in lines:
            value = self._add_line(line.strip())
            # Heartbeats that arrive together are one sign of life.
            if value is not None and (value or completed[-1:] != [HEARTBEAT]):
                completed.append(bytes(value))
        if len(self._partial_value) + len(self._partial_line) > MAX_VALUE_BYTES:
            raise MessageError("a JSON value is too long")
        return completed

    def _add_line(self, line: bytearray) -> bytearray | None:
        """Add a line, and return the value that it completes, or None while the value is incomplete."""
        self._count(line)
        if not self._depth and (_is_complete(line) or not line.startswith(_OPENING_BRACKETS)):
            self._objects = self._items = 0
            return line
        for match in _TOKENS.finditer(line):
            token = match[0]
            self._depth += (token in _OPENING_BRACKETS) - (token in _CLOSING_BRACKETS)
        self._partial_value += line
        if self._depth > 0:
            return None
        value = self._partial_value
        self._partial_value = bytearray()
        self._depth = 0
        self._objects = self._items = 0
        return value

    def _count(self, line: bytearray) -> None:
        """Count the objects and items of the current value, those in strings included.

        Raises:
            MessageError: there are too many.
        """
        self._objects += line.count(b"{") + line.count(b"[")
        self._items += line.count(b",") + line.count(b":")
        if self._objects > MAX_JSON_OBJECTS or self._items > MAX_JSON_ITEMS:
            raise MessageError("a JSON value is too long: it has too many objects or items")


def _is_complete(line: bytearray) -> bool:
    """Return whether a line holds a complete value, by counting its brackets.

    Matching the tokens of a long list takes milliseconds; counting is much faster.
    """
    return (
        line.startswith(b"{")
        and line.endswith(b"}")
        and line.count(b"{") == line.count(b"}")
        and line.count(b"[") == line.count(b"]")
    )
