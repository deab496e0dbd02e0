"""A model of a match worker, without I/O and clock.

It has slots, memory, a bounded queue, a slow start and delayed load reports.

Times are integer nanoseconds on the caller's clock.  `next_event_ns` returns when the caller has to call
`advance`, which returns the events up to then.  The model follows the operators' description of their
machines.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from enum import Enum

MS, SECOND = 1_000_000, 1_000_000_000
WARM_UP_STEP_NS = 50 * MS  # step in which the speed is treated as constant during slow start


class QueueOrder(Enum):
    """Which queued job starts next."""

    FIFO = "fifo"  # the first job; it waits until it fits
    BACKFILL = "backfill"  # the first job that fits
    PRIORITY = "priority"  # the first job of the highest priority; it waits until it fits


class Cancellation(Enum):
    """Which jobs a cancel stops."""

    NOTHING = "nothing"
    WAITING = "waiting"  # jobs that have not started


@dataclass(frozen=True, slots=True)
class WorkerSpec:
    """The fixed properties of a match worker.

    speed: work done in a slot in a unit of time, 1 for a standard core.  initial_capacity_fraction: its speed
    at the start over the full speed, which it reaches after slow_start_ns.  overload_multiple: during slow
    start, it fails if the work that arrives within overload_window_ns exceeds this multiple of what it can do
    in that time.
    """

    name: str
    speed: float = 1.0
    cores: int = 4
    slots: int = 4
    queue_limit: int = 24
    order: QueueOrder = QueueOrder.FIFO
    cancellation: Cancellation = Cancellation.NOTHING
    kind: str = "standard"
    zone: str = "here"
    report_interval_ns: int = SECOND
    report_delay_ns: int = 350 * MS
    initial_capacity_fraction: float = 1.0
    slow_start_ns: int = 0
    overload_multiple: float = math.inf
    overload_window_ns: int = 2 * SECOND


@dataclass(slots=True, eq=False)
class Job:
    """A job at a worker; work_ns is its running time in a slot at speed 1."""

    id: str
    work_ns: float
    slots: int = 1
    memory: float = 0.0
    priority: int = 0
    arrived_ns: int = 0
    started_ns: int = -1
    remaining_ns: float = field(init=False)

    def __post_init__(self) -> None:
        """Initialize the remaining work."""
        self.remaining_ns = self.work_ns


@dataclass(frozen=True, slots=True)
class JobStarted:
    """A job has started."""

    at_ns: int
    job: Job


@dataclass(frozen=True, slots=True)
class JobCompleted:
    """A job has completed."""

    at_ns: int
    job: Job


@dataclass(frozen=True, slots=True)
class JobReturned:
    """A job that had not started was returned to its dispatcher."""

    at_ns: int
    job: Job


WorkerEvent = JobStarted | JobCompleted | JobReturned


@dataclass(frozen=True, slots=True)
class LoadReport:
    """A load report; service_ms is a moving average of running times."""

    service_ms: float
    queued: int
    free_slots: int
    free_memory: float


class Worker:
    """One match worker and its jobs."""

    def __init__(self, spec: WorkerSpec, now_ns: int = 0, is_cold: bool = False) -> None:
        self.spec = spec
        self.now_ns = now_ns
        self.started_ns = now_ns if is_cold else now_ns - spec.slow_start_ns
        self.running: list[Job] = []
        self.queue: deque[Job] = deque()
        self.is_draining = False
        self.paused_until_ns = now_ns
        self.has_failed = False
        self.recent_work: deque[tuple[int, float]] = deque()  # time and work of arrivals during slow start
        self.service_ms = 0.0
        self.busy_ns = 0.0  # slot time used so far
        self.starts_by_job: dict[str, int] = {}
        self.events: list[WorkerEvent] = []
        self.reports: deque[tuple[int, LoadReport]] = deque()
        self.next_report_ns = now_ns
        self._record_report()

    # --- requests ---

    def offer(self, now_ns: int, job: Job) -> bool:
        """Queue a job; return False if it is rejected."""
        self._run_to(now_ns)
        self._apply_overload(job)
        is_full = job.slots > self.spec.slots or len(self.queue) >= self.spec.queue_limit
        if self.has_failed or self.is_draining or is_full:
            return False
        job.arrived_ns = now_ns
        self.queue.append(job)
        self._start_jobs()
        return True

    def cancel(self, now_ns: int, job_id: str) -> bool:
        """Cancel a queued job; return whether it was removed and will not run."""
        self._run_to(now_ns)
        if self.spec.cancellation is Cancellation.WAITING:
            for job in self.queue:
                if job.id == job_id:
                    self.queue.remove(job)
                    self._start_jobs()
                    return True
        return False

    def pause(self, now_ns: int, for_ns: int) -> None:
        """Suspend all work for a time."""
        self._run_to(now_ns)
        self.paused_until_ns = max(self.paused_until_ns, now_ns + for_ns)

    def drain(self, now_ns: int) -> None:
        """Finish running jobs, return queued ones and reject new ones."""
        self._run_to(now_ns)
        self.is_draining = True
        while self.queue:
            self.events.append(JobReturned(now_ns, self.queue.popleft()))

    def restart(self, now_ns: int) -> list[Job]:
        """Restart empty, with a slow start, and return the lost jobs."""
        self._run_to(now_ns)
        lost = [*self.running, *self.queue]
        self.running = []
        self.is_draining = False
        self.has_failed = False
        self.started_ns = now_ns
        self.queue.clear()
        self.recent_work.clear()
        return lost

    # --- time ---

    def advance(self, now_ns: int) -> list[WorkerEvent]:
        """Return the events up to now, in order."""
        self._run_to(now_ns)
        events, self.events = self.events, []
        return events

    def next_event_ns(self) -> int:
        """Return the latest time at which `advance` has to be called; -1 if no event is due."""
        if self.events:
            return self.now_ns
        if not self.running:
            return -1
        return self._step_end()

    def report(self, now_ns: int) -> LoadReport:
        """Return the load report that is visible now, which lags by the report delay."""
        self._run_to(now_ns)
        before_ns = now_ns - self.spec.report_delay_ns
        while len(self.reports) > 1 and self.reports[1][0] <= before_ns:
            self.reports.popleft()
        return self.reports[0][1]

    @property
    def free_slots(self) -> int:
        """The number of slots that no running job uses."""
        return self.spec.slots - sum(job.slots for job in self.running)

    @property
    def free_memory(self) -> float:
        """The memory that no running job uses; a worker has one unit per slot."""
        return self.spec.slots - sum(job.memory for job in self.running)

    def warm_up_fraction(self, now_ns: int) -> float:
        """Return the current speed over the full speed."""
        age_ns, spec = now_ns - self.started_ns, self.spec
        if age_ns >= spec.slow_start_ns:
            return 1.0
        return (
            spec.initial_capacity_fraction
            + (1 - spec.initial_capacity_fraction) * age_ns / spec.slow_start_ns
        )

    def _rate(self) -> float:
        """Return the work done in a slot in a nanosecond; busy slots share the cores."""
        if self.now_ns < self.paused_until_ns:
            return 0.0
        busy = self.spec.slots - self.free_slots
        return self.spec.speed * self.warm_up_fraction(self.now_ns) * min(1.0, self.spec.cores / max(1, busy))

    def _step_end(self) -> int:
        """Return the end of the step in which the rate is constant and no job completes."""
        if self.now_ns < self.paused_until_ns:
            return self.paused_until_ns
        rate = self._rate()
        end_ns = self.now_ns + max(1, math.ceil(min(job.remaining_ns for job in self.running) / rate))
        if self.now_ns - self.started_ns < self.spec.slow_start_ns:
            end_ns = min(end_ns, self.now_ns + WARM_UP_STEP_NS)
        return end_ns

    def _run_to(self, now_ns: int) -> None:
        """Run the jobs until a time, step by step."""
        while self.now_ns < now_ns:
            end_ns = min(now_ns, self._step_end() if self.running else now_ns, self.next_report_ns)
            end_ns = max(end_ns, self.now_ns)
            done = self._rate() * (end_ns - self.now_ns)
            self.busy_ns += (self.spec.slots - self.free_slots) * (end_ns - self.now_ns)
            self.now_ns = end_ns
            ended_jobs = []
            for job in self.running:
                job.remaining_ns -= done
                if job.remaining_ns < 1:
                    ended_jobs.append(job)
            for job in ended_jobs:
                self.running.remove(job)
                self.service_ms += 0.2 * ((end_ns - job.started_ns) / MS - self.service_ms)
                self.events.append(JobCompleted(end_ns, job))
            if ended_jobs:
                self._start_jobs()
            if self.now_ns >= self.next_report_ns:
                self._record_report()

    def _start_jobs(self) -> None:
        """Start the jobs that fit, in the order of the queue."""
        queued = list(self.queue)
        if self.spec.order is QueueOrder.PRIORITY:
            queued.sort(key=lambda job: -job.priority)
        for job in queued:
            if job.slots <= self.free_slots and job.memory <= self.free_memory + 1e-9:
                self.queue.remove(job)
                job.started_ns = self.now_ns
                self.running.append(job)
                self.starts_by_job[job.id] = self.starts_by_job.get(job.id, 0) + 1
                self.events.append(JobStarted(self.now_ns, job))
            elif self.spec.order is not QueueOrder.BACKFILL:
                return

    def _record_report(self) -> None:
        """Record a load report, and drop older ones that can no longer be returned."""
        while len(self.reports) > 1 and self.reports[1][0] <= self.now_ns - self.spec.report_delay_ns:
            self.reports.popleft()
        self.reports.append(
            (self.now_ns, LoadReport(self.service_ms, len(self.queue), self.free_slots, self.free_memory))
        )
        self.next_report_ns = self.now_ns + self.spec.report_interval_ns

    def _apply_overload(self, job: Job) -> None:
        """Count work that arrives during slow start, even if it is rejected; fail if it is too much."""
        spec = self.spec
        if self.now_ns - self.started_ns >= spec.slow_start_ns:
            return
        self.recent_work.append((self.now_ns, job.work_ns * job.slots))
        while self.recent_work[0][0] <= self.now_ns - spec.overload_window_ns:
            self.recent_work.popleft()
        capacity = spec.speed * spec.cores * self.warm_up_fraction(self.now_ns)
        if (
            sum(work for _, work in self.recent_work)
            > spec.overload_multiple * capacity * spec.overload_window_ns
        ):
            self.has_failed = True
            self.running.clear()
            self.queue.clear()
