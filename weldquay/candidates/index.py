"""What a draw asks of the workers, answered from their cells."""

from __future__ import annotations

import math
from collections.abc import Callable

from weldquay.candidates.worker_groups import WorkerGroups
from weldquay.candidates.candidate_group import CandidateGroup, has_memory
from weldquay.candidates.availability import availability
from weldquay.interface import DeduplicationScope
from weldquay.interface import RequestReceived
from weldquay.state.records import WorkerGroup, Job, Worker
from weldquay.reservations.timetable import Timetable


class CandidateIndex(WorkerGroups):
    """The candidates for a job."""

    def begin_step(self) -> None:
        """Start the draws of a step: the slow are left out for all of it, unless most workers are."""
        self.sync()
        self.least = -math.inf
        told, slow = self._reported(), self.limits.slow
        self.slow = {w for w in told if (w.in_flight or w.slowness[0] >= slow) and self.drag(w) >= slow}
        whole = len(told) + sum([len(cell.members) for key, cell in self.cells.items() if key.is_reported])
        self.usable_count = whole - len(self.slow)
        if 2 * self.usable_count < whole:
            self.slow, self.usable_count = set(), whole
        if self.few:
            self.cold_rows = None
            now, warm_ns, listed = self.tables.now_ns, self.settings.slow_start_ns, self.listed.items()
            self.warming = {
                number: w for number, w in listed if w.started_ns and now < w.started_ns + warm_ns
            }
        self.told = [worker for worker in told if worker not in self.slow] if self.slow else told
        if len(self.tables.queued) > 1:  # several draws ask for it
            loads = [key.load for key in self.cells if key.is_reported] + [
                self.load(worker) for worker in told
            ]
            self.least = min(loads, default=math.inf)

    def _well(self, worker: Worker) -> bool:
        """True where a special worker is in health; of a large fleet those that are not are in no place."""
        return not self.few or self._well_ns(worker) <= self.tables.now_ns

    def _reported(self) -> list[Worker]:
        """The special workers that reported lately and may be drawn."""
        news, special = self.tables.recently_reported, self.special.items()
        told = [worker for number, worker in special if number in news]
        return [w for w in told if w.free_slots is not None and self._well(w)] if self.few else told

    def all_healthy_reported(self) -> list[Worker]:
        """The workers in health that reported lately, in that order, without the slow ones."""
        found = [worker for key, cell in self.cells.items() if key.is_reported for worker in cell.members]
        return sorted([*found, *self._quick()], key=lambda worker: worker.report_sequence)

    def timetable(self, worker: Worker) -> Timetable:
        """A worker's room over time."""
        tables = self.tables
        size = round(worker.estimated_slots if worker.estimated_slots >= 0.5 else tables.mean_slots)
        mean_ns = tables.runtimes.relative_runtime(worker.entry.kind) * tables.runtimes.mean_runtime_ns()
        tells_start = tables.settings.reports_start
        return availability(
            worker, size, tables.now_ns, tells_start, mean_ns, lambda job: self.takes_ns(job, worker)
        )

    def utilization(self, workers: list[Worker]) -> float:
        """The part of the workers' slots that is in use."""
        free = sum(max(0.0, -self.load(worker)) for worker in workers)
        return 1 - free / max(1.0, free, sum(worker.estimated_slots for worker in workers))

    def probed_workers(self) -> list[Worker]:
        """Workers that a probe is out to: those that reported lately, else those that are listed."""
        news = self.tables.recently_reported
        if self.few:
            return [worker for worker in news.values() if worker.probe_pending] or [
                worker for worker in self.ready if worker.probe_pending
            ]
        out = self.probing.items()
        return [worker for number, worker in out if number in news] or [
            worker for _, worker in out if worker.list_position >= 0
        ]

    def warming_workers(self) -> list[Worker]:
        """The workers that are not yet warm, in the order of the list."""
        if self.cold_rows is None:
            self.cold_rows = sorted(self.warming.values(), key=lambda worker: worker.list_position)
        return self.cold_rows

    def eligible(self, job: Job, suits: Callable[[Worker], bool]) -> list[Worker]:
        """All workers of the list that the job could use, in its order, whatever their load and health."""
        fits = dict[tuple[int, int], bool]()
        if (
            job.possibly_executed is not None
            and job.class_settings.deduplication_scope is DeduplicationScope.CELL
        ):
            return [worker for worker in self.ready if suits(worker)]
        return [
            worker
            for worker in self.ready
            if (suits(worker) if worker.group is None else self._fits(fits, worker.group, suits))
        ]

    def reported_candidates(self, job: Job, suits: Callable[[Worker], bool]) -> list[CandidateGroup]:
        """The workers that reported lately and may take the job; suits: whether it is of use there at all."""
        self.sync()
        each, need = (
            job.possibly_executed is not None
            and job.class_settings.deduplication_scope is DeduplicationScope.CELL,
            job.request,
        )
        slots, memory, fits, found = (
            need.slots,
            need.memory,
            dict[tuple[int, int], bool](),
            list[CandidateGroup](),
        )
        if self.least + slots > 0.5:
            return found
        for key, cell in self.cells.items():
            if not key.is_reported or key.load + slots > 0.5:
                continue
            members = cell.members
            if each:  # its key does not tell a worker's cell
                members = [worker for worker in members if suits(worker)]
            elif not self._fits(fits, cell, suits):
                continue
            if key.memory is not None and memory > key.memory:
                members = [worker for worker in members if has_memory(worker, memory)]
            if members:
                found.append(CandidateGroup(members, key.load, True, key.is_fresh, key.in_subset))
        now, fresh_ns = self.tables.now_ns, self.limits.fresh_ns
        for worker in self._quick():
            if (load := self.load(worker)) + slots <= 0.5 and suits(worker) and has_memory(worker, memory):
                fresh = now - worker.reported_ns <= fresh_ns
                found.append(CandidateGroup([worker], load, True, fresh, worker in self.home, True))
        return found

    def _quick(self) -> list[Worker]:
        """The special workers that reported lately, without the slow ones."""
        if self.told is None:
            self.told = [worker for worker in self._reported() if worker not in self.slow]
        return self.told

    def unreported_candidates(
        self, need: RequestReceived, suits: Callable[[Worker], bool], limit: float
    ) -> list[CandidateGroup]:
        """The workers without news that may have room: their load with the job is at most the limit."""
        fits, found = dict[tuple[int, int], bool](), list[CandidateGroup]()
        for key, cell in self.cells.items():
            if key.is_reported or (load := self.load(cell.members[0])) + need.slots > limit:
                continue
            if self._fits(fits, cell, suits):
                found.append(CandidateGroup(cell.members, load, False))
        now = self.tables.now_ns
        for worker in self.special.values():
            if worker.entry.worker in self.tables.recently_reported or not self._well(worker):
                continue
            if worker.probe_pending and now < worker.next_probe_ns:
                continue
            if (load := self.load(worker)) + need.slots <= limit and suits(worker):
                found.append(CandidateGroup([worker], load, False, is_individual=True))
        return found

    @staticmethod
    def _fits(fits: dict[tuple[int, int], bool], cell: WorkerGroup, suits: Callable[[Worker], bool]) -> bool:
        """What a job asks of a worker in a cell is of its kind and zone alone: it is asked once for each."""
        like = cell.key.kind, cell.key.zone
        if (fit := fits.get(like)) is None:
            fit = fits[like] = suits(cell.members[0])
        return fit
