"""The pool of connections to all workers: reuse of idle ones, and the limit on open ones."""

from __future__ import annotations

import asyncio
import time
from collections import deque

import h11

from weldquay.net.buffer_budget import BufferBudget
from weldquay.net.config import Config
from weldquay.net.counters import Counters
from weldquay.net.memory_plan import plan_memory
from weldquay.net.messages import Body
from weldquay.net.peer_timeout import PeerTimeout
from weldquay.net.streams import connect
from weldquay.net.tasks import Tasks
from weldquay.net.worker_connection import (
    READ_SIZE,
    AttemptAborted,
    RequestNotSent,
    WorkerConnection,
    WorkerResponse,
)
from weldquay.net.worker_endpoint import WorkerEndpoint

# A connection that was idle for longer than this fraction of the workers' idle timeout is not reused.
IDLE_TIMEOUT_FRACTION = 0.8
MAX_IDLE_PER_WORKER = 2
# How long a request waits for a free connection.  With the time for connecting it fits into ACCEPT_TIMEOUT_S.
CONNECTION_WAIT_S = 0.2
IDLE_CHECK_INTERVAL_S = 1.0


class ConnectionPool:
    """Opens connections, keeps idle ones for reuse, and enforces the limit on open connections."""

    def __init__(self, config: Config, counters: Counters, buffers: BufferBudget) -> None:
        """Create the pool; buffers: what all connections of the process may hold."""
        self._buffers = buffers
        self._counters = counters
        self._tasks = Tasks()
        self.reconfigure(config)
        self.idle: dict[WorkerConnection, WorkerEndpoint] = {}  # all idle connections, longest idle first
        self.waiters: deque[asyncio.Future[None]] = deque()  # requests that wait for a free connection
        self.open_connections = 0
        self.connection_limit = plan_memory(config.memory_mb, config.sockets).worker_connections
        self.max_connections = self.connection_limit
        self._tasks.start(self._close_expired_connections(), "closing of idle connections")

    def reconfigure(self, config: Config) -> None:
        """Use the settings of a new configuration for later connections."""
        self._connect_timeout_s = config.connect_timeout_ns / 1e9
        self._idle_timeout_s = config.settings.connection_idle_timeout_ns / 1e9 * IDLE_TIMEOUT_FRACTION

    def set_limit_fraction(self, fraction: float) -> None:
        """Set the limit to a fraction of its full value; another process uses the rest."""
        self.max_connections = int(self.connection_limit * fraction)
        excess = max(0, self.open_connections - self.max_connections)
        for connection in list(self.idle)[:excess]:
            self._close_idle_connection(connection)
        for _ in range(len(self.waiters)):
            self._wake_next()

    async def request(self, worker: WorkerEndpoint, method: bytes, target: bytes) -> WorkerResponse:
        """Send a request without a body, on an idle connection or a new one.

        Raises RequestNotSent, AttemptAborted, ConnectionLost.
        """
        connection = self.take_idle(worker) or await self.connect(worker)
        headers = [(b"Host", worker.host_header.encode())]
        return await self.send(worker, connection, h11.Request(method=method, target=target, headers=headers))

    async def send(
        self,
        worker: WorkerEndpoint,
        connection: WorkerConnection,
        request: h11.Request,
        body: Body = b"",
    ) -> WorkerResponse:
        """Send a request on a connection, then keep the connection for reuse or close it.

        Raises RequestNotSent, ConnectionLost.
        """
        is_reusable = False
        try:
            response = await connection.send_request(request, body)
            is_reusable = connection.mark_idle()
            if is_reusable:
                self.idle[connection] = worker
                worker.idle_connections.append(connection)
                if len(worker.idle_connections) > MAX_IDLE_PER_WORKER:
                    self._close_idle_connection(worker.idle_connections[0])
                self._wake_next()
            return response
        finally:
            if not is_reusable:
                connection.abort()

    def take_idle(self, worker: WorkerEndpoint) -> WorkerConnection | None:
        """Return the most recently used reusable idle connection, or None."""
        while worker.idle_connections:
            connection = worker.idle_connections[-1]
            if time.monotonic() - connection.idle_since < self._idle_timeout_s and connection.is_usable():
                del self.idle[worker.idle_connections.pop()]
                connection.resume_reading()
                return connection
            self._close_idle_connection(connection)
        return None

    async def connect(self, worker: WorkerEndpoint) -> WorkerConnection:
        """Open a connection, waiting until the limit allows it.

        Raises RequestNotSent if the worker cannot be reached, and AttemptAborted if the connection failed due
        to the limit or a stall of this process.
        """
        if self.open_connections >= self.max_connections:
            await self._wait_for_connection()
        self.open_connections += 1
        timeout = PeerTimeout(self._connect_timeout_s)
        try:
            async with timeout:
                reader, writer = await connect(worker.endpoint.host, worker.endpoint.port, READ_SIZE)
        except OSError as error:  # TimeoutError is a subclass
            self._on_closed()
            if isinstance(error, TimeoutError) and self.has_stalled(timeout):
                raise AttemptAborted("this process stalled while connecting") from error
            self._counters.add("worker_connections_failed")
            raise RequestNotSent(f"connecting failed: {error}") from error
        except BaseException:
            self._on_closed()
            raise
        self._counters.add("worker_connections")
        self._tasks.start(self._wait_until_closed(writer), "wait for a worker connection to close")
        return WorkerConnection(reader, writer, self._buffers)

    def has_stalled(self, timeout: PeerTimeout) -> bool:
        """Return whether a stall of this process caused an expired timeout; stalls are counted."""
        if timeout.has_stalled:
            self._counters.add("worker_connections_stalled")
        return timeout.has_stalled

    def close_idle(self, worker: WorkerEndpoint) -> None:
        """Close the idle connections to a worker."""
        for connection in list(worker.idle_connections):
            self._close_idle_connection(connection)

    async def stop(self) -> None:
        """Stop the pool's tasks and close all idle connections."""
        await self._tasks.stop()
        for connection in list(self.idle):
            self._close_idle_connection(connection)

    def _close_idle_connection(self, connection: WorkerConnection) -> None:
        self.idle.pop(connection).idle_connections.remove(connection)
        connection.abort()

    async def _wait_for_connection(self) -> None:
        """Wait until the limit allows one more connection, evicting the longest idle one.

        There may be more workers than connections, so idle ones must not block requests to other workers.
        Raises AttemptAborted after CONNECTION_WAIT_S, since the shortage is local and not the worker's fault.
        """
        try:
            async with asyncio.timeout(CONNECTION_WAIT_S):
                while self.open_connections >= self.max_connections:
                    if self.idle:
                        self._counters.add("worker_connections_evicted")
                        self._close_idle_connection(next(iter(self.idle)))
                    await self._wait_for_wake_up()
        except TimeoutError:
            self._counters.add("worker_connections_over_limit")
            raise AttemptAborted("the limit on worker connections was reached") from None

    async def _wait_for_wake_up(self) -> None:
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.waiters.append(waiter)
        try:
            await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                self._wake_next()  # pass the wake-up on to the next request
            raise

    def _wake_next(self) -> None:
        """Wake the longest-waiting request, after a connection was closed or became idle."""
        while self.waiters:
            waiter = self.waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return

    async def _wait_until_closed(self, writer: asyncio.StreamWriter) -> None:
        """Wait until a connection is closed, then count it as closed."""
        try:
            await writer.wait_closed()
        except OSError:
            pass  # the cause of the close is irrelevant
        finally:
            self._on_closed()

    def _on_closed(self) -> None:
        self.open_connections -= 1
        self._wake_next()

    async def _close_expired_connections(self) -> None:
        """Close idle connections that the worker has closed, or that are near the idle timeout."""
        while True:
            await asyncio.sleep(IDLE_CHECK_INTERVAL_S)
            expired_before = time.monotonic() - self._idle_timeout_s
            for connection in list(self.idle):
                if connection.idle_since <= expired_before or not connection.is_usable():
                    self._close_idle_connection(connection)
