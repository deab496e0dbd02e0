"""Keep the workers in groups whose members are equal for every decision.

A worker is in exactly one place: in a group; among the individual workers, which a decision asks one by one
(warming up, slow, with a high failure score, with an attempt that is late to start, reserved, or reinstated
by operators); or in neither while it is unhealthy or its report has no free slots.  An event about the
worker, or a moment of the calendar, has it regrouped before the next decision.  In a small fleet all workers
are individual, since asking them costs less than keeping groups.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from weldquay.candidates.calendar import RecheckCalendar
from weldquay.candidates.group_key import GroupKeys, WorkerGroupKey
from weldquay.candidates.inputs import CandidateInputs, CandidateLimits
from weldquay.interface import WorkerEntry
from weldquay.state.records import LOAD_REPORT_MAX_AGE_NS, Worker, WorkerGroup

MAX_SMALL_FLEET = 32  # workers up to which all are individual


class WorkerGroups:
    """The workers of one dispatcher, by group."""

    def __init__(
        self,
        tables: CandidateInputs,
        limits: CandidateLimits,
        load: Callable[[Worker], float],
        slowness: Callable[[Worker], float],
    ) -> None:
        """load, slowness: of a worker as of now, by the decision module."""
        self.tables = tables
        self.keys = GroupKeys(tables, limits, load, slowness)
        self.calendar = RecheckCalendar()
        self.is_small_fleet = True
        self.by_key: dict[WorkerGroupKey, WorkerGroup] = {}
        self.individual: dict[int, Worker] = {}
        self.warming: dict[int, Worker] = {}  # listed as ready, and warming up
        self.warming_in_list_order: list[Worker] | None = None  # None: to be computed
        self.probing: dict[int, Worker] = {}  # a health check is in flight
        self.not_slow: list[Worker] | None = None  # individual with a recent report; None: to be computed
        self.min_reported_load = -math.inf  # lower bound for this step's decisions
        self.report_count = 0
        self.changed: dict[int, None] = {}  # workers to be regrouped, in the order of the events
        # The endpoint list that was applied last: its ready workers and their entries.
        self.ready: list[Worker] = []
        self.subset: set[Worker] = set()
        self.listed: dict[int, Worker] = {}
        self.entries: dict[int, WorkerEntry] = {}
        self.settings = tables.settings

    def mark_changed(self, number: int) -> None:
        """Have a worker regrouped before the next decision."""
        self.changed[number] = None
        self.min_reported_load = -math.inf

    def probe_sent(self, worker: Worker) -> None:
        """Have a worker regrouped to which a health check was sent; its load has not changed."""
        self.changed[worker.entry.worker] = None

    def load_reported(self, worker: Worker) -> None:
        """Number the worker's load report, and have the worker regrouped."""
        self.report_count += 1
        worker.report_sequence = self.report_count
        self.mark_changed(worker.entry.worker)

    def sync(self) -> None:
        """Regroup the workers that events or time have changed."""
        tables = self.tables
        now_ns = tables.now_ns
        recent = tables.recently_reported  # in the order of the reports
        if tables.ready_workers is not self.ready or tables.settings is not self.settings:
            self._apply_list()
        while recent and now_ns - recent[oldest := next(iter(recent))].reported_ns > LOAD_REPORT_MAX_AGE_NS:
            del recent[oldest]
            self.mark_changed(oldest)
        if self.is_small_fleet:
            self.changed.clear()
            tables.scheduler.changed_workers.clear()
            return
        if self.calendar.entries and self.calendar.entries[0][0] <= now_ns:
            self._mark_due()
        if tables.scheduler.changed_workers:
            self.changed.update(dict.fromkeys(tables.scheduler.changed_workers))
            tables.scheduler.changed_workers.clear()
        if tables.runtimes.updated and self.keys.bounds.update():
            self.changed.update(dict.fromkeys(w.entry.worker for w in self.ready if w.in_flight))
        if self.changed:
            self._regroup_changed()

    def find_warming(self) -> None:
        """Find the warming workers of a small fleet; in a large one `sync` keeps them."""
        now_ns = self.tables.now_ns
        slow_start_ns = self.settings.slow_start_ns
        self.warming_in_list_order = None
        self.warming.clear()
        for number, worker in self.listed.items():
            if worker.started_ns and now_ns < worker.started_ns + slow_start_ns:
                self.warming[number] = worker

    def warming_workers(self) -> list[Worker]:
        """Return the workers that are warming up, in the order of the list."""
        if self.warming_in_list_order is None:
            self.warming_in_list_order = sorted(
                self.warming.values(), key=lambda worker: worker.list_position
            )
        return self.warming_in_list_order

    def _mark_due(self) -> None:
        """Mark the workers whose moment in the calendar has come."""
        for due_ns, number in self.calendar.pop_due(self.tables.now_ns):
            worker = self.tables.workers.get(number)
            if worker is not None and worker.recheck_ns == due_ns:
                self.mark_changed(number)

    def _regroup_changed(self) -> None:
        """Regroup the marked workers."""
        self.not_slow = None
        for number in self.changed:
            if (worker := self.tables.workers.get(number)) is not None:
                self._regroup(worker)
        self.changed.clear()

    def _apply_list(self) -> None:
        """Apply a new list of ready workers or new settings, and mark the workers that they change."""
        tables = self.tables
        subset = set(tables.subset)
        previous = self.listed
        previous_entries = self.entries if tables.settings is self.settings else {}
        self.listed = {worker.entry.worker: worker for worker in tables.ready_workers}
        self.entries = {number: worker.entry for number, worker in self.listed.items()}
        for position, worker in enumerate(tables.ready_workers):
            worker.list_position = position
        for number, entry in self.entries.items():
            if previous_entries.get(number) is not entry:
                self.mark_changed(number)
        for number, worker in self.listed.items():
            if (worker in subset) != (worker in self.subset):
                self.mark_changed(number)
        for number, worker in previous.items():
            if self.listed.get(number) is not worker:
                worker.list_position = -1
                self._remove(worker)
        self.settings = tables.settings
        self.ready = tables.ready_workers
        self.subset = subset
        self.probing = {number: w for number, w in self.probing.items() if number in tables.workers}
        self.warming_in_list_order = None
        is_small_fleet = len(self.ready) <= MAX_SMALL_FLEET
        if is_small_fleet or self.is_small_fleet:
            self._rebuild(is_small_fleet)

    def _rebuild(self, is_small_fleet: bool) -> None:
        """Make all workers individual in a small fleet; have all regrouped in one that has become large."""
        self.is_small_fleet = is_small_fleet
        for worker in (*self.listed.values(), *self.tables.recently_reported.values()):
            worker.group = None
            worker.recheck_ns = -1
            self.mark_changed(worker.entry.worker)
        self.by_key.clear()
        self.calendar.entries.clear()
        self.individual = dict(self.listed) if is_small_fleet else {}

    def _remove(self, worker: Worker) -> None:
        """Remove the worker from its place."""
        number = worker.entry.worker
        if (group := worker.group) is not None:
            group.remove(worker)
            if not group.members:
                del self.by_key[group.key]
        self.individual.pop(number, None)
        if self.warming.pop(number, None) is not None:
            self.warming_in_list_order = None

    def _regroup(self, worker: Worker) -> None:
        """Put the worker into its present place, and schedule when time alone may change that."""
        number = worker.entry.worker
        now_ns = self.tables.now_ns
        self._remove(worker)
        if worker.probe_pending:
            self.probing[number] = worker
        else:
            self.probing.pop(number, None)
        if self.listed.get(number) is not worker:
            return
        due_ns: float = math.inf
        warm_ns = worker.started_ns + self.settings.slow_start_ns
        is_warming = worker.started_ns != 0 and now_ns < warm_ns
        if is_warming:
            self.warming[number] = worker
            self.warming_in_list_order = None
            due_ns = warm_ns
        healthy_from_ns = self.healthy_from_ns(worker)
        if healthy_from_ns > now_ns:
            due_ns = min(due_ns, healthy_from_ns)
        elif number not in self.tables.recently_reported or worker.free_slots is not None:
            key, valid_until_ns = self.keys.key(worker, is_warming, worker in self.subset)
            due_ns = min(due_ns, valid_until_ns)
            if key is None:
                self.individual[number] = worker
            else:
                if (group := self.by_key.get(key)) is None:
                    group = self.by_key[key] = WorkerGroup(key)
                group.add(worker)
        self.calendar.schedule(worker, now_ns, due_ns)

    def healthy_from_ns(self, worker: Worker) -> float:
        """Return when the worker is healthy again if no event comes; 0: it is healthy now."""
        if self.tables.now_ns < worker.backoff_until_ns:
            return worker.backoff_until_ns
        if worker.is_ejected and self.settings.may_probe:
            return math.inf
        return worker.next_trial_ns if worker.is_ejected else 0
