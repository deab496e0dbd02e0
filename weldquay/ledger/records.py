"""A job, an attempt and a worker, as the decisions keep them: what was told, what was sent, what came back.

A worker's load is kept as sums over own changes since its report, not added up at each look.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Any

from weldquay.interface import (
    JobClass,
    LoadChange,
    LoadReport,
    Request,
    SlowStartSend,
    WorkerEntry,
    WorkerSnapshot,
)

SECOND_NS = 1_000_000_000
LAPSE_NS = 2 * SECOND_NS  # a report older than this no longer speaks for the worker
TRIAL_NS = SECOND_NS  # a suspect worker is tried again after this, doubling


@dataclass(slots=True, eq=False)
class Job:
    """A request that is owed its answer.  risky is the first attempt that may have run."""

    request: Request
    rules: JobClass
    born_ns: int
    most: int  # attempts
    due_ns: int = 0
    attempts: int = 0
    live: dict[int, Attempt] = field(default_factory=dict)
    risky: Attempt | None = None
    stream: bool = False
    rejected: bool = False  # a worker could not use it
    refusals: int = 0  # 'full' outcomes; from the second on it waits before it is drawn again
    wait_ns: int = 0
    looked_ns: int = 0  # when workers were last probed for it
    sought_ns: int = 0  # when room was last sought for it
    looks: int = 0
    looking: list[Worker] = field(default_factory=list)
    cost: float = 0.0  # by which held jobs are ordered; see weldquay/candidates/held.py
    last_start_ns: float = 0.0
    priced_until_ns: float = -1  # both hold so long
    learnt: int = 0  # changes to what was learnt when they were computed


@dataclass(slots=True, eq=False)
class Attempt:
    """One push of a job.  It outlives its job until its outcome has come."""

    job: Job
    number: int
    worker: Worker
    sent_ns: int
    idle_ns: int = 0  # how long the connection it went out on had been idle; 0: a new or a busy one
    called_off: bool = False
    started_ns: int = 0  # when it told its start; 0: not told


@dataclass(slots=True, eq=False)
class Cell:
    """Workers with one key.  Each knows its place, so that it leaves without a search."""

    key: Any
    members: list[Worker] = field(default_factory=list)

    def add(self, worker: Worker) -> None:
        """Put a worker at the end."""
        worker.cell, worker.spot = self, len(self.members)
        self.members.append(worker)

    def remove(self, worker: Worker) -> None:
        """Take a worker out; the last one takes its place."""
        last = self.members.pop()
        if last is not worker:
            self.members[worker.spot], last.spot = last, worker.spot
        worker.cell = None


@dataclass(slots=True, eq=False)
class Worker:
    """What this dispatcher knows of one worker."""

    entry: WorkerEntry
    free: float | None = None
    free_memory: float | None = None
    size: float = 0.0
    report: LoadReport | None = None  # as last told
    report_ns: int = -LAPSE_NS  # when it was last told, new or the same again; long ago at first
    changes: deque[tuple[int, float, float]] = field(default_factory=deque)  # own (time, slots, memory) since
    changed: float = 0.0  # sums over changes, and the slots of live: kept, not added up at each look
    changed_memory: float = 0.0
    own: float = 0.0
    live: dict[tuple[int, int], Attempt] = field(default_factory=dict)
    job_sign_ns: int = 0
    used_ns: int = 0  # when an attempt last ended there and left its connection idle; 0: none, or closed
    refusals: int = 0  # in a row
    drag: tuple[float, int] = (0.0, 0)  # logarithm of how many times slower than its kind it was, and when
    errors: float = 0.0  # of its jobs; each that ends well takes a part of them away
    rest_ns: int = 0  # until then nothing more after a refusal
    probe_out: bool = False
    next_probe_ns: int = 0
    strikes: int = 0
    suspect: bool = False
    trial_ns: int = 0
    backoff_ns: int = TRIAL_NS
    back_ns: int = 0  # when operators put it back: it may be as cold as one that started then
    pushed: deque[tuple[int, float]] = field(default_factory=deque)  # (age, work) while cold
    cold_room: float = 0.0  # work that may still go there while it is cold, as of cold_ns
    cold_ns: int = -1
    heard: int = 0  # the number of its last report, by the order in which they came
    place: int = -1  # in the list of ready workers
    cell: Cell | None = None  # kept by weldquay/candidates, with its place there
    spot: int = 0
    check_ns: int = -1  # the next moment noted there at which time alone may change its cell

    @property
    def started_ns(self) -> int:
        """When it became cold for the last time, as far as is known; 0: long ago."""
        return max(self.entry.started_ns, self.back_ns)

    def waits(self, before_ns: int) -> bool:
        """True where an attempt that was sent before then has not told its start."""
        return bool(self.live) and any(
            [not each.started_ns and each.sent_ns < before_ns for each in self.live.values()]
        )

    def quiet_ns(self, now_ns: int) -> int:
        """How long own attempts have been out there without a sign of any; 0 where none is out."""
        waiting = [each.sent_ns for each in self.live.values() if not each.called_off]
        return now_ns - max(self.job_sign_ns, min(waiting)) if waiting else 0

    def may_be_asked(self, now_ns: int, fresh_ns: int) -> bool:
        """True where a probe would tell something new, and the worker is not resting."""
        return now_ns - self.report_ns > fresh_ns and now_ns >= max(
            self.next_probe_ns, self.rest_ns, self.suspect * self.trial_ns
        )

    def renew(self, now_ns: int) -> None:
        """A new process: what was known and what it held is void."""
        self.free, self.report, self.errors, self.rest_ns, self.next_probe_ns = None, None, 0, 0, 0
        self.forget(now_ns + 1)
        self.pushed.clear()
        self.clear()

    def clear(self) -> None:
        """It has shown that it lives."""
        self.suspect, self.strikes, self.backoff_ns, self.refusals = False, 0, TRIAL_NS, 0

    def hear(self, now_ns: int, report: LoadReport, cover_ns: int, in_order: bool = False) -> None:
        """Take in a report; own changes that it cannot have seen yet stay beside it."""
        free = report.free_slots
        if free is None and report.held is not None and self.size:
            free = self.size - report.held
        if free is None:
            return
        busy = report.held if report.held is not None else self.own
        sample = free + (busy if free >= 0.5 or not self.size else min(busy, self.size))
        pace = 0.3 if sample > self.size else (0.1 if report.held is not None else 0.002)
        self.size += (pace if self.size else 1.0) * (sample - self.size)
        behind = report.queued if report.queued is not None else max(0.0, busy - max(self.size, 1.0))
        # Slots that are free behind a queue are not to be had: the first that waits needs more of them.
        blocked = free < 0.5 or (in_order and (report.queued or 0.0) >= 0.5)
        self.free = -float(round(behind)) if blocked else float(round(free))
        self.free_memory = report.free_memory
        self.forget(now_ns - cover_ns)

    def forget(self, before_ns: int) -> None:
        """Drop own changes older than this."""
        while self.changes and self.changes[0][0] < before_ns:
            _, slots, memory = self.changes.popleft()
            self.changed, self.changed_memory = self.changed - slots, self.changed_memory - memory

    def note_change(self, now_ns: int, slots: float, memory: float) -> None:
        """Book an own push (positive) or an attempt's end (negative)."""
        self.changes.append((now_ns, slots, memory))
        self.changed, self.changed_memory, self.own = (
            self.changed + slots,
            self.changed_memory + memory,
            self.own + slots,
        )
        self.forget(now_ns - LAPSE_NS)

    def snapshot(self) -> WorkerSnapshot:
        """What the process that replaces this one needs to know of the worker."""
        return WorkerSnapshot(
            free_slots=self.free,
            free_memory=self.free_memory,
            estimated_slots=self.size,
            reported_ns=self.report_ns,
            unreported_changes=tuple(LoadChange(*change) for change in self.changes),
            unreported_slots=self.changed,
            unreported_memory=self.changed_memory,
            last_response_ns=self.job_sign_ns,
            consecutive_rejections=self.refusals,
            failure_score=self.errors,
            backoff_until_ns=self.rest_ns,
            next_probe_ns=self.next_probe_ns,
            consecutive_probe_failures=self.strikes,
            is_ejected=self.suspect,
            next_trial_ns=self.trial_ns,
            trial_backoff_ns=self.backoff_ns,
            reinstated_ns=self.back_ns,
            slow_start_sends=tuple(SlowStartSend(*send) for send in self.pushed),
            slow_start_budget_ns=self.cold_room,
            slow_start_budget_at_ns=self.cold_ns,
        )

    def restore(self, snapshot: WorkerSnapshot) -> None:
        """Replace the state with that of an earlier process; the entry, attempts and report stay."""
        self.free = snapshot.free_slots
        self.free_memory = snapshot.free_memory
        self.size = snapshot.estimated_slots
        self.report_ns = snapshot.reported_ns
        self.changes = deque(snapshot.unreported_changes)
        self.changed = snapshot.unreported_slots
        self.changed_memory = snapshot.unreported_memory
        self.job_sign_ns = snapshot.last_response_ns
        self.refusals = snapshot.consecutive_rejections
        self.errors = snapshot.failure_score
        self.rest_ns = snapshot.backoff_until_ns
        self.next_probe_ns = snapshot.next_probe_ns
        self.strikes = snapshot.consecutive_probe_failures
        self.suspect = snapshot.is_ejected
        self.trial_ns = snapshot.next_trial_ns
        self.backoff_ns = snapshot.trial_backoff_ns
        self.back_ns = snapshot.reinstated_ns
        self.pushed = deque(snapshot.slow_start_sends)
        self.cold_room = snapshot.slow_start_budget_ns
        self.cold_ns = snapshot.slow_start_budget_at_ns
