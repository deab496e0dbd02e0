"""The migration of a process's state: received from an older process, sent to a newer one."""

from __future__ import annotations

import asyncio
import os
import socket
from collections.abc import Iterable
from contextlib import suppress
from dataclasses import replace

from weldquay.errors import OperatorError
from weldquay.limits import MAX_ENDPOINTS
from weldquay.net.config import Address, add_retired_class
from weldquay.net.dispatcher_components import DispatcherComponents
from weldquay.net.hot_restart import HotRestart
from weldquay.net.hot_restart_messages import (
    NO_DESCRIPTOR,
    BanChange,
    ClientConnectionCount,
    EndpointListChunk,
    ForwardedCallback,
    HotRestartMessage,
    ListenerOffer,
    MigratedConnection,
    MigratedRequest,
    OpenRequests,
    WorkerStateMessage,
)
from weldquay.net.lifecycle import Phase
from weldquay.net.messages import (
    MessageError,
    endpoint_list_from_json,
    endpoint_to_json,
    parse_callback,
)
from weldquay.net.process_link import split_into_chunks
from weldquay.net.service_control import ServiceControl

NEWER_PROCESS_DESCRIPTORS = 24  # descriptors that a newer process needs before it has clients
NEWER_PROCESS_WORKER_FRACTION = 1 / 3  # its share of the connections to workers while both processes run
CONNECTION_COUNT_INTERVAL_S = 0.2
ANY_PORT = 0  # configured port for which the system chooses a free one


class AddressConflict(OperatorError):
    """A process of the same name is running at another address."""

    error_code = "address-conflict"
    remedy = (
        "give one of the two dispatchers another name or $TMPDIR; to move a dispatcher to another address, "
        "stop the running process first"
    )

    def __init__(self, name: str, running: Address, configured: Address) -> None:
        super().__init__(
            f"a process named {name} already listens at {running.host}:{running.port}, "
            f"but this process is configured to listen at {configured.host}:{configured.port}"
        )


