"""Shared code of the messages: their error, JSON parsing and the response that closes a connection."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from http import HTTPStatus
from typing import Any

import ujson

from weldquay.errors import OperatorError

MAX_BODY_BYTES = 64 * 1024
NS_PER_MS = 1_000_000
Headers = Iterable[tuple[bytes, bytes]]
Body = memoryview | bytearray | bytes


class MessageError(OperatorError):
    """A message is malformed; the text describes the error."""

    error_code = "message-error"
    remedy = "check the sender: it may run another version, or be a service that is not part of this site"


def read_json(data: Body) -> Any:
    """Parse a JSON document.

    Raises:
        MessageError: the document is malformed.
    """
    try:
        # ujson does not accept memory views.
        return ujson.loads(bytes(data) if isinstance(data, memoryview) else data)
    except (ValueError, TypeError) as error:
        raise MessageError(f"not valid JSON: {error}") from None


def string_field(fields: Mapping[str, Any], name: str) -> str:
    """Return a string field of a JSON object.

    Raises:
        MessageError: the field is missing or not a string.
    """
    value = fields.get(name)
    if not isinstance(value, str):
        raise MessageError(f"{name} is no text")
    return value


def encode_text(text: str) -> bytes:
    """Encode text of a JSON document as UTF-8.

    JSON may escape half of a surrogate pair, which strict UTF-8 does not encode; it becomes three bytes.
    """
    return text.encode("utf-8", "surrogatepass")


def closing_response(status: int, body: bytes, is_head: bool = False) -> bytes:
    """Serialize a complete response that closes the connection; the response to HEAD has no body."""
    return b"HTTP/1.1 %d %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s" % (
        status,
        HTTPStatus(status).phrase.encode(),
        len(body),
        b"" if is_head else body,
    )
