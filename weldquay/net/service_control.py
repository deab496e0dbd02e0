"""The actions of operators: take the process out of service, return it to service, and ban workers."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from weldquay.limits import MAX_BANS
from weldquay.net.dispatcher_components import DispatcherComponents
from weldquay.net.hot_restart_messages import BanChange, HotRestartMessage
from weldquay.net.lifecycle import Phase
from weldquay.net.persistence import BanList

# Both delays are counted from the time when the process was taken out of service.  The load balancer in front
# of the dispatchers requests /_health ten times a second, and sends no new clients from 0.2 s after a 503.
CLOSE_AFTER_S = 0.5  # then connections close after their responses
# Then job requests are rejected.  4 s after /_health returned 503, no accepted request may be less than
# 2 s old.
REJECT_AFTER_S = 1.5


class ServiceControl:
    """The actions of operators on one process; implements `operators.OperatorActions`."""

    def __init__(
        self, components: DispatcherComponents, send_to_peer: Callable[[HotRestartMessage], None]
    ) -> None:
        """Control a process with these components.

        Args:
            components: the components of the process.
            send_to_peer: sends a message to the other process of a hot restart, if there is one.
        """
        self.components = components
        self.send_to_peer = send_to_peer
        self.saved_bans = BanList(components.config.name)
        self.out_of_service_since = components.lifecycle.started_at  # seconds, monotonic clock
        self.draining_task: asyncio.Task[None] | None = None

    def is_ready(self) -> bool:
        """Return whether requests can be served."""
        return self.components.readiness.is_ready()

    def take_out_of_service(self, since: float | None = None) -> bool:
        """Drain the dispatcher.  Return False if the phase does not allow it.

        Args:
            since: when an older process started the drain, in seconds of the monotonic clock; None: now.
        """
        lifecycle = self.components.lifecycle
        if lifecycle.phase is Phase.SERVING:
            self.out_of_service_since = time.monotonic() if since is None else since
            lifecycle.enter(Phase.OUT_OF_SERVICE)
            self.draining_task = self.components.tasks.start(self._drain(), "drain for operators")
        return lifecycle.phase is Phase.OUT_OF_SERVICE

    def return_to_service(self) -> bool:
        """End the drain and accept clients again.  Return False if the phase does not allow it."""
        lifecycle = self.components.lifecycle
        if lifecycle.phase is Phase.OUT_OF_SERVICE:
            self.stop_draining()
            self.components.server.reopen()
            lifecycle.enter(Phase.SERVING)
        return lifecycle.phase is Phase.SERVING

    async def _drain(self) -> None:
        """Close idle connections and, after their responses, the others; later reject job requests."""
        server = self.components.server
        await asyncio.sleep(self.out_of_service_since + CLOSE_AFTER_S - time.monotonic())
        server.begin_closing()
        await asyncio.sleep(self.out_of_service_since + REJECT_AFTER_S - time.monotonic())
        server.context.is_rejecting = True

    def stop_draining(self) -> None:
        """Cancel the steps of a drain that have not run, without returning to service."""
        if self.draining_task is not None:
            self.draining_task.cancel()
            self.draining_task = None

    def set_worker_ban(self, worker_id: str, is_banned: bool) -> bool:
        """Ban a worker or lift its ban.  Return False if the id is neither listed nor banned."""
        coordinator = self.components.coordinator
        if not coordinator.is_known_worker(worker_id):
            return False
        if is_banned and len(coordinator.banned_worker_ids) >= MAX_BANS:
            return worker_id in coordinator.banned_worker_ids
        coordinator.set_worker_ban(worker_id, is_banned)
        self.saved_bans.write(coordinator.banned_worker_ids)
        self.send_to_peer(BanChange(worker_id, is_banned))
        return True

    def restore_bans(self) -> None:
        """Restore the bans that the previous process persisted."""
        for worker_id in self.saved_bans.read():
            self.components.coordinator.set_worker_ban(worker_id, True)
