"""A timeout for the response of a peer, which does not count stalls of this process.

After a stall of the event loop, expired timers run before the tasks whose data arrived during the stall.  So
`asyncio.timeout` cancels an operation whose result is already available, although the peer responded in time.
"""

from __future__ import annotations

import asyncio
from types import TracebackType

MAX_TIMER_LATENESS_S = 0.02  # a timer that runs later than this indicates a stall
EXTENSION_S = 0.05  # data that has arrived takes a few iterations of the event loop to process
MAX_EXTENSIONS = 5  # limit for consecutive stalls, so that a process that always runs late stops waiting
STALL_THRESHOLD_S = 0.1  # if a timer ran later than this, the timeout shows nothing about the peer
CHECK_LEAD_S = 0.001  # the check must run before the timeout if both are due in one loop iteration


class PeerTimeout:
    """An asynchronous context manager like `asyncio.timeout`, extended when the event loop runs late."""

    __slots__ = ("_check", "_deadline", "_extensions", "_timeout", "_timeout_s", "lateness_s")

    def __init__(self, timeout_s: float) -> None:
        """Raise TimeoutError if the block takes longer than timeout_s."""
        self._timeout_s = timeout_s
        self._extensions = 0
        self.lateness_s = 0.0  # maximum delay of a check

    @property
    def has_stalled(self) -> bool:
        """True if this process stalled when the timeout was due, which then shows nothing about the peer."""
        return self.lateness_s > STALL_THRESHOLD_S

    async def __aenter__(self) -> PeerTimeout:
        """Start the timeout."""
        self._deadline = asyncio.get_running_loop().time() + self._timeout_s
        self._timeout = asyncio.timeout_at(self._deadline)
        await self._timeout.__aenter__()
        self._schedule_check()
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop the timeout; raises TimeoutError in place of the cancellation that it caused."""
        self._check.cancel()
        await self._timeout.__aexit__(error_type, error, traceback)

    def _schedule_check(self) -> None:
        self._check = asyncio.get_running_loop().call_at(self._deadline - CHECK_LEAD_S, self._extend_if_late)

    def _extend_if_late(self) -> None:
        now = asyncio.get_running_loop().time()
        self.lateness_s = max(self.lateness_s, now - self._deadline)
        if now < self._deadline + MAX_TIMER_LATENESS_S or self._extensions == MAX_EXTENSIONS:
            return
        self._extensions += 1
        self._deadline = now + EXTENSION_S
        self._timeout.reschedule(self._deadline)
        self._schedule_check()
