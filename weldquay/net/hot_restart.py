"""Hot restart: the protocol between an older and a newer process of one dispatcher.

The processes are connected by a unix socket in $TMPDIR.  The newer process requests the listener, receives
the endpoint list and the listener, and reports that it is ready.  The older process then stops accepting
connections and migrates those that it has.  Before it exits it reports that it has sent all messages, and
waits for the confirmation.
"""

from __future__ import annotations

import asyncio
import logging
import os
import socket
from collections.abc import Iterable
from contextlib import suppress
from typing import Protocol

from weldquay.limits import MAX_FORWARDED_CALLBACK_BYTES
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
from weldquay.net.hot_restart_packet import Packet
from weldquay.net.peer_timeout import PeerTimeout
from weldquay.net.persistence import state_path
from weldquay.net.process_link import ProcessLink, open_socket

log = logging.getLogger(__name__)

LISTENER_OFFER_TIMEOUT_S = 1.5  # after it the newer process starts without the older one
CONFIRMATION_TIMEOUT_S = 1.5  # after it a process continues without the confirmation of its peer

RECEIVED_COUNTERS: dict[type[HotRestartMessage], str] = {
    WorkerStateMessage: "hot_restart_worker_states",
    EndpointListChunk: "hot_restart_endpoint_lists",
    OpenRequests: "hot_restart_open_requests",
    MigratedConnection: "hot_restart_connections",
    ClientConnectionCount: "hot_restart_connection_counts",
    BanChange: "hot_restart_ban_changes",
    ForwardedCallback: "hot_restart_callbacks",
}
UNKNOWN_KIND_COUNTER = "hot_restart_unknown_messages"


def is_peer_listening(name: str) -> bool:
    """Return whether an older process of this dispatcher listens; False if unix sockets are unavailable."""
    try:
        with open_socket() as sock:
            return sock.connect_ex(str(state_path(name, ".sock"))) == 0
    except OSError as error:
        log.info("hot restart unavailable: %s", error)
        return False


class HotRestartDelegate(Protocol):
    """The process's side of a hot restart: what `HotRestart` calls."""

    def offer_listener(self) -> ListenerOffer | None:
        """Return a duplicate of the listener for a newer process, or None if this process is not serving."""

    def start_migration(self) -> None:
        """Stop accepting and migrate the connections, since the newer process is ready."""

    def handle_message(self, message: HotRestartMessage) -> None:
        """Handle a message that is not part of the handshake, which `HotRestart` handles itself."""

    def on_peer_lost(self, unsent: Iterable[HotRestartMessage]) -> None:
        """Handle the end of the link; unsent holds the messages that were not sent to the peer."""


