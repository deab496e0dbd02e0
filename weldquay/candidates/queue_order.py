"""The order of queued requests. A computed priority is kept for as long as it holds."""

from __future__ import annotations

from collections.abc import Callable
from operator import attrgetter
from typing import Protocol

from weldquay.estimators.runtime import RuntimeEstimator
from weldquay.interface import Settings
from weldquay.state.records import Job

_PRIORITY = attrgetter("queue_priority")


class QueueContext(Protocol):
    """What the order reads of a step: its time and the dispatcher's end, both in ns, and the settings."""

    now_ns: int
    shutdown_ns: float
    settings: Settings


class QueueOrder:
    """Sorts the queue by priority."""

    def __init__(
        self,
        context: QueueContext,
        runtimes: RuntimeEstimator,
        queued: dict[int, Job],
        priority: Callable[[Job], float],
    ) -> None:
        """Sort `queued`, in which requests stand in the order in which they were queued.

        Args:
            context: the step.
            runtimes: its version shows that learned running times have changed.
            queued: the queue, by request id.
            priority: returns the priority of a request, and sets its `latest_start_ns` and
                `priority_valid_until_ns`. It depends on the settings, on the dispatcher's end and, for a
                request without a hint, on learned running times.
        """
        self.context = context
        self.runtimes = runtimes
        self.queued = queued
        self.priority = priority
        self.settings = context.settings
        self.shutdown_ns = context.shutdown_ns

    def ranked(self) -> list[Job]:
        """Return the queue, highest priority first; of equals the one that was queued first."""
        context = self.context
        now_ns, version, jobs = context.now_ns, self.runtimes.version, list(self.queued.values())
        if context.settings is not self.settings or context.shutdown_ns != self.shutdown_ns:
            self.settings = context.settings
            self.shutdown_ns = context.shutdown_ns
            for job in jobs:
                job.priority_valid_until_ns = -1
        for job in jobs:
            is_outdated = job.estimate_version != version and not job.request.runtime_hint_ns
            if is_outdated or now_ns > job.priority_valid_until_ns:
                job.queue_priority = self.priority(job)
                job.estimate_version = version
        jobs.sort(key=_PRIORITY, reverse=True)
        return jobs
