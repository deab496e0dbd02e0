"""The client-facing server: one listener for clients, health checks and the call-backs of match workers."""

from __future__ import annotations

import asyncio
import logging
import socket
import time
from collections.abc import Callable
from functools import partial

import h11

from weldquay.limits import BASE_MB, BYTES_EACH, RESERVE
from weldquay.net.config import Config
from weldquay.net.client_connection import READ_SIZE, ClientConnection, State
from weldquay.net.counters import Counters
from weldquay.net.requests import AcceptedRequest, Answer
from weldquay.net.request_coordinator import RequestCoordinator
from weldquay.net.hot_restart_messages import MigratedConnection, MigratedRequest
from weldquay.net.http_channel import MAX_HEAD
from weldquay.net.messages import parse_request_metadata, job_payload
from weldquay.net.streams import READABLE, CountingReader, poll_now
from weldquay.net.tasks import Tasks

log = logging.getLogger(__name__)

LISTEN_BACKLOG = 1024  # connections in the system's queue; beyond it clients repeat their SYN after a second
MAX_ACCEPTS = (
    4  # connections accepted in one turn of the event loop, counted four turns later: limits.RESERVE
)
MIN_CONNECTIONS = 8  # however many another process of this dispatcher holds
# From a connection's start, or a later request's first byte, to the request's last byte; the protocol allows
# bad clients 3 s.
REQUEST_TIMEOUT_S = 2.6
SWEEP_INTERVAL_S = 0.1
AHEAD_FRACTION = 1 / 8  # of the memory for clients: the limit of what they send ahead of calls that wait
POLL_INTERVAL_S = 0.01
EVICTION_COUNTERS: dict[State, str] = {
    State.READING: "evicted_reading",
    State.IDLE: "evicted_resting",
    State.LINGERING: "evicted_leaving",
}
LINGER_S = 1.0  # limit of a lingering close for a client that reads nothing


