"""The client-facing server: one listener for clients, health checks and callbacks of workers."""

from __future__ import annotations

import asyncio
import logging
import socket
import time
from collections.abc import Callable
from functools import partial

from weldquay.net.buffer_budget import BufferBudget
from weldquay.net.client_connection import AdoptedConnection, ClientConnection
from weldquay.net.client_context import ClientContext
from weldquay.net.config import Address, Config
from weldquay.net.connection_state import ConnectionState
from weldquay.net.connection_table import LINGER_TIMEOUT_S, ConnectionTable
from weldquay.net.counters import Counters
from weldquay.net.hot_restart_messages import NO_DESCRIPTOR, MigratedConnection
from weldquay.net.memory_plan import plan_memory
from weldquay.net.read_ahead import ConnectionBudgets, ReadAheadBudget
from weldquay.net.request_coordinator import RequestCoordinator
from weldquay.net.streams import READABLE, CountingReader, limit_receive_size, socket_has_event

log = logging.getLogger(__name__)

LISTEN_BACKLOG = 1024  # connections; when the queue is full, clients must retransmit their SYN after 1 s
# Connections accepted in one iteration of the event loop.  They are counted up to four iterations later;
# limits.RESERVED_DESCRIPTORS includes descriptors for them.
MAX_ACCEPTS = 4
READ_BUFFER_SIZE = 8 * 1024  # bytes; reading pauses at twice as many
MAX_WAITING_CONNECTIONS = 8  # part of limits.RESERVED_DESCRIPTORS
CAPACITY_WAIT_S = 1.0
CAPACITY_POLL_S = 0.01
TIMEOUT_CHECK_INTERVAL_S = 0.1
STOP_POLL_INTERVAL_S = 0.01


async def _bind(address: Address) -> socket.socket:
    """Return a socket bound to an address.  Raises OSError if the address is not available."""
    infos = await asyncio.get_running_loop().getaddrinfo(address.host, address.port, type=socket.SOCK_STREAM)
    family, kind, protocol, _, socket_address = infos[0]
    listener = socket.socket(family, kind, protocol)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # Allows a newer process to start while an unresponsive one is still running.
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    listener.bind(socket_address)
    return listener


