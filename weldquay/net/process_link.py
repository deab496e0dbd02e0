"""The connection between two processes of one dispatcher, over a SOCK_SEQPACKET unix socket.

asyncio's streams cannot transfer file descriptors, so the socket is registered with the event loop directly.
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

# Enough for the body of a callback, or the read-ahead of a client, with the packet's JSON fields.  A packet
# of this size fits into the kernel's send buffer.
MAX_PACKET_BYTES = 160 * 1024
MAX_CHUNK_BYTES = MAX_PACKET_BYTES // 2  # JSON size of the list items in one packet
DESCRIPTOR_RETRY_S = 0.01  # delay after reaching the kernel's limit of descriptors in transit


def open_socket() -> socket.socket:
    """Return a non-blocking unix socket.

    Raises:
        OSError: the system does not allow unix sockets.
    """
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    sock.setblocking(False)
    return sock


def split_into_chunks(items: Iterable[Any]) -> Iterator[list[Any]]:
    """Split list items into chunks, each of which fits into one packet as JSON."""
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
    """A bidirectional, ordered packet connection to the other process."""

    def __init__(
        self,
        sock: socket.socket,
        on_packet: Callable[[Packet], None],
        on_lost: Callable[[list[Packet]], None],
    ) -> None:
        """Start receiving.  on_lost is called once, at the end of the link, with the packets not sent."""
        self.sock = sock
        self.on_packet = on_packet
        self.on_lost = on_lost
        self.loop = asyncio.get_running_loop()
        self.unsent: deque[Packet] = deque()
        self.unsent_bytes = 0  # of the binary data of these packets
        self.is_blocked = False  # the next packet waits until the kernel accepts it
        self.was_reset = False  # the peer process has exited
        self.is_open = True
        sock.setblocking(False)
        self.loop.add_reader(sock, self._read)

    def send(self, packet: Packet) -> None:
        """Queue and send a packet; its descriptor is closed in this process once it was sent."""
        self.unsent.append(packet)
        self.unsent_bytes += len(packet.data)
        if self.is_open and not self.is_blocked:
            self._write()

    def close(self) -> None:
        """Close the link and call `on_lost` with the packets not sent."""
        if self.is_open:
            self.is_open = False
            self.loop.remove_reader(self.sock)
            self.loop.remove_writer(self.sock)
            self.sock.close()
            unsent = list(self.unsent)
            self.unsent.clear()
            self.on_lost(unsent)

    def _write(self) -> None:
        """Send queued packets until the kernel accepts no more."""
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
            self.unsent_bytes -= len(packet.data)
            if packet.has_descriptor:
                os.close(packet.descriptor)

    def _handle_write_error(self, error: OSError, packet: Packet) -> bool:
        """Handle a failed write.  Return True if the packet is dropped and the next one can be sent."""
        if error.errno == errno.ETOOMANYREFS:  # the peer has not received the descriptors in transit yet
            self.is_blocked = True
            self.loop.call_later(DESCRIPTOR_RETRY_S, self._retry)
            return False
        if error.errno == errno.EMSGSIZE:
            log.error("hot-restart packet %s dropped: exceeds the maximum message size", packet.kind)
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
            # A process that exits with unread packets resets the connection, and the kernel reports the
            # reset before the packets that this process had sent.  So the first reset does not end the
            # link: the packets are read after it.
            if self.was_reset:
                self._log_and_close(error)
            self.was_reset = True
            return
        except OSError as error:
            self._log_and_close(error)
            return
        if not encoded:
            self._log_and_close("end of stream")
            return
        try:
            packet = Packet.decode(encoded, descriptors[0] if descriptors else NO_DESCRIPTOR)
        except ValueError as error:
            self._log_and_close(error)
            return
        self.on_packet(packet)

    def _log_and_close(self, reason: object) -> None:
        log.info("hot-restart link closed: %s", reason)
        self.close()