class ClientServer:
    """The listener, its connections and the ids of the open calls."""

    def __init__(
        self, config: Config, counters: Counters, exchange: RequestCoordinator, serving: Callable[[], bool]
    ) -> None:
        self.config, self.counters, self.coordinator, self.serving = config, counters, exchange, serving
        self.closing = False  # every connection closes after its answer
        self.rejecting = False  # calls are refused
        self.reconfigure(config)
        self.connections: dict[ClientConnection, None] = {}
        # In each state the oldest first; of READING the one that has received nothing for the longest time.
        self.by_state: dict[State, dict[ClientConnection, None]] = {state: {} for state in State}
        self.max_connections = self.connection_limit = min(
            config.sockets - config.sockets * 3 // 10 - RESERVE,
            (config.memory_mb - BASE_MB) * 1024 * 1024 // BYTES_EACH,
        )
        self.buffered_bytes = 0  # bytes that clients have sent while their calls wait
        self.max_buffered_bytes = int((config.memory_mb - BASE_MB) * 1024 * 1024 * AHEAD_FRACTION)
        self.open_request_ids: set[str] = set()  # ids of the open calls
        # During a handover: pass_on hands a connection over to the newer process, pass_back forwards a
        # call-back that matches nothing here to the older one, and elsewhere has the ids of its open calls,
        # which new calls may not use.
        self.migrate_connection: Callable[[MigratedConnection], None] | None = None
        self.return_callback: Callable[[bytes], None] = lambda body: None
        self.peer_request_ids: set[str] = set()
        self.tasks = Tasks()
        self.listener: socket.socket | None = None
        self.server: asyncio.Server | None = None

    def reconfigure(self, config: Config) -> None:
        """Use other settings for the calls from now on."""
        self.config = config
        self.classes = {
            name.encode(): number for number, name in enumerate(config.class_names) if name in config.offered
        }

    async def listen(self, inherited: int = -1) -> None:
        """Open the listener, or use the inherited descriptor of an older process; `accept` begins to accept.

        OSError where the address is not available.  SO_REUSEPORT lets a newer process start beside one that
        does not answer.
        """
        if inherited >= 0:
            self.listener = socket.socket(fileno=inherited)
        else:
            host, port = self.config.listen
            infos = await asyncio.get_running_loop().getaddrinfo(host, port, type=socket.SOCK_STREAM)
            family, kind, protocol, _, address = infos[0]
            self.listener = socket.socket(family, kind, protocol)
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            self.listener.bind(address)
        self.tasks.start(self._sweep(), "limiting the time of requests")

    async def accept(self) -> None:
        """Begin to accept.

        asyncio accepts up to its backlog in one turn of the loop, so the system's backlog is set separately.
        Guards against a crowd that uses up all descriptors before its connections are counted: asyncio would
        stop accepting for a second, and call-backs would wait too.
        """
        assert self.listener is not None
        self.server = await asyncio.get_running_loop().create_server(
            self._protocol, sock=self.listener.dup(), backlog=MAX_ACCEPTS
        )
        self.listener.listen(LISTEN_BACKLOG)

    def _protocol(
        self,
        ahead: bytes = b"",
        passed: MigratedConnection | None = None,
        adopted: AcceptedRequest | None = None,
    ) -> asyncio.StreamReaderProtocol:
        reader = CountingReader(READ_SIZE)
        if ahead:
            reader.feed_data(ahead)

        async def accepted(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self._accept(reader, writer, passed, adopted)

        return asyncio.StreamReaderProtocol(reader, accepted)

    def stop_accepting(self) -> None:
        """Stop accepting; the system's queue is left to another process, or to a later `accept`."""
        if self.server is not None:
            self.server.close()
            self.server = None

    @property
    def port(self) -> int:
        """The listener's port."""
        assert self.listener is not None
        return int(self.listener.getsockname()[1])

    def reserve_connections(self, others: int) -> None:
        """Lower the limit of connections by those that another process holds."""
        self.max_connections = max(MIN_CONNECTIONS, self.connection_limit - others)

    def start_migration(self, pass_on: Callable[[MigratedConnection], None]) -> None:
        """Stop accepting, and hand each connection over between two requests, or with its call."""
        self.stop_accepting()
        self.migrate_connection = pass_on
        for state in (State.IDLE, State.READING, State.WAITING):
            for connection in list(self.by_state[state]):
                connection.begin_passing()

    def accept_migrated(self, passed: MigratedConnection) -> None:
        """Take over a connection, and its call, from the older process.

        The call is taken over at once, since its call-backs may arrive before the connection is set up.
        """
        request = passed.request
        adopted = None
        if request is not None and request.class_name in self.config.class_names:
            adopted = self._adopt_call(passed.unparsed, request)
        self.tasks.start(self._adopt(passed, adopted), "going on with a connection of the older process")

    def _adopt_call(self, unparsed: bytes, migrated: MigratedRequest) -> AcceptedRequest:
        http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD)
        http.receive_data(unparsed)
        request, body = http.next_event(), bytearray()
        assert isinstance(request, h11.Request)
        while isinstance(event := http.next_event(), h11.Data):
            body += event.data
        told = parse_request_metadata(request.headers)
        answers: list[Answer] = []
        job = job_payload(request, body)
        self.peer_request_ids.discard(told.id)
        self.open_request_ids.add(told.id)
        return AcceptedRequest(self.coordinator.accept_migrated(migrated, told, job, answers.append), answers)

    async def _adopt(self, passed: MigratedConnection, adopted: AcceptedRequest | None) -> None:
        sock = socket.socket(fileno=passed.file)
        sock.setblocking(False)
        try:
            await asyncio.get_running_loop().connect_accepted_socket(
                partial(self._protocol, passed.unparsed, passed, adopted), sock
            )
        except OSError:  # the client has gone
            sock.close()
            self.discard_migrated(adopted)

    def discard_migrated(self, adopted: AcceptedRequest | None) -> None:
        """End an adopted call whose client has gone."""
        if adopted is not None:
            self.open_request_ids.discard(adopted.request.id)
            self.coordinator.client_disconnected(adopted.request)

    def begin_closing(self) -> None:
        """Close the idle connections, and the others after their answers."""
        self.closing = True
        for connection in list(self.by_state[State.IDLE]):
            connection.close_gracefully()  # one with unread bytes closes after its answer

    def reopen(self) -> None:
        """Accept calls and keep connections again."""
        self.closing = self.rejecting = False

    async def stop(self, linger_s: float = LINGER_S) -> None:
        """Close the listener and all connections after their answers are written; after linger_s (s) at once.

        New calls are refused.  The system's queue is emptied first, since closing the listener would reset
        the connections in it.
        """
        self.closing = self.rejecting = True
        try:
            async with asyncio.timeout(linger_s):
                while (
                    self.listener is not None
                    and self.server is not None
                    and poll_now(self.listener, READABLE)
                ):
                    await asyncio.sleep(POLL_INTERVAL_S)
                self.stop_accepting()
                while self.connections:
                    for connection in [*self.by_state[State.IDLE], *self.by_state[State.READING]]:
                        connection.close_gracefully()
                    await asyncio.sleep(POLL_INTERVAL_S)
        except TimeoutError:  # clients that do not read must not delay the exit
            for connection in list(self.connections):
                connection.abort()
        self.stop_accepting()
        if self.listener is not None:
            self.listener.close()
        await self.tasks.stop()

    async def _accept(
        self,
        reader: CountingReader,
        writer: asyncio.StreamWriter,
        passed: MigratedConnection | None,
        adopted: AcceptedRequest | None,
    ) -> None:
        if len(self.connections) >= self.max_connections and not self._make_room():
            self.counters.add("clients_over_limit")
            writer.transport.abort()
            self.discard_migrated(adopted)
            return
        connection = ClientConnection(self, reader, writer, passed, adopted)
        self.connections[connection] = None
        self.counters.add("client_connections")
        try:
            await connection.run()
        except OSError:
            pass  # the connection broke: no answer can be delivered
        except Exception:
            log.exception("a client's connection failed")
            self.counters.add("connections_broken")
        finally:
            connection.connection_lost()
            writer.transport.abort()

    def _make_room(self) -> bool:
        """Close one connection for a new one, LINGERING before READING before IDLE; False if there is none.

        Guards against crowds that connect and send nothing, or stay idle.  A connection with a call is kept.
        """
        for state in (State.LINGERING, State.READING, State.IDLE):
            for connection in self.by_state[state]:
                # Kept: an answer is not written out yet, or a request has arrived.
                if connection.pending() or (state is not State.LINGERING and connection.unread()):
                    continue
                self.counters.add(EVICTION_COUNTERS[state])
                connection.evict()
                return True
        return False

    async def _sweep(self) -> None:
        """Enforce the time limits of requests and of lingering closes."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now = time.monotonic()
            for state, limit_s in ((State.READING, REQUEST_TIMEOUT_S), (State.LINGERING, LINGER_S)):
                for connection in list(self.by_state[state]):
                    if now - connection.since >= limit_s:
                        connection.on_timeout(now)
