"""Keep workers in groups whose members are interchangeable for every decision.

A worker is in exactly one of three states:

- in a group;
- individual, which means that each decision evaluates it by itself: it is warming up, slow, reserved or
  reinstated by operators, has a high failure score, or has an attempt that is late to start;
- in neither, while it is unhealthy or its load report does not state its free slots.

A worker is regrouped before the next decision after an event about it, or when its recheck is due.  In a
small fleet all workers are individual, since evaluating them costs less than maintaining groups.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from weldquay.candidates.calendar import RecheckCalendar
from weldquay.candidates.group_key import GroupKeyBuilder, WorkerGroupKey
from weldquay.candidates.inputs import CandidateInputs, CandidateLimits
from weldquay.interface import WorkerEntry
from weldquay.state.records import LOAD_REPORT_MAX_AGE_NS, Worker, WorkerGroup

MAX_SMALL_FLEET = 32  # up to this many ready workers, all are individual


class WorkerGroups:
    """The workers of one dispatcher, by group.

    Attributes:
        inputs: the state that the index reads.
        key_builder: computes the key of a worker's group.
        calendar: pending rechecks.
        is_small_fleet: all workers are individual.
        by_key: the groups.
        individual: workers outside all groups, by number.
        warming: ready workers that are warming up, by number.
        warming_in_list_order: the same, sorted; None: to be computed.
        probing: workers with a health check in flight, by number.
        not_slow: individual workers with a recent report that are not slow; None: to be computed.
        min_reported_load: lower bound of the load of the workers with a recent report, for this step.
        report_count: load reports so far.
        changed: numbers of the workers to be regrouped, in the order of the events.
        ready: the ready workers that were applied last.
        subset: those of them in the preferred subset.
        listed: the ready workers by number.
        entries: their endpoint list entries by number.
        settings: the settings that were applied last.
    """

    def __init__(
        self,
        inputs: CandidateInputs,
        limits: CandidateLimits,
        load: Callable[[Worker], float],
        slowness: Callable[[Worker], float],
    ) -> None:
        """Start without workers.

        Args:
            inputs: the state that the index reads.
            limits: limits of the decision module.
            load: returns the current load of a worker, in slots.
            slowness: returns the current slowness of a worker: the logarithm of its relative running time.
        """
        self.inputs = inputs
        self.key_builder = GroupKeyBuilder(inputs, limits, load, slowness)
        self.calendar = RecheckCalendar()
        self.is_small_fleet = True
        self.by_key: dict[WorkerGroupKey, WorkerGroup] = {}
        self.individual: dict[int, Worker] = {}
        self.warming: dict[int, Worker] = {}
        self.warming_in_list_order: list[Worker] | None = None
        self.probing: dict[int, Worker] = {}
        self.not_slow: list[Worker] | None = None
        self.min_reported_load = -math.inf
        self.report_count = 0
        self.changed: dict[int, None] = {}
        self.ready: list[Worker] = []
        self.subset: set[Worker] = set()
        self.listed: dict[int, Worker] = {}
        self.entries: dict[int, WorkerEntry] = {}
        self.settings = inputs.settings

    def mark_changed(self, worker_number: int) -> None:
        """Mark a worker to be regrouped before the next decision."""
        self.changed[worker_number] = None
        self.min_reported_load = -math.inf

    def record_probe(self, worker: Worker) -> None:
        """Mark a worker to be regrouped after a health check was sent to it; its load has not changed."""
        self.changed[worker.entry.worker] = None

    def record_load_report(self, worker: Worker) -> None:
        """Assign a sequence number to the worker's new load report, and mark the worker to be regrouped."""
        self.report_count += 1
        worker.report_sequence = self.report_count
        self.mark_changed(worker.entry.worker)

    def sync(self) -> None:
        """Regroup the workers that have changed by an event or in the course of time."""
        inputs = self.inputs
        now_ns = inputs.now_ns
        recent = inputs.recently_reported  # oldest report first
        if inputs.ready_workers is not self.ready or inputs.settings is not self.settings:
            self._apply_list()
        while recent and now_ns - recent[oldest := next(iter(recent))].reported_ns > LOAD_REPORT_MAX_AGE_NS:
            del recent[oldest]
            self.mark_changed(oldest)
        if self.is_small_fleet:
            self.changed.clear()
            inputs.scheduler.changed_workers.clear()
            return
        if self.calendar.entries and self.calendar.entries[0][0] <= now_ns:
            self._mark_due()
        if inputs.scheduler.changed_workers:
            self.changed.update(dict.fromkeys(inputs.scheduler.changed_workers))
            inputs.scheduler.changed_workers.clear()
        if inputs.runtimes.updated and self.key_builder.bounds.update():
            self.changed.update(dict.fromkeys(w.entry.worker for w in self.ready if w.in_flight))
        if self.changed:
            self._regroup_changed()

    def find_warming(self) -> None:
        """Find the warming workers of a small fleet; in a large fleet `sync` keeps them up to date."""
        now_ns = self.inputs.now_ns
        slow_start_ns = self.settings.slow_start_ns
        self.warming_in_list_order = None
        self.warming.clear()
        for worker_number, worker in self.listed.items():
            if worker.started_ns and now_ns < worker.started_ns + slow_start_ns:
                self.warming[worker_number] = worker

    def warming_workers(self) -> list[Worker]:
        """Return the workers that are warming up, in the order of the endpoint list."""
        if self.warming_in_list_order is None:
            self.warming_in_list_order = sorted(
                self.warming.values(), key=lambda worker: worker.list_position
            )
        return self.warming_in_list_order

    def _mark_due(self) -> None:
        """Mark the workers whose recheck is due."""
        for due_ns, worker_number in self.calendar.pop_due(self.inputs.now_ns):
            worker = self.inputs.workers.get(worker_number)
            if worker is not None and worker.recheck_ns == due_ns:
                self.mark_changed(worker_number)

    def _regroup_changed(self) -> None:
        """Regroup the marked workers."""
        self.not_slow = None
        for worker_number in self.changed:
            if (worker := self.inputs.workers.get(worker_number)) is not None:
                self._regroup(worker)
        self.changed.clear()

    def _apply_list(self) -> None:
        """Apply a new list of ready workers or new settings, and mark the workers that change with them."""
        inputs = self.inputs
        subset = set(inputs.subset)
        previous = self.listed
        previous_entries = self.entries if inputs.settings is self.settings else {}
        self.listed = {worker.entry.worker: worker for worker in inputs.ready_workers}
        self.entries = {worker_number: worker.entry for worker_number, worker in self.listed.items()}
        for position, worker in enumerate(inputs.ready_workers):
            worker.list_position = position
        for worker_number, entry in self.entries.items():
            if previous_entries.get(worker_number) is not entry:
                self.mark_changed(worker_number)
        for worker_number, worker in self.listed.items():
            if (worker in subset) != (worker in self.subset):
                self.mark_changed(worker_number)
        for worker_number, worker in previous.items():
            if self.listed.get(worker_number) is not worker:
                worker.list_position = -1
                self._remove(worker)
        self.settings = inputs.settings
        self.ready = inputs.ready_workers
        self.subset = subset
        self.probing = {
            worker_number: w for worker_number, w in self.probing.items() if worker_number in inputs.workers
        }
        self.warming_in_list_order = None
        is_small_fleet = len(self.ready) <= MAX_SMALL_FLEET
        if is_small_fleet or self.is_small_fleet:
            self._rebuild(is_small_fleet)

    def _rebuild(self, is_small_fleet: bool) -> None:
        """Discard all groups; in a small fleet all workers become individual, else all are regrouped."""
        self.is_small_fleet = is_small_fleet
        for worker in (*self.listed.values(), *self.inputs.recently_reported.values()):
            worker.group = None
            worker.recheck_ns = -1
            self.mark_changed(worker.entry.worker)
        self.by_key.clear()
        self.calendar.entries.clear()
        self.individual = dict(self.listed) if is_small_fleet else {}

    def _remove(self, worker: Worker) -> None:
        """Remove the worker from its group or from the individual workers."""
        worker_number = worker.entry.worker
        if (group := worker.group) is not None:
            group.remove(worker)
            if not group.members:
                del self.by_key[group.key]
        self.individual.pop(worker_number, None)
        if self.warming.pop(worker_number, None) is not None:
            self.warming_in_list_order = None

    def _regroup(self, worker: Worker) -> None:
        """Put the worker into its current group, if any, and schedule its next recheck."""
        worker_number = worker.entry.worker
        now_ns = self.inputs.now_ns
        self._remove(worker)
        if worker.probe_pending:
            self.probing[worker_number] = worker
        else:
            self.probing.pop(worker_number, None)
        if self.listed.get(worker_number) is not worker:
            return
        due_ns: float = math.inf
        warm_ns = worker.started_ns + self.settings.slow_start_ns
        is_warming = worker.started_ns != 0 and now_ns < warm_ns
        if is_warming:
            self.warming[worker_number] = worker
            self.warming_in_list_order = None
            due_ns = warm_ns
        healthy_from_ns = self.healthy_from_ns(worker)
        if healthy_from_ns > now_ns:
            due_ns = min(due_ns, healthy_from_ns)
        elif worker_number not in self.inputs.recently_reported or worker.free_slots is not None:
            key, valid_until_ns = self.key_builder.build(worker, is_warming, worker in self.subset)
            due_ns = min(due_ns, valid_until_ns)
            if key is None:
                self.individual[worker_number] = worker
            else:
                if (group := self.by_key.get(key)) is None:
                    group = self.by_key[key] = WorkerGroup(key)
                group.add(worker)
        self.calendar.schedule(worker, now_ns, due_ns)

    def healthy_from_ns(self, worker: Worker) -> float:
        """Return when the worker becomes healthy without an event; 0: it is healthy now."""
        if self.inputs.now_ns < worker.backoff_until_ns:
            return worker.backoff_until_ns
        if worker.is_ejected and self.settings.may_probe:
            return math.inf
        return worker.next_trial_ns if worker.is_ejected else 0
