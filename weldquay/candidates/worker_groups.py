"""Which workers are alike for any draw: kept by events and a calendar instead of asked of all at each draw.

A worker is in one place: in a cell with those that no draw can tell apart; among the special ones, which a
draw asks one by one (cold, slow, in doubt, behind an attempt that has not started, held for a large job, put
back by operators); or in none, while it is unhealthy or its report tells no free slots.  An event that
touches a worker, or a moment in the calendar, has it sorted in anew before the next draw.  In a fleet of few
workers all of them are special: asking them costs less than keeping groups.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable

from weldquay.candidates.runtime_bounds import RuntimeLowerBounds
from weldquay.candidates.candidate_group import WorkerGroupKey, free_memory
from weldquay.candidates.inputs import CandidateLimits, CandidateInputs
from weldquay.interface import WorkerEntry
from weldquay.state.records import LOAD_REPORT_MAX_AGE_NS, WorkerGroup, Job, Worker


FEW = 32  # workers up to which all are asked one by one


class WorkerGroups:
    """The workers of one dispatcher, by what decides over them."""

    def __init__(
        self,
        tables: CandidateInputs,
        limits: CandidateLimits,
        load: Callable[[Worker], float],
        drag: Callable[[Worker], float],
        takes_ns: Callable[[Job, Worker], float],
    ) -> None:
        """load, drag: the decision module's judgements of a worker as of now; takes_ns: of a job there."""
        self.tables, self.limits, self.load, self.drag, self.takes_ns = tables, limits, load, drag, takes_ns
        self.floors = RuntimeLowerBounds(tables.runtimes)
        self.few = True
        self.cells: dict[WorkerGroupKey, WorkerGroup] = {}
        self.special: dict[int, Worker] = {}
        self.warming: dict[int, Worker] = {}  # listed ready and not yet warm
        self.cold_rows: list[Worker] | None = None  # the same, in the order of the list
        self.probing: dict[int, Worker] = {}  # a probe is out
        self.told: list[Worker] | None = None  # what `_quick` found
        self.slow: set[Worker] = set()  # left out of this step's draws
        self.least = -math.inf  # no worker that reported has a lower load in this step's draws
        self.usable_count = 0  # workers in health that reported lately, without the slow ones
        self.reports = 0  # heard so far
        self.changed: dict[int, None] = {}
        self.calendar: list[tuple[int, int]] = []  # heap of (when to sort a worker in anew, its number)
        # The ready workers of the list that was followed last, its own ones, and their lines in it.
        self.ready: list[Worker] = []
        self.home: set[Worker] = set()
        self.listed: dict[int, Worker] = {}
        self.entries: dict[int, WorkerEntry] = {}
        self.settings = tables.settings

    def mark_changed(self, number: int) -> None:
        """Something about a worker has changed."""
        self.changed[number], self.least = None, -math.inf

    def probe_sent(self, worker: Worker) -> None:
        """A probe goes out to a worker: that leaves its load as it is."""
        self.changed[worker.entry.worker] = None

    def load_reported(self, worker: Worker) -> None:
        """A worker has reported."""
        self.reports += 1
        worker.report_sequence = self.reports
        self.mark_changed(worker.entry.worker)

    def sync(self) -> None:
        """Sort in anew whatever an event or time has changed."""
        tables, now, news = self.tables, self.tables.now_ns, self.tables.recently_reported
        if tables.ready_workers is not self.ready or tables.settings is not self.settings:
            self._relist()
        while news and now - news[first := next(iter(news))].reported_ns > LOAD_REPORT_MAX_AGE_NS:
            del news[first]
            self.mark_changed(first)
        if self.few:
            self.changed.clear()
            tables.scheduler.changed_workers.clear()
            return
        while self.calendar and self.calendar[0][0] <= now:
            due_ns, number = heapq.heappop(self.calendar)
            if (worker := tables.workers.get(number)) is not None and worker.recheck_ns == due_ns:
                self.mark_changed(number)
        if tables.scheduler.changed_workers:
            self.changed.update(dict.fromkeys(tables.scheduler.changed_workers))
            tables.scheduler.changed_workers.clear()
        if tables.runtimes.updated and self.floors.follow():
            self.changed.update(dict.fromkeys(w.entry.worker for w in self.ready if w.in_flight))
        if self.changed:
            self.told = None
            for number in self.changed:
                if (worker := tables.workers.get(number)) is not None:
                    self._sort_in(worker)
            self.changed.clear()

    def _relist(self) -> None:
        """Follow a new list of ready workers: what it changes is sorted in anew."""
        tables, home, before, entries = self.tables, set(self.tables.subset), self.listed, self.entries
        self.listed = {worker.entry.worker: worker for worker in tables.ready_workers}
        self.entries = {number: worker.entry for number, worker in self.listed.items()}
        if tables.settings is not self.settings:
            entries = {}
        for place, worker in enumerate(tables.ready_workers):
            worker.list_position = place
        for number, entry in self.entries.items():
            if entries.get(number) is not entry:
                self.mark_changed(number)
        for number, worker in self.listed.items():
            if (worker in home) != (worker in self.home):
                self.mark_changed(number)
        for number, worker in before.items():
            if self.listed.get(number) is not worker:
                worker.list_position = -1
                self._take_out(worker)
        self.settings, self.ready, self.home = tables.settings, tables.ready_workers, home
        self.probing = {number: w for number, w in self.probing.items() if number in tables.workers}
        self.cold_rows, few = None, len(self.ready) <= FEW
        if few or self.few:
            self._change_size(few)

    def _change_size(self, few: bool) -> None:
        """Keep all workers as special ones while they are few, and sort all in once they are more."""
        self.few, self.special = few, {}
        for worker in (*self.listed.values(), *self.tables.recently_reported.values()):
            worker.group, worker.recheck_ns = None, -1
            self.mark_changed(worker.entry.worker)
        self.cells.clear()
        self.calendar.clear()
        if few:
            self.special.update(self.listed)

    def _take_out(self, worker: Worker) -> None:
        number = worker.entry.worker
        if (cell := worker.group) is not None:
            cell.remove(worker)
            if not cell.members:
                del self.cells[cell.key]
        self.special.pop(number, None)
        if self.warming.pop(number, None) is not None:
            self.cold_rows = None

    def _sort_in(self, worker: Worker) -> None:
        """Put a worker where it belongs now, and note when that may change by time alone."""
        number, now = worker.entry.worker, self.tables.now_ns
        self._take_out(worker)
        if worker.probe_pending:
            self.probing[number] = worker
        else:
            self.probing.pop(number, None)
        if self.listed.get(number) is not worker:
            return
        warm_ns = worker.started_ns + self.settings.slow_start_ns
        due_ns: float = math.inf
        if worker.started_ns and now < warm_ns:
            self.warming[number], self.cold_rows, due_ns = worker, None, warm_ns
        if (well_ns := self._well_ns(worker)) > now:
            due_ns = min(due_ns, well_ns)
        elif number not in self.tables.recently_reported or worker.free_slots is not None:
            key, until_ns = self._key(worker)
            due_ns = min(due_ns, until_ns)
            if key is None:
                self.special[number] = worker
            else:
                if (cell := self.cells.get(key)) is None:
                    cell = self.cells[key] = WorkerGroup(key)
                cell.add(worker)
        # An earlier moment that is noted already will look at it again, and note the next.
        if due_ns < math.inf and not now < worker.recheck_ns <= due_ns:
            worker.recheck_ns = int(due_ns)
            heapq.heappush(self.calendar, (worker.recheck_ns, number))

    def _well_ns(self, worker: Worker) -> float:
        """When a worker counts as healthy again, as far as time alone brings that; 0: it does."""
        if self.tables.now_ns < worker.backoff_until_ns:
            return worker.backoff_until_ns
        if worker.is_ejected and self.settings.may_probe:
            return math.inf
        return worker.next_trial_ns if worker.is_ejected else 0

    def _key(self, worker: Worker) -> tuple[WorkerGroupKey | None, float]:
        """The key of a healthy worker, None where it is special; and until when that holds."""
        now, number, entry = self.tables.now_ns, worker.entry.worker, worker.entry
        reported, lapses_ns = (
            number in self.tables.recently_reported,
            worker.reported_ns + LOAD_REPORT_MAX_AGE_NS + 1,
        )
        if (
            number in self.warming
            or worker.failure_score > self.limits.doubt
            or number in self.tables.reinstated
            or number in self.tables.scheduler.by_worker
            or (worker.estimated_slots < 0.5 and (reported or worker.estimated_slots > 0))
        ):
            return None, math.inf
        if reported and now >= lapses_ns:
            return None, math.inf
        if not reported and worker.free_slots is not None and now < lapses_ns:
            return None, lapses_ns
        if not reported and worker.probe_pending and now < worker.next_probe_ns:
            return None, worker.next_probe_ns
        if (until_ns := self._quick_ns(worker)) <= now:
            return None, math.inf
        asks, size = (
            self.settings.may_probe and self.settings.reports_in_probes,
            round(worker.estimated_slots),
        )
        if not reported:
            key = WorkerGroupKey(
                False,
                False,
                False,
                entry.kind,
                entry.zone,
                0.0,
                size if worker.estimated_slots else -1,
                worker.own_slots,
                None,
            )
            return key, until_ns
        stale_ns = worker.reported_ns + self.limits.fresh_ns + 1
        if fresh := asks and now < stale_ns:
            until_ns = min(until_ns, stale_ns)
        key = WorkerGroupKey(
            True,
            fresh,
            asks and worker in self.home,
            entry.kind,
            entry.zone,
            self.load(worker),
            size,
            0.0,
            free_memory(worker),
        )
        return key, min(until_ns, lapses_ns)

    def _quick_ns(self, worker: Worker) -> float:
        """Until when the worker surely is not slow, and no attempt there is late in telling its start."""
        until_ns, limits = math.inf, self.limits
        if worker.slowness[0] >= limits.slow and self.drag(worker) >= limits.slow:
            return 0
        for attempt in worker.in_flight.values():
            if attempt.started_ns:
                usual_ns = self.floors.usual_ns(attempt) + limits.cover_ns
                due_ns = attempt.started_ns + math.exp(limits.slow) * usual_ns - limits.cover_ns - 2
                until_ns = min(until_ns, due_ns)
            elif self.settings.reports_start:
                until_ns = min(until_ns, attempt.sent_ns + limits.start_ns + 1)
        return until_ns
