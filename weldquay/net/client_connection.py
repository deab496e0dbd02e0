"""One connection opened by a client or a worker: its state, reading and closing.

Rules:
- One request is handled at a time.
- Reading continues while a request waits for its response, since only a read detects that the client has
  disconnected.
- A bad request is answered, then the connection is closed.
- Every close is a lingering close, so that no reset discards a response.  A request that arrives after the
  write half has been shut down is not handled.
- The server owns the connection and may close it at any time.

`connection_state` defines the states and their transitions.  Only `ClientConnection.enter` changes the state,
except when the table evicts the connection.
"""

from __future__ import annotations

import asyncio
import time
from contextlib import suppress
from dataclasses import dataclass

from weldquay.net.buffer_budget import BufferShare
from weldquay.net.client_context import ClientContext
from weldquay.net.connection_migration import ConnectionMigration
from weldquay.net.connection_state import TRANSITIONS, ConnectionState
from weldquay.net.connection_table import ConnectionTable
from weldquay.net.hot_restart_messages import MigratedConnection
from weldquay.net.http_channel import HttpChannel, Progress, Rejection
from weldquay.net.lingering_close import READ_SIZE, LingeringClose
from weldquay.net.read_scheduler import MAX_TURN_S
from weldquay.net.request_handler import RequestHandler
from weldquay.net.request_log import RequestEvent
from weldquay.net.requests import AcceptedRequest
from weldquay.net.streams import WRITABLE, CountingReader, has_event, has_peer_closed, has_unread_bytes

# How often the timeout of a state may be postponed.  Timeouts are checked every 0.1 s, so a client that keeps
# sending gains 0.3 s, and more only if the event loop runs late.
MAX_POSTPONED_TIMEOUTS = 3


@dataclass(frozen=True, slots=True)
class AdoptedConnection:
    """A connection migrated by the older process, with its open request if this process accepted it."""

    migrated: MigratedConnection
    accepted: AcceptedRequest | None


