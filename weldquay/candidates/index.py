"""Which workers may be candidates: kept by events and a calendar instead of asked of all at each draw.

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

from weldquay.candidates.floors import Floors
from weldquay.candidates.group import Group, Key, free_memory, holds
from weldquay.candidates.tables import Limits, Tables
from weldquay.interface import Group as Kin
from weldquay.interface import Request, WorkerEntry
from weldquay.ledger.records import LAPSE_NS, Cell, Job, Worker


FEW = 32  # workers up to which all are asked one by one


class Index:
    """The workers of one dispatcher, by what decides over them."""

    def __init__(
        self,
        tables: Tables,
        limits: Limits,
        load: Callable[[Worker], float],
        drag: Callable[[Worker], float],
    ) -> None:
        """load, drag: the decision module's judgements of a worker as of now."""
        self.tables, self.limits, self.load, self.drag = tables, limits, load, drag
        self.floors = Floors(tables.running)
        self.few = True
        self.cells: dict[Key, Cell] = {}
        self.special: dict[int, Worker] = {}
        self.cold: dict[int, Worker] = {}  # listed ready and not yet warm
        self.cold_rows: list[Worker] | None = None  # the same, in the order of the list
        self.probing: dict[int, Worker] = {}  # a probe is out
        self.told: list[Worker] | None = None  # what `_quick` found
        self.slow: set[Worker] = set()  # left out of this step's draws
        self.least = -math.inf  # no worker that reported has a lower load in this step's draws
        self.usable = 0  # workers in health that reported lately, without the slow ones
        self.reports = 0  # heard so far
        self.touched: dict[int, None] = {}
        self.calendar: list[tuple[int, int]] = []  # heap of (when to sort a worker in anew, its number)
        self.ready: list[Worker] = []
        self.home: set[Worker] = set()
        self.listed: dict[
            int, Worker
        ] = {}  # the same, and the lines of the list by which they were sorted in
        self.entries: dict[int, WorkerEntry] = {}
        self.settings = tables.settings

    def touch(self, number: int) -> None:
        """Something about a worker has changed."""
        self.touched[number], self.least = None, -math.inf

    def probed(self, worker: Worker) -> None:
        """A probe goes out to a worker: that leaves its load as it is."""
        self.touched[worker.entry.worker] = None

    def heard(self, worker: Worker) -> None:
        """A worker has reported."""
        self.reports += 1
        worker.heard = self.reports
        self.touch(worker.entry.worker)

    # --- keeping up ---

    def begin(self) -> None:
        """Start the draws of a step: the slow are left out for all of it, unless most workers are."""
        self.sync()
        self.least = -math.inf
        told, slow = self._reported(), self.limits.slow
        self.slow = {w for w in told if (w.live or w.drag[0] >= slow) and self.drag(w) >= slow}
        whole = len(told) + sum([len(cell.members) for key, cell in self.cells.items() if key.reported])
        self.usable = whole - len(self.slow)
        if 2 * self.usable < whole:
            self.slow, self.usable = set(), whole
        if self.few:
            self.cold_rows = None
            now, warm_ns, listed = self.tables.now_ns, self.settings.warm_after_ns, self.listed.items()
            self.cold = {number: w for number, w in listed if w.started_ns and now < w.started_ns + warm_ns}
        self.told = [worker for worker in told if worker not in self.slow] if self.slow else told
        if len(self.tables.held) > 1:  # several draws ask for it
            loads = [key.load for key in self.cells if key.reported] + [self.load(worker) for worker in told]
            self.least = min(loads, default=math.inf)

    def sync(self) -> None:
        """Sort in anew whatever an event or time has changed."""
        tables, now, news = self.tables, self.tables.now_ns, self.tables.news
        if tables.ready is not self.ready or tables.settings is not self.settings:
            self._relist()
        while news and now - news[first := next(iter(news))].report_ns > LAPSE_NS:
            del news[first]
            self.touch(first)
        if self.few:
            self.touched.clear()
            tables.planner.moved.clear()
            return
        while self.calendar and self.calendar[0][0] <= now:
            due_ns, number = heapq.heappop(self.calendar)
            if (worker := tables.workers.get(number)) is not None and worker.check_ns == due_ns:
                self.touch(number)
        if tables.planner.moved:
            self.touched.update(dict.fromkeys(tables.planner.moved))
            tables.planner.moved.clear()
        if tables.running.learnt and self.floors.follow():
            self.touched.update(dict.fromkeys(w.entry.worker for w in self.ready if w.live))
        if self.touched:
            self.told = None
            for number in self.touched:
                if (worker := tables.workers.get(number)) is not None:
                    self._sort_in(worker)
            self.touched.clear()

    def _relist(self) -> None:
        """Follow a new list of ready workers: what it changes is sorted in anew."""
        tables, home, before, entries = self.tables, set(self.tables.home), self.listed, self.entries
        self.listed = {worker.entry.worker: worker for worker in tables.ready}
        self.entries = {number: worker.entry for number, worker in self.listed.items()}
        if tables.settings is not self.settings:
            entries = {}
        for place, worker in enumerate(tables.ready):
            worker.place = place
        for number, entry in self.entries.items():
            if entries.get(number) is not entry:
                self.touch(number)
        for number, worker in self.listed.items():
            if (worker in home) != (worker in self.home):
                self.touch(number)
        for number, worker in before.items():
            if self.listed.get(number) is not worker:
                worker.place = -1
                self._take_out(worker)
        self.settings, self.ready, self.home = tables.settings, tables.ready, home
        self.probing = {number: w for number, w in self.probing.items() if number in tables.workers}
        self.cold_rows, few = None, len(self.ready) <= FEW
        if few or self.few:
            self._change_size(few)

    def _change_size(self, few: bool) -> None:
        """Keep all workers as special ones while they are few, and sort all in once they are more."""
        self.few, self.special = few, {}
        for worker in (*self.listed.values(), *self.tables.news.values()):
            worker.cell, worker.check_ns = None, -1
            self.touch(worker.entry.worker)
        self.cells.clear()
        self.calendar.clear()
        if few:
            self.special.update(self.listed)

    def _take_out(self, worker: Worker) -> None:
        number = worker.entry.worker
        if (cell := worker.cell) is not None:
            cell.remove(worker)
            if not cell.members:
                del self.cells[cell.key]
        self.special.pop(number, None)
        if self.cold.pop(number, None) is not None:
            self.cold_rows = None

    def _sort_in(self, worker: Worker) -> None:
        """Put a worker where it belongs now, and note when that may change by time alone."""
        number, now = worker.entry.worker, self.tables.now_ns
        self._take_out(worker)
        if worker.probe_out:
            self.probing[number] = worker
        else:
            self.probing.pop(number, None)
        if self.listed.get(number) is not worker:
            return
        warm_ns = worker.started_ns + self.settings.warm_after_ns
        due_ns: float = math.inf
        if worker.started_ns and now < warm_ns:
            self.cold[number], self.cold_rows, due_ns = worker, None, warm_ns
        if (well_ns := self._well_ns(worker)) > now:
            due_ns = min(due_ns, well_ns)
        elif number not in self.tables.news or worker.free is not None:
            key, until_ns = self._key(worker)
            due_ns = min(due_ns, until_ns)
            if key is None:
                self.special[number] = worker
            else:
                if (cell := self.cells.get(key)) is None:
                    cell = self.cells[key] = Cell(key)
                cell.add(worker)
        # An earlier moment that is noted already will look at it again, and note the next.
        if due_ns < math.inf and not now < worker.check_ns <= due_ns:
            worker.check_ns = int(due_ns)
            heapq.heappush(self.calendar, (worker.check_ns, number))

    def _well_ns(self, worker: Worker) -> float:
        """When a worker counts as healthy again, as far as time alone brings that; 0: it does."""
        if self.tables.now_ns < worker.rest_ns:
            return worker.rest_ns
        if worker.suspect and self.settings.may_probe:
            return math.inf
        return worker.trial_ns if worker.suspect else 0

    def _key(self, worker: Worker) -> tuple[Key | None, float]:
        """The key of a healthy worker, None where it is special; and until when that holds."""
        now, number, entry = self.tables.now_ns, worker.entry.worker, worker.entry
        reported, lapses_ns = number in self.tables.news, worker.report_ns + LAPSE_NS + 1
        if (
            number in self.cold
            or worker.errors > self.limits.doubt
            or number in self.tables.back
            or number in self.tables.planner.by_worker
            or (worker.size < 0.5 and (reported or worker.size > 0))
        ):
            return None, math.inf
        if reported and now >= lapses_ns:
            return None, math.inf
        if not reported and worker.free is not None and now < lapses_ns:
            return None, lapses_ns
        if not reported and worker.probe_out and now < worker.next_probe_ns:
            return None, worker.next_probe_ns
        if (until_ns := self._quick_ns(worker)) <= now:
            return None, math.inf
        asks, size = self.settings.may_probe and self.settings.reports_in_probes, round(worker.size)
        if not reported:
            key = Key(
                False,
                False,
                False,
                entry.kind,
                entry.zone,
                0.0,
                size if worker.size else -1,
                worker.own,
                None,
            )
            return key, until_ns
        stale_ns = worker.report_ns + self.limits.fresh_ns + 1
        if fresh := asks and now < stale_ns:
            until_ns = min(until_ns, stale_ns)
        key = Key(
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
        if worker.drag[0] >= limits.slow and self.drag(worker) >= limits.slow:
            return 0
        for attempt in worker.live.values():
            if attempt.started_ns:
                usual_ns = self.floors.usual_ns(attempt) + limits.cover_ns
                due_ns = attempt.started_ns + math.exp(limits.slow) * usual_ns - limits.cover_ns - 2
                until_ns = min(until_ns, due_ns)
            elif self.settings.tells_start:
                until_ns = min(until_ns, attempt.sent_ns + limits.start_ns + 1)
        return until_ns

    # --- asking ---

    def _well(self, worker: Worker) -> bool:
        """True where a special worker is in health; of a large fleet those that are not are in no place."""
        return not self.few or self._well_ns(worker) <= self.tables.now_ns

    def _reported(self) -> list[Worker]:
        """The special workers that reported lately and may be drawn."""
        news, special = self.tables.news, self.special.items()
        told = [worker for number, worker in special if number in news]
        return [w for w in told if w.free is not None and self._well(w)] if self.few else told

    def all_reported(self) -> list[Worker]:
        """The workers in health that reported lately, in that order, without the slow ones."""
        found = [worker for key, cell in self.cells.items() if key.reported for worker in cell.members]
        return sorted([*found, *self._quick()], key=lambda worker: worker.heard)

    def busy(self, workers: list[Worker]) -> float:
        """The part of the workers' slots that is in use."""
        free = sum(max(0.0, -self.load(worker)) for worker in workers)
        return 1 - free / max(1.0, free, sum(worker.size for worker in workers))

    def asked(self) -> list[Worker]:
        """Workers that a probe is out to: those that reported lately, else those that are listed."""
        news = self.tables.news
        if self.few:
            return [worker for worker in news.values() if worker.probe_out] or [
                worker for worker in self.ready if worker.probe_out
            ]
        out = self.probing.items()
        return [worker for number, worker in out if number in news] or [
            worker for _, worker in out if worker.place >= 0
        ]

    def chilled(self) -> list[Worker]:
        """The workers that are not yet warm, in the order of the list."""
        if self.cold_rows is None:
            self.cold_rows = sorted(self.cold.values(), key=lambda worker: worker.place)
        return self.cold_rows

    def suited(self, job: Job, suits: Callable[[Worker], bool]) -> list[Worker]:
        """All workers of the list that the job could use, in its order, whatever their load and health."""
        fits = dict[tuple[int, int], bool]()
        if job.risky is not None and job.rules.group is Kin.CELL:
            return [worker for worker in self.ready if suits(worker)]
        return [
            worker
            for worker in self.ready
            if (suits(worker) if worker.cell is None else self._fits(fits, worker.cell, suits))
        ]

    def reported(self, job: Job, suits: Callable[[Worker], bool]) -> list[Group]:
        """The workers that reported lately and may take the job; suits: whether it is of use there at all."""
        self.sync()
        each, need = job.risky is not None and job.rules.group is Kin.CELL, job.request
        slots, memory, fits, found = need.slots, need.memory, dict[tuple[int, int], bool](), list[Group]()
        if self.least + slots > 0.5:
            return found
        for key, cell in self.cells.items():
            if not key.reported or key.load + slots > 0.5:
                continue
            members = cell.members
            if each:  # its key does not tell a worker's cell
                members = [worker for worker in members if suits(worker)]
            elif not self._fits(fits, cell, suits):
                continue
            if key.memory is not None and memory > key.memory:
                members = [worker for worker in members if holds(worker, memory)]
            if members:
                found.append(Group(members, key.load, True, key.fresh, key.home))
        now, fresh_ns = self.tables.now_ns, self.limits.fresh_ns
        for worker in self._quick():
            if (load := self.load(worker)) + slots <= 0.5 and suits(worker) and holds(worker, memory):
                fresh = now - worker.report_ns <= fresh_ns
                found.append(Group([worker], load, True, fresh, worker in self.home, True))
        return found

    def _quick(self) -> list[Worker]:
        """The special workers that reported lately, without the slow ones."""
        if self.told is None:
            self.told = [worker for worker in self._reported() if worker not in self.slow]
        return self.told

    def unreported(self, need: Request, suits: Callable[[Worker], bool], limit: float) -> list[Group]:
        """The workers without news that may have room: their load with the job is at most the limit."""
        fits, found = dict[tuple[int, int], bool](), list[Group]()
        for key, cell in self.cells.items():
            if key.reported or (load := self.load(cell.members[0])) + need.slots > limit:
                continue
            if self._fits(fits, cell, suits):
                found.append(Group(cell.members, load, False))
        now = self.tables.now_ns
        for worker in self.special.values():
            if worker.entry.worker in self.tables.news or not self._well(worker):
                continue
            if worker.probe_out and now < worker.next_probe_ns:
                continue
            if (load := self.load(worker)) + need.slots <= limit and suits(worker):
                found.append(Group([worker], load, False, alone=True))
        return found

    @staticmethod
    def _fits(fits: dict[tuple[int, int], bool], cell: Cell, suits: Callable[[Worker], bool]) -> bool:
        """What a job asks of a worker in a cell is of its kind and zone alone: it is asked once for each."""
        like = cell.key.kind, cell.key.zone
        if (fit := fits.get(like)) is None:
            fit = fits[like] = suits(cell.members[0])
        return fit
