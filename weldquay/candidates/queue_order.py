"""The order of held jobs.  What was computed for a job is kept for as long as it holds."""

from __future__ import annotations

from collections.abc import Callable
from operator import attrgetter
from typing import Protocol

from weldquay.estimators.runtime import RuntimeEstimator
from weldquay.interface import Settings
from weldquay.state.records import Job

_COST = attrgetter("queue_priority")


class QueueInputs(Protocol):
    """What the order reads of the decision module's tables."""

    now_ns: int
    shutdown_ns: float
    settings: Settings
    runtimes: RuntimeEstimator
    queued: dict[int, Job]


class QueueOrder:
    """Held jobs by what they are worth."""

    def __init__(self, tables: QueueInputs, price: Callable[[Job], float]) -> None:
        """price: the cost of a job; it notes on the job `last_start_ns`, and until when both hold.

        Both rest on the settings, on the dispatcher's end and, for a job without a hint, on learnt times.
        """
        self.tables, self.price = tables, price
        self.settings, self.end_ns = tables.settings, tables.shutdown_ns

    def ranked(self) -> list[Job]:
        """The jobs, the dearest first; of equals the one that was held first."""
        tables = self.tables
        now_ns, learnt, rows = tables.now_ns, tables.runtimes.version, list(tables.queued.values())
        if tables.settings is not self.settings or tables.shutdown_ns != self.end_ns:
            self.settings, self.end_ns = tables.settings, tables.shutdown_ns
            for job in rows:
                job.priority_valid_until_ns = -1
        for job in rows:
            if now_ns > job.priority_valid_until_ns or (
                job.estimate_version != learnt and not job.request.runtime_hint_ns
            ):
                job.queue_priority, job.estimate_version = self.price(job), learnt
        rows.sort(key=_COST, reverse=True)
        return rows
