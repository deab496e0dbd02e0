"""A timeout that judges a peer, and not a stall of this process.

After a stall of the event loop the timers that are due run before the tasks whose bytes have arrived
meanwhile, and `asyncio.timeout` cancels a wait whose result is there.  Such a result is a peer's answer in
time, however late this process reads it.
"""

from __future__ import annotations

import asyncio
from types import TracebackType

LATE_S = 0.02  # a timer that runs this late shows a stall
GRACE_S = 0.05  # for what has arrived, which takes a few turns of the loop to process
MAX_EXTENSIONS = 5  # for stalls that follow on each other
STALL_S = 0.1  # a timer that runs this late makes a timeout say nothing of the peer
CHECK_LEAD_S = 0.001  # so that the check runs before the timeout where both are due in one turn


class PeerTimeout:
    """An asynchronous context like `asyncio.timeout`, which is extended where the event loop runs late."""

    __slots__ = ("_check", "_due", "_extensions", "_seconds", "_timeout", "lateness_s")

    def __init__(self, seconds: float) -> None:
        """Raise TimeoutError where the block takes longer than so many seconds."""
        self._seconds = seconds
        self._extensions = 0
        self.lateness_s = 0.0  # the longest time by which a check ran late

    @property
    def has_stalled(self) -> bool:
        """True where this process stood still when the timeout was due: it says nothing of the peer."""
        return self.lateness_s > STALL_S

    async def __aenter__(self) -> PeerTimeout:
        """Start the timeout."""
        self._due = asyncio.get_running_loop().time() + self._seconds
        self._timeout = asyncio.timeout_at(self._due)
        await self._timeout.__aenter__()
        self._schedule_check()
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """End the timeout; raises TimeoutError in place of the cancellation that it caused."""
        self._check.cancel()
        await self._timeout.__aexit__(error_type, error, traceback)

    def _schedule_check(self) -> None:
        self._check = asyncio.get_running_loop().call_at(self._due - CHECK_LEAD_S, self._extend_if_late)

    def _extend_if_late(self) -> None:
        now = asyncio.get_running_loop().time()
        self.lateness_s = max(self.lateness_s, now - self._due)
        if now < self._due + LATE_S or self._extensions == MAX_EXTENSIONS:
            return
        self._extensions += 1
        self._due = now + GRACE_S
        self._timeout.reschedule(self._due)
        self._schedule_check()
