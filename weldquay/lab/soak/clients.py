"""The clients of a soak: each sends one request after the other, on one connection while it is open."""

from __future__ import annotations

import asyncio
import random
import time
from contextlib import suppress
from dataclasses import dataclass
from enum import Enum

from weldquay.lab.http import read_message, write_message

CLIENTS = 10
PAUSE_S = 0.04  # between two requests of a client, on the mean
RECONNECT_S = 0.05
PATIENCE_S = 1.5  # after the client's time; a request without an answer by then is lost
CONNECT_TIMEOUT_S = 1.0
IDEMPOTENT_PATH, NON_IDEMPOTENT_PATH = "/lookup/a", "/import"
NON_IDEMPOTENT_FRACTION = 0.3


class RequestOutcome(Enum):
    """How a request ended."""

    ANSWERED = "answered"
    CLOSED = "closed without an answer"
    CUT_OFF = "closed within an answer"
    UNANSWERED = "no answer"


@dataclass(frozen=True, slots=True)
class SentRequest:
    """A request that was written to a connection, and what came of it; times on the monotonic clock (s)."""

    request_id: str
    dispatcher: str
    is_idempotent: bool
    is_new_connection: bool
    sent_at: float
    ended_at: float
    outcome: RequestOutcome
    status: int = 0
    is_right: bool = True  # the answer's body is the job's result, for status 200


Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class SoakClients:
    """All clients; they go from one dispatcher to another where one accepts no connection."""

    def __init__(self, seed: int, dispatchers: list[str], client_timeout_s: float) -> None:
        self.draw = random.Random(f"clients {seed}")
        self.dispatchers = dispatchers
        self.client_timeout_s = client_timeout_s
        self.requests: list[SentRequest] = []
        self.is_stopping = False
        self._sent = 0
        self._tasks: list[asyncio.Task[None]] = []
        self._crowd: list[Connection] = []

    def start(self) -> None:
        """Start all clients."""
        for number in range(CLIENTS):
            self._tasks.append(asyncio.create_task(self._run(number)))

    async def gather_crowd(self, size: int) -> None:
        """Open so many idle connections to each dispatcher, which may close them."""
        for address in self.dispatchers:
            host, port = address.split(":")
            for _ in range(size):
                with suppress(OSError):
                    self._crowd.append(await asyncio.open_connection(host, int(port)))

    async def finish(self) -> None:
        """Send no further request, and wait for what is due."""
        self.is_stopping = True
        await asyncio.gather(*self._tasks)
        for _, writer in self._crowd:
            writer.transport.abort()

    async def _run(self, number: int) -> None:
        position = number
        while not self.is_stopping:
            address = self.dispatchers[position % len(self.dispatchers)]
            host, port = address.split(":")
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    connection = await asyncio.open_connection(host, int(port))
            except OSError:  # TimeoutError is one
                position += 1
                await asyncio.sleep(RECONNECT_S)
                continue
            try:
                await self._use(address, connection)
            finally:
                connection[1].transport.abort()
            position += self.draw.random() < 0.5

    async def _use(self, address: str, connection: Connection) -> None:
        """Send requests on a connection until it is closed."""
        is_new = True
        while not self.is_stopping:
            request = await self._exchange(address, connection, is_new)
            self.requests.append(request)
            if request.outcome is not RequestOutcome.ANSWERED or connection[0].at_eof():
                return
            is_new = False
            await asyncio.sleep(self.draw.expovariate(1 / PAUSE_S))

    async def _exchange(self, address: str, connection: Connection, is_new: bool) -> SentRequest:
        """Send one request and wait for its answer."""
        reader, writer = connection
        self._sent += 1
        request_id = f"soak-{self._sent}"
        is_idempotent = self.draw.random() >= NON_IDEMPOTENT_FRACTION
        path = IDEMPOTENT_PATH if is_idempotent else NON_IDEMPOTENT_PATH
        headers = (f"X-Correlation-Id: {request_id}", f"X-Time-Left-Ms: {int(self.client_timeout_s * 1000)}")
        sent_at = time.monotonic()
        status, is_right, outcome = 0, True, RequestOutcome.ANSWERED
        try:
            async with asyncio.timeout(self.client_timeout_s + PATIENCE_S):
                writer.write(write_message(f"POST {path} HTTP/1.1", request_id.encode(), *headers))
                answer = await read_message(reader)
                status = answer.status
                is_right = status != 200 or answer.body == request_id.upper().encode()
        except TimeoutError:
            outcome = RequestOutcome.UNANSWERED
        except asyncio.IncompleteReadError as error:
            outcome = RequestOutcome.CUT_OFF if error.partial else RequestOutcome.CLOSED
        except OSError:
            outcome = RequestOutcome.CLOSED
        return SentRequest(
            request_id,
            address,
            is_idempotent,
            is_new,
            sent_at,
            time.monotonic(),
            outcome,
            status,
            is_right,
        )
