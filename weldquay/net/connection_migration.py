"""Migration of one client connection to the newer process during a hot restart."""

from __future__ import annotations

import asyncio
import os
import time
from typing import Protocol

from weldquay.net.client_context import ClientContext
from weldquay.net.connection_state import ConnectionState
from weldquay.net.hot_restart_messages import MigratedConnection
from weldquay.net.http_channel import HttpChannel
from weldquay.net.lingering_close import READ_SIZE
from weldquay.net.messages import serialize_request
from weldquay.net.request_handler import RequestHandler
from weldquay.net.requests import ClientRequest
from weldquay.net.streams import HUNG_UP, CountingReader, has_event

MIGRATION_POLL_INTERVAL_S = 0.02  # time between two checks whether the open request can migrate


class MigratableConnection(Protocol):
    """The part of a client connection that the migration needs."""

    state: ConnectionState
    state_entered_at: float  # on the monotonic clock (s)
    reader: CountingReader
    writer: asyncio.StreamWriter
    channel: HttpChannel
    requests: RequestHandler


class ConnectionMigration:
    """Migrates one connection, either between two requests or with its open request."""

    __slots__ = ("connection", "context")

    def __init__(self, connection: MigratableConnection, context: ClientContext) -> None:
        """Stop reading; the connection's pending read then ends, and the connection calls `run`."""
        self.connection = connection
        self.context = context
        connection.writer.transport.pause_reading()  # type: ignore[attr-defined]
        connection.reader.feed_eof()

    async def run(self, data: bytes) -> None:
        """Migrate the connection with `data` and all other data that has been read.

        Waits until the open request, if any, can migrate or is answered, and until all responses are written.

        Raises:
            OSError: the connection is lost.
        """
        connection = self.connection
        while more := await connection.reader.read(READ_SIZE):
            data += more
        if not await self._wait_for_open_request():
            return
        if connection.requests.open_request is None:
            connection.writer.transport.set_write_buffer_limits(high=0)
            await connection.writer.drain()
        is_closed = connection.state is ConnectionState.LINGERING or connection.writer.is_closing()
        migrate = self.context.migrate_connection
        if migrate is not None and not is_closed:
            migrate(self._migrated_connection(data))

    async def _wait_for_open_request(self) -> bool:
        """Wait until the open request can migrate or is answered; return False if the client disconnects."""
        connection = self.connection
        coordinator = self.context.coordinator
        while (open_request := connection.requests.open_request) is not None:
            if self.context.migrate_connection is not None and coordinator.can_migrate(open_request):
                break
            if has_event(connection.writer, HUNG_UP):  # reading is paused, so no read detects it
                return False
            await asyncio.sleep(MIGRATION_POLL_INTERVAL_S)
        return True

    def _migrated_connection(self, data: bytes) -> MigratedConnection:
        """Build the message for the newer process; `data` has been read but not fed to the channel."""
        connection = self.connection
        unparsed = connection.channel.unparsed_data + data
        request = None
        if (open_request := connection.requests.open_request) is not None:
            self.context.counters.add("requests_migrated")
            unparsed = self._serialize(open_request) + unparsed
            request = self.context.migrate_request(open_request)
            connection.requests.open_request = None
        self.context.counters.add("connections_migrated")
        return MigratedConnection(
            # Duplicated, so that closing the descriptor of this process does not close the connection.
            os.dup(connection.writer.get_extra_info("socket").fileno()),
            unparsed,
            connection.state is ConnectionState.IDLE,
            connection.state_entered_at,
            request,
        )

    def _serialize(self, open_request: ClientRequest) -> bytes:
        """Serialize the open request, with the remaining time until its deadline."""
        channel = self.connection.channel
        assert channel.request is not None
        remaining_ns = open_request.deadline_ns - time.monotonic_ns()
        return serialize_request(channel.request, bytes(channel.body), remaining_ns)
