"""Groups of background tasks."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any

log = logging.getLogger(__name__)


class Tasks:
    """A group of asyncio tasks.  It keeps a reference to each running task and logs exceptions."""

    def __init__(self) -> None:
        self.running: set[asyncio.Task[Any]] = set()

    def start(self, coroutine: Coroutine[Any, Any, Any], name: str) -> asyncio.Task[Any]:
        """Start a task; its name is used in the log line if it raises."""
        task = asyncio.create_task(coroutine, name=name)
        self.running.add(task)
        task.add_done_callback(self._on_done)
        return task

    def _on_done(self, task: asyncio.Task[Any]) -> None:
        self.running.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            log.error("task failed: %s", task.get_name(), exc_info=error)

    async def stop(self) -> None:
        """Cancel the running tasks and wait for their end."""
        for task in self.running:
            task.cancel()
        await asyncio.gather(*self.running, return_exceptions=True)
