"""A match worker without I/O and clock: slots, memory, a bounded queue, speed, cold starts and late reports.

Times are integer nanoseconds on the caller's clock.  The caller asks `next_ns` when to look again, and
`advance` then tells what has happened.  After the operators' description of their machines.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from enum import Enum

MS, SECOND = 1_000_000, 1_000_000_000
COLD_STEP_NS = 50 * MS  # while it warms up, its speed is taken as constant for so long


class Order(Enum):
    """Which waiting job starts next."""

    FIFO = "fifo"  # the first waits until it fits
    BACKFILL = "backfill"  # the first that fits
    PRIORITY = "priority"  # the class with the highest priority first; the first of it waits until it fits


class Cancelling(Enum):
    """What a cancel stops."""

    NOTHING = "nothing"
    WAITING = "waiting"  # jobs that have not started


@dataclass(frozen=True, slots=True)
class Spec:
    """A match worker as it is built.  speed: work done in a slot in a unit of time, 1 for a standard core."""

    name: str
    speed: float = 1.0
    cores: int = 4
    slots: int = 4
    queue: int = 24
    order: Order = Order.FIFO
    cancelling: Cancelling = Cancelling.NOTHING
    kind: str = "standard"
    zone: str = "here"
    report_every_ns: int = SECOND
    report_delay_ns: int = 350 * MS
    cold_share: float = 1.0  # its speed at its start, as a part of the full one
    warm_after_ns: int = 0
    fall_multiple: float = math.inf
    overload_for_ns: int = 2 * SECOND


@dataclass(slots=True, eq=False)
class Job:
    """A job as a worker holds it; work_ns is its running time in a slot at speed 1."""

    id: str
    work_ns: float
    slots: int = 1
    memory: float = 0.0
    priority: int = 0
    come_ns: int = 0
    started_ns: int = -1
    left_ns: float = field(init=False)

    def __post_init__(self) -> None:
        """All of its work is left."""
        self.left_ns = self.work_ns


@dataclass(frozen=True, slots=True)
class Started:
    """A job has started."""

    at_ns: int
    job: Job


@dataclass(frozen=True, slots=True)
class Done:
    """A job has ended well."""

    at_ns: int
    job: Job


@dataclass(frozen=True, slots=True)
class Returned:
    """A job is handed back unstarted."""

    at_ns: int
    job: Job


Happening = Started | Done | Returned


@dataclass(frozen=True, slots=True)
class Figures:
    """A worker's own figures."""

    service_ms: float
    waiting: int
    free_slots: int
    free_memory: float


