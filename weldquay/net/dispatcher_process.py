"""One dispatcher process: start, signal handling and graceful shutdown."""

from __future__ import annotations

import asyncio
import gc
import logging
import signal
import sys
from contextlib import suppress

from weldquay.errors import OperatorError
from weldquay.net.config import Config
from weldquay.net.config_reload import ConfigReloader
from weldquay.net.connection_table import LINGER_TIMEOUT_S
from weldquay.net.dispatcher_components import DispatcherComponents
from weldquay.net.hot_restart_messages import NO_DESCRIPTOR, HotRestartMessage
from weldquay.net.lifecycle import Phase
from weldquay.net.loop_monitor import LoopMonitor
from weldquay.net.memory_monitor import MemoryMonitor
from weldquay.net.operators import OperatorServer
from weldquay.net.process_migration import AddressConflict, ProcessMigration
from weldquay.net.service_control import ServiceControl

log = logging.getLogger(__name__)

# Client connections stay open for this long after SIGTERM.  During a rolling restart several dispatchers
# may be unavailable at the same moment, so clients whose connections close at once may find no dispatcher.
# Connections that stay open longer deliver requests that this process cannot complete.
DRAIN_KEEP_CONNECTIONS_S = 2.0
# Upper bound of that time, as a fraction of the time that is left until the final responses.
DRAIN_KEEP_CONNECTIONS_FRACTION = 0.58
# SIGKILL follows SIGTERM after the longest client timeout (at most MAX_CLIENT_TIMEOUT_S) and KILL_DELAY_S.
MAX_CLIENT_TIMEOUT_S = 3.0
KILL_DELAY_S = 0.7
FINAL_RESPONSES_S = 0.35  # reserved before SIGKILL for final responses, cancellation of attempts, and exit
CANCELLATION_S = 0.12  # part of FINAL_RESPONSES_S: for the cancellation of attempts
EXIT_S = 0.15  # part of FINAL_RESPONSES_S: from the close of all connections to the process exit
POLL_INTERVAL_S = 0.05


class CannotListen(OperatorError):
    """The address is in use, or does not belong to this machine."""

    error_code = "cannot-listen"
    remedy = "stop the program at that address, or set GW_LISTEN or GW_MGMT to an address of this machine"


