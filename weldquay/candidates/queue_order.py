"""The order of the queued requests, with priorities cached until they become invalid."""

from __future__ import annotations

from collections.abc import Callable
from operator import attrgetter
from typing import Protocol

from weldquay.estimators.runtime import RuntimeEstimator
from weldquay.interface import Settings
from weldquay.state.records import Job

_PRIORITY = attrgetter("queue_priority")


class QueueContext(Protocol):
    """The state of a step that the order depends on.

    Attributes:
        now_ns: time of the step, in nanoseconds.
        shutdown_ns: when the dispatcher shuts down, in nanoseconds.
        settings: the settings in force.
    """

    now_ns: int
    shutdown_ns: float
    settings: Settings


class QueueOrder:
    """Sorts the queued requests by priority."""

    def __init__(
        self,
        context: QueueContext,
        runtimes: RuntimeEstimator,
        queued: dict[int, Job],
        priority: Callable[[Job], float],
    ) -> None:
        """Order the given queue.

        Args:
            context: the step.
            runtimes: learned running times; a new version invalidates priorities that depend on them.
            queued: the queued requests by request id, in the order in which they were queued.
            priority: returns the priority of a request, and sets its `latest_start_ns` and
                `priority_valid_until_ns`. It depends on the settings, on the time of the shutdown and, for a
                request without a runtime hint, on learned running times.
        """
        self.context = context
        self.runtimes = runtimes
        self.queued = queued
        self.priority = priority
        self.settings = context.settings
        self.shutdown_ns = context.shutdown_ns

    def ranked(self) -> list[Job]:
        """Return the queued requests by descending priority; ties keep the order of the queue."""
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