class ClientServer:
    """The listener, and the connections opened by clients and workers."""

    def __init__(
        self,
        config: Config,
        counters: Counters,
        coordinator: RequestCoordinator,
        is_serving: Callable[[], bool],
        buffers: BufferBudget | None = None,
    ) -> None:
        """Create the server without a listener.

        Args:
            config: the configuration.
            counters: the metrics of the process.
            coordinator: gets the requests and callbacks.
            is_serving: returns the result for health checks.
            buffers: what all connections of the process may hold; None: a budget of its own.
        """
        plan = plan_memory(config.memory_mb, config.sockets, len(config.known.endpoints))
        self.table: ConnectionTable[ClientConnection] = ConnectionTable(counters, plan.client_connections)
        self.context = ClientContext(
            config,
            counters,
            coordinator,
            is_serving,
            ConnectionBudgets(
                buffers or BufferBudget(plan.buffered_bytes), ReadAheadBudget(plan.read_ahead_bytes)
            ),
        )
        self.waiting_connections = 0  # accepted, and not counted as long as they wait for capacity
        self.listener: socket.socket | None = None
        self.server: asyncio.Server | None = None

    @property
    def connections(self) -> dict[ClientConnection, None]:
        """All connections."""
        return self.table.connections

    @property
    def port(self) -> int:
        """The listener's port."""
        assert self.listener is not None
        return int(self.listener.getsockname()[1])

    def reconfigure(self, config: Config) -> None:
        """Use a new configuration for later requests."""
        self.context.reconfigure(config)

    # --- accepting ---

    async def listen(self, inherited: int = NO_DESCRIPTOR) -> None:
        """Open the listener, or inherit its descriptor from an older process; `accept` starts accepting.

        Raises:
            OSError: the address is not available.
        """
        if inherited != NO_DESCRIPTOR:
            self.listener = socket.socket(fileno=inherited)
        else:
            self.listener = await _bind(self.context.config.listen)
        self.context.tasks.start(self._enforce_timeouts(), "client timeouts")

    async def accept(self) -> None:
        """Start accepting connections.

        asyncio accepts up to `backlog` connections in one iteration of the loop, so the system's backlog is
        set separately.  With a larger value many clients could use up all descriptors before their
        connections are counted, and asyncio would then accept nothing, not even callbacks, for a second.
        """
        assert self.listener is not None
        self.server = await asyncio.get_running_loop().create_server(
            self._create_protocol, sock=self.listener.dup(), backlog=MAX_ACCEPTS
        )
        self.listener.listen(LISTEN_BACKLOG)

    def stop_accepting(self) -> None:
        """Stop accepting; connections in the listen queue are left to another process or a later `accept`."""
        if self.server is not None:
            self.server.close()
            self.server = None

    def _create_protocol(self, adopted: AdoptedConnection | None = None) -> asyncio.StreamReaderProtocol:
        reader = CountingReader(READ_BUFFER_SIZE)
        if adopted is not None and adopted.migrated.unparsed:
            reader.feed_data(adopted.migrated.unparsed)

        async def on_connection(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self._serve_connection(reader, writer, adopted)

        return asyncio.StreamReaderProtocol(reader, on_connection)

    async def _serve_connection(
        self, reader: CountingReader, writer: asyncio.StreamWriter, adopted: AdoptedConnection | None
    ) -> None:
        """Serve a connection until it is closed."""
        counters = self.context.counters
        accepted_at = time.monotonic()
        # A migrated connection has a descriptor already, and the older process has counted it.
        if not (self.table.ensure_capacity() or adopted is not None or await self._wait_for_capacity()):
            counters.add("client_connections_over_limit")
            writer.transport.abort()
            return
        limit_receive_size(writer)
        connection = ClientConnection(self.context, self.table, reader, writer, adopted)
        connection.waited_s = time.monotonic() - accepted_at
        counters.add("client_connections")
        try:
            await connection.run()
        except OSError:
            pass  # the connection is lost, so no response can be sent
        except Exception:
            log.exception("client connection failed")
            counters.add("client_connections_failed")
        finally:
            connection.connection_lost()
            writer.transport.abort()

    async def _wait_for_capacity(self) -> bool:
        """Wait until the limit allows another connection; return False if that takes too long.

        Only a few connections wait, since they are not counted yet.
        """
        if self.waiting_connections >= MAX_WAITING_CONNECTIONS:
            return False
        self.waiting_connections += 1
        give_up_at = time.monotonic() + CAPACITY_WAIT_S
        try:
            while (now := time.monotonic()) < give_up_at:
                await asyncio.sleep(CAPACITY_POLL_S)
                if self.table.ensure_capacity() or self.table.reject_oldest_partial_request(now):
                    return True
            return False
        finally:
            self.waiting_connections -= 1

    # --- hot restart ---

    def start_migration(self, migrate_connection: Callable[[MigratedConnection], None]) -> None:
        """Stop accepting, and migrate each connection between two requests or with its open request.

        Connections with a partial request cannot migrate; most of them give way to other connections.
        """
        self.stop_accepting()
        self.table.evict_reading()
        self.context.migrate_connection = migrate_connection
        for state in (ConnectionState.IDLE, ConnectionState.READING, ConnectionState.WAITING):
            for connection in list(self.table.by_state[state]):
                connection.start_migration()

    def accept_migrated(self, migrated: MigratedConnection) -> None:
        """Adopt a connection and its open request from the older process.

        The request is accepted at once, since its callbacks may arrive before the connection is set up.
        """
        accepted = None
        if migrated.request is not None and migrated.request.class_name in self.context.config.class_names:
            accepted = self.context.accept_migrated_request(migrated.unparsed, migrated.request)
        adopted = AdoptedConnection(migrated, accepted)
        self.context.tasks.start(self._adopt(adopted), "adoption of a migrated connection")

    async def _adopt(self, adopted: AdoptedConnection) -> None:
        """Set up a migrated connection."""
        sock = socket.socket(fileno=adopted.migrated.descriptor)
        sock.setblocking(False)
        try:
            await asyncio.get_running_loop().connect_accepted_socket(
                partial(self._create_protocol, adopted), sock
            )
        except OSError:  # the client has disconnected
            sock.close()
            self._end_open_request(adopted)

    def _end_open_request(self, adopted: AdoptedConnection | None) -> None:
        """End the open request of a connection that could not be adopted."""
        if adopted is not None and adopted.accepted is not None:
            self.context.disconnect(adopted.accepted.request)

    # --- closing ---

    def begin_closing(self) -> None:
        """Close idle connections now, and the others after their next response."""
        self.context.is_closing = True
        for connection in list(self.table.by_state[ConnectionState.IDLE]):
            connection.close_gracefully()

    def reject_requests(self) -> None:
        """Reject new job requests, and close each connection after its next response."""
        self.context.is_closing = True
        self.context.is_rejecting = True

    def reopen(self) -> None:
        """Accept job requests again, and keep connections open between requests."""
        self.context.is_closing = False
        self.context.is_rejecting = False

    async def stop(self, linger_s: float = LINGER_TIMEOUT_S) -> None:
        """Close the listener, and all connections once their responses are written, or after linger_s.

        New job requests are rejected.  The listen queue is emptied first, since closing the listener would
        reset the connections in it.
        """
        self.reject_requests()
        try:
            async with asyncio.timeout(linger_s):
                await self._empty_listen_queue()
                self.stop_accepting()
                await self._close_connections()
        except TimeoutError:  # a client that does not read must not delay the exit
            for connection in list(self.connections):
                connection.abort()
        self.stop_accepting()
        if self.listener is not None:
            self.listener.close()
        await self.context.tasks.stop()

    async def _empty_listen_queue(self) -> None:
        while self.listener is not None and self.server is not None:
            if not socket_has_event(self.listener, READABLE):
                return
            await asyncio.sleep(STOP_POLL_INTERVAL_S)

    async def _close_connections(self) -> None:
        by_state = self.table.by_state
        while self.connections:
            for connection in [*by_state[ConnectionState.IDLE], *by_state[ConnectionState.READING]]:
                connection.close_gracefully()
            await asyncio.sleep(STOP_POLL_INTERVAL_S)

    async def _enforce_timeouts(self) -> None:
        while True:
            await asyncio.sleep(TIMEOUT_CHECK_INTERVAL_S)
            try:
                self.table.enforce_timeouts(time.monotonic())
                self.table.drop_abandoned()
            except Exception:  # one connection must not end the timeouts of all others
                log.exception("enforcing the timeouts of client connections failed")
                self.context.counters.add("client_timeouts_failed")
