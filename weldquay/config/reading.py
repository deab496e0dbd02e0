"""Strict reading of JSON, and where in the text each value stands.

What two readers could understand in two ways is refused: duplicated keys, NaN and infinities, text behind the
end, bytes that are no UTF-8.  A byte order mark and CRLF are harmless and pass.
"""

from __future__ import annotations

import errno
import json
import os
import re
import stat
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from weldquay.errors import OperatorError

LARGEST = 16 * 1024 * 1024  # bytes: a list of 100,000 workers; a larger file is a mistake
DEEPEST = 64  # levels of nesting; the configuration itself has five
READ_SIZE = 1 << 20
Steps = tuple[str | int, ...]  # the way to a value: keys and positions


class ReadingError(OperatorError, ValueError):
    """A file that cannot be read as a configuration; line and column count from 1, 0: not known."""

    error_code = "reading-error"
    remedy = "correct the file where it is named; `weldquay config check FILE` says the same before a start"

    def __init__(self, text: str, line: int = 0, column: int = 0) -> None:
        super().__init__(text)
        self.line, self.column = line, column


def read_file(path: Path) -> bytes:
    """All of a regular file, within bounds.

    Guards against a FIFO or a device in its place, which would block a start, and against a file that is
    replaced in the midst of a reading: the bytes come from one open file.
    """
    try:
        file = os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC)
    except OSError as error:
        raise ReadingError(f"{path}: cannot be read: {error.strerror}") from None
    try:
        mode = os.fstat(file).st_mode
        if not stat.S_ISREG(mode):
            kind = "a folder" if stat.S_ISDIR(mode) else "no regular file"
            raise ReadingError(f"{path}: cannot be read: it is {kind}")
        parts, size = [], 0
        while part := os.read(file, READ_SIZE):
            parts.append(part)
            size += len(part)
            if size > LARGEST:
                raise ReadingError(f"{path}: larger than {LARGEST} bytes")
        return b"".join(parts)
    except OSError as error:
        text = os.strerror(error.errno or errno.EIO)
        raise ReadingError(f"{path}: cannot be read: {text}") from None
    finally:
        os.close(file)


def decode(data: bytes) -> str:
    """The text of a file; ReadingError names the first byte that is no UTF-8."""
    try:
        return data.decode("utf-8-sig")
    except UnicodeDecodeError as error:
        line, column = position(data[: error.start].decode("utf-8", "replace"), error.start)
        raise ReadingError(f"byte {error.start} is no UTF-8", line, column) from None


def parse(text: str) -> Any:
    """The value that a text holds; ReadingError where it is no JSON, or more than one reading is possible."""
    _check_depth(text)
    try:
        return json.loads(text, object_pairs_hook=_object, parse_constant=_constant)
    except json.JSONDecodeError as error:
        raise ReadingError(error.msg[0].lower() + error.msg[1:], error.lineno, error.colno) from None
    except _Doubled as error:
        key, place = str(error), _second(text, str(error))
        raise ReadingError(f"the key {json.dumps(key)} stands twice in one object", *place) from None
    except _NotFinite as error:
        raise ReadingError(f"{error} is no JSON number", *position(text, text.find(str(error)))) from None
    except ValueError as error:  # a number of thousands of digits
        raise ReadingError(str(error).split(";")[0].lower()) from None


class _Doubled(Exception):
    pass


class _NotFinite(Exception):
    pass


def _object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    told = dict(pairs)
    if len(told) < len(pairs):
        seen: set[str] = set()
        for key, _ in pairs:
            if key in seen:
                raise _Doubled(key)
            seen.add(key)
    return told


def _constant(name: str) -> Any:
    raise _NotFinite(name)


_TOKEN = re.compile(r'[\s]*(?:("(?:[^"\\]|\\.)*")|([\[\]{},:])|([^\s\[\]{},:"]+))')


def _check_depth(text: str) -> None:
    """Guard against nesting that would exhaust the stack."""
    if text.count("[") + text.count("{") <= DEEPEST:
        return
    depth = 0
    for token in _TOKEN.finditer(text):
        mark = token.group(2)
        depth += (mark in ("[", "{")) - (mark in ("]", "}")) if mark else 0
        if depth > DEEPEST:
            raise ReadingError(f"nested more than {DEEPEST} levels deep", *position(text, token.start(2)))


def _second(text: str, key: str) -> tuple[int, int]:
    """Where a doubled key stands for the second time in one object."""
    seen: set[Steps] = set()
    for steps, at in places(text):
        if steps in seen and steps and steps[-1] == key:
            return position(text, at)
        seen.add(steps)
    return 0, 0


def position(text: str, at: int) -> tuple[int, int]:
    """Line and column of an offset, both from 1."""
    before = text[: max(0, at)]
    return before.count("\n") + 1, len(before) - (before.rfind("\n") + 1) + 1


def places(text: str) -> Iterator[tuple[Steps, int]]:
    """The way to each value and its offset (of its key, in an object), in the order of the text.

    The text must be JSON; keys that stand twice come twice.
    """
    way: list[str | int] = []
    way_index: list[int] = []
    kinds: list[str] = []
    key: str | None = None
    awaiting_key = False
    for token in _TOKEN.finditer(text):
        string, mark, plain = token.groups()
        if string is not None and awaiting_key:
            key, awaiting_key = json.loads(string), False
            yield (*way, key), token.start(1)
        elif string is not None or plain is not None or mark in ("[", "{"):
            if kinds and kinds[-1] == "[":
                yield (*way, way_index[-1]), token.start(token.lastindex or 0)
            elif not kinds:
                yield (), token.start(token.lastindex or 0)
            if mark in ("[", "{"):
                if kinds:
                    way.append(way_index[-1] if kinds[-1] == "[" else key or "")
                kinds.append(mark)
                way_index.append(0)
                awaiting_key = mark == "{"
        elif mark in ("]", "}"):
            kinds.pop()
            way_index.pop()
            if way:
                way.pop()
            awaiting_key = False
        elif mark == ",":
            way_index[-1] += 1
            awaiting_key = bool(kinds) and kinds[-1] == "{"
