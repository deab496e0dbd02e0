"""Strict reading of JSON, and the position of each value in the text.

Text that two parsers could read in two ways is an error: duplicate keys, NaN and infinities, text behind the
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

MAX_BYTES = 16 * 1024 * 1024  # bytes: a list of 100,000 workers; a larger file is a mistake
MAX_DEPTH = 64  # levels of nesting; the configuration itself has five
READ_SIZE = 1 << 20
KeyPath = tuple[str | int, ...]  # the way to a value: keys and positions


class ReadingError(OperatorError, ValueError):
    """A file that cannot be read as a configuration; line and column count from 1, 0: not known."""

    error_code = "reading-error"
    remedy = "correct the file where it is named; `weldquay config check FILE` says the same before a start"

    def __init__(self, text: str, line: int = 0, column: int = 0) -> None:
        super().__init__(text)
        self.line, self.column = line, column


def read_file(path: Path) -> bytes:
    """Return the bytes of a regular file.

    A FIFO or device is an error, since it would block a start.  The bytes come from one open file, so that a
    replacement meanwhile has no effect.

    Raises:
        ReadingError: it is no regular file, cannot be read, or is larger than MAX_BYTES.
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
            if size > MAX_BYTES:
                raise ReadingError(f"{path}: larger than {MAX_BYTES} bytes")
        return b"".join(parts)
    except OSError as error:
        text = os.strerror(error.errno or errno.EIO)
        raise ReadingError(f"{path}: cannot be read: {text}") from None
    finally:
        os.close(file)


def decode(data: bytes) -> str:
    """Return the text of a file.

    Raises:
        ReadingError: it is not UTF-8.
    """
    try:
        return data.decode("utf-8-sig")
    except UnicodeDecodeError as error:
        line, column = position(data[: error.start].decode("utf-8", "replace"), error.start)
        raise ReadingError(f"byte {error.start} is no UTF-8", line, column) from None


def parse(text: str) -> Any:
    """Return the value of a JSON text.

    Raises:
        ReadingError: it is not JSON, or can be read in more than one way.
    """
    _check_depth(text)
    try:
        return json.loads(text, object_pairs_hook=_object, parse_constant=_constant)
    except json.JSONDecodeError as error:
        raise ReadingError(error.msg[0].lower() + error.msg[1:], error.lineno, error.colno) from None
    except _DuplicateKey as error:
        key, place = str(error), _second_position(text, str(error))
        raise ReadingError(f"the key {json.dumps(key)} stands twice in one object", *place) from None
    except _NotFinite as error:
        raise ReadingError(f"{error} is no JSON number", *position(text, text.find(str(error)))) from None
    except ValueError as error:  # a number of thousands of digits
        raise ReadingError(str(error).split(";")[0].lower()) from None


class _DuplicateKey(Exception):
    pass


class _NotFinite(Exception):
    pass


def _object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    value = dict(pairs)
    if len(value) < len(pairs):
        seen: set[str] = set()
        for key, _ in pairs:
            if key in seen:
                raise _DuplicateKey(key)
            seen.add(key)
    return value


def _constant(name: str) -> Any:
    raise _NotFinite(name)


_TOKEN = re.compile(r'[\s]*(?:("(?:[^"\\]|\\.)*")|([\[\]{},:])|([^\s\[\]{},:"]+))')


def _check_depth(text: str) -> None:
    """Reject nesting that would exhaust the stack."""
    if text.count("[") + text.count("{") <= MAX_DEPTH:
        return
    depth = 0
    for token in _TOKEN.finditer(text):
        mark = token.group(2)
        depth += (mark in ("[", "{")) - (mark in ("]", "}")) if mark else 0
        if depth > MAX_DEPTH:
            raise ReadingError(f"nested more than {MAX_DEPTH} levels deep", *position(text, token.start(2)))


def _second_position(text: str, key: str) -> tuple[int, int]:
    """Return line and column of the second occurrence of a key in one object."""
    seen: set[KeyPath] = set()
    for steps, offset in places(text):
        if steps in seen and steps and steps[-1] == key:
            return position(text, offset)
        seen.add(steps)
    return 0, 0


def position(text: str, offset: int) -> tuple[int, int]:
    """Return line and column of an offset, both from 1."""
    before = text[: max(0, offset)]
    return before.count("\n") + 1, len(before) - (before.rfind("\n") + 1) + 1


def places(text: str) -> Iterator[tuple[KeyPath, int]]:  # noqa: C901  # one pass over the tokens
    """Yield the path of each value and its offset (of its key, in an object), in the order of the text.

    The text must be JSON; duplicate keys come twice.
    """
    steps: list[str | int] = []
    indexes: list[int] = []
    kinds: list[str] = []
    key: str | None = None
    awaiting_key = False
    for token in _TOKEN.finditer(text):
        string, mark, plain = token.groups()
        if string is not None and awaiting_key:
            key, awaiting_key = json.loads(string), False
            yield (*steps, key), token.start(1)
        elif string is not None or plain is not None or mark in ("[", "{"):
            if kinds and kinds[-1] == "[":
                yield (*steps, indexes[-1]), token.start(token.lastindex or 0)
            elif not kinds:
                yield (), token.start(token.lastindex or 0)
            if mark in ("[", "{"):
                if kinds:
                    steps.append(indexes[-1] if kinds[-1] == "[" else key or "")
                kinds.append(mark)
                indexes.append(0)
                awaiting_key = mark == "{"
        elif mark in ("]", "}"):
            kinds.pop()
            indexes.pop()
            if steps:
                steps.pop()
            awaiting_key = False
        elif mark == ",":
            indexes[-1] += 1
            awaiting_key = bool(kinds) and kinds[-1] == "{"
