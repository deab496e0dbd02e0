"""Shares the time of the event loop among the connections that have received bytes.

All callbacks that are ready run in one iteration of the event loop, so that hundreds of connections with
bytes to parse would delay everything else.  Connections read at once while an iteration has time left; the
others wait for a later one.  Those whose last turn took long wait behind all others, so that a client that
sends much does not delay clients that send little.
"""

from __future__ import annotations

import asyncio
from collections import deque

MAX_ITERATION_S = 0.008  # time for received bytes in one iteration of the event loop
MAX_TURN_S = 0.002  # time after which a connection handles its remaining requests in a later turn
LONG_TURN_S = 0.001  # a connection whose last turn took longer waits for its next one
SHORT_TURN_S = 0.0002  # assumed duration of a short turn

Waiter = tuple[asyncio.Future[None], float]  # the future of a turn, and the expected duration of the turn (s)


class ReadScheduler:
    """The waiting connections, and the time used in the current iteration of the event loop."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._used_s = 0.0
        self._is_iteration_end_scheduled = False
        self._short_waiters: deque[Waiter] = deque()
        self._long_waiters: deque[Waiter] = deque()

    def record(self, turn_s: float) -> None:
        """Record the duration of a turn."""
        self._used_s += turn_s
        self._schedule_iteration_end()

    def must_wait(self, last_turn_s: float) -> bool:
        """Return whether a connection has to wait for its turn; last_turn_s: duration of its last one."""
        return last_turn_s >= LONG_TURN_S or self._used_s >= MAX_ITERATION_S or len(self._short_waiters) > 0

    async def wait(self, last_turn_s: float) -> None:
        """Wait for a turn in a later iteration."""
        waiters = self._long_waiters if last_turn_s >= LONG_TURN_S else self._short_waiters
        waiter: asyncio.Future[None] = self._loop.create_future()
        waiters.append((waiter, max(SHORT_TURN_S, last_turn_s)))
        self._schedule_iteration_end()
        await waiter

    def _schedule_iteration_end(self) -> None:
        if not self._is_iteration_end_scheduled:
            self._is_iteration_end_scheduled = True
            self._loop.call_soon(self._end_iteration)

    def _end_iteration(self) -> None:
        """Start a new iteration, with turns for waiting connections: at least one of each kind."""
        self._is_iteration_end_scheduled = False
        self._used_s = 0.0
        remaining_s = MAX_ITERATION_S
        for waiters in (self._short_waiters, self._long_waiters):
            remaining_s -= _wake_first(waiters)
            while waiters and remaining_s > 0:
                remaining_s -= _wake_first(waiters)
        if self._short_waiters or self._long_waiters:
            self._schedule_iteration_end()


def _wake_first(waiters: deque[Waiter]) -> float:
    """Wake the first waiter that still waits; return the expected duration of its turn (s)."""
    while waiters:
        waiter, expected_s = waiters.popleft()
        if not waiter.done():
            waiter.set_result(None)
            return expected_s
    return 0.0
