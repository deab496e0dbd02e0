"""Strict JSON parser that also locates each value in the text.

Text that different parsers would interpret differently is an error: duplicate keys, NaN and infinities,
trailing text, invalid UTF-8.  A byte order mark and CRLF line ends are accepted.
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

MAX_BYTES = 16 * 1024 * 1024  # maximum size of a file; enough for a list of 100,000 workers
MAX_DEPTH = 64  # maximum levels of nesting; a configuration has five
READ_SIZE = 1 << 20  # bytes
KeyPath = tuple[str | int, ...]  # path to a value: keys of objects and indexes of lists


class ReadingError(OperatorError, ValueError):
    """A file that cannot be read or is not valid JSON; line and column are 1-based, 0 if unknown."""

    error_code = "reading-error"
    remedy = (
        "correct the file at the position given; `weldquay config check FILE` finds the error before a start"
    )

    def __init__(self, text: str, line: int = 0, column: int = 0) -> None:
        super().__init__(text)
        self.line, self.column = line, column


def read_file(path: Path) -> bytes:
    """Return the content of a regular file.

    A FIFO or device is an error, because reading it could block the start.  All bytes come from one open
    file, so replacing the file meanwhile has no effect.

    Raises:
        ReadingError: the file is not a regular file, cannot be read, or is larger than MAX_BYTES.
    """
    try:
        descriptor = os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC)
    except OSError as error:
        raise ReadingError(f"{path}: cannot be read: {error.strerror}") from None
    try:
        mode = os.fstat(descriptor).st_mode
        if not stat.S_ISREG(mode):
            kind = "a directory" if stat.S_ISDIR(mode) else "not a regular file"
            raise ReadingError(f"{path}: cannot be read: it is {kind}")
        chunks, size = [], 0
        while chunk := os.read(descriptor, READ_SIZE):
            chunks.append(chunk)
            size += len(chunk)
            if size > MAX_BYTES:
                raise ReadingError(f"{path}: larger than {MAX_BYTES} bytes")
        return b"".join(chunks)
    except OSError as error:
        text = os.strerror(error.errno or errno.EIO)
        raise ReadingError(f"{path}: cannot be read: {text}") from None
    finally:
        os.close(descriptor)


def decode(data: bytes) -> str:
    """Decode the bytes of a file.

    Raises:
        ReadingError: they are not valid UTF-8.
    """
    try:
        return data.decode("utf-8-sig")
    except UnicodeDecodeError as error:
        line, column = line_and_column(data[: error.start].decode("utf-8", "replace"), error.start)
        raise ReadingError(f"byte {error.start} is not valid UTF-8", line, column) from None


def parse(text: str) -> Any:
    """Parse a JSON text.

    Raises:
        ReadingError: the text is not JSON, or is ambiguous.
    """
    _check_depth(text)
    try:
        return json.loads(text, object_pairs_hook=_unique_keys, parse_constant=_reject_constant)
    except json.JSONDecodeError as error:
        raise ReadingError(error.msg[0].lower() + error.msg[1:], error.lineno, error.colno) from None
    except _DuplicateKey as error:
        key, position = str(error), _duplicate_key_position(text, str(error))
        raise ReadingError(f"duplicate key {json.dumps(key)} in an object", *position) from None
    except _NotFinite as error:
        raise ReadingError(
            f"{error} is not a valid JSON number", *line_and_column(text, text.find(str(error)))
        ) from None
    except ValueError as error:  # an integer with more digits than Python converts
        raise ReadingError(str(error).split(";")[0].lower()) from None


class _DuplicateKey(Exception):
    pass


class _NotFinite(Exception):
    pass


def _unique_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    value = dict(pairs)
    if len(value) < len(pairs):
        seen: set[str] = set()
        for key, _ in pairs:
            if key in seen:
                raise _DuplicateKey(key)
            seen.add(key)
    return value


def _reject_constant(name: str) -> Any:
    raise _NotFinite(name)


_TOKEN = re.compile(r'[\s]*(?:("(?:[^"\\]|\\.)*")|([\[\]{},:])|([^\s\[\]{},:"]+))')


def _check_depth(text: str) -> None:
    """Reject nesting so deep that the parser would exhaust the stack."""
    if text.count("[") + text.count("{") <= MAX_DEPTH:
        return
    depth = 0
    for token in _TOKEN.finditer(text):
        delimiter = token.group(2)
        depth += (delimiter in ("[", "{")) - (delimiter in ("]", "}")) if delimiter else 0
        if depth > MAX_DEPTH:
            raise ReadingError(
                f"nested more than {MAX_DEPTH} levels deep", *line_and_column(text, token.start(2))
            )


def _duplicate_key_position(text: str, key: str) -> tuple[int, int]:
    """Return line and column of the first repetition of a key within an object."""
    seen: set[KeyPath] = set()
    for path, offset in value_offsets(text):
        if path in seen and path and path[-1] == key:
            return line_and_column(text, offset)
        seen.add(path)
    return 0, 0


def line_and_column(text: str, offset: int) -> tuple[int, int]:
    """Return the 1-based line and column of an offset."""
    before = text[: max(0, offset)]
    return before.count("\n") + 1, len(before) - (before.rfind("\n") + 1) + 1


def value_offsets(text: str) -> Iterator[tuple[KeyPath, int]]:  # noqa: C901  # one scan of the tokens
    """Yield the path and the offset of each value, in the order of the text.

    The offset of an object's member is that of its key.  The text must be JSON; a duplicate key is yielded
    twice.
    """
    path: list[str | int] = []
    indexes: list[int] = []
    brackets: list[str] = []
    key: str | None = None
    awaiting_key = False
    for token in _TOKEN.finditer(text):
        string, delimiter, literal = token.groups()
        if string is not None and awaiting_key:
            key, awaiting_key = json.loads(string), False
            yield (*path, key), token.start(1)
        elif string is not None or literal is not None or delimiter in ("[", "{"):
            if brackets and brackets[-1] == "[":
                yield (*path, indexes[-1]), token.start(token.lastindex or 0)
            elif not brackets:
                yield (), token.start(token.lastindex or 0)
            if delimiter in ("[", "{"):
                if brackets:
                    path.append(indexes[-1] if brackets[-1] == "[" else key or "")
                brackets.append(delimiter)
                indexes.append(0)
                awaiting_key = delimiter == "{"
        elif delimiter in ("]", "}"):
            brackets.pop()
            indexes.pop()
            if path:
                path.pop()
            awaiting_key = False
        elif delimiter == ",":
            indexes[-1] += 1
            awaiting_key = bool(brackets) and brackets[-1] == "{"
