"""The operators' listener: one request on each connection."""

from __future__ import annotations

import asyncio
import logging
import socket
from typing import Protocol

import h11
import ujson

from weldquay.errors import OperatorError
from weldquay.net.config import Address
from weldquay.net.counters import Counters
from weldquay.net.messages import MessageError, OperatorCall, closing_response, operator_call
from weldquay.net.tasks import Tasks

log = logging.getLogger(__name__)

READ_SIZE = 4 * 1024
MAX_HEAD = 4 * 1024
LISTEN_BACKLOG = 64  # connections in the system's queue; beyond it a client's SYN is repeated after a second
MAX_CALLERS = 8  # connections; beyond it the oldest one is closed
REQUEST_TIMEOUT_S = 2.0  # from the connection's start to the last byte of the answer

OPERATION_COUNTERS: dict[str, str] = {
    "ready": "operators_ready",
    "out-of-service": "operators_out-of-service",
    "in-service": "operators_in-service",
    "offline": "operators_offline",
    "online": "operators_online",
}


class UnknownOperation(OperatorError):
    """A path or method that the operators' listener does not have."""

    error_code = "unknown-operation"
    remedy = "docs/on-call.md lists the calls; POST changes something, GET only looks"


class UnknownWorker(OperatorError):
    """A worker id that neither a list nor a ban has named."""

    error_code = "unknown-worker"
    remedy = "use the id as discovery's list gives it; one that was never listed cannot be taken out"


def _not_found(error: OperatorError) -> bytes:
    """A 404 answer with the error as JSON."""
    return closing_response(404, ujson.dumps(error.as_json()).encode() + b"\n")


class Control(Protocol):
    """What operators can ask of the program; each method returns whether it was done."""

    def ready(self) -> bool:
        """True once requests can be served."""

    def out_of_service(self) -> bool:
        """Have clients leave; new requests are refused after a while."""

    def in_service(self) -> bool:
        """Accept clients again."""

    def ban(self, worker_id: str, on: bool) -> bool:
        """Ban a match worker, or (on False) lift its ban; False for an id that was never named."""


class Operators:
    """The operators' listener and its connections."""

    def __init__(self, address: Address | None, counters: Counters, control: Control) -> None:
        self.address, self.counters, self.control = address, counters, control
        self.callers: dict[asyncio.StreamWriter, None] = {}  # the oldest first
        self.tasks = Tasks()
        self.server: asyncio.Server | None = None

    async def listen(self) -> None:
        """Open the listener, if it has an address; OSError where that is not available."""
        if self.address is not None:
            family = socket.AF_INET6 if ":" in self.address.host else socket.AF_INET
            sock = socket.create_server(self.address, family=family)
            self.server = await asyncio.start_server(
                self._accept, sock=sock, limit=READ_SIZE, backlog=MAX_CALLERS
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
        for writer in list(self.callers):
            writer.transport.abort()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        # Guards against clients that never complete a request: the oldest connection is closed.
        if len(self.callers) >= MAX_CALLERS:
            self.counters.add("operators_evicted")
            oldest = next(iter(self.callers))
            del self.callers[oldest]
            oldest.transport.abort()
        self.callers[writer] = None
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                writer.write(await self._handle(reader))
                await writer.drain()
                writer.write_eof()
                while await reader.read(READ_SIZE):  # a close with unread bytes resets: the answer is lost
                    pass
        except (OSError, EOFError):  # the client has gone, or was too slow (TimeoutError is an OSError)
            pass
        except Exception:
            log.exception("an operator's call failed")
            self.counters.add("connections_broken")
        finally:
            self.callers.pop(writer, None)
            writer.transport.abort()

    async def _handle(self, reader: asyncio.StreamReader) -> bytes:
        """Read one request and return its answer."""
        http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD)
        request: h11.Request | None = None
        try:
            while not isinstance(event := http.next_event(), h11.EndOfMessage):
                if isinstance(event, h11.Request):
                    request = event
                elif event is h11.NEED_DATA:
                    http.receive_data(await reader.read(READ_SIZE))
                elif isinstance(event, h11.ConnectionClosed):
                    raise EOFError
            assert request is not None
            call = operator_call(request.method, request.target)
        except h11.RemoteProtocolError as error:
            return closing_response(error.error_status_hint, str(error).encode())
        except MessageError as error:
            return _not_found(UnknownOperation(str(error)))
        done = self._do(call)
        self.counters.add(OPERATION_COUNTERS[call.verb] if done else "operators_refused")
        if call.verb != "ready":
            log.info("operators: %s: %s", f"{call.verb} {call.worker}".strip(), "yes" if done else "no")
        status = 200 if done else 404 if call.worker else 503
        if status == 404:
            return _not_found(UnknownWorker("no list and no ban has named it", call.worker))
        return closing_response(status, b"yes\n" if done else b"no\n")

    def _do(self, call: OperatorCall) -> bool:
        match call.verb:
            case "ready":
                return self.control.ready()
            case "out-of-service":
                return self.control.out_of_service()
            case "in-service":
                return self.control.in_service()
            case "offline" | "online":
                return self.control.ban(call.worker, call.verb == "offline")
        return False
