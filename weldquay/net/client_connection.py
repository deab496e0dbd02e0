"""One connection that a client or a worker opened: its state, what it reads and how it closes.

Rules:
- One request is handled at a time.
- The connection is read while a request waits for its answer, since only a read shows that the client has
  disconnected.
- A bad request is answered, then the connection closes.
- Each close is a lingering close, so that no reset destroys an answer.  A request that arrives after the
  shutdown of the writing half is not handled.
- The server owns the connection and may close it at any time.

The states and their transitions are in `connection_state`; `ClientConnection.enter` is the one place where
they change, except for an eviction.
"""

from __future__ import annotations

import asyncio
import time
from contextlib import suppress
from dataclasses import dataclass

from weldquay.net.client_context import ClientContext
from weldquay.net.connection_migration import ConnectionMigration
from weldquay.net.connection_state import TRANSITIONS, ConnectionState
from weldquay.net.connection_table import ConnectionTable
from weldquay.net.hot_restart_messages import MigratedConnection
from weldquay.net.http_channel import HttpChannel, Progress, Rejection
from weldquay.net.lingering_close import READ_SIZE, LingeringClose
from weldquay.net.request_handler import RequestHandler
from weldquay.net.requests import AcceptedRequest
from weldquay.net.streams import WRITABLE, CountingReader, has_event, has_unread_bytes

MAX_POSTPONED_TIMEOUTS = 3  # 0.3 s of a client that keeps sending, more only while the event loop is late


@dataclass(frozen=True, slots=True)
class AdoptedConnection:
    """A connection that the older process has migrated, and its open request if this process accepted it."""

    migrated: MigratedConnection
    accepted: AcceptedRequest | None


