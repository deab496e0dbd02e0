"""The queue of events for the next step of the decision module."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from weldquay import interface as api


class EventQueue:
    """Batches the events of one event-loop iteration into a single step of the decision module."""

    def __init__(self, run_step: Callable[[], None]) -> None:
        self._loop = asyncio.get_running_loop()
        self._run_step = run_step
        self._is_step_scheduled = False
        self.pending: list[api.Event] = []

    def enqueue(self, event: api.Event) -> None:
        """Add an event to the next step; the first event schedules the step."""
        self.pending.append(event)
        if not self._is_step_scheduled:
            self._is_step_scheduled = True
            self._loop.call_soon(self._run_step)

    def take_all(self) -> list[api.Event]:
        """Remove and return the pending events in arrival order."""
        self._is_step_scheduled = False
        events = self.pending
        self.pending = []
        return events
