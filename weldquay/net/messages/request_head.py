"""The head of a received request, reduced to the fields that the dispatcher uses.

A field of three bytes becomes several objects of some 200 bytes when it is parsed, and a request may stay
open for seconds, so the other fields are dropped as soon as the head is parsed.
"""

from __future__ import annotations

from dataclasses import dataclass

import h11

# Names in lower case.  A hot restart serializes the head again, for which HTTP requires Host.
USED_FIELDS = frozenset(
    {
        b"connection",
        b"content-type",
        b"cookie",
        b"host",
        b"idempotency-key",
        b"x-account",
        b"x-correlation-id",
        b"x-facts",
        b"x-repeat",
        b"x-time-left-ms",
        b"x-weight-hint",
    }
)


@dataclass(frozen=True, slots=True)
class RequestHead:
    """The request line and the used fields, in the order of their arrival; names are in lower case."""

    method: bytes
    target: bytes
    http_version: bytes
    headers: tuple[tuple[bytes, bytes], ...]


def reduce_head(request: h11.Request) -> RequestHead:
    """Return the head without the fields that are not used."""
    return RequestHead(
        request.method,
        request.target,
        request.http_version,
        tuple((name, value) for name, value in request.headers if name in USED_FIELDS),
    )
