"""Find the candidate workers for a request."""

from __future__ import annotations

import math
from collections.abc import Callable

from weldquay.candidates.availability import worker_timetable
from weldquay.candidates.candidate_group import CandidateGroup, has_memory
from weldquay.candidates.inputs import CandidateInputs, CandidateLimits
from weldquay.candidates.worker_groups import WorkerGroups
from weldquay.interface import DeduplicationScope, RequestReceived
from weldquay.reservations.timetable import Timetable
from weldquay.state.records import Job, Worker, WorkerGroup

MAX_CANDIDATE_LOAD = 0.5  # maximum load in slots, including the job's; negative while slots are free


class CandidateIndex:
    """Finds candidate workers. `begin_step` has to be called before the decisions of a step.

    Attributes:
        inputs: the state that the index reads.
        limits: limits of the decision module.
        groups: the workers by group.
        slow: workers that are excluded in this step.
        usable_count: healthy workers with a recent load report that are not slow.
        changed: numbers of the workers to be regrouped.
        warming: workers that are warming up, by number.
    """

    def __init__(
        self,
        inputs: CandidateInputs,
        limits: CandidateLimits,
        load: Callable[[Worker], float],
        slowness: Callable[[Worker], float],
        expected_run_ns: Callable[[Job, Worker], float],
    ) -> None:
        """Start without workers.

        Args:
            inputs: the state that the index reads.
            limits: limits of the decision module.
            load: returns the current load of a worker, in slots.
            slowness: returns the current slowness of a worker: the logarithm of its relative running time.
            expected_run_ns: returns the expected running time of a job at a worker, in nanoseconds.
        """
        self.inputs = inputs
        self.limits = limits
        self.load = load
        self.slowness = slowness
        self.expected_run_ns = expected_run_ns
        self.groups = groups = WorkerGroups(inputs, limits, load, slowness)
        self.slow: set[Worker] = set()
        self.usable_count = 0
        # Aliases on a hot path: events and decisions use these often.
        self.changed = groups.changed
        self.warming = groups.warming
        self.mark_changed = groups.mark_changed
        self.record_probe = groups.record_probe
        self.record_load_report = groups.record_load_report
        self.warming_workers = groups.warming_workers

    def begin_step(self) -> None:
        """Regroup changed workers, and exclude the slow ones unless more than half of all are slow."""
        groups = self.groups
        groups.sync()
        groups.min_reported_load = -math.inf
        reported = self._individual_reported()
        max_slowness = self.limits.slow_log_ratio
        self.slow = {
            worker
            for worker in reported
            if (worker.in_flight or worker.slowness[0] >= max_slowness)
            and self.slowness(worker) >= max_slowness
        }
        grouped_count = sum([len(group.members) for key, group in groups.by_key.items() if key.is_reported])
        total_count = len(reported) + grouped_count
        self.usable_count = total_count - len(self.slow)
        if 2 * self.usable_count < total_count:
            self.slow = set()
            self.usable_count = total_count
        if groups.is_small_fleet:
            groups.find_warming()
        groups.not_slow = (
            [worker for worker in reported if worker not in self.slow] if self.slow else reported
        )
        if len(self.inputs.queued) > 1:  # computing the minimum pays off from the second request on
            loads = [key.load for key in groups.by_key if key.is_reported]
            loads += [self.load(worker) for worker in reported]
            groups.min_reported_load = min(loads, default=math.inf)

    def _is_healthy(self, worker: Worker) -> bool:
        """Return True if an individual worker is healthy; in a large fleet all individual workers are."""
        groups = self.groups
        return not groups.is_small_fleet or groups.healthy_from_ns(worker) <= self.inputs.now_ns

    def _individual_reported(self) -> list[Worker]:
        """Return the healthy individual workers with a recent report."""
        recent = self.inputs.recently_reported
        groups = self.groups
        reported = [worker for worker_number, worker in groups.individual.items() if worker_number in recent]
        if not groups.is_small_fleet:
            return reported
        return [worker for worker in reported if worker.free_slots is not None and self._is_healthy(worker)]

    def _not_slow(self) -> list[Worker]:
        """Return the individual workers with a recent report that are not slow."""
        groups = self.groups
        if groups.not_slow is None:
            groups.not_slow = [worker for worker in self._individual_reported() if worker not in self.slow]
        return groups.not_slow

    def all_healthy_reported(self) -> list[Worker]:
        """Return the healthy, not slow workers with a recent report, in the order of the reports."""
        grouped = [
            worker for key, group in self.groups.by_key.items() if key.is_reported for worker in group.members
        ]
        return sorted([*grouped, *self._not_slow()], key=lambda worker: worker.report_sequence)

    def timetable(self, worker: Worker) -> Timetable:
        """Return the expected use of the worker's slots and memory over time."""
        return worker_timetable(worker, self.inputs, self.expected_run_ns)

    def utilization(self, workers: list[Worker]) -> float:
        """Return the fraction of the workers' slots that are in use."""
        free = sum(max(0.0, -self.load(worker)) for worker in workers)
        return 1 - free / max(1.0, free, sum(worker.estimated_slots for worker in workers))

    def probed_workers(self) -> list[Worker]:
        """Return the workers with a health check in flight.

        Only workers with a recent report are returned, or listed workers if there are none of those.
        """
        recent = self.inputs.recently_reported
        groups = self.groups
        if groups.is_small_fleet:
            return [worker for worker in recent.values() if worker.probe_pending] or [
                worker for worker in groups.ready if worker.probe_pending
            ]
        return [worker for worker_number, worker in groups.probing.items() if worker_number in recent] or [
            worker for worker in groups.probing.values() if worker.list_position >= 0
        ]

    def eligible(self, job: Job, is_eligible: Callable[[Worker], bool]) -> list[Worker]:
        """Return all listed workers that may run the job, in list order, regardless of load and health."""
        ready = self.groups.ready
        if _is_bound_to_cell(job):
            return [worker for worker in ready if is_eligible(worker)]
        results = dict[tuple[int, int], bool]()
        return [
            worker
            for worker in ready
            if (
                is_eligible(worker)
                if worker.group is None
                else _is_group_eligible(results, worker.group, is_eligible)
            )
        ]

    def reported_candidates(self, job: Job, is_eligible: Callable[[Worker], bool]) -> list[CandidateGroup]:
        """Return the workers with a recent report and free capacity that may run the job.

        Args:
            job: the job.
            is_eligible: returns whether a worker may run the job, regardless of load and memory.
        """
        self.groups.sync()
        slots = job.request.slots
        if self.groups.min_reported_load + slots > MAX_CANDIDATE_LOAD:
            return []
        candidates = self._grouped_candidates(job, is_eligible)
        memory = job.request.memory
        now_ns = self.inputs.now_ns
        for worker in self._not_slow():
            load = self.load(worker)
            if load + slots > MAX_CANDIDATE_LOAD or not is_eligible(worker) or not has_memory(worker, memory):
                continue
            is_fresh = now_ns - worker.reported_ns <= self.limits.fresh_max_age_ns
            in_subset = worker in self.groups.subset
            candidates.append(CandidateGroup([worker], load, True, is_fresh, in_subset, True))
        return candidates

    def _grouped_candidates(self, job: Job, is_eligible: Callable[[Worker], bool]) -> list[CandidateGroup]:
        """Return the groups with a recent report and free capacity that may run the job."""
        is_bound_to_cell = job.possibly_executed is not None and _is_bound_to_cell(job)
        slots = job.request.slots
        memory = job.request.memory
        results = dict[tuple[int, int], bool]()
        candidates = list[CandidateGroup]()
        for key, group in self.groups.by_key.items():
            if not key.is_reported or key.load + slots > MAX_CANDIDATE_LOAD:
                continue
            members = group.members
            if is_bound_to_cell:  # members of a group may be in different cells
                members = [worker for worker in members if is_eligible(worker)]
            elif not _is_group_eligible(results, group, is_eligible):
                continue
            if key.memory is not None and memory > key.memory:  # the key is rounded down to whole units
                members = [worker for worker in members if has_memory(worker, memory)]
            if members:
                candidates.append(CandidateGroup(members, key.load, True, key.is_fresh, key.in_subset))
        return candidates

    def unreported_candidates(
        self, request: RequestReceived, is_eligible: Callable[[Worker], bool], max_load: float
    ) -> list[CandidateGroup]:
        """Return the workers without a recent report whose load with the job is at most max_load."""
        slots = request.slots
        results = dict[tuple[int, int], bool]()
        candidates = list[CandidateGroup]()
        for key, group in self.groups.by_key.items():
            if key.is_reported or (load := self.load(group.members[0])) + slots > max_load:
                continue
            if _is_group_eligible(results, group, is_eligible):
                candidates.append(CandidateGroup(group.members, load, False))
        now_ns = self.inputs.now_ns
        recent = self.inputs.recently_reported
        for worker_number, worker in self.groups.individual.items():
            if worker_number in recent or not self._is_healthy(worker):
                continue
            if worker.probe_pending and now_ns < worker.next_probe_ns:
                continue
            if (load := self.load(worker)) + slots <= max_load and is_eligible(worker):
                candidates.append(CandidateGroup([worker], load, False, is_individual=True))
        return candidates


def _is_bound_to_cell(job: Job) -> bool:
    """Return True if the job may have been executed and may be repeated only in the cell of that attempt."""
    return (
        job.possibly_executed is not None
        and job.class_settings.deduplication_scope is DeduplicationScope.CELL
    )


def _is_group_eligible(
    results: dict[tuple[int, int], bool], group: WorkerGroup, is_eligible: Callable[[Worker], bool]
) -> bool:
    """Return whether the members of a group may run the job.

    Eligibility depends only on machine kind and zone, so `results` caches it by both.
    """
    kind_and_zone = group.key.kind, group.key.zone
    if (result := results.get(kind_and_zone)) is None:
        result = results[kind_and_zone] = is_eligible(group.members[0])
    return result
