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
from dataclasses import dataclass
from typing import Any, Protocol

import ujson

from weldquay.net.counters import Counters
from weldquay.net.persistence import place

log = logging.getLogger(__name__)

FORM = 1  # of these messages: a process that speaks another is left to start by itself
MAX_MESSAGE = 160 * 1024  # a call-back or what was read ahead, and some more; the system's buffer holds it
ASK_S = 1.5  # an older process that does not answer by then is left out
TAKE_S = 1.5  # nor is it waited for any longer once this one is ready
AGAIN_S = 0.01  # the system has too many descriptors on their way
MAX_PIECE = MAX_MESSAGE // 2  # bytes of rows in one message


@dataclass(frozen=True, slots=True)
class Message:
    """What one process tells the other.  Whoever takes a descriptor closes it."""

    kind: str
    told: dict[str, Any]
    data: bytes = b""
    file: int = -1

    def encode(self) -> bytes:
        """A packet: a line of JSON, then data."""
        return ujson.dumps({"kind": self.kind, **self.told}, default=list).encode() + b"\n" + self.data

    @classmethod
    def decode(cls, packet: bytes, file: int = -1) -> Message:
        """The message of a packet; ValueError where it is none."""
        head, _, data = packet.partition(b"\n")
        told = ujson.loads(head)
        if not isinstance(told, dict) or not isinstance(kind := told.pop("kind", None), str):
            raise ValueError("a message without its kind")
        return cls(kind, told, data, file)


def pieces(rows: Iterable[Any]) -> Iterator[list[Any]]:
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


class Link:
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


def door() -> socket.socket:
    """A unix socket for the handover; OSError where the system allows none."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    sock.setblocking(False)
    return sock


def answers(name: str) -> bool:
    """True where an older process of this dispatcher listens; False where there are no unix sockets."""
    try:
        with door() as sock:
            return sock.connect_ex(str(place(name, ".sock"))) == 0
    except OSError as error:
        log.info("no handover: %s", error)
        return False


class Process(Protocol):
    """What the handover asks of this process."""

    def offer(self) -> tuple[int, dict[str, Any]] | None:
        """A copy of the listener and what goes with it, for a newer process; None where it is too late."""

    def hand_over(self) -> None:
        """The newer process is ready: pass on all that can be."""

    def take(self, message: Message) -> None:
        """Take in what the other process passes on."""

    def alone(self, unsent: Iterable[Message]) -> None:
        """The other process has gone; what it did not take comes back."""


class Handover:
    """This process's end of the way to the other one, which is the older one or the newer one."""

    def __init__(self, name: str, counters: Counters, process: Process) -> None:
        self.path, self.counters, self.process = place(name, ".sock"), counters, process
        self.door: socket.socket | None = None
        self.link: Link | None = None
        self.offered: Message | None = None
        self.asked = False  # a newer process has the listener
        self.answered, self.taken, self.parted = asyncio.Event(), asyncio.Event(), asyncio.Event()

    # --- the newer process ---

    async def ask(self) -> Message | None:
        """What an older process offers, its listener; None where there is no such process, or no answer."""
        try:
            sock = door()
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
        self._begin(sock).send("ask", form=FORM)
        with suppress(TimeoutError):
            async with asyncio.timeout(ASK_S):
                await self.answered.wait()
        if self.offered is None and self.link is not None:
            self.link.close()
        return self.offered

    async def finish(self) -> None:
        """Tell the older process that this one is ready, and wait until it has stopped accepting."""
        self.send("ready")
        with suppress(TimeoutError):
            async with asyncio.timeout(TAKE_S):
                await self.taken.wait()

    # --- the older process ---

    def listen(self) -> None:
        """Wait for a newer process; one that came before, and what it left, is replaced by a rename."""
        fresh = self.path.with_suffix(f".{os.getpid()}")
        try:
            listening = door()
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
        self.send("end")
        with suppress(TimeoutError):
            async with asyncio.timeout(TAKE_S):
                await self.parted.wait()

    # --- both ---

    def _begin(self, sock: socket.socket) -> Link:
        """A link to the other process, with waits of its own.

        Guards against the events of an earlier link: set when it was lost, they would end this one's waits at
        once, and its last messages, connections with their calls, would be closed unread.
        """
        self.answered, self.taken, self.parted = asyncio.Event(), asyncio.Event(), asyncio.Event()
        self.link = Link(sock, self._take, self._lost)
        return self.link

    def send(self, kind: str, data: bytes = b"", file: int = -1, **told: Any) -> None:
        """Tell the other process, where there is one."""
        if self.link is not None:
            self.link.send(kind, data, file, **told)
        elif file >= 0:
            os.close(file)

    def stop(self) -> None:
        """Leave: the other process goes on alone."""
        if self.door is not None:
            asyncio.get_running_loop().remove_reader(self.door)
            self.door.close()
            self.door = None
        if self.link is not None:
            self.link.close()

    def _take(self, message: Message) -> None:
        match message.kind:
            case "ask":
                offer = self.process.offer() if message.told.get("form") == FORM else None
                if offer is not None:
                    self.asked = True
                    self.send("offer", file=offer[0], **offer[1])
                elif self.link is not None:
                    self.link.close()
            case "offer":
                self.offered = message
                self.answered.set()
            case "ready":
                self.process.hand_over()
                self.send("taken")
            case "taken":
                self.taken.set()
            case "end":
                self.send("ended")
            case "ended":
                self.parted.set()
            case _:
                self.counters.add(f"handover_{message.kind}")
                self.process.take(message)

    def _lost(self, unsent: list[Message]) -> None:
        self.link, self.asked = None, False
        self.answered.set()
        self.taken.set()
        self.parted.set()
        self.process.alone(unsent)
