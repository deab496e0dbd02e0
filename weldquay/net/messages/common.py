"""What several messages share: their error, their bodies, JSON fields, and the response that closes."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from http import HTTPStatus
from typing import Any

import ujson

from weldquay.errors import OperatorError

MAX_BODY_BYTES = 64 * 1024  # bytes
NS_PER_MS = 1_000_000
Headers = Iterable[tuple[bytes, bytes]]
Body = memoryview | bytearray | bytes


class MessageError(OperatorError):
    """A message is malformed; the text says how."""

    error_code = "message-error"
    remedy = "look at what its sender speaks: another version, or a service that is no part of this site"


def read_json(data: Body) -> Any:
    """The value of a JSON document.  Raises MessageError if it is malformed."""
    try:
        return ujson.loads(bytes(data) if isinstance(data, memoryview) else data)  # ujson takes no views
    except (ValueError, TypeError) as error:
        raise MessageError(f"not valid JSON: {error}") from None


def string_field(fields: Mapping[str, Any], name: str) -> str:
    """A field of a JSON object that must be a string.  Raises MessageError if it is not."""
    value = fields.get(name)
    if not isinstance(value, str):
        raise MessageError(f"{name} is no text")
    return value


def closing_response(status: int, body: bytes, is_head: bool = False) -> bytes:
    """A complete response after which the connection closes; is_head: the request was HEAD, so no body."""
    return b"HTTP/1.1 %d %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s" % (
        status,
        HTTPStatus(status).phrase.encode(),
        len(body),
        b"" if is_head else body,
    )