class ClientConnection:
    """A connection opened by a client or a worker."""

    def __init__(
        self,
        context: ClientContext,
        table: ConnectionTable[ClientConnection],
        reader: CountingReader,
        writer: asyncio.StreamWriter,
        adopted: AdoptedConnection | None,
    ) -> None:
        """Add the connection to the table; adopted: None if this process accepted the connection itself."""
        self.context = context
        self.table = table
        self.reader = reader
        self.writer = writer
        self.channel = HttpChannel()
        self.held = BufferShare(context.buffer_budget)
        self.requests = RequestHandler(
            context, self.channel, self, None if adopted is None else adopted.accepted
        )
        self.has_received_data = False
        self.migration: ConnectionMigration | None = None  # the migration to the newer process, once started
        self.lingering_close: LingeringClose | None = None
        self.state = ConnectionState.READING
        self.state_entered_at = time.monotonic()  # seconds
        self.postponed_timeouts = 0  # how often this state's timeout was postponed
        self.last_turn_s = 0.0  # how long the last turn of handling received bytes took
        self.has_more_requests = False  # the last turn ended before all received requests were handled
        self.is_waiting_for_turn = False  # received bytes wait until other connections have read
        self.waiting_data = b""  # these bytes
        self.waited_s = 0.0  # how long the last read bytes have waited for capacity and for their turn
        if adopted is not None and adopted.migrated.request is None:
            if adopted.migrated.is_idle:
                self.state = ConnectionState.IDLE
            self.state_entered_at = adopted.migrated.state_since or self.state_entered_at
        table.add(self)

    # --- the state machine ---

    @property
    def is_lingering(self) -> bool:
        """Whether the last response has been written and the connection is closing."""
        return self.state is ConnectionState.LINGERING

    def enter(self, state: ConnectionState) -> None:
        """Change the state; a transition that is not in TRANSITIONS is ignored."""
        if state not in TRANSITIONS[self.state]:
            return
        self.table.move(self, state)
        self.state = state
        self.state_entered_at = time.monotonic()
        self.postponed_timeouts = 0
        if state is ConnectionState.LINGERING:
            self.lingering_close = LingeringClose(self.reader, self.writer, self.state_entered_at)
            self.channel.release()
            self._update_held_bytes()
        elif state is ConnectionState.IDLE:
            # Nothing more is read before the requests that have been read ahead are handled.
            self.has_more_requests = self.channel.has_unparsed_data
            if self.context.migrate_connection is not None:
                asyncio.get_running_loop().call_soon(self.start_migration)

    def start_lingering_close(self) -> None:
        """Close once all written data has been sent."""
        self.enter(ConnectionState.LINGERING)

    def close_gracefully(self) -> None:
        """Start a lingering close, unless unread data has arrived: its request is answered first."""
        if not self.has_unread_data():
            self.start_lingering_close()

    def abort(self) -> None:
        """Close at once, discarding unsent data."""
        self.writer.transport.abort()

    def on_timeout(self, now: float) -> None:
        """Handle the timeout of a request or a lingering close; now: on the monotonic clock (s)."""
        if self._is_local_io_pending():
            self.postponed_timeouts += 1
        elif self.state is ConnectionState.LINGERING:
            if self.lingering_close is not None and self.lingering_close.has_progressed(now):
                self.state_entered_at = now
            else:
                self.abort()
        elif self.is_waiting_for_turn:
            self.reject_partial_request("requests_rejected_for_time")
        elif self.has_received_data:
            self.requests.reject(408, "the request was not whole in time")
        elif not self.has_unread_data():
            self.context.counters.add("client_connections_silent")
            self.abort()

    def _is_local_io_pending(self) -> bool:
        """Return whether the delay is on this side: data can be read or written and has not been.

        After a stall of the event loop, a timeout may be handled before the bytes that have arrived.
        """
        if self.postponed_timeouts == MAX_POSTPONED_TIMEOUTS:
            return False
        if self.state is ConnectionState.LINGERING:
            return self.has_unsent_data() and has_event(self.writer, WRITABLE)
        return self.has_received_data and self.has_unread_data()

    def drop(self) -> None:
        """End the connection, since its client has left."""
        self.context.counters.add("client_connections_abandoned")
        self.connection_lost()
        self.abort()

    def connection_lost(self) -> None:
        """Remove the lost connection from the table and end its open request."""
        self.table.remove(self)
        self.state = ConnectionState.LINGERING
        self.requests.disconnect()
        self.migration = None
        self.channel.release()
        self.held.set_size(0)

    def start_migration(self) -> None:
        """Migrate to the newer process, unless the connection is closing or has a partial request."""
        if self.migration is not None or self.is_lingering or self.writer.is_closing():
            return
        if self.state is ConnectionState.READING and self.has_received_data:
            return
        if self.requests.open_request is None or self.requests.read_ahead.is_migratable:
            self.migration = ConnectionMigration(self, self.context)

    # --- reading and writing ---

    def has_unread_data(self) -> bool:
        """Return whether bytes or the end of the stream have arrived and are not handled yet."""
        return (
            self.is_waiting_for_turn or self.has_more_requests or has_unread_bytes(self.reader, self.writer)
        )

    def has_client_left(self) -> bool:
        """Return whether the client has closed the connection, also if that is not read yet."""
        return has_peer_closed(self.writer)

    def has_unsent_data(self) -> bool:
        """Return whether part of a response is not yet in the system's send buffer."""
        return self.writer.transport.get_write_buffer_size() > 0

    def write(self, data: bytes) -> None:
        """Queue bytes of a response for sending."""
        self.writer.write(data)

    def reject_partial_request(self, counter: str) -> None:
        """Reject the partial request; close the connection if it is a callback.

        A worker sends a callback again until it gets a response, whatever its status.
        """
        self.context.counters.add(counter)
        if not self.requests.is_callback(self.waiting_data):
            self.requests.reject_overload(counter)
        else:
            self.context.counters.request_log.write(RequestEvent.CONNECTION_CLOSED, "", counter)
            self.start_lingering_close()
            self.abort()

    def _update_held_bytes(self) -> None:
        """Count what the connection holds, until it has ended."""
        if self not in self.table.connections:
            return
        self.held.set_size(self.channel.held_bytes + self.writer.transport.get_write_buffer_size())

    async def run(self) -> None:
        """Read and handle requests until the connection ends.

        Raises:
            OSError: the connection is lost.
        """
        capacity_wait_s = self.waited_s  # concerns the first bytes
        while not self.is_lingering:
            if self.requests.open_request is None:
                # Not while a request is open: a client that does not read responses must not stop the reads.
                await self.writer.drain()
            await self._handle_remaining_requests()
            data = await self.reader.read(READ_SIZE)
            self.waited_s, capacity_wait_s = capacity_wait_s, 0.0
            self.waiting_data = data
            await self._wait_for_turn()
            self.waiting_data = b""
            if self.migration is not None:
                await self.migration.run(data)
                return
            if self.is_lingering or (not data and self.requests.open_request is not None):
                break
            self._receive(data)
            data = b""
        if self.lingering_close is not None:
            await self.lingering_close.drain()

    async def _wait_for_turn(self) -> None:
        """Wait if this iteration of the event loop has no time left, or the last turn was long."""
        if self.has_more_requests or self.context.read_scheduler.must_wait(self.last_turn_s):
            self.is_waiting_for_turn = True
            started_at = time.monotonic()
            await self.context.read_scheduler.wait(self.last_turn_s)
            self.waited_s += time.monotonic() - started_at
            self.is_waiting_for_turn = False

    async def _handle_remaining_requests(self) -> None:
        """Handle the received requests in further turns, until one waits for its response.

        Raises:
            OSError: the connection is lost.
        """
        while self.has_more_requests and not self.is_lingering and self.migration is None:
            await self.writer.drain()
            await self._wait_for_turn()
            self._advance()

    def _receive(self, data: bytes) -> None:
        """Handle received bytes; b"" marks the end of the stream."""
        self.has_received_data = self.has_received_data or bool(data)
        if self.state is ConnectionState.READING:
            self.table.mark_active(self)
        if self.requests.open_request is None:
            self.channel.feed_data(data)
            self._advance()
        else:
            self.last_turn_s = 0.0
            if self.requests.read_ahead.accept(len(data)):
                self.channel.feed_data(data)
        self._update_held_bytes()
        if self.held.budget.is_exceeded:
            # A callback that is arriving ends a request, and so frees memory.
            self.table.reject_partial_requests(
                self.held.budget, self if self.requests.is_callback() else None
            )

    def _advance(self) -> None:
        """Parse and handle received requests for one turn, or until one waits for its response."""
        started_at = time.monotonic()
        is_turn_over = self._advance_until(started_at + MAX_TURN_S)
        self.has_more_requests = (
            is_turn_over and self.requests.open_request is None and self.channel.has_unparsed_data
        )
        self.last_turn_s = time.monotonic() - started_at
        self.context.read_scheduler.record(self.last_turn_s)
        self.context.counters.record_peak("longest_client_read_ms", self.last_turn_s * 1000)

    def _advance_until(self, turn_ends_at: float) -> bool:
        """Parse and handle received requests; return whether the turn ended before all were handled.

        turn_ends_at: on the monotonic clock (s).
        """
        requests = self.requests
        while requests.open_request is None and not self.is_lingering and self.migration is None:
            progress = self.channel.advance()
            if isinstance(progress, Rejection):
                requests.reject(progress.status, progress.reason)
            elif progress is Progress.REQUEST:
                requests.handle()
                if time.monotonic() >= turn_ends_at:
                    return True
            elif progress is Progress.CLOSED:
                self.start_lingering_close()
            else:
                if continue_response := self.channel.continue_response():
                    self.writer.write(continue_response)
                if self.state is ConnectionState.IDLE and (
                    self.channel.request or self.channel.has_unparsed_data
                ):
                    self.enter(ConnectionState.READING)
                break
        return False

    async def resume(self) -> None:
        """Handle the requests already in the buffer, once the client has read its earlier responses.

        Otherwise a client that sends requests without reading would fill the memory with responses.
        """
        with suppress(OSError):
            await self.writer.drain()
            self._advance()
            await self._handle_remaining_requests()
