"""The operators' calls: a listener of their own, one call a connection."""

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
from weldquay.net.messages import MessageError, OperatorCall, last_answer, operator_call
from weldquay.net.tasks import Tasks

log = logging.getLogger(__name__)

READ_SIZE = 4 * 1024
MAX_HEAD = 4 * 1024
WAITING = 64  # connections in the system's queue; beyond that they come again only after a second
MOST_CALLERS = 8  # connections; beyond that the one that has waited longest makes room
CALL_S = 2.0  # from connecting to the last byte of the answer


class UnknownOperation(OperatorError):
    """A path or method that is no operators' call."""

    remedy = "docs/on-call.md lists the calls; POST changes something, GET only looks"


class UnknownWorker(OperatorError):
    """An id that nobody has."""

    remedy = "use the id as discovery's list gives it; one that was never listed cannot be taken out"


def _unknown(error: OperatorError) -> bytes:
    """The answer to a call that names nobody or nothing."""
    return last_answer(404, ujson.dumps(error.told()).encode() + b"\n")


class Control(Protocol):
    """What operators may ask for; each answers whether it was done."""

    def ready(self) -> bool:
        """True once calls can be served here."""

    def out_of_service(self) -> bool:
        """Empty the dispatcher."""

    def in_service(self) -> bool:
        """Take clients again."""

    def ban(self, worker_id: str, on: bool) -> bool:
        """Take a match worker out, or (on False) put it back; False where nobody has that id."""


class Operators:
    """The operators' listener."""

    def __init__(self, address: Address | None, counters: Counters, control: Control) -> None:
        self.address, self.counters, self.control = address, counters, control
        self.callers: dict[asyncio.StreamWriter, None] = {}  # the longest there first
        self.tasks = Tasks()
        self.server: asyncio.Server | None = None

    async def listen(self) -> None:
        """Open the listener where an address is told."""
        if self.address is not None:
            family = socket.AF_INET6 if ":" in self.address.host else socket.AF_INET
            sock = socket.create_server(self.address, family=family)
            self.server = await asyncio.start_server(
                self._accept, sock=sock, limit=READ_SIZE, backlog=MOST_CALLERS
            )
            sock.listen(WAITING)  # asyncio takes as many in one turn as its backlog says

    @property
    def port(self) -> int:
        """The port that the listener has."""
        assert self.server is not None
        return int(self.server.sockets[0].getsockname()[1])

    async def stop(self) -> None:
        """Close the listener and all connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.callers):
            writer.transport.abort()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        # Guards against callers that complete nothing: the one that came first makes room.
        if len(self.callers) >= MOST_CALLERS:
            self.counters.add("operators_evicted")
            oldest = next(iter(self.callers))
            del self.callers[oldest]
            oldest.transport.abort()
        self.callers[writer] = None
        try:
            async with asyncio.timeout(CALL_S):
                writer.write(await self._call(reader))
                await writer.drain()
                writer.write_eof()
                while await reader.read(READ_SIZE):  # closed with bytes unread, it would take its answer back
                    pass
        except (OSError, EOFError):  # a TimeoutError is an OSError: nothing is owed any more
            pass
        except Exception:
            log.exception("an operator's call failed")
            self.counters.add("connections_broken")
        finally:
            self.callers.pop(writer, None)
            writer.transport.abort()

    async def _call(self, reader: asyncio.StreamReader) -> bytes:
        """Read one call and return its answer."""
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
            return last_answer(error.error_status_hint, str(error).encode())
        except MessageError as error:
            return _unknown(UnknownOperation(str(error)))
        done = self._do(call)
        self.counters.add(f"operators_{call.verb}" if done else "operators_refused")
        if call.verb != "ready":
            log.info("operators: %s: %s", f"{call.verb} {call.worker}".strip(), "yes" if done else "no")
        status = 200 if done else 404 if call.worker else 503
        if status == 404:
            return _unknown(UnknownWorker("no list and no ban has named it", call.worker))
        return last_answer(status, b"yes\n" if done else b"no\n")

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
