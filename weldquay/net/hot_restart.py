"""The handover from an older to a newer process of one dispatcher, by a unix socket in $TMPDIR.

asyncio's streams carry no descriptors, so these sockets are served by the loop's own readers and writers.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import os
import socket
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from contextlib import suppress
from typing import Any, Protocol

import ujson

from weldquay.net.counters import Counters
from weldquay.net.hot_restart_codec import UnknownMessageKind, decode, encode
from weldquay.net.hot_restart_messages import (
    PROTOCOL_VERSION,
    AcceptingStopped,
    BanChange,
    ClientConnectionCount,
    EndpointListChunk,
    ForwardedCallback,
    HotRestartMessage,
    ListenerOffer,
    ListenerRequest,
    MigratedConnection,
    MigrationEndConfirmed,
    MigrationEnded,
    NewerProcessReady,
    OpenRequests,
    WorkerStateMessage,
)
from weldquay.net.hot_restart_packet import Message as Message  # part of this module's interface
from weldquay.net.persistence import state_path

log = logging.getLogger(__name__)

FORM = PROTOCOL_VERSION
MAX_MESSAGE = 160 * 1024  # a call-back or what was read ahead, and some more; the system's buffer holds it
ASK_S = 1.5  # an older process that does not answer by then is left out
TAKE_S = 1.5  # nor is it waited for any longer once this one is ready
AGAIN_S = 0.01  # the system has too many descriptors on their way
MAX_PIECE = MAX_MESSAGE // 2  # bytes of rows in one message

RECEIVED_COUNTERS: dict[type[HotRestartMessage], str] = {
    WorkerStateMessage: "handover_worker",
    EndpointListChunk: "handover_members",
    OpenRequests: "handover_open",
    MigratedConnection: "handover_client",
    ClientConnectionCount: "handover_held",
    BanChange: "handover_ban",
    ForwardedCallback: "handover_call-back",
}
UNKNOWN_KIND_COUNTER = "handover_unknown"


def split_into_messages(rows: Iterable[Any]) -> Iterator[list[Any]]:
    """Rows in as many lists as messages need: by their sizes, as ids and addresses may be long."""
    piece, size = list[Any](), 0
    for row in rows:
        length = len(ujson.dumps(row)) + 1
        if piece and size + length > MAX_PIECE:
            yield piece
            piece, size = [], 0
        piece.append(row)
        size += length
    if piece:
        yield piece


class ProcessLink:
    """A connection to the other process: whole messages both ways, in order."""

    def __init__(
        self, sock: socket.socket, take: Callable[[Message], None], lost: Callable[[list[Message]], None]
    ) -> None:
        self.sock, self.take, self.lost = sock, take, lost
        self.loop = asyncio.get_running_loop()
        self.waiting: deque[Message] = deque()
        self.writing = False  # the next message waits for room in the system
        self.reset = False  # the other process has ended
        self.open = True
        sock.setblocking(False)
        self.loop.add_reader(sock, self._read)

    def send(self, kind: str, data: bytes = b"", file: int = -1, **told: Any) -> None:
        """Send a message, with a descriptor, which is closed here then."""
        self.waiting.append(Message(kind, told, data, file))
        if self.open and not self.writing:
            self._write()

    def close(self) -> None:
        """End the connection; what waits is given back, as from a process that has gone."""
        if self.open:
            self.open = False
            self.loop.remove_reader(self.sock)
            self.loop.remove_writer(self.sock)
            self.sock.close()
            unsent, self.waiting = list(self.waiting), deque()
            self.lost(unsent)

    def _write(self) -> None:
        if self.writing:
            self.loop.remove_writer(self.sock)
            self.writing = False
        while self.waiting:
            message = self.waiting[0]
            try:
                socket.send_fds(self.sock, [message.encode()], [message.file] if message.file >= 0 else [])
            except BlockingIOError:
                self.writing = True
                self.loop.add_writer(self.sock, self._write)
                return
            except OSError as error:
                if error.errno == errno.ETOOMANYREFS:  # the other has yet to take in those on their way
                    self.writing = True
                    self.loop.call_later(AGAIN_S, self._write_again)
                    return
                if error.errno != errno.EMSGSIZE:
                    self.close()
                    return
                log.error("a message %s is too long for the other process", message.kind)
            self.waiting.popleft()
            if message.file >= 0:
                os.close(message.file)

    def _write_again(self) -> None:
        if self.open:
            self._write()

    def _read(self) -> None:
        try:
            packet, files, *_ = socket.recv_fds(self.sock, MAX_MESSAGE, 1)
            if not packet:
                raise EOFError
            message = Message.decode(packet, files[0] if files else -1)
        except BlockingIOError:
            return
        except ConnectionResetError as error:
            # Guards against the loss of what waits here: a process that ends with something unread resets the
            # connection, and the system tells that before the messages that it had sent.
            if self.reset:
                log.info("the other process has gone: %s", error)
                self.close()
            self.reset = True
            return
        except (OSError, EOFError, ValueError) as error:
            log.info("the other process has gone: %s", error or type(error).__name__)
            self.close()
            return
        self.take(message)


def open_socket() -> socket.socket:
    """A unix socket for the handover; OSError where the system allows none."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    sock.setblocking(False)
    return sock


def is_peer_listening(name: str) -> bool:
    """True where an older process of this dispatcher listens; False where there are no unix sockets."""
    try:
        with open_socket() as sock:
            return sock.connect_ex(str(state_path(name, ".sock"))) == 0
    except OSError as error:
        log.info("no handover: %s", error)
        return False