class ProcessMigration:
    """Migrates the state of one process during a hot restart; implements `HotRestartDelegate`."""

    def __init__(self, components: DispatcherComponents, service: ServiceControl) -> None:
        """Migrate the state of these components, and of a drain by operators."""
        self.components = components
        self.service = service
        self.hot_restart = HotRestart(components.config.name, components.counters, self)
        self.endpoint_list_chunks: list[EndpointListChunk] = []  # received from the older process
        self.peer_connections = 0  # number of client connections of the older process
        self.phase_before_migration = Phase.STARTING

    # --- the newer process ---

    async def request_listener(self) -> ListenerOffer | None:
        """Request the listener of the older process, and adopt its endpoint list.

        Returns:
            The offer, or None if there is no older process.

        Raises:
            AddressConflict: the older process listens at another address; it keeps its listener.
            OSError: the configured address cannot be resolved.
        """
        offer = await self.hot_restart.request_listener()
        if offer is not None:
            await self._check_address(offer)
        if self.endpoint_list_chunks:
            self._adopt_endpoint_list()
        return offer

    async def _check_address(self, offer: ListenerOffer) -> None:
        """Raise AddressConflict if the offered listener does not have the configured address."""
        configured = self.components.config.listen
        listener = socket.socket(fileno=os.dup(offer.descriptor))
        with listener:
            offered = Address(*listener.getsockname()[:2])
        infos = await asyncio.get_running_loop().getaddrinfo(*configured, type=socket.SOCK_STREAM)
        hosts = [socket_address[0] for *_, socket_address in infos]
        if configured.port in (ANY_PORT, offered.port) and offered.host in hosts:
            return
        os.close(offer.descriptor)
        self.hot_restart.stop()
        raise AddressConflict(self.components.config.name, offered, configured)

    def _adopt_endpoint_list(self) -> None:
        """Start with the older process's endpoint list, which is more recent than the configured one."""
        components = self.components
        chunks = self.endpoint_list_chunks
        # Another discovery service does not know this revision; since revision 0 it sends the complete list.
        is_same_discovery = chunks[0].discovery_address == components.config.discovery
        revision = chunks[0].revision if is_same_discovery else 0
        endpoints = [endpoint for chunk in chunks for endpoint in chunk.endpoints]
        components.config = replace(
            components.config,
            known=endpoint_list_from_json({"revision": revision, "complete": True, "members": endpoints}),
            lease=chunks[-1].lease,
        )
        components.discovery.revision = revision
        components.coordinator.config = components.config

    async def take_over(self, offer: ListenerOffer) -> None:
        """Take over from the older process once the endpoint list is confirmed, or after its timeout."""
        self.components.workers.limit_connections(NEWER_PROCESS_WORKER_FRACTION)
        for worker_id in offer.banned_worker_ids:
            self.components.coordinator.set_worker_ban(worker_id, True)
        await self.components.readiness.wait_for_endpoint_list()
        await self.hot_restart.confirm_ready()
        if self.hot_restart.link is not None:
            self.components.server.context.report_open_id = self._report_open_id

    def _report_open_id(self, request_id: str) -> None:
        """Report a new request, so that the other process refuses its id."""
        self.hot_restart.send(OpenRequests((request_id,)))

    def forward_callback(self, body: bytes) -> bool:
        """Forward a callback that matches no attempt in this process to the other process, if there is one.

        Return False if too many wait for the other process.
        """
        if not self.hot_restart.can_forward():
            self.components.counters.add("callbacks_not_forwarded")
            return False
        self.hot_restart.send(ForwardedCallback(body))
        return True

    # --- the older process ---

    def offer_listener(self) -> ListenerOffer | None:
        """Send the endpoint list, reserve resources for the newer process, and return the listener offer.

        Returns:
            The offer with a duplicate of the listener, or None if this process is not serving.
        """
        components = self.components
        if not components.lifecycle.allows_hot_restart or components.server.listener is None:
            return None
        components.server.table.reserve(NEWER_PROCESS_DESCRIPTORS)
        components.workers.limit_connections(1 - NEWER_PROCESS_WORKER_FRACTION)
        if components.coordinator.is_endpoint_list_confirmed:
            self._send_endpoint_list()
        is_out_of_service = components.lifecycle.phase is Phase.OUT_OF_SERVICE
        return ListenerOffer(
            descriptor=os.dup(components.server.listener.fileno()),
            banned_worker_ids=tuple(sorted(components.coordinator.banned_worker_ids)),
            out_of_service_since=self.service.out_of_service_since if is_out_of_service else None,
        )

    def _send_endpoint_list(self) -> None:
        components = self.components
        components.discovery.report_observation()
        components.coordinator.process_pending()
        for chunk in split_into_chunks(map(endpoint_to_json, components.workers.listed_endpoints())):
            self.hot_restart.send(
                EndpointListChunk(
                    revision=components.discovery.revision,
                    discovery_address=components.discovery.config.discovery,
                    lease=components.coordinator.dispatcher.lease.state(),
                    endpoints=tuple(chunk),
                )
            )

    def start_migration(self) -> None:
        """Stop accepting connections, send the state of the workers, and migrate the client connections."""
        components = self.components
        if not components.lifecycle.allows_hot_restart:
            return
        self.phase_before_migration = components.lifecycle.phase
        self.service.stop_draining()
        components.lifecycle.enter(Phase.MIGRATING)
        components.coordinator.migration.peer_reads_class_settings = (
            self.hot_restart.peer_reads_class_settings
        )
        for worker_id, snapshot in components.coordinator.worker_snapshots().items():
            host, port = components.workers.address(worker_id)
            self.hot_restart.send(WorkerStateMessage(worker_id, host, port, snapshot))
        context = components.server.context
        for request_ids in split_into_chunks([*context.recent_request_ids, *context.open_request_ids]):
            self.hot_restart.send(OpenRequests(tuple(request_ids)))
        context.report_open_id = self._report_open_id
        components.server.start_migration(self.hot_restart.send)  # evicts connections
        self._send_connection_count()
        components.tasks.start(self._report_connection_count(), "connection count for the newer process")

    def _send_connection_count(self) -> None:
        self.hot_restart.send(ClientConnectionCount(len(self.components.server.connections)))

    async def _report_connection_count(self) -> None:
        """Send the number of client connections regularly; the newer process leaves descriptors for them."""
        while self.hot_restart.link is not None:
            await asyncio.sleep(CONNECTION_COUNT_INTERVAL_S)
            self._send_connection_count()

    # --- both ---

    def handle_message(self, message: HotRestartMessage) -> None:
        """Handle a message from the other process."""
        components = self.components
        match message:
            case WorkerStateMessage():
                components.workers.add_unlisted_worker(message.worker_id, message.host, message.port)
                components.coordinator.restore_worker(message.worker_id, message.snapshot)
            case EndpointListChunk():
                self._add_endpoint_list_chunk(message)
            case OpenRequests():
                components.server.context.peer_request_ids.update(message.request_ids)
            case MigratedConnection():
                self._accept_connection(message)
            case ClientConnectionCount():
                self._reserve_for_peer(message.connections)
            case BanChange():
                components.coordinator.set_worker_ban(message.worker_id, message.is_banned)
            case ForwardedCallback():
                self._handle_forwarded_callback(message)

    def _add_endpoint_list_chunk(self, chunk: EndpointListChunk) -> None:
        """Add a part of the older process's list, as far as the list has at most MAX_ENDPOINTS workers."""
        count = sum(len(each.endpoints) for each in self.endpoint_list_chunks)
        if count + len(chunk.endpoints) <= MAX_ENDPOINTS:
            self.endpoint_list_chunks.append(chunk)

    def _accept_connection(self, connection: MigratedConnection) -> None:
        if connection.descriptor == NO_DESCRIPTOR:  # this process had reached its limit of descriptors
            self.components.counters.add("hot_restart_connections_without_descriptor")
            return
        if connection.request is not None:
            self._add_missing_class(connection.request)
        if self.peer_connections:
            self._reserve_for_peer(self.peer_connections - 1)
        self.components.server.accept_migrated(connection)

    def _add_missing_class(self, request: MigratedRequest) -> None:
        """Add the class of a migrated request if the configuration of this process lacks it."""
        config = self.components.config
        if request.class_settings is not None and request.class_name not in config.class_names:
            self.components.reconfigure(add_retired_class(config, request.class_name, request.class_settings))

    def _reserve_for_peer(self, connections: int) -> None:
        """Reserve descriptors for the client connections of the older process."""
        self.peer_connections = connections
        self.components.server.table.reserve(NEWER_PROCESS_DESCRIPTORS + connections)

    def _handle_forwarded_callback(self, message: ForwardedCallback) -> None:
        """Handle a callback that matched no attempt of the other process."""
        with suppress(MessageError):
            callback = parse_callback(message.body, self.components.config.report_fields)
            is_matched = self.components.coordinator.handle_callback(callback)
            # A callback can arrive before its request has migrated.  If it is sent back, it arrives at the
            # newer process after the request.
            if not is_matched and self.components.server.context.migrate_connection is not None:
                self.forward_callback(message.body)

    def on_peer_lost(self, unsent: Iterable[HotRestartMessage]) -> None:
        """Release what was reserved for the peer, and serve again if a newer process ended prematurely."""
        components = self.components
        components.server.table.reserve(0)
        components.workers.limit_connections(1)
        components.server.context.peer_lost()
        components.server.context.migrate_connection = None
        for message in unsent:
            self._resume_unsent(message)
        if components.lifecycle.phase is Phase.DRAINING:
            components.server.begin_closing()
        elif components.lifecycle.phase is Phase.MIGRATING:
            components.tasks.start(components.server.accept(), "accepting after a failed hot restart")
            components.lifecycle.enter(Phase.SERVING)
            if self.phase_before_migration is Phase.OUT_OF_SERVICE:
                self.service.take_out_of_service(self.service.out_of_service_since)

    def _resume_unsent(self, message: HotRestartMessage) -> None:
        """Resume a connection that was not sent, unless this process is stopping; close other descriptors."""
        if not isinstance(message, MigratedConnection | ListenerOffer):
            return
        if message.descriptor == NO_DESCRIPTOR:
            return
        is_stopping = self.components.lifecycle.phase in (Phase.STOPPING, Phase.STOPPED)
        if isinstance(message, MigratedConnection) and not is_stopping:
            self.handle_message(message)
        else:
            os.close(message.descriptor)
