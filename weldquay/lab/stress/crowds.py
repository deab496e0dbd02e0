"""Crowds: hundreds of clients at once that write slowly, or stop within a request and stay.

Each must get an error or a close within MAX_HOLD_S of connecting.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import suppress
from enum import Enum

MAX_HOLD_S = 3.0
HOLD_MARGIN_S = 0.3  # tolerated delay of this process
RECONNECT_DELAY_S = 0.05
BODY_BYTES = 64_000
HEAD_BYTES = 15_500  # of fields, just below the limit on a head
SLOW_WRITE_S = 2.0  # time in which a slow client writes its request
SLOW_PIECES = 40
CLIENT_TIMEOUT_MS = 2000
SHORTEST_FIELD = b"a:\r\n"


class CrowdBehaviour(Enum):
    """What each client of a crowd does on its connection."""

    SLOW_BODY = "writes a large request slowly"
    HALF_BODY = "stops half way through a large body"
    HALF_HEAD = "stops within a long head"
    MANY_FIELDS = "sends a head of very many short fields and no body"
    MANY_FIELDS_WHOLE = "sends whole requests with very many short fields"
    SMALL_CHUNKS = "sends a large body in chunks of one byte and stops before its end"
    PIPELINED_BODIES = "sends large requests one behind the other"


# Requests that may be served; the bound on holding a connection is for the others.
WHOLE_REQUESTS = frozenset(
    {CrowdBehaviour.SLOW_BODY, CrowdBehaviour.MANY_FIELDS_WHOLE, CrowdBehaviour.PIPELINED_BODIES}
)


class CrowdOutcome(Enum):
    """How a connection of a crowd's client ended."""

    ANSWERED = "answered"
    CLOSED = "closed"
    HELD = "neither answered nor closed in time"
    NOT_CONNECTED = "not connected"


def head(request_id: str, fields: bytes, length: bytes) -> bytes:
    """Return the head of a job request with additional fields."""
    return (
        b"POST /lookup HTTP/1.1\r\nHost: crowd\r\nX-Correlation-Id: %b\r\nX-Time-Left-Ms: %d\r\n%b%b\r\n\r\n"
        % (request_id.encode(), CLIENT_TIMEOUT_MS, fields, length)
    )


def request_parts(behaviour: CrowdBehaviour, request_id: str) -> tuple[bytes, float]:
    """Return the bytes that a client sends, and the time (s) in which it writes them."""
    length = b"Content-Length: %d" % BODY_BYTES
    many_fields = SHORTEST_FIELD * (HEAD_BYTES // len(SHORTEST_FIELD))
    body = b"x" * BODY_BYTES
    match behaviour:
        case CrowdBehaviour.SLOW_BODY:
            return head(request_id, b"", length) + body, SLOW_WRITE_S
        case CrowdBehaviour.HALF_BODY:
            return head(request_id, b"", length) + body[: BODY_BYTES // 2], 0.0
        case CrowdBehaviour.HALF_HEAD:
            return head(request_id, b"X: " + b"x" * HEAD_BYTES, b"")[:-4], 0.0
        case CrowdBehaviour.MANY_FIELDS:
            return head(request_id, many_fields, length), 0.0
        case CrowdBehaviour.MANY_FIELDS_WHOLE:
            return head(request_id, many_fields, b"Content-Length: 0"), 0.0
        case CrowdBehaviour.SMALL_CHUNKS:
            return head(request_id, b"", b"Transfer-Encoding: chunked") + b"1\r\nx\r\n" * (
                BODY_BYTES - 1
            ), 0.0
        case CrowdBehaviour.PIPELINED_BODIES:
            return b"".join(head(f"{request_id}-{part}", b"", length) + body for part in range(6)), 0.0


class Crowd:
    """The clients of a crowd; each connects again once its connection has ended."""

    def __init__(self, address: str, behaviour: CrowdBehaviour, size: int) -> None:
        host, port = address.split(":")
        self.address = (host, int(port))
        self.behaviour = behaviour
        self.size = size
        self.outcomes: Counter[str] = Counter()  # by outcome, answers by status
        self.longest_hold_s = 0.0
        self.sent = 0

    async def run(self, duration_s: float) -> None:
        """Run all clients for a time; connections that are open at its end are closed."""
        with suppress(TimeoutError):
            async with asyncio.timeout(duration_s):
                await asyncio.gather(*(self._client(number) for number in range(self.size)))

    async def _client(self, number: int) -> None:
        async for request_id in self._request_ids(number):
            data, write_s = request_parts(self.behaviour, request_id)
            self.outcomes[await self._connection(data, write_s)] += 1
            await asyncio.sleep(RECONNECT_DELAY_S)

    def _max_hold_s(self) -> float:
        """Return how long a connection may stay open without an answer (s)."""
        answer_s = CLIENT_TIMEOUT_MS / 1000 + SLOW_WRITE_S if self.behaviour in WHOLE_REQUESTS else 0.0
        return max(MAX_HOLD_S, answer_s) + HOLD_MARGIN_S

    async def _request_ids(self, number: int) -> AsyncIterator[str]:
        while True:
            self.sent += 1
            yield f"crowd-{number}-{self.sent}"

    async def _connection(self, data: bytes, write_s: float) -> str:
        """Send the bytes on a new connection, and wait until it is answered or closed; return the outcome."""
        try:
            async with asyncio.timeout(MAX_HOLD_S):
                reader, writer = await asyncio.open_connection(*self.address)
        except OSError:
            return CrowdOutcome.NOT_CONNECTED.value
        connected_at = time.monotonic()
        writing = asyncio.create_task(self._write(writer, data, write_s))
        try:
            async with asyncio.timeout(self._max_hold_s()):
                line = await reader.readline()
        except TimeoutError:
            return CrowdOutcome.HELD.value
        except OSError:
            return CrowdOutcome.CLOSED.value
        finally:
            self.longest_hold_s = max(self.longest_hold_s, time.monotonic() - connected_at)
            writing.cancel()
            writer.transport.abort()
        return (
            f"{CrowdOutcome.ANSWERED.value} {line.split()[1].decode()}" if line else CrowdOutcome.CLOSED.value
        )

    async def _write(self, writer: asyncio.StreamWriter, data: bytes, write_s: float) -> None:
        pieces = SLOW_PIECES if write_s else 1
        size = -(-len(data) // pieces)
        with suppress(OSError):
            for start in range(0, len(data), size):
                writer.write(data[start : start + size])
                await writer.drain()
                await asyncio.sleep(write_s / pieces)
