"""Whether the process has an endpoint list, serves clients and is ready."""

from __future__ import annotations

import asyncio
import time
from contextlib import suppress

from weldquay.net.lifecycle import Lifecycle, Phase
from weldquay.net.request_coordinator import RequestCoordinator

# How long a starting process waits for the endpoint list.  A newer process has to be ready within 6 s.
ENDPOINT_LIST_TIMEOUT_S = 3.5
POLL_INTERVAL_S = 0.05


class Readiness:
    """Derives readiness from the phase and the endpoint list."""

    def __init__(self, lifecycle: Lifecycle, coordinator: RequestCoordinator) -> None:
        self.lifecycle = lifecycle
        self.coordinator = coordinator

    def has_endpoint_list(self) -> bool:
        """Return whether the list is confirmed, or its timeout is over so that requests are held instead."""
        age_s = time.monotonic() - self.lifecycle.started_at
        return self.coordinator.is_endpoint_list_confirmed or age_s > ENDPOINT_LIST_TIMEOUT_S

    def is_serving(self) -> bool:
        """Return whether new clients are accepted: the result of a health check."""
        return self.lifecycle.phase is Phase.SERVING and self.has_endpoint_list()

    def is_ready(self) -> bool:
        """Return whether this or a newer process can serve requests, and no shutdown has begun."""
        if self.lifecycle.phase is Phase.MIGRATING:
            return True
        return self.has_endpoint_list() and self.lifecycle.allows_hot_restart

    async def wait_for_endpoint_list(self) -> None:
        """Wait until the list is confirmed, its timeout is over, or a shutdown is requested."""
        with suppress(TimeoutError):
            async with asyncio.timeout(ENDPOINT_LIST_TIMEOUT_S):
                while True:
                    is_shutting_down = self.lifecycle.shutdown_requested.is_set()
                    if self.coordinator.is_endpoint_list_confirmed or is_shutting_down:
                        return
                    await asyncio.sleep(POLL_INTERVAL_S)