class HotRestartDelegate(Protocol):
    """What the handover asks of this process."""

    def offer_listener(self) -> ListenerOffer | None:
        """A copy of the listener and what goes with it, for a newer process; None where it is too late."""

    def start_migration(self) -> None:
        """The newer process is ready: pass on all that can be."""

    def handle_message(self, message: HotRestartMessage) -> None:
        """Take in what the other process passes on."""

    def on_peer_lost(self, unsent: Iterable[HotRestartMessage]) -> None:
        """The other process has gone; what it did not take comes back."""


class HotRestart:
    """This process's end of the way to the other one, which is the older one or the newer one."""

    def __init__(self, name: str, counters: Counters, process: HotRestartDelegate) -> None:
        self.path, self.counters, self.process = state_path(name, ".sock"), counters, process
        self.door: socket.socket | None = None
        self.link: ProcessLink | None = None
        self.offered: ListenerOffer | None = None
        self.asked = False  # a newer process has the listener
        self.answered, self.taken, self.parted = asyncio.Event(), asyncio.Event(), asyncio.Event()

    # --- the newer process ---

    async def ask(self) -> ListenerOffer | None:
        """What an older process offers, its listener; None where there is no such process, or no answer."""
        try:
            sock = open_socket()
        except OSError as error:  # a system without unix sockets: a start without handover
            log.warning("no handover, this process starts by itself: %s", error)
            return None
        try:
            sock.connect(str(self.path))
        except OSError as error:  # no file, or a stale one
            sock.close()
            if not isinstance(error, FileNotFoundError):
                log.info("no older process at %s: %s", self.path, error)
            return None
        self._begin(sock)
        self.send(ListenerRequest())
        with suppress(TimeoutError):
            async with asyncio.timeout(ASK_S):
                await self.answered.wait()
        if self.offered is None and self.link is not None:
            self.link.close()
        return self.offered

    async def finish(self) -> None:
        """Tell the older process that this one is ready, and wait until it has stopped accepting."""
        self.send(NewerProcessReady())
        with suppress(TimeoutError):
            async with asyncio.timeout(TAKE_S):
                await self.taken.wait()

    # --- the older process ---

    def listen(self) -> None:
        """Wait for a newer process; one that came before, and what it left, is replaced by a rename."""
        fresh = self.path.with_suffix(f".{os.getpid()}")
        try:
            listening = open_socket()
        except OSError as error:
            log.warning("no newer process can take over from this one: %s", error)
            return
        try:
            fresh.unlink(missing_ok=True)
            listening.bind(str(fresh))
            listening.listen(1)
            fresh.replace(self.path)
        except OSError as error:
            log.error("no newer process can take over from this one, at %s: %s", self.path, error)
            listening.close()
            return
        self.door = listening
        asyncio.get_running_loop().add_reader(listening, self._accept)

    def _accept(self) -> None:
        assert self.door is not None
        try:
            sock, _ = self.door.accept()
        except OSError:
            return
        if self.link is not None and self.asked:
            log.warning("a third process asks while another takes over: it is left to itself")
            sock.close()
            return
        if self.link is not None:  # it only looked whether there is a process here
            self.link.close()
        self._begin(sock)

    async def part(self) -> None:
        """Wait until the newer process has taken in all that was sent."""
        self.send(MigrationEnded())
        with suppress(TimeoutError):
            async with asyncio.timeout(TAKE_S):
                await self.parted.wait()

    # --- both ---

    def _begin(self, sock: socket.socket) -> None:
        """A link to the other process, with waits of its own.

        Guards against the events of an earlier link: set when it was lost, they would end this one's waits at
        once, and its last messages, connections with their calls, would be closed unread.
        """
        self.answered, self.taken, self.parted = asyncio.Event(), asyncio.Event(), asyncio.Event()
        self.link = ProcessLink(sock, self._receive, self._lost)

    def send(self, message: HotRestartMessage) -> None:
        """Send a message to the other process, if there is one; a descriptor in it is closed here."""
        packet = encode(message)
        if self.link is not None:
            self.link.send(packet.kind, packet.data, packet.file, **packet.told)
        elif packet.file >= 0:
            os.close(packet.file)

    def stop(self) -> None:
        """Leave: the other process goes on alone."""
        if self.door is not None:
            asyncio.get_running_loop().remove_reader(self.door)
            self.door.close()
            self.door = None
        if self.link is not None:
            self.link.close()

    def _receive(self, packet: Message) -> None:
        """Decode a packet and handle its message; one that cannot be used is dropped."""
        try:
            message = decode(packet)
        except ValueError as error:
            if isinstance(error, UnknownMessageKind):
                self.counters.add(UNKNOWN_KIND_COUNTER)
            log.warning("a message of the other process is ignored: %s", error)
            if packet.file >= 0:
                os.close(packet.file)
        else:
            self._take(message)

    def _take(self, message: HotRestartMessage) -> None:
        match message:
            case ListenerRequest():
                self._answer_request(message)
            case ListenerOffer():
                self.offered = message
                self.answered.set()
            case NewerProcessReady():
                self.process.start_migration()
                self.send(AcceptingStopped())
            case AcceptingStopped():
                self.taken.set()
            case MigrationEnded():
                self.send(MigrationEndConfirmed())
            case MigrationEndConfirmed():
                self.parted.set()
            case _:
                self.counters.add(RECEIVED_COUNTERS[type(message)])
                self.process.handle_message(message)

    def _answer_request(self, request: ListenerRequest) -> None:
        """Offer the listener, or end the link where that is not possible."""
        offer = self.process.offer_listener() if request.protocol_version == PROTOCOL_VERSION else None
        if offer is not None:
            self.asked = True
            self.send(offer)
        elif self.link is not None:
            self.link.close()

    def _lost(self, unsent: list[Message]) -> None:
        self.link, self.asked = None, False
        self.answered.set()
        self.taken.set()
        self.parted.set()
        self.process.on_peer_lost([decode(packet) for packet in unsent])
