"""The head of a client's request: its id, its deadline and the properties of its job.

Source: the page PROTOCOL, clients to dispatchers.  Header names are in lower case, as h11 returns them.
"""

from __future__ import annotations

import hashlib
import math
from dataclasses import dataclass

from weldquay.net.messages.common import NS_PER_MS, Headers, MessageError
from weldquay.net.messages.request_head import RequestHead

CORRELATION_ID = b"x-correlation-id"
TIME_LEFT = b"x-time-left-ms"
FACTS = b"x-facts"
RUNTIME_HINT = b"x-weight-hint"  # in microseconds
COOKIE = b"cookie"
REPEAT = b"x-repeat"

# Names in X-Facts; the second name of a pair is used if the first one is absent.
SLOTS, WIDTH = "slots", "width"
MEMORY, RAM_UNITS = "memory", "ram_units"
KEY_COOKIE = b"obj"

MAX_ID_LENGTH = 128  # characters; the id becomes part of a request path at the worker
MAX_TIME_LEFT_MS = 24 * 3600 * 1000
MAX_FACT_VALUE = 1e9
NS_PER_US = 1000
US_PER_MS = 1000


@dataclass(frozen=True, slots=True)
class RequestMetadata:
    """The metadata of a job in the head of its request."""

    id: str
    time_left_ns: int | None  # None: the timeout of the job class applies
    slots: float = 1.0
    memory: float = 0.0
    runtime_hint_ns: int | None = None
    object_key: int = 0  # key of the object that the job concerns; 0: none
    is_retry: bool = False


def parse_request_metadata(headers: Headers) -> RequestMetadata:
    """Parse the metadata of a client's request.

    Raises:
        MessageError: a header is missing or malformed.
    """
    values = dict(headers)
    facts = _parse_facts(values.get(FACTS, b""))
    time_left_ms = _parse_time_left_ms(values.get(TIME_LEFT))
    hint_us = _parse_number("X-Weight-Hint", values.get(RUNTIME_HINT), MAX_TIME_LEFT_MS * US_PER_MS)
    return RequestMetadata(
        parse_correlation_id(values.get(CORRELATION_ID, b"")),
        None if time_left_ms is None else time_left_ms * NS_PER_MS,
        slots=facts.get(SLOTS, facts.get(WIDTH, 1.0)),
        memory=facts.get(MEMORY, facts.get(RAM_UNITS, 0.0)),
        runtime_hint_ns=None if hint_us is None else int(hint_us * NS_PER_US),
        object_key=_parse_key(values.get(COOKIE, b"")),
        is_retry=values.get(REPEAT) == b"1",
    )


def parse_correlation_id(value: bytes) -> str:
    """Parse a request's id.

    Raises:
        MessageError: the id is missing, too long or cannot be part of a path.
    """
    text = value.decode("latin-1")
    if not text:
        raise MessageError("X-Correlation-Id is missing")
    is_path_safe = all(char.isascii() and (char.isalnum() or char in "-_.~") for char in text)
    if len(text) > MAX_ID_LENGTH or not is_path_safe:
        raise MessageError("X-Correlation-Id has characters that an id may not have, or too many")
    return text


def parse_class_name(path: bytes) -> bytes:
    """Return the name of a request's job class: the first segment of its path."""
    return path.removeprefix(b"/").split(b"/", 1)[0]


def serialize_request(request: RequestHead, body: bytes, time_left_ns: int) -> bytes:
    """Serialize a received request, with its body in one part and time_left_ns as its remaining time."""
    replaced = {
        TIME_LEFT: b"%d" % max(0, time_left_ns // NS_PER_MS),
        b"content-length": b"%d" % len(body),
    }
    dropped = {*replaced, b"transfer-encoding", b"expect"}
    lines = [b"%s %s HTTP/%s" % (request.method, request.target, request.http_version)]
    lines += [b"%s: %s" % (name, value) for name, value in request.headers if name not in dropped]
    lines += [b"%s: %s" % header for header in replaced.items()]
    return b"\r\n".join([*lines, b"", body])


def format_retry_after(wait_ns: int) -> bytes:
    """Format the value of Retry-After: decimal seconds."""
    return f"{wait_ns / 1e9:.3f}".encode()


def _parse_time_left_ms(value: bytes | None) -> int | None:
    """Parse the remaining time; only digits are valid, although int() and float() accept 1_0 or 1e3."""
    if value is None:
        return None
    if not value.isdigit() or len(value) > len(str(MAX_TIME_LEFT_MS)) or int(value) > MAX_TIME_LEFT_MS:
        raise MessageError(f"X-Time-Left-Ms is no whole number up to {MAX_TIME_LEFT_MS}")
    return int(value)


def _parse_number(name: str, value: bytes | None, max_value: float) -> float | None:
    """Parse a number from 0 to max_value; return None if it is absent."""
    if value is None:
        return None
    try:
        number = float(value)
    except ValueError:
        number = math.nan
    if not 0 <= number <= max_value:
        raise MessageError(f"{name} is no figure from 0 to {max_value:g}")
    return number


def _parse_facts(value: bytes) -> dict[str, float]:
    """Parse the numbers in X-Facts, which has the form name=value,name=value."""
    facts = {}
    for part in value.split(b","):
        if part.strip():
            name, _, number = part.partition(b"=")
            facts[name.strip().decode("latin-1")] = _parse_number("X-Facts", number, MAX_FACT_VALUE) or 0.0
    return facts


def _parse_key(cookies: bytes) -> int:
    """Return the key of the object that a request concerns, or 0 if it names none."""
    for cookie in cookies.split(b";"):
        name, _, value = cookie.strip().partition(b"=")
        if name == KEY_COOKIE and value:
            return int.from_bytes(hashlib.blake2b(value, digest_size=8).digest(), "little")
    return 0