class Worker:
    """One match worker at work."""

    def __init__(self, spec: Spec, now_ns: int = 0, cold: bool = False) -> None:
        self.spec = spec
        self.now_ns = now_ns
        self.born_ns = now_ns if cold else now_ns - spec.warm_after_ns
        self.running: list[Job] = []
        self.waiting: deque[Job] = deque()
        self.draining = False
        self.paused_until_ns = now_ns
        self.fallen = False
        self.pressure: deque[tuple[int, float]] = deque()  # work that came while cold
        self.service_ms = 0.0
        self.busy_ns = 0.0  # slot time used
        self.runs: dict[str, int] = {}  # starts by job, for the count of repeats
        self.happened: list[Happening] = []
        self.snapshots: deque[tuple[int, Figures]] = deque()
        self.snapshot_ns = now_ns
        self._snap()

    # --- what comes ---

    def offer(self, now_ns: int, job: Job) -> bool:
        """Take a job in; False where it is turned away unseen."""
        self._run_to(now_ns)
        self._press(job)
        full = job.slots > self.spec.slots or len(self.waiting) >= self.spec.queue
        if self.fallen or self.draining or full:
            return False
        job.come_ns = now_ns
        self.waiting.append(job)
        self._start()
        return True

    def cancel(self, now_ns: int, job_id: str) -> bool:
        """Nobody waits for a job any more; True where that spares its run."""
        self._run_to(now_ns)
        if self.spec.cancelling is Cancelling.WAITING:
            for job in self.waiting:
                if job.id == job_id:
                    self.waiting.remove(job)
                    self._start()
                    return True
        return False

    def pause(self, now_ns: int, for_ns: int) -> None:
        """Stand still for a while."""
        self._run_to(now_ns)
        self.paused_until_ns = max(self.paused_until_ns, now_ns + for_ns)

    def drain(self, now_ns: int) -> None:
        """Finish what runs, hand back what waits, take nothing new."""
        self._run_to(now_ns)
        self.draining = True
        while self.waiting:
            self.happened.append(Returned(now_ns, self.waiting.popleft()))

    def restart(self, now_ns: int) -> list[Job]:
        """Begin anew, cold and empty; the jobs that are lost."""
        self._run_to(now_ns)
        lost = [*self.running, *self.waiting]
        self.running, self.draining, self.fallen, self.born_ns = [], False, False, now_ns
        self.waiting.clear()
        self.pressure.clear()
        return lost

    # --- time ---

    def advance(self, now_ns: int) -> list[Happening]:
        """What has happened up to now, in order."""
        self._run_to(now_ns)
        happened, self.happened = self.happened, []
        return happened

    def next_ns(self) -> int:
        """When to look again at the latest; -1: nothing is to come by itself."""
        if self.happened:
            return self.now_ns
        if not self.running:
            return -1
        return self._step_end()

    def report(self, now_ns: int) -> Figures:
        """The figures as told now: refreshed now and then, and late."""
        self._run_to(now_ns)
        before_ns = now_ns - self.spec.report_delay_ns
        while len(self.snapshots) > 1 and self.snapshots[1][0] <= before_ns:
            self.snapshots.popleft()
        return self.snapshots[0][1]

    @property
    def free_slots(self) -> int:
        """Slots that no running job holds."""
        return self.spec.slots - sum(job.slots for job in self.running)

    @property
    def free_memory(self) -> float:
        """Memory that no running job holds; a worker has one unit for each slot."""
        return self.spec.slots - sum(job.memory for job in self.running)

    def warmth(self, now_ns: int) -> float:
        """Its speed as a part of the full one."""
        age_ns, spec = now_ns - self.born_ns, self.spec
        if age_ns >= spec.warm_after_ns:
            return 1.0
        return spec.cold_share + (1 - spec.cold_share) * age_ns / spec.warm_after_ns

    def _rate(self) -> float:
        """Work done in a slot for each nanosecond: slots beyond the cores share these."""
        if self.now_ns < self.paused_until_ns:
            return 0.0
        busy = self.spec.slots - self.free_slots
        return self.spec.speed * self.warmth(self.now_ns) * min(1.0, self.spec.cores / max(1, busy))

    def _step_end(self) -> int:
        """The end of the span in which the rate is constant and no job ends."""
        if self.now_ns < self.paused_until_ns:
            return self.paused_until_ns
        rate = self._rate()
        end_ns = self.now_ns + max(1, math.ceil(min(job.left_ns for job in self.running) / rate))
        if self.now_ns - self.born_ns < self.spec.warm_after_ns:
            end_ns = min(end_ns, self.now_ns + COLD_STEP_NS)
        return end_ns

    def _run_to(self, now_ns: int) -> None:
        while self.now_ns < now_ns:
            end_ns = min(now_ns, self._step_end() if self.running else now_ns, self.snapshot_ns)
            end_ns = max(end_ns, self.now_ns)
            done = self._rate() * (end_ns - self.now_ns)
            self.busy_ns += (self.spec.slots - self.free_slots) * (end_ns - self.now_ns)
            self.now_ns = end_ns
            ended = []
            for job in self.running:
                job.left_ns -= done
                if job.left_ns < 1:
                    ended.append(job)
            for job in ended:
                self.running.remove(job)
                self.service_ms += 0.2 * ((end_ns - job.started_ns) / MS - self.service_ms)
                self.happened.append(Done(end_ns, job))
            if ended:
                self._start()
            if self.now_ns >= self.snapshot_ns:
                self._snap()

    def _start(self) -> None:
        """Start what fits, in the order of the queue."""
        waiting = list(self.waiting)
        if self.spec.order is Order.PRIORITY:
            waiting.sort(key=lambda job: -job.priority)
        for job in waiting:
            if job.slots <= self.free_slots and job.memory <= self.free_memory + 1e-9:
                self.waiting.remove(job)
                job.started_ns = self.now_ns
                self.running.append(job)
                self.runs[job.id] = self.runs.get(job.id, 0) + 1
                self.happened.append(Started(self.now_ns, job))
            elif self.spec.order is not Order.BACKFILL:
                return

    def _snap(self) -> None:
        while len(self.snapshots) > 1 and self.snapshots[1][0] <= self.now_ns - self.spec.report_delay_ns:
            self.snapshots.popleft()
        self.snapshots.append(
            (self.now_ns, Figures(self.service_ms, len(self.waiting), self.free_slots, self.free_memory))
        )
        self.snapshot_ns = self.now_ns + self.spec.report_every_ns

    def _press(self, job: Job) -> None:
        """Work that reaches a cold worker, taken in or not: too much within the window, and it falls over."""
        spec = self.spec
        if self.now_ns - self.born_ns >= spec.warm_after_ns:
            return
        self.pressure.append((self.now_ns, job.work_ns * job.slots))
        while self.pressure[0][0] <= self.now_ns - spec.overload_for_ns:
            self.pressure.popleft()
        capacity = spec.speed * spec.cores * self.warmth(self.now_ns)
        if sum(work for _, work in self.pressure) > spec.fall_multiple * capacity * spec.overload_for_ns:
            self.fallen = True
            self.running.clear()
            self.waiting.clear()
