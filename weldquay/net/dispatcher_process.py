"""The program: its phases from start to exit, and its signals."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys
import time
from collections.abc import Iterable
from contextlib import suppress
from dataclasses import replace

from weldquay.errors import OperatorError
from weldquay.net.client_server import ClientServer
from weldquay.net.connection_table import LINGER_TIMEOUT_S
from weldquay.net.config import Config, ConfigError, reload
from weldquay.net.counters import Counters
from weldquay.net.request_coordinator import RequestCoordinator
from weldquay.net.loop_monitor import LoopMonitor
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
    OpenRequests,
    WorkerStateMessage,
)
from weldquay.net.process_link import split_into_chunks
from weldquay.net.persistence import BanList, StateFile
from weldquay.net.messages import MessageError, parse_callback, endpoint_to_json, endpoint_list_from_json
from weldquay.net.operators import Operators
from weldquay.net.lifecycle import Phase as Phase  # part of this module's interface
from weldquay.net.discovery_client import DiscoveryClient
from weldquay.net.tasks import Tasks
from weldquay.net.worker_client import HttpWorkerClient

log = logging.getLogger(__name__)

# After SIGTERM clients keep the connections that they have.  Closed at once, these may have nowhere to go, as
# dispatchers that restart one after another are away together for a while; kept long, they bring calls that
# cannot end here.
STAY_S = 2.0
STAY_PART = 0.58  # of the time until all is answered, where deadlines are short: SIGKILL comes sooner then
LONGEST_S, KILL_S = 3.0, 0.7  # SIGKILL comes after the longest deadline, but this at the most, and some more
LAST_S = 0.25  # before it, what is still owed is answered: time to write that and to tell workers
SEEN_S = 0.5  # the front asks for /_health ten times a second, and sends nobody new 0.2 s after a no
EMPTY_S = 1.5  # out of service for so long, calls are refused: 4 s after the no none may be under 2 s old
LOOK_S = 0.05
LIST_S = 3.5  # a newer process waits so long for its list: within 6 s it has to be ready
NEWER_FILES = 24  # descriptors that a newer process needs before it has clients
NEWER_PART = 1 / 3  # of the connections to workers, while it is not alone
HELD_S = 0.2


class CannotListen(OperatorError):
    """An address that is not to be had: another program has it, or this machine has not."""

    error_code = "cannot-listen"
    remedy = "end the other program at that address, or change GW_LISTEN or GW_MGMT to one of this machine's"


class DispatcherProcess:
    """One dispatcher, from start to exit."""

    def __init__(self, config: Config) -> None:
        self.config = config
        self.phase = Phase.STARTING
        self.counters = Counters()
        self.drain_begun = asyncio.Event()
        self.reload_wanted = asyncio.Event()
        self.tasks = Tasks()
        self.bans, self.kept = BanList(config.name), StateFile(config.name, ".config")
        self.inherited: list[EndpointListChunk] = []  # the older process's list
        self.others = 0  # clients' connections at the older process
        self.before = Phase.STARTING  # the phase in which a newer process took over
        self.begun = self.out_since = time.monotonic()
        self.draining_task: asyncio.Task[None] | None = None

    def _enter(self, phase: Phase) -> None:
        self.phase = phase
        log.info("%s is %s", self.config.name, phase.value)

    def serving(self) -> bool:
        """True while new clients are wanted."""
        return self.phase is Phase.SERVING and self._listed()

    def _listed(self) -> bool:
        """True once the list is confirmed, or has not been for long: requests wait for discovery then."""
        return self.coordinator.is_endpoint_list_confirmed or time.monotonic() - self.begun > LIST_S

    async def start(self) -> None:
        """Open the listener and begin to serve; OSError where the address is not to be had."""
        exchange = RequestCoordinator(self.config, self.counters)
        self.coordinator = exchange
        self.workers = HttpWorkerClient(self.config, self.counters, exchange)
        self.discovery = DiscoveryClient(self.config, exchange)
        self.server = ClientServer(self.config, self.counters, exchange, self.serving)
        self.operators = Operators(self.config.mgmt, self.counters, self)
        await self.operators.listen()
        self.hot_restart = HotRestart(self.config.name, self.counters, self)
        offered = await self.hot_restart.request_listener()
        if self.inherited:
            self._inherit_list()
        await self.server.listen(-1 if offered is None else offered.descriptor)
        self.server.context.return_callback = lambda body: self.hot_restart.send(ForwardedCallback(body))
        exchange.start(self.workers, self.discovery)
        for worker_id in self.bans.read():
            exchange.ban(worker_id, True)
        self.tasks.start(self._reload(), "reloading of the configuration")
        if offered is not None:
            await self._take_over(offered)
        elif self.config.settings.has_local_discovery_agent:
            await self._until_listed()
        await self.server.accept()
        self._enter(Phase.SERVING)
        if offered is not None and offered.out_of_service_since is not None:
            self.out_of_service(offered.out_of_service_since)
        self.hot_restart.listen()
        self.kept.write(self.config.document)

    def _inherit_list(self) -> None:
        """Begin with the older process's list, which is newer than what the file holds."""
        first, last = self.inherited[0], self.inherited[-1]
        # Revisions of another discovery count otherwise: from 0 on it tells the whole list.
        revision = first.revision if first.discovery_address == self.config.discovery else 0
        lines = [line for chunk in self.inherited for line in chunk.endpoints]
        self.config = replace(
            self.config,
            known=endpoint_list_from_json({"revision": revision, "complete": True, "members": lines}),
            lease=last.lease,
        )
        self.discovery.revision = revision
        self.coordinator.config = self.config

    async def _take_over(self, offered: ListenerOffer) -> None:
        """Take an older process's place, once the list of workers has come, or has not for long."""
        self.workers.limit_connections(NEWER_PART)
        for worker_id in offered.banned_worker_ids:
            self.coordinator.ban(worker_id, True)
        await self._until_listed()
        await self.hot_restart.confirm_ready()

    async def _until_listed(self) -> None:
        """Wait for what discovery has: what an agent on this machine has counts as told from the start."""
        with suppress(TimeoutError):
            async with asyncio.timeout(LIST_S):
                while not (self.coordinator.is_endpoint_list_confirmed or self.drain_begun.is_set()):
                    await asyncio.sleep(LOOK_S)

    # --- the other process of this dispatcher, while there is one ---

    def offer_listener(self) -> ListenerOffer | None:
        """The listener, for a newer process, and room for its connections."""
        if self.phase not in (Phase.SERVING, Phase.OUT_OF_SERVICE) or self.server.listener is None:
            return None
        self.server.table.reserve(NEWER_FILES)
        self.workers.limit_connections(1 - NEWER_PART)
        members = map(endpoint_to_json, self.workers.listed_endpoints())
        for piece in split_into_chunks(members) if self.coordinator.is_endpoint_list_confirmed else ():
            self.hot_restart.send(
                EndpointListChunk(
                    revision=self.discovery.revision,
                    discovery_address=self.discovery.config.discovery,
                    lease=self.coordinator.dispatcher.lease.state(),
                    endpoints=tuple(piece),
                )
            )
        return ListenerOffer(
            descriptor=os.dup(self.server.listener.fileno()),
            banned_worker_ids=tuple(sorted(self.coordinator.bans)),
            out_of_service_since=self.out_since if self.phase is Phase.OUT_OF_SERVICE else None,
        )

    def start_migration(self) -> None:
        """Pass on what is known, and the clients' connections; what is in hand ends here."""
        if self.phase not in (Phase.SERVING, Phase.OUT_OF_SERVICE):
            return
        self.before = self.phase
        self._stop_emptying()
        self._enter(Phase.HANDED_OVER)
        for worker_id, snapshot in self.coordinator.worker_snapshots().items():
            host, port = self.workers.address(worker_id)
            self.hot_restart.send(WorkerStateMessage(worker_id, host, port, snapshot))
        for ids in split_into_chunks(self.server.context.open_request_ids):
            self.hot_restart.send(OpenRequests(tuple(ids)))
        self.hot_restart.send(ClientConnectionCount(len(self.server.connections)))
        self.server.start_migration(self.hot_restart.send)
        self.tasks.start(self._tell_held(), "telling of the connections that are left")

    async def _tell_held(self) -> None:
        """Tell the newer process how many connections it has to leave room for."""
        while self.hot_restart.link is not None:
            await asyncio.sleep(HELD_S)
            self.hot_restart.send(ClientConnectionCount(len(self.server.connections)))

    def handle_message(self, message: HotRestartMessage) -> None:
        """Handle a message of the other process."""
        match message:
            case WorkerStateMessage():
                self.workers.add_departed_worker(message.worker_id, message.host, message.port)
                self.coordinator.restore_worker(message.worker_id, message.snapshot)
            case EndpointListChunk():
                self.inherited.append(message)
            case OpenRequests():
                self.server.context.peer_request_ids.update(message.request_ids)
            case MigratedConnection(descriptor=descriptor) if (
                descriptor == NO_DESCRIPTOR
            ):  # there was no descriptor left for it
                self.counters.add("handover_without_descriptor")
            case MigratedConnection():
                if self.others:
                    self._leave_room(self.others - 1)
                self.server.accept_migrated(message)
            case ClientConnectionCount():
                self._leave_room(message.connections)
            case BanChange():
                self.coordinator.ban(message.worker_id, message.is_banned)
            case ForwardedCallback():
                with suppress(MessageError):
                    matched = self.coordinator.handle_callback(
                        parse_callback(message.body, self.config.report_fields)
                    )
                    # Guards against a call-back that overtakes its call: back it comes behind it.
                    if not matched and self.server.context.migrate_connection is not None:
                        self.hot_restart.send(message)

    def _leave_room(self, others: int) -> None:
        """Count the clients' connections that the older process still holds."""
        self.others = others
        self.server.table.reserve(NEWER_FILES + others)

    def on_peer_lost(self, unsent: Iterable[HotRestartMessage]) -> None:
        """The other process has gone: all room is this one's; if it was to take over, this one goes on."""
        self.server.table.reserve(0)
        self.workers.limit_connections(1)
        self.server.context.peer_request_ids.clear()
        self.server.context.migrate_connection = None
        for message in unsent:
            if (
                not isinstance(message, MigratedConnection | ListenerOffer)
                or message.descriptor == NO_DESCRIPTOR
            ):
                continue
            if isinstance(message, MigratedConnection) and self.phase not in (Phase.STOPPING, Phase.STOPPED):
                self.handle_message(message)
            else:
                os.close(message.descriptor)
        if self.phase is Phase.DRAINING:
            self.server.begin_closing()
        elif self.phase is Phase.HANDED_OVER:
            self.tasks.start(self.server.accept(), "accepting again")
            self._enter(Phase.SERVING)
            if self.before is Phase.OUT_OF_SERVICE:
                self.out_of_service(self.out_since)

    def ready(self) -> bool:
        """True once calls can be served here: the list has come, or is late, and this is not about to end."""
        if self.phase is Phase.HANDED_OVER:
            return True  # the newer process is
        return self._listed() and self.phase in (Phase.SERVING, Phase.OUT_OF_SERVICE)

    def out_of_service(self, since: float | None = None) -> bool:
        """Empty the dispatcher, for its operators; False where it is about to end.

        since: when that began, where an older process had begun it.
        """
        if self.phase is Phase.SERVING:
            self.out_since = time.monotonic() if since is None else since
            self._enter(Phase.OUT_OF_SERVICE)
            self.draining_task = self.tasks.start(self._empty(), "emptying for the operators")
        return self.phase is Phase.OUT_OF_SERVICE

    def in_service(self) -> bool:
        """Take clients again; False where it is about to end."""
        if self.phase is Phase.OUT_OF_SERVICE:
            self._stop_emptying()
            self.server.reopen()
            self._enter(Phase.SERVING)
        return self.phase is Phase.SERVING

    def ban(self, worker_id: str, on: bool) -> bool:
        """Take a match worker out, or put it back, however often it was taken out."""
        if not self.coordinator.is_known_worker(worker_id):
            return False
        self.coordinator.ban(worker_id, on)
        self.bans.write(self.coordinator.bans)
        self.hot_restart.send(BanChange(worker_id, on))
        return True

    async def _empty(self) -> None:
        """Have clients leave: those that rest first, then all."""
        await asyncio.sleep(self.out_since + SEEN_S - time.monotonic())
        self.server.begin_closing()
        await asyncio.sleep(self.out_since + EMPTY_S - time.monotonic())
        self.server.context.is_rejecting = True

    def _stop_emptying(self) -> None:
        if self.draining_task is not None:
            self.draining_task.cancel()
            self.draining_task = None

    async def finish(self) -> None:
        """Serve what still comes, until nothing is owed to a client or by a worker; then end."""
        longest_s = max(each.client_timeout_ns for each in self.config.settings.classes) / 1e9
        left_s = min(longest_s, LONGEST_S) + KILL_S - LAST_S
        last = asyncio.get_running_loop().time() + left_s
        self._stop_emptying()
        handed_over = self.phase is Phase.HANDED_OVER
        self._enter(Phase.DRAINING)
        self.coordinator.begin_shutdown(left_s)  # SIGKILL would leave what is owed then without any answer
        if not handed_over:  # else connections go to the newer process after their answers
            await asyncio.sleep(min(STAY_S, STAY_PART * left_s))
            self._enter(Phase.CLOSING)
            self.server.begin_closing()
        with suppress(TimeoutError):
            async with asyncio.timeout_at(last + LAST_S / 2):
                await self._settled()
                while handed_over and self.server.connections:
                    await asyncio.sleep(LOOK_S)
                if handed_over:
                    await self.hot_restart.end_migration()
        self._enter(Phase.STOPPING)
        await self.tasks.stop()
        await self.discovery.stop()
        await self.operators.stop()
        now = asyncio.get_running_loop().time()
        await self.server.stop(min(LINGER_TIMEOUT_S, max(0.0, last + LAST_S * 0.8 - now)))
        await self.workers.stop()
        self.hot_restart.stop()
        self._enter(Phase.STOPPED)

    async def _settled(self) -> None:
        """Return once nothing is owed to a client or by a worker."""
        while self.coordinator.has_pending_work or self.workers.busy:
            await asyncio.sleep(LOOK_S)

    async def run(self) -> int:
        """Serve until told to stop; the exit status."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.drain)
        loop.add_signal_handler(signal.SIGUSR1, self.print_counters)
        loop.add_signal_handler(signal.SIGHUP, self.reload_wanted.set)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
        try:
            await self.start()
        except OSError as error:
            print(f"weldquay: {CannotListen(str(error)).advice()}", file=sys.stderr)
            return 1
        gc.freeze()  # what is there now stays: the collector need not look at it again
        LoopMonitor(self.counters).start(self.tasks)
        await self.drain_begun.wait()
        await self.finish()
        self.print_counters()
        # Guards against a late SIGHUP: with the loop its handler goes, and the default would end the program.
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
        return 0

    def drain(self) -> None:
        """Begin to end: on SIGTERM or SIGINT."""
        self.drain_begun.set()

    async def _reload(self) -> None:
        """Take in the configuration again after each SIGHUP, a drain included; a bad one changes nothing."""
        while True:
            await self.reload_wanted.wait()
            self.reload_wanted.clear()
            before = self.phase
            self._enter(Phase.RELOADING)
            try:
                self.config, others = reload(os.environ, self.config)
            except ConfigError as error:
                self.counters.add("reloads_refused")
                log.error("the configuration stays as it is: %s", error.advice())
            else:
                self.counters.add("reloads")
                self.kept.write(self.config.document)
                self.discovery.reconfigure(self.config)
                for part in (self.coordinator, self.server, self.workers):
                    part.reconfigure(self.config)
                if others:
                    log.warning("only a new start takes in what changed in: %s", ", ".join(others))
            self._enter(before)

    def print_counters(self) -> None:
        """Write the counters to standard error: on SIGUSR1 and at exit."""
        log.info("counters %s", self.counters.line())
