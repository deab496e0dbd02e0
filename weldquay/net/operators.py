"""The operators' listener: one request on each connection."""

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
from weldquay.net.config import Address
from weldquay.net.counters import Counters
from weldquay.net.messages import MessageError, closing_response, parse_operator_call
from weldquay.net.peer_timeout import PeerTimeout

log = logging.getLogger(__name__)

READ_SIZE = 4 * 1024  # bytes
MAX_HEAD_BYTES = 4 * 1024
LISTEN_BACKLOG = 64  # connections in the system's queue; beyond it a client's SYN is repeated after a second
MAX_CONNECTIONS = 8  # beyond it the oldest one is closed
REQUEST_TIMEOUT_S = 2.0  # from the connection's start to the last byte of the answer


class Operation(Enum):
    """The operators' operations; the values are parts of the request paths."""

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
    """A path or method that the operators' listener does not have."""

    error_code = "unknown-operation"
    remedy = "docs/on-call.md lists the calls; POST changes something, GET only looks"


class UnknownWorker(OperatorError):
    """A worker id that neither a list nor a ban has named."""

    error_code = "unknown-worker"
    remedy = "use the id as discovery's list gives it; one that was never listed cannot be taken out"


def _serialize_error(error: OperatorError) -> bytes:
    """A 404 answer with the error as JSON."""
    return closing_response(404, ujson.dumps(error.as_json()).encode() + b"\n")


class OperatorActions(Protocol):
    """What operators can do with the process; each method returns whether it was done."""

    def is_ready(self) -> bool:
        """True once requests can be served."""

    def take_out_of_service(self) -> bool:
        """Drain the dispatcher: clients leave, and new requests are rejected after a while."""

    def return_to_service(self) -> bool:
        """Accept clients again."""

    def set_worker_ban(self, worker_id: str, is_banned: bool) -> bool:
        """Ban a worker, or lift its ban; False for an id that neither the list nor a ban has named."""


class OperatorServer:
    """The operators' listener and its connections."""

    def __init__(self, address: Address | None, counters: Counters, actions: OperatorActions) -> None:
        """Create the server without a listener; address: None for none."""
        self.address = address
        self.counters = counters
        self.connections: dict[asyncio.StreamWriter, None] = {}  # the oldest first
        self.server: asyncio.Server | None = None
        self.handlers: dict[Operation, Callable[[str], bool]] = {
            Operation.READY: lambda _: actions.is_ready(),
            Operation.TAKE_OUT_OF_SERVICE: lambda _: actions.take_out_of_service(),
            Operation.RETURN_TO_SERVICE: lambda _: actions.return_to_service(),
            Operation.BAN_WORKER: lambda worker_id: actions.set_worker_ban(worker_id, True),
            Operation.LIFT_WORKER_BAN: lambda worker_id: actions.set_worker_ban(worker_id, False),
        }

    async def listen(self) -> None:
        """Open the listener, if it has an address; OSError where that is not available."""
        if self.address is not None:
            family = socket.AF_INET6 if ":" in self.address.host else socket.AF_INET
            sock = socket.create_server(self.address, family=family)
            self.server = await asyncio.start_server(
                self._accept, sock=sock, limit=READ_SIZE, backlog=MAX_CONNECTIONS
            )
            sock.listen(LISTEN_BACKLOG)  # asyncio accepts up to its own backlog in one turn

    @property
    def port(self) -> int:
        """The listener's port."""
        assert self.server is not None
        return int(self.server.sockets[0].getsockname()[1])

    async def stop(self) -> None:
        """Close the listener and all connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection; above the limit the oldest one is closed for it."""
        if len(self.connections) >= MAX_CONNECTIONS:
            self.counters.add("operator_connections_evicted")
            oldest = next(iter(self.connections))
            del self.connections[oldest]
            oldest.transport.abort()
        self.connections[writer] = None
        try:
            async with PeerTimeout(REQUEST_TIMEOUT_S):
                writer.write(await self._answer(reader))
                await writer.drain()
                writer.write_eof()
                # A close with unread bytes would reset the connection and lose the answer.
                while await reader.read(READ_SIZE):
                    pass
        except (
            OSError,
            EOFError,
        ):  # the client has disconnected, or was too slow: TimeoutError is an OSError
            pass
        except Exception:
            log.exception("operator request failed")
            self.counters.add("client_connections_failed")
        finally:
            self.connections.pop(writer, None)
            writer.transport.abort()

    async def _answer(self, reader: asyncio.StreamReader) -> bytes:
        """Read one request and return its answer."""
        try:
            request = await _read_request(reader)
            call = parse_operator_call(request.method, request.target)
        except h11.RemoteProtocolError as error:
            return closing_response(error.error_status_hint, str(error).encode())
        except MessageError as error:
            return _serialize_error(UnknownOperation(str(error)))
        return self._perform(Operation(call.operation), call.worker_id)

    def _perform(self, operation: Operation, worker_id: str) -> bytes:
        """Perform an operation and return the answer; worker_id: empty for one that names no worker."""
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
        EOFError: the connection has ended before a complete request.
        h11.RemoteProtocolError: the request is malformed.
    """
    http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
    request: h11.Request | None = None
    while not isinstance(event := http.next_event(), h11.EndOfMessage):
        if isinstance(event, h11.Request):
            request = event
        elif event is h11.NEED_DATA:
            http.receive_data(await reader.read(READ_SIZE))
        elif isinstance(event, h11.ConnectionClosed):
            raise EOFError
    assert request is not None
    return request