class DispatcherProcess:
    """One dispatcher process, from start to exit."""

    def __init__(self, config: Config) -> None:
        """Create the components in a running event loop."""
        self.components = DispatcherComponents(config)
        self.lifecycle = self.components.lifecycle
        self.counters = self.components.counters
        self.tasks = self.components.tasks
        self.coordinator = self.components.coordinator
        self.workers = self.components.workers
        self.discovery = self.components.discovery
        self.server = self.components.server
        self.service = ServiceControl(self.components, self._send_to_peer)
        self.operators = OperatorServer(config.mgmt, self.counters, self.service)
        self.migration = ProcessMigration(self.components, self.service)
        self.hot_restart = self.migration.hot_restart
        self.reloader = ConfigReloader(self.components)

    @property
    def config(self) -> Config:
        """The current configuration."""
        return self.components.config

    @property
    def phase(self) -> Phase:
        """The current phase."""
        return self.lifecycle.phase

    def _send_to_peer(self, message: HotRestartMessage) -> None:
        self.hot_restart.send(message)

    async def run(self) -> int:
        """Serve until SIGTERM or SIGINT, and return the exit status."""
        self._handle_signals()
        try:
            await self.start()
        except (OSError, AddressConflict) as error:
            reason = error if isinstance(error, AddressConflict) else CannotListen(str(error))
            print(f"weldquay: {reason.advice()}", file=sys.stderr)
            return 1
        gc.freeze()  # excludes the objects created so far from garbage collection
        LoopMonitor(self.counters).start(self.tasks)
        memory = MemoryMonitor(self.counters, self.config.memory_mb, self.components.describe_memory)
        memory.start(self.tasks)
        await self.lifecycle.shutdown_requested.wait()
        await self.shut_down()
        memory.check()
        self.print_counters()
        log.info("%s ended by itself after %s", self.config.name, self.lifecycle.shutdown_reason)
        # The SIGHUP handler is removed with the loop; the default action would kill the process.
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
        return 0

    def _handle_signals(self) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.request_shutdown, number.name)
        loop.add_signal_handler(signal.SIGUSR1, self.print_counters)
        loop.add_signal_handler(signal.SIGHUP, self.reloader.requested.set)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})

    def request_shutdown(self, reason: str = "a request") -> None:
        """Make `run` start the graceful shutdown; reason: appears in the log."""
        self.lifecycle.request_shutdown(reason)

    def print_counters(self) -> None:
        """Log the counters and what holds memory."""
        log.info("memory is held by: %s", self.components.describe_memory())
        log.info("counters %s", self.counters.as_json())

    async def start(self) -> None:
        """Open the listeners, take over from an older process if there is one, and start serving.

        Raises:
            OSError: an address is not available.
            AddressConflict: a process of the same name listens on another address.
        """
        await self.operators.listen()
        offer = await self.migration.request_listener()
        await self.server.listen(NO_DESCRIPTOR if offer is None else offer.descriptor)
        self.server.context.forward_callback = self.migration.forward_callback
        self.coordinator.start(self.workers, self.discovery)
        if self.config.lease.send_deadline_ns:
            self.discovery.resume_sampling()
        self.service.restore_bans()
        self.tasks.start(self.reloader.run(), "configuration reload")
        if offer is not None:
            await self.migration.take_over(offer)
        elif self.config.settings.has_local_discovery_agent:
            await self.components.readiness.wait_for_endpoint_list()
        await self.server.accept()
        self.lifecycle.enter(Phase.SERVING)
        if offer is not None and offer.out_of_service_since is not None:
            self.service.take_out_of_service(offer.out_of_service_since)
        self.hot_restart.listen()
        self.reloader.save()

    async def shut_down(self) -> None:
        """Serve connected clients for a while, answer all open requests, then stop.

        During a hot restart, connections migrate to the newer process instead of being closed.
        """
        loop = asyncio.get_running_loop()
        requested_at = self.lifecycle.shutdown_requested_at or loop.time()
        final_responses_at = requested_at + self._time_until_final_responses_s()
        remaining_s = max(0.0, final_responses_at - loop.time())
        self.service.stop_draining()
        is_migrating = self.phase is Phase.MIGRATING
        self.lifecycle.enter(Phase.DRAINING)
        self.coordinator.begin_shutdown(remaining_s)
        if not is_migrating:
            await asyncio.sleep(min(DRAIN_KEEP_CONNECTIONS_S, DRAIN_KEEP_CONNECTIONS_FRACTION * remaining_s))
            self.lifecycle.enter(Phase.CLOSING)
            self.server.begin_closing()
        with suppress(TimeoutError):
            async with asyncio.timeout_at(final_responses_at + CANCELLATION_S):
                await self._wait_for_pending_work()
                if is_migrating:
                    await self._wait_for_migration()
        # In the same iteration of the loop in which nothing is pending: a later request would be lost.
        self.server.reject_requests()
        self.lifecycle.enter(Phase.STOPPING)
        await self._stop_components(final_responses_at + FINAL_RESPONSES_S - EXIT_S)
        self.lifecycle.enter(Phase.STOPPED)

    def _time_until_final_responses_s(self) -> float:
        """Return the time (s) from SIGTERM until open requests must be answered, before SIGKILL follows.

        SIGKILL counts from the classes of the current file; open requests of others are answered earlier.
        """
        longest_ns = max(
            job_class.client_timeout_ns for job_class in self.config.settings.classes if job_class.is_offered
        )
        return min(longest_ns / 1e9, MAX_CLIENT_TIMEOUT_S) + KILL_DELAY_S - FINAL_RESPONSES_S

    async def _wait_for_pending_work(self) -> None:
        """Wait until no request is open and no attempt or cancellation is pending."""
        while True:
            if not self.coordinator.has_pending_work and not self.workers.has_pending_cancellations:
                return
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _wait_for_migration(self) -> None:
        """Wait until the newer process has all connections and has handled all messages."""
        while True:
            if not self.server.connections:
                break
            await asyncio.sleep(POLL_INTERVAL_S)
        await self.hot_restart.end_migration()

    async def _stop_components(self, deadline: float) -> None:
        """Stop all components; deadline: for clients that read slowly, on the loop's clock (s)."""
        await self.tasks.stop()
        await self.discovery.stop()
        await self.operators.stop()
        remaining_s = max(0.0, deadline - asyncio.get_running_loop().time())
        await self.server.stop(min(LINGER_TIMEOUT_S, remaining_s))
        await self.workers.stop()
        self.hot_restart.stop()
