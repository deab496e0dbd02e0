"""Clients of the soak test: each sends requests one at a time and reuses its connection while it is open."""

from __future__ import annotations

import asyncio
import random
import time
from contextlib import suppress
from dataclasses import dataclass
from enum import Enum

from weldquay.lab.http import encode_message, read_message

CLIENTS = 10
PAUSE_S = 0.04  # mean time between two requests of a client
RECONNECT_DELAY_S = 0.05  # delay before a client that cannot connect tries the next dispatcher
ANSWER_GRACE_S = 1.5  # how long after its timeout a client still waits; the request is unanswered then
CONNECT_TIMEOUT_S = 1.0
IDEMPOTENT_PATH, NON_IDEMPOTENT_PATH = "/lookup/a", "/import"
NON_IDEMPOTENT_FRACTION = 0.3


class RequestOutcome(Enum):
    """The outcome of a request."""

    ANSWERED = "answered"
    CLOSED_UNANSWERED = "closed without an answer"
    TRUNCATED = "closed within an answer"
    UNANSWERED = "no answer"


@dataclass(frozen=True, slots=True)
class SentRequest:
    """A request that was written to a connection, and its outcome; times are monotonic (s)."""

    request_id: str
    dispatcher: str
    is_idempotent: bool
    is_new_connection: bool
    sent_at: float
    ended_at: float
    outcome: RequestOutcome
    status: int = 0
    is_result_correct: bool = True  # False if a response with status 200 has the result of another job


Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class SoakClients:
    """All clients; one that cannot connect to a dispatcher tries the next one."""

    def __init__(self, seed: int, dispatchers: list[str], client_timeout_s: float) -> None:
        self.rng = random.Random(f"clients {seed}")
        self.dispatchers = dispatchers
        self.client_timeout_s = client_timeout_s
        self.requests: list[SentRequest] = []
        self.is_stopping = False
        self._sent = 0
        self._tasks: list[asyncio.Task[None]] = []
        self._idle_connections: list[Connection] = []

    def start(self) -> None:
        """Start the clients."""
        for number in range(CLIENTS):
            self._tasks.append(asyncio.create_task(self._run(number)))

    async def open_idle_connections(self, size: int) -> None:
        """Open `size` idle connections to each dispatcher, which may close them."""
        for address in self.dispatchers:
            host, port = address.split(":")
            for _ in range(size):
                with suppress(OSError):
                    self._idle_connections.append(await asyncio.open_connection(host, int(port)))

    async def is_served(self, address: str) -> bool:
        """Send one request on a new connection to a dispatcher; return whether it was completed."""
        if (connection := await self._connect(address)) is None:
            return False
        try:
            request = await self._exchange(address, connection, is_new=True)
        finally:
            connection[1].transport.abort()
        self.requests.append(request)
        return request.status == 200

    async def finish(self) -> None:
        """Stop sending requests, and wait for the outstanding responses."""
        self.is_stopping = True
        await asyncio.gather(*self._tasks)
        for _, writer in self._idle_connections:
            writer.transport.abort()

    async def _run(self, number: int) -> None:
        dispatcher_index = number
        while not self.is_stopping:
            address = self.dispatchers[dispatcher_index % len(self.dispatchers)]
            if (connection := await self._connect(address)) is None:
                dispatcher_index += 1
                await asyncio.sleep(RECONNECT_DELAY_S)
                continue
            try:
                await self._send_requests(address, connection)
            finally:
                connection[1].transport.abort()
            dispatcher_index += self.rng.random() < 0.5

    async def _connect(self, address: str) -> Connection | None:
        """Connect to a dispatcher; return None if that fails or takes too long."""
        host, port = address.split(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                return await asyncio.open_connection(host, int(port))
        except OSError:  # includes TimeoutError
            return None

    async def _send_requests(self, address: str, connection: Connection) -> None:
        """Send requests on a connection until it is closed."""
        is_new = True
        while not self.is_stopping:
            request = await self._exchange(address, connection, is_new)
            self.requests.append(request)
            if request.outcome is not RequestOutcome.ANSWERED or connection[0].at_eof():
                return
            is_new = False
            await asyncio.sleep(self.rng.expovariate(1 / PAUSE_S))

    async def _exchange(self, address: str, connection: Connection, is_new: bool) -> SentRequest:
        """Send one request and wait for its response."""
        reader, writer = connection
        self._sent += 1
        request_id = f"soak-{self._sent}"
        is_idempotent = self.rng.random() >= NON_IDEMPOTENT_FRACTION
        path = IDEMPOTENT_PATH if is_idempotent else NON_IDEMPOTENT_PATH
        headers = (f"X-Correlation-Id: {request_id}", f"X-Time-Left-Ms: {int(self.client_timeout_s * 1000)}")
        sent_at = time.monotonic()
        status, is_result_correct, outcome = 0, True, RequestOutcome.ANSWERED
        try:
            async with asyncio.timeout(self.client_timeout_s + ANSWER_GRACE_S):
                writer.write(encode_message(f"POST {path} HTTP/1.1", request_id.encode(), *headers))
                answer = await read_message(reader)
                status = answer.status
                is_result_correct = status != 200 or answer.body == request_id.upper().encode()
        except TimeoutError:
            outcome = RequestOutcome.UNANSWERED
        except asyncio.IncompleteReadError as error:
            outcome = RequestOutcome.TRUNCATED if error.partial else RequestOutcome.CLOSED_UNANSWERED
        except OSError:
            outcome = RequestOutcome.CLOSED_UNANSWERED
        return SentRequest(
            request_id,
            address,
            is_idempotent,
            is_new,
            sent_at,
            time.monotonic(),
            outcome,
            status,
            is_result_correct,
        )