class ClientConnection:
    """A connection that a client or a worker opened."""

    def __init__(
        self,
        context: ClientContext,
        table: ConnectionTable[ClientConnection],
        reader: CountingReader,
        writer: asyncio.StreamWriter,
        adopted: AdoptedConnection | None,
    ) -> None:
        """Add the connection to the table; adopted: None for one that this process accepted."""
        self.context = context
        self.table = table
        self.reader = reader
        self.writer = writer
        self.channel = HttpChannel()
        self.requests = RequestHandler(
            context, self.channel, self, None if adopted is None else adopted.accepted
        )
        self.has_received = False  # any byte has been received
        self.migration: ConnectionMigration | None = None  # to a newer process
        self.lingering_close: LingeringClose | None = None
        self.state = ConnectionState.READING
        self.since = time.monotonic()  # when the state began (s)
        self.postponed_timeouts = 0  # of the state, for a client that has done its part
        if adopted is not None and adopted.migrated.request is None:
            if adopted.migrated.is_idle:
                self.state = ConnectionState.IDLE
            self.since = adopted.migrated.state_since or self.since
        table.add(self)

    # --- the state machine ---

    @property
    def is_lingering(self) -> bool:
        """True once the last answer is written."""
        return self.state is ConnectionState.LINGERING

    def enter(self, state: ConnectionState) -> None:
        """Change the state; a transition that TRANSITIONS does not contain is ignored."""
        if state not in TRANSITIONS[self.state]:
            return
        self.table.move(self, state)
        self.state = state
        self.since = time.monotonic()
        self.postponed_timeouts = 0
        if state is ConnectionState.LINGERING:
            self.lingering_close = LingeringClose(self.reader, self.writer, self.since)
        elif state is ConnectionState.IDLE and self.context.migrate_connection is not None:
            asyncio.get_running_loop().call_soon(self.start_migration)

    def start_lingering_close(self) -> None:
        """Close after what was written."""
        self.enter(ConnectionState.LINGERING)

    def close_gracefully(self) -> None:
        """Start a lingering close, unless unread bytes have arrived: those are answered first."""
        if not self.has_unread_data():
            self.start_lingering_close()

    def abort(self) -> None:
        """Close at once; what is not written yet is lost."""
        self.writer.transport.abort()

    def on_timeout(self, now: float) -> None:
        """Handle a request or a lingering close that took too long; now: on the monotonic clock (s)."""
        if self._is_process_late():
            self.postponed_timeouts += 1
        elif self.state is ConnectionState.LINGERING:
            if self.lingering_close is not None and self.lingering_close.has_progressed(now):
                self.since = now
            else:
                self.abort()
        elif self.has_received:
            self.requests.reject(408, "the request was not whole in time")
        elif not self.has_unread_data():
            self.context.counters.add("client_connections_silent")
            self.abort()

    def _is_process_late(self) -> bool:
        """True where the client has done its part, and this process has yet to read or write.

        After a stall of the event loop a timeout may be handled before the bytes that have arrived.
        """
        if self.postponed_timeouts == MAX_POSTPONED_TIMEOUTS:
            return False
        if self.state is ConnectionState.LINGERING:
            return self.has_unsent_data() and has_event(self.writer, WRITABLE)
        return self.has_received and self.has_unread_data()

    def connection_lost(self) -> None:
        """Remove the connection from the table and end its open request."""
        self.table.remove(self)
        self.requests.disconnect()

    def start_migration(self) -> None:
        """Migrate to the newer process, unless the connection is closing or in the middle of a request."""
        if self.migration is not None or self.is_lingering or self.writer.is_closing():
            return
        if self.state is ConnectionState.READING and self.has_received:
            return
        if self.requests.open_request is None or self.requests.read_ahead.is_migratable:
            self.migration = ConnectionMigration(self, self.context)

    # --- reading and writing ---

    def has_unread_data(self) -> bool:
        """True where bytes, or the end of the stream, have arrived and are not read yet."""
        return has_unread_bytes(self.reader, self.writer)

    def has_unsent_data(self) -> bool:
        """True while a part of an answer is not yet in the system's send buffer."""
        return self.writer.transport.get_write_buffer_size() > 0

    def write(self, data: bytes) -> None:
        """Write bytes of an answer."""
        self.writer.write(data)

    async def run(self) -> None:
        """Read and handle requests until the connection ends.

        Raises:
            OSError: the connection is lost.
        """
        while not self.is_lingering:
            if self.requests.open_request is None:
                # Not with an open request: a client that does not read must not stop the reads.
                await self.writer.drain()
            data = await self.reader.read(READ_SIZE)
            if self.migration is not None:
                await self.migration.run(data)
                return
            if self.is_lingering or (not data and self.requests.open_request is not None):
                break
            self._receive(data)
        if self.lingering_close is not None:
            await self.lingering_close.drain()

    def _receive(self, data: bytes) -> None:
        """Handle received bytes; b"" is the end of the stream."""
        self.has_received = self.has_received or bool(data)
        if self.state is ConnectionState.READING:
            self.table.mark_active(self)
        if self.requests.open_request is None:
            self.channel.feed_data(data)
            self._advance()
        elif self.requests.read_ahead.accept(len(data)):
            self.channel.feed_data(data)

    def _advance(self) -> None:
        """Parse what was read and handle it, up to a request that waits for its answer."""
        requests = self.requests
        while requests.open_request is None and not self.is_lingering and self.migration is None:
            progress = self.channel.advance()
            if isinstance(progress, Rejection):
                requests.reject(progress.status, progress.reason)
            elif progress is Progress.REQUEST:
                requests.handle()
            elif progress is Progress.CLOSED:
                self.start_lingering_close()
            else:
                if continue_response := self.channel.continue_response():
                    self.writer.write(continue_response)
                if self.state is ConnectionState.IDLE and (
                    self.channel.request or self.channel.unparsed_data
                ):
                    self.enter(ConnectionState.READING)
                return

    async def resume(self) -> None:
        """Handle the requests that were read already, once the client has read its answers.

        Without that wait, a client that sends requests and does not read would fill the memory with answers.
        """
        with suppress(OSError):
            await self.writer.drain()
            self._advance()
