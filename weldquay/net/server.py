"""The server: one listener for clients, for `/_health` and for the call-backs of match workers."""

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
from weldquay.net.connection import MAX_HEAD, READ_SIZE, Connection, State
from weldquay.net.counters import Counters
from weldquay.net.calls import Answer, Expected, Passed
from weldquay.net.exchange import Exchange
from weldquay.net.messages import figures, job_of
from weldquay.net.streams import COMING, CountingReader, polled
from weldquay.net.tasks import Tasks

log = logging.getLogger(__name__)

WAITING = 1024  # connections in the system's queue; beyond that they come again only after a second
TAKEN = 4  # connections accepted in one turn of the loop, and counted four turns later: `limits.RESERVE`
LEAST_CONNECTIONS = 8  # whatever another process holds
REQUEST_S = 2.6  # from a connection's or a request's first moment to its last byte; bad clients get 3 s
SWEEP_S = 0.1
AHEAD_PART = 8  # of the memory for clients may hold what they have sent ahead
LOOK_S = 0.01
LINGER_S = 1.0  # after a refused message the client has this long to read why


class ClientServer:
    """The listener and its connections."""

    def __init__(
        self, config: Config, counters: Counters, exchange: Exchange, serving: Callable[[], bool]
    ) -> None:
        self.config, self.counters, self.exchange, self.serving = config, counters, exchange, serving
        self.closing = False  # every connection closes after its answer
        self.refusing = False  # calls are refused
        self.retune(config)
        self.connections: dict[Connection, None] = {}
        # By state, the longest there first; of those that read, the longest without a byte.
        self.among: dict[State, dict[Connection, None]] = {state: {} for state in State}
        self.most_connections = self.full = min(
            config.sockets - config.sockets * 3 // 10 - RESERVE,
            (config.memory_mb - BASE_MB) * 1024 * 1024 // BYTES_EACH,
        )
        self.ahead = 0  # bytes that clients have sent ahead of calls that wait
        self.most_ahead = (config.memory_mb - BASE_MB) * 1024 * 1024 // AHEAD_PART
        self.in_hand: set[str] = set()  # ids of the calls in hand
        # Where a newer process takes over, connections between two requests go there, and call-backs that
        # match nothing here; the ids of the older one's open calls are not to be had.
        self.pass_on: Callable[[Passed], None] | None = None
        self.pass_back: Callable[[bytes], None] = lambda body: None
        self.elsewhere: set[str] = set()
        self.tasks = Tasks()
        self.listener: socket.socket | None = None
        self.server: asyncio.Server | None = None

    def retune(self, config: Config) -> None:
        """Take in other settings."""
        self.config = config
        self.classes = {
            name.encode(): number for number, name in enumerate(config.class_names) if name in config.offered
        }

    async def listen(self, inherited: int = -1) -> None:
        """Open the listener, or go on with that of an older process; `accept` begins to accept.

        A newer process must be able to start beside one that does not answer, so the port is shared.
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

        asyncio takes as many connections in one turn as its backlog says, so the system's is set apart.
        Guards against a crowd that takes all descriptors before any of it is counted: asyncio accepts nothing
        for a second then, and call-backs wait with the others.
        """
        assert self.listener is not None
        self.server = await asyncio.get_running_loop().create_server(
            self._protocol, sock=self.listener.dup(), backlog=TAKEN
        )
        self.listener.listen(WAITING)

    def _protocol(
        self,
        ahead: bytes = b"",
        passed: Passed | None = None,
        expected: Expected | None = None,
    ) -> asyncio.StreamReaderProtocol:
        reader = CountingReader(READ_SIZE)
        if ahead:
            reader.feed_data(ahead)

        async def accepted(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self._accept(reader, writer, passed, expected)

        return asyncio.StreamReaderProtocol(reader, accepted)

    def stop_accepting(self) -> None:
        """Leave what waits in the system's queue to another process, or to a later `accept`."""
        if self.server is not None:
            self.server.close()
            self.server = None

    @property
    def port(self) -> int:
        """The port that the listener has."""
        assert self.listener is not None
        return int(self.listener.getsockname()[1])

    def limit(self, others: int) -> None:
        """Leave room for so many connections, which another process holds."""
        self.most_connections = max(LEAST_CONNECTIONS, self.full - others)

    def hand_over(self, pass_on: Callable[[Passed], None]) -> None:
        """Accept no more, and pass each connection on between two requests, or with its call."""
        self.stop_accepting()
        self.pass_on = pass_on
        for state in (State.RESTING, State.READING, State.CALLING):
            for connection in list(self.among[state]):
                connection.begin_passing()

    def adopt(self, passed: Passed) -> None:
        """Go on with a connection that the other process passed on, and with its call.

        With the call at once, since its call-backs may come before its connection is in use here.
        """
        known = passed.call is not None and passed.call["class"] in self.config.class_names
        expected = self._adopt_call(passed) if known else None
        self.tasks.start(self._adopt(passed, expected), "going on with a connection of the older process")

    def _adopt_call(self, passed: Passed) -> Expected:
        http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD)
        http.receive_data(passed.ahead)
        request, body = http.next_event(), bytearray()
        assert isinstance(request, h11.Request) and passed.call is not None
        while isinstance(event := http.next_event(), h11.Data):
            body += event.data
        told = figures(request.headers)
        answers: list[Answer] = []
        job = job_of(request, body)
        self.elsewhere.discard(told.id)
        self.in_hand.add(told.id)
        return Expected(self.exchange.adopt(passed.call, told, job, answers.append), answers)

    async def _adopt(self, passed: Passed, expected: Expected | None) -> None:
        sock = socket.socket(fileno=passed.file)
        sock.setblocking(False)
        try:
            await asyncio.get_running_loop().connect_accepted_socket(
                partial(self._protocol, passed.ahead, passed, expected), sock
            )
        except OSError:  # the client has gone meanwhile
            sock.close()
            self.forget_call(expected)

    def forget_call(self, expected: Expected | None) -> None:
        """The client of an adopted call has gone."""
        if expected is not None:
            self.in_hand.discard(expected.call.id)
            self.exchange.client_gone(expected.call)

    def begin_closing(self) -> None:
        """Close the connections on which nothing is under way, and the others after their answers."""
        self.closing = True
        for connection in list(self.among[State.RESTING]):
            connection.shut()  # what has come is answered, and that closes

    def reopen(self) -> None:
        """Take and keep clients again."""
        self.closing = self.refusing = False

    async def stop(self, linger_s: float = LINGER_S) -> None:
        """Close the listener and all connections, answers being written out first; linger_s at the most.

        Calls that still come get a refusal.  Guards against connections in the system's queue, which a
        listener that closes would reset with what is on them.
        """
        self.closing = self.refusing = True
        try:
            async with asyncio.timeout(linger_s):
                while self.listener is not None and self.server is not None and polled(self.listener, COMING):
                    await asyncio.sleep(LOOK_S)
                self.stop_accepting()
                while self.connections:
                    for connection in [*self.among[State.RESTING], *self.among[State.READING]]:
                        connection.shut()
                    await asyncio.sleep(LOOK_S)
        except TimeoutError:  # clients that do not read must not keep the program from its end
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
        passed: Passed | None,
        expected: Expected | None,
    ) -> None:
        if len(self.connections) >= self.most_connections and not self._make_room():
            self.counters.add("clients_over_limit")
            writer.transport.abort()
            self.forget_call(expected)
            return
        connection = Connection(self, reader, writer, passed, expected)
        self.connections[connection] = None
        self.counters.add("client_connections")
        try:
            await connection.run()
        except OSError:
            pass  # the client's end of the connection broke; nothing more is owed on it
        except Exception:
            log.exception("a client's connection failed")
            self.counters.add("connections_broken")
        finally:
            connection.lost()
            writer.transport.abort()

    def _make_room(self) -> bool:
        """Close the connection that is worth least: one that ends anyway, has brought nothing yet, or rests.

        Guards against crowds that connect and say nothing, or ask once and stay: those with calls stay last.
        """
        for state in (State.LEAVING, State.READING, State.RESTING):
            for connection in self.among[state]:
                # Its answer is still on its way, or its request has come.
                if connection.pending() or (state is not State.LEAVING and connection.unread()):
                    continue
                self.counters.add(f"evicted_{state.value}")
                connection.evict()
                return True
        return False

    async def _sweep(self) -> None:
        """End what takes too long: requests that do not become whole, and last answers that are not read."""
        while True:
            await asyncio.sleep(SWEEP_S)
            now = time.monotonic()
            for state, limit_s in ((State.READING, REQUEST_S), (State.LEAVING, LINGER_S)):
                for connection in list(self.among[state]):
                    if now - connection.since >= limit_s:
                        connection.out_of_time(now)
