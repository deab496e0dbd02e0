"""A connection between two processes of one dispatcher, over a unix socket of type SOCK_SEQPACKET.

asyncio's streams carry no descriptors, so the socket is served by readers and writers of the event loop.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import os
import socket
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from typing import Any

import ujson

from weldquay.net.hot_restart_packet import NO_DESCRIPTOR, Packet

log = logging.getLogger(__name__)

# A callback, or what a client has sent ahead, and the fields beside it.  The system's send buffer holds it.
MAX_PACKET_BYTES = 160 * 1024
MAX_CHUNK_BYTES = MAX_PACKET_BYTES // 2  # of the list items in one packet
DESCRIPTOR_RETRY_S = 0.01  # after the system's limit of descriptors in transit was reached


def open_socket() -> socket.socket:
    """A non-blocking unix socket; OSError where the system allows none."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    sock.setblocking(False)
    return sock


def split_into_chunks(items: Iterable[Any]) -> Iterator[list[Any]]:
    """Divide list items into lists whose JSON fits into a packet each."""
    chunk = list[Any]()
    chunk_bytes = 0
    for item in items:
        item_bytes = len(ujson.dumps(item)) + 1
        if chunk and chunk_bytes + item_bytes > MAX_CHUNK_BYTES:
            yield chunk
            chunk = []
            chunk_bytes = 0
        chunk.append(item)
        chunk_bytes += item_bytes
    if chunk:
        yield chunk


class ProcessLink:
    """A connection to the other process: packets both ways, in order."""

    def __init__(
        self,
        sock: socket.socket,
        on_packet: Callable[[Packet], None],
        on_lost: Callable[[list[Packet]], None],
    ) -> None:
        """Start to receive; on_lost is called once, at the end, with the packets that were not sent."""
        self.sock = sock
        self.on_packet = on_packet
        self.on_lost = on_lost
        self.loop = asyncio.get_running_loop()
        self.unsent: deque[Packet] = deque()
        self.is_blocked = False  # the next packet waits until the system can take it
        self.was_reset = False  # the other process has ended
        self.is_open = True
        sock.setblocking(False)
        self.loop.add_reader(sock, self._read)

    def send(self, packet: Packet) -> None:
        """Send a packet; its descriptor is closed here once it is sent."""
        self.unsent.append(packet)
        if self.is_open and not self.is_blocked:
            self._write()

    def close(self) -> None:
        """End the connection; `on_lost` is called with the packets that were not sent."""
        if self.is_open:
            self.is_open = False
            self.loop.remove_reader(self.sock)
            self.loop.remove_writer(self.sock)
            self.sock.close()
            unsent = list(self.unsent)
            self.unsent.clear()
            self.on_lost(unsent)

    def _write(self) -> None:
        """Send the waiting packets until the system can take no more."""
        if self.is_blocked:
            self.loop.remove_writer(self.sock)
            self.is_blocked = False
        while self.unsent:
            packet = self.unsent[0]
            try:
                descriptors = [packet.descriptor] if packet.has_descriptor else []
                socket.send_fds(self.sock, [packet.encode()], descriptors)
            except BlockingIOError:
                self.is_blocked = True
                self.loop.add_writer(self.sock, self._write)
                return
            except OSError as error:
                if not self._handle_write_error(error, packet):
                    return
            self.unsent.popleft()
            if packet.has_descriptor:
                os.close(packet.descriptor)

    def _handle_write_error(self, error: OSError, packet: Packet) -> bool:
        """Handle a failed write; True where the packet is dropped and the next one can be sent."""
        if error.errno == errno.ETOOMANYREFS:  # the other process has yet to receive those in transit
            self.is_blocked = True
            self.loop.call_later(DESCRIPTOR_RETRY_S, self._retry)
            return False
        if error.errno == errno.EMSGSIZE:
            log.error("hot-restart packet %s dropped: too long", packet.kind)
            return True
        self.close()
        return False

    def _retry(self) -> None:
        if self.is_open:
            self._write()

    def _read(self) -> None:
        """Receive one packet."""
        try:
            encoded, descriptors, *_ = socket.recv_fds(self.sock, MAX_PACKET_BYTES, 1)
        except BlockingIOError:
            return
        except ConnectionResetError as error:
            # A process that ends with unread packets resets the connection, and the system reports that
            # before the packets that it had sent.  So the first reset is followed by another read.
            if self.was_reset:
                self._close_lost(error)
            self.was_reset = True
            return
        except OSError as error:
            self._close_lost(error)
            return
        if not encoded:
            self._close_lost("end of stream")
            return
        try:
            packet = Packet.decode(encoded, descriptors[0] if descriptors else NO_DESCRIPTOR)
        except ValueError as error:
            self._close_lost(error)
            return
        self.on_packet(packet)

    def _close_lost(self, reason: object) -> None:
        log.info("hot-restart link closed: %s", reason)
        self.close()