class HotRestart:
    """This process's end of the link to an older or a newer process, and the handshake over it."""

    def __init__(self, name: str, counters: Counters, delegate: HotRestartDelegate) -> None:
        """Use the socket of the dispatcher with this name."""
        self.socket_path = state_path(name, ".sock")
        self.counters = counters
        self.delegate = delegate
        self.listening_socket: socket.socket | None = None
        self.link: ProcessLink | None = None
        self.listener_offer: ListenerOffer | None = None
        self.peer_reads_class_settings = False  # whether the newer process's release does
        self.is_listener_granted = False  # whether a newer process was sent the listener
        self._reset_events()

    def _reset_events(self) -> None:
        self.offer_received = asyncio.Event()
        self.accepting_stopped = asyncio.Event()
        self.migration_confirmed = asyncio.Event()

    # --- the newer process ---

    async def request_listener(self) -> ListenerOffer | None:
        """Request the listener; return None if there is no older process or it does not answer in time."""
        if (sock := self._connect()) is None:
            return None
        self._open_link(sock)
        self.send(ListenerRequest(reads_class_settings=True))
        await self._wait(self.offer_received, LISTENER_OFFER_TIMEOUT_S)
        if self.listener_offer is None and self.link is not None:
            self.link.close()
        return self.listener_offer

    def _connect(self) -> socket.socket | None:
        """Return a socket that is connected to the older process, or None if there is none."""
        try:
            sock = open_socket()
        except OSError as error:
            log.warning("hot restart unavailable, starting without an older process: %s", error)
            return None
        try:
            sock.connect(str(self.socket_path))
        except OSError as error:
            sock.close()
            if not isinstance(error, FileNotFoundError):
                log.info("no older process at %s: %s", self.socket_path, error)
            return None
        return sock

    async def confirm_ready(self) -> None:
        """Report that this process is ready, and wait until the older one has stopped accepting."""
        self.send(NewerProcessReady())
        await self._wait(self.accepting_stopped, CONFIRMATION_TIMEOUT_S)

    # --- the older process ---

    def listen(self) -> None:
        """Listen for a newer process; a rename replaces the socket of an earlier process atomically."""
        temporary_path = self.socket_path.with_suffix(f".{os.getpid()}")
        try:
            sock = open_socket()
        except OSError as error:
            log.warning("hot restart unavailable, no newer process can connect: %s", error)
            return
        try:
            temporary_path.unlink(missing_ok=True)
            sock.bind(str(temporary_path))
            sock.listen(1)
            temporary_path.replace(self.socket_path)
        except OSError as error:
            log.warning("hot restart unavailable, cannot listen at %s: %s", self.socket_path, error)
            sock.close()
            return
        self.listening_socket = sock
        asyncio.get_running_loop().add_reader(sock, self._accept)

    def _accept(self) -> None:
        assert self.listening_socket is not None
        try:
            sock, _ = self.listening_socket.accept()
        except OSError:
            return
        if self.link is not None and self.is_listener_granted:
            log.warning("hot restart refused: another newer process has the listener")
            sock.close()
            return
        if self.link is not None:  # the peer of this link did not request the listener: `is_peer_listening`
            self.link.close()
        self._open_link(sock)

    async def end_migration(self) -> None:
        """Report that all messages are sent, and wait until the newer process has handled them."""
        self.send(MigrationEnded())
        await self._wait(self.migration_confirmed, CONFIRMATION_TIMEOUT_S)

    def _handle_listener_request(self, request: ListenerRequest) -> None:
        """Offer the listener, or close the link if that is not possible."""
        offer = None
        self.peer_reads_class_settings = request.reads_class_settings
        if request.protocol_version == PROTOCOL_VERSION:
            offer = self.delegate.offer_listener()
        if offer is not None:
            self.is_listener_granted = True
            self.send(offer)
        elif self.link is not None:
            self.link.close()

    # --- both ---

    def _open_link(self, sock: socket.socket) -> None:
        """Open a link, with new events since those of an earlier link were set when it was lost."""
        self._reset_events()
        self.link = ProcessLink(sock, self._receive, self._on_link_lost)

    async def _wait(self, event: asyncio.Event, timeout_s: float) -> None:
        """Wait for an event until the timeout."""
        with suppress(TimeoutError):
            async with PeerTimeout(timeout_s):
                await event.wait()

    def send(self, message: HotRestartMessage) -> None:
        """Send a message to the peer, if there is one; the descriptor in it is closed in this process."""
        packet = encode(message)
        if self.link is not None:
            self.link.send(packet)
        elif packet.has_descriptor:
            os.close(packet.descriptor)

    def can_forward(self) -> bool:
        """Return whether a callback may be sent; False if too many bytes wait for a slow peer."""
        return self.link is None or self.link.unsent_bytes <= MAX_FORWARDED_CALLBACK_BYTES

    def stop(self) -> None:
        """Stop listening, and close the link."""
        if self.listening_socket is not None:
            asyncio.get_running_loop().remove_reader(self.listening_socket)
            self.listening_socket.close()
            self.listening_socket = None
        if self.link is not None:
            self.link.close()

    def _receive(self, packet: Packet) -> None:
        """Decode a packet and handle its message; drop a packet that cannot be decoded."""
        try:
            message = decode(packet)
        except ValueError as error:
            if isinstance(error, UnknownMessageKind):
                self.counters.add(UNKNOWN_KIND_COUNTER)
            log.warning("hot-restart message dropped: %s", error)
            if packet.has_descriptor:
                os.close(packet.descriptor)
        else:
            self._handle(message)

    def _handle(self, message: HotRestartMessage) -> None:
        match message:
            case ListenerRequest():
                self._handle_listener_request(message)
            case ListenerOffer():
                self.listener_offer = message
                self.offer_received.set()
            case NewerProcessReady():
                self.delegate.start_migration()
                self.send(AcceptingStopped())
            case AcceptingStopped():
                self.accepting_stopped.set()
            case MigrationEnded():
                self.send(MigrationEndConfirmed())
            case MigrationEndConfirmed():
                self.migration_confirmed.set()
            case _:
                self.counters.add(RECEIVED_COUNTERS[type(message)])
                self.delegate.handle_message(message)

    def _on_link_lost(self, unsent: list[Packet]) -> None:
        self.link = None
        self.is_listener_granted = False
        self.offer_received.set()
        self.accepting_stopped.set()
        self.migration_confirmed.set()
        self.delegate.on_peer_lost([decode(packet) for packet in unsent])
