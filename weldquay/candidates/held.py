"""The order of held jobs.  What was computed for a job is kept for as long as it holds."""

from __future__ import annotations

from collections.abc import Callable
from operator import attrgetter
from typing import Protocol

from weldquay.estimators.runtime import Running
from weldquay.interface import Settings
from weldquay.ledger.records import Job

_COST = attrgetter("cost")


class Tables(Protocol):
    """What the order reads of the decision module's tables."""

    now_ns: int
    end_ns: float
    settings: Settings
    running: Running
    held: dict[int, Job]


class Order:
    """Held jobs by what they are worth."""

    def __init__(self, tables: Tables, price: Callable[[Job], float]) -> None:
        """price: the cost of a job; it notes on the job `last_start_ns`, and until when both hold.

        Both rest on the settings, on the dispatcher's end and, for a job without a hint, on learnt times.
        """
        self.tables, self.price = tables, price
        self.settings, self.end_ns = tables.settings, tables.end_ns

    def ranked(self) -> list[Job]:
        """The jobs, the dearest first; of equals the one that was held first."""
        tables = self.tables
        now_ns, learnt, rows = tables.now_ns, tables.running.changes, list(tables.held.values())
        if tables.settings is not self.settings or tables.end_ns != self.end_ns:
            self.settings, self.end_ns = tables.settings, tables.end_ns
            for job in rows:
                job.priced_until_ns = -1
        for job in rows:
            if now_ns > job.priced_until_ns or (job.learnt != learnt and not job.request.hint_ns):
                job.cost, job.learnt = self.price(job), learnt
        rows.sort(key=_COST, reverse=True)
        return rows
