"""The HTTP listener for operators, which serves one request per connection."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from enum import Enum
from typing import Protocol

import h11
import ujson

from weldquay.errors import OperatorError
from weldquay.limits import MAX_REASON_LENGTH
from weldquay.net.config import Address
from weldquay.net.counters import Counters
from weldquay.net.http_receiver import HttpReceiver
from weldquay.net.messages import MessageError, closing_response, parse_operator_call
from weldquay.net.peer_timeout import PeerTimeout
from weldquay.net.streams import limit_receive_size

log = logging.getLogger(__name__)

READ_SIZE = 4 * 1024  # bytes
MAX_HEAD_BYTES = 4 * 1024
LISTEN_BACKLOG = 64  # when the kernel's queue is full, a client has to retransmit its SYN after one second
MAX_CONNECTIONS = 8  # one more connection evicts the oldest one
REQUEST_TIMEOUT_S = 2.0  # limit from accepting the connection to the last byte of the response


class Operation(Enum):
    """The operations that operators can request.  The values are parts of the request paths."""

    READY = "ready"
    TAKE_OUT_OF_SERVICE = "out-of-service"
    RETURN_TO_SERVICE = "in-service"
    BAN_WORKER = "offline"
    LIFT_WORKER_BAN = "online"


OPERATION_COUNTERS: dict[Operation, str] = {
    Operation.READY: "operators_ready",
    Operation.TAKE_OUT_OF_SERVICE: "operators_out-of-service",
    Operation.RETURN_TO_SERVICE: "operators_in-service",
    Operation.BAN_WORKER: "operators_offline",
    Operation.LIFT_WORKER_BAN: "operators_online",
}


class UnknownOperation(OperatorError):
    """The listener for operators has no such path or method."""

    error_code = "unknown-operation"
    remedy = "docs/on-call.md lists the calls; POST changes something, GET only looks"


class UnknownWorker(OperatorError):
    """The worker id is neither in an endpoint list nor banned."""

    error_code = "unknown-worker"
    remedy = "use the id as discovery's list gives it; one that was never listed cannot be taken out"


def _serialize_error(error: OperatorError) -> bytes:
    """Return a 404 response with the error as JSON."""
    return closing_response(404, ujson.dumps(error.as_json()).encode() + b"\n")


class OperatorActions(Protocol):
    """The actions of operators on the process.  Each method returns whether it succeeded."""

    def is_ready(self) -> bool:
        """Return whether requests can be served."""

    def take_out_of_service(self) -> bool:
        """Drain the dispatcher: idle connections close first, later new requests are rejected."""

    def return_to_service(self) -> bool:
        """End the drain and accept clients again."""

    def set_worker_ban(self, worker_id: str, is_banned: bool) -> bool:
        """Ban a worker or lift its ban.  Return False if the id is neither listed nor banned."""


class OperatorServer:
    """The listener for operators and its connections."""

    def __init__(self, address: Address | None, counters: Counters, actions: OperatorActions) -> None:
        """Create the server; `listen` opens its listener, unless address is None."""
        self.address = address
        self.counters = counters
        self.connections: dict[asyncio.StreamWriter, None] = {}  # the oldest connection comes first
        self.server: asyncio.Server | None = None
        self.handlers: dict[Operation, Callable[[str], bool]] = {
            Operation.READY: lambda _: actions.is_ready(),
            Operation.TAKE_OUT_OF_SERVICE: lambda _: actions.take_out_of_service(),
            Operation.RETURN_TO_SERVICE: lambda _: actions.return_to_service(),
            Operation.BAN_WORKER: lambda worker_id: actions.set_worker_ban(worker_id, True),
            Operation.LIFT_WORKER_BAN: lambda worker_id: actions.set_worker_ban(worker_id, False),
        }

    async def listen(self) -> None:
        """Open the listener if an address is configured.

        Raises:
            OSError: the address is not available.
        """
        if self.address is not None:
            family = socket.AF_INET6 if ":" in self.address.host else socket.AF_INET
            sock = socket.create_server(self.address, family=family)
            self.server = await asyncio.start_server(
                self._accept, sock=sock, limit=READ_SIZE, backlog=MAX_CONNECTIONS
            )
            # asyncio's own backlog also limits how many connections it accepts in one loop iteration, so that
            # one is small, and the kernel's queue is enlarged here.
            sock.listen(LISTEN_BACKLOG)

    @property
    def port(self) -> int:
        """The port of the listener."""
        assert self.server is not None
        return int(self.server.sockets[0].getsockname()[1])

    async def stop(self) -> None:
        """Close the listener and abort all connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection, after evicting the oldest one if the limit is reached."""
        if len(self.connections) >= MAX_CONNECTIONS:
            self.counters.add("operator_connections_evicted")
            oldest = next(iter(self.connections))
            del self.connections[oldest]
            oldest.transport.abort()
        self.connections[writer] = None
        limit_receive_size(writer)
        try:
            async with PeerTimeout(REQUEST_TIMEOUT_S):
                writer.write(await self._serve_request(reader))
                await writer.drain()
                writer.write_eof()
                # Closing with unread bytes would reset the connection and could discard the response.
                while await reader.read(READ_SIZE):
                    pass
        except (OSError, EOFError):
            pass  # the client disconnected, or was too slow: TimeoutError is an OSError
        except Exception:
            log.exception("operator request failed")
            self.counters.add("client_connections_failed")
        finally:
            self.connections.pop(writer, None)
            writer.transport.abort()

    async def _serve_request(self, reader: asyncio.StreamReader) -> bytes:
        """Read one request and return the response."""
        try:
            request = await _read_request(reader)
            call = parse_operator_call(request.method, request.target)
        except h11.RemoteProtocolError as error:
            return closing_response(error.error_status_hint, str(error)[:MAX_REASON_LENGTH].encode())
        except MessageError as error:
            return _serialize_error(UnknownOperation(str(error)))
        return self._perform(Operation(call.operation), call.worker_id)

    def _perform(self, operation: Operation, worker_id: str) -> bytes:
        """Perform an operation and return the response; worker_id is empty if it concerns the dispatcher."""
        succeeded = self.handlers[operation](worker_id)
        self.counters.add(OPERATION_COUNTERS[operation] if succeeded else "operators_rejected")
        if operation is not Operation.READY:
            subject = f"{operation.value} {worker_id}".strip()
            log.info("operator request %s: %s", subject, "done" if succeeded else "refused")
        if succeeded:
            return closing_response(200, b"yes\n")
        if worker_id:
            return _serialize_error(UnknownWorker("no list and no ban has named it", worker_id))
        return closing_response(503, b"no\n")


async def _read_request(reader: asyncio.StreamReader) -> h11.Request:
    """Read one request.

    Raises:
        EOFError: the connection ended before the request was complete.
        h11.RemoteProtocolError: the request is malformed.
    """
    receiver = HttpReceiver(h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES))
    request: h11.Request | None = None
    while not isinstance(event := receiver.next_event(), h11.EndOfMessage):
        if isinstance(event, h11.Request):
            request = event
        elif event is h11.NEED_DATA:
            receiver.receive_data(await reader.read(READ_SIZE))
        elif isinstance(event, h11.ConnectionClosed):
            raise EOFError
    assert request is not None
    return request
