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
    RequestReceived,
    SlowStartSend,
    WorkerEntry,
    WorkerSnapshot,
)

SECOND_NS = 1_000_000_000
LOAD_REPORT_MAX_AGE_NS = 2 * SECOND_NS  # a report older than this no longer speaks for the worker
INITIAL_TRIAL_BACKOFF_NS = SECOND_NS  # a suspect worker is tried again after this, doubling


@dataclass(slots=True, eq=False)
class Job:
    """A request that is owed its answer.  risky is the first attempt that may have run."""

    request: RequestReceived
    class_settings: JobClass
    first_received_ns: int
    max_attempts: int  # attempts
    answer_due_ns: int = 0
    attempts: int = 0
    in_flight: dict[int, Attempt] = field(default_factory=dict)
    possibly_executed: Attempt | None = None
    streaming: bool = False
    unprocessable: bool = False  # a worker could not use it
    overload_count: int = 0  # 'full' outcomes; from the second on it waits before it is drawn again
    retry_not_before_ns: int = 0
    last_probed_ns: int = 0  # when workers were last probed for it
    reservation_tried_ns: int = 0  # when room was last sought for it
    probe_rounds: int = 0
    probed_workers: list[Worker] = field(default_factory=list)
    queue_priority: float = 0.0  # by which held jobs are ordered; see weldquay/candidates/queue_order.py
    latest_start_ns: float = 0.0
    priority_valid_until_ns: float = -1  # both hold so long
    estimate_version: int = 0  # changes to what was learnt when they were computed


@dataclass(slots=True, eq=False)
class Attempt:
    """One push of a job.  It outlives its job until its outcome has come."""

    job: Job
    number: int
    worker: Worker
    sent_ns: int
    connection_idle_ns: int = (
        0  # how long the connection it went out on had been idle; 0: a new or a busy one
    )
    cancelled: bool = False
    started_ns: int = 0  # when it told its start; 0: not told


@dataclass(slots=True, eq=False)
class WorkerGroup:
    """Workers with one key.  Each knows its place, so that it leaves without a search."""

    key: Any
    members: list[Worker] = field(default_factory=list)

    def add(self, worker: Worker) -> None:
        """Put a worker at the end."""
        worker.group, worker.group_position = self, len(self.members)
        self.members.append(worker)

    def remove(self, worker: Worker) -> None:
        """Take a worker out; the last one takes its place."""
        last = self.members.pop()
        if last is not worker:
            self.members[worker.group_position], last.group_position = last, worker.group_position
        worker.group = None


@dataclass(slots=True, eq=False)
class Worker:
    """What this dispatcher knows of one worker."""

    entry: WorkerEntry
    free_slots: float | None = None
    free_memory: float | None = None
    estimated_slots: float = 0.0
    report: LoadReport | None = None  # as last told
    reported_ns: int = (
        -LOAD_REPORT_MAX_AGE_NS
    )  # when it was last told, new or the same again; long ago at first
    unreported_changes: deque[tuple[int, float, float]] = field(
        default_factory=deque
    )  # own (time, slots, memory) since
    unreported_slots: float = 0.0  # sums over changes, and the slots of live: kept, not added up at each look
    unreported_memory: float = 0.0
    own_slots: float = 0.0
    in_flight: dict[tuple[int, int], Attempt] = field(default_factory=dict)
    last_response_ns: int = 0
    connection_idle_since_ns: int = (
        0  # when an attempt last ended there and left its connection idle; 0: none, or closed
    )
    consecutive_rejections: int = 0  # in a row
    slowness: tuple[float, int] = (
        0.0,
        0,
    )  # logarithm of how many times slower than its kind it was, and when
    failure_score: float = 0.0  # of its jobs; each that ends well takes a part of them away
    backoff_until_ns: int = 0  # until then nothing more after a refusal
    probe_pending: bool = False
    next_probe_ns: int = 0
    consecutive_probe_failures: int = 0
    is_ejected: bool = False
    next_trial_ns: int = 0
    trial_backoff_ns: int = INITIAL_TRIAL_BACKOFF_NS
    reinstated_ns: int = 0  # when operators put it back: it may be as cold as one that started then
    slow_start_sends: deque[tuple[int, float]] = field(default_factory=deque)  # (age, work) while cold
    slow_start_budget_ns: float = 0.0  # work that may still go there while it is cold, as of cold_ns
    slow_start_budget_at_ns: int = -1
    report_sequence: int = 0  # the number of its last report, by the order in which they came
    list_position: int = -1  # in the list of ready workers
    group: WorkerGroup | None = None  # kept by weldquay/candidates, with its place there
    group_position: int = 0
    recheck_ns: int = -1  # the next moment noted there at which time alone may change its cell

    @property
    def started_ns(self) -> int:
        """When it became cold for the last time, as far as is known; 0: long ago."""
        return max(self.entry.started_ns, self.reinstated_ns)

    def has_unstarted_attempt(self, before_ns: int) -> bool:
        """True where an attempt that was sent before then has not told its start."""
        return bool(self.in_flight) and any(
            [not each.started_ns and each.sent_ns < before_ns for each in self.in_flight.values()]
        )

    def silence_ns(self, now_ns: int) -> int:
        """How long own attempts have been out there without a sign of any; 0 where none is out."""
        waiting = [each.sent_ns for each in self.in_flight.values() if not each.cancelled]
        return now_ns - max(self.last_response_ns, min(waiting)) if waiting else 0

    def may_be_probed(self, now_ns: int, fresh_ns: int) -> bool:
        """True where a probe would tell something new, and the worker is not resting."""
        return now_ns - self.reported_ns > fresh_ns and now_ns >= max(
            self.next_probe_ns, self.backoff_until_ns, self.is_ejected * self.next_trial_ns
        )

    def reset(self, now_ns: int) -> None:
        """A new process: what was known and what it held is void."""
        self.free_slots, self.report, self.failure_score, self.backoff_until_ns, self.next_probe_ns = (
            None,
            None,
            0,
            0,
            0,
        )
        self.discard_changes(now_ns + 1)
        self.slow_start_sends.clear()
        self.mark_alive()

    def mark_alive(self) -> None:
        """It has shown that it lives."""
        (
            self.is_ejected,
            self.consecutive_probe_failures,
            self.trial_backoff_ns,
            self.consecutive_rejections,
        ) = False, 0, INITIAL_TRIAL_BACKOFF_NS, 0

    def apply_load_report(
        self, now_ns: int, report: LoadReport, cover_ns: int, in_order: bool = False
    ) -> None:
        """Take in a report; own changes that it cannot have seen yet stay beside it."""
        free = report.free_slots
        if free is None and report.busy_requests is not None and self.estimated_slots:
            free = self.estimated_slots - report.busy_requests
        if free is None:
            return
        busy = report.busy_requests if report.busy_requests is not None else self.own_slots
        sample = free + (busy if free >= 0.5 or not self.estimated_slots else min(busy, self.estimated_slots))
        pace = 0.3 if sample > self.estimated_slots else (0.1 if report.busy_requests is not None else 0.002)
        self.estimated_slots += (pace if self.estimated_slots else 1.0) * (sample - self.estimated_slots)
        behind = (
            report.queued_requests
            if report.queued_requests is not None
            else max(0.0, busy - max(self.estimated_slots, 1.0))
        )
        # Slots that are free behind a queue are not to be had: the first that waits needs more of them.
        blocked = free < 0.5 or (in_order and (report.queued_requests or 0.0) >= 0.5)
        self.free_slots = -float(round(behind)) if blocked else float(round(free))
        self.free_memory = report.free_memory
        self.discard_changes(now_ns - cover_ns)

    def discard_changes(self, before_ns: int) -> None:
        """Drop own changes older than this."""
        while self.unreported_changes and self.unreported_changes[0][0] < before_ns:
            _, slots, memory = self.unreported_changes.popleft()
            self.unreported_slots, self.unreported_memory = (
                self.unreported_slots - slots,
                self.unreported_memory - memory,
            )

    def record_change(self, now_ns: int, slots: float, memory: float) -> None:
        """Book an own push (positive) or an attempt's end (negative)."""
        self.unreported_changes.append((now_ns, slots, memory))
        self.unreported_slots, self.unreported_memory, self.own_slots = (
            self.unreported_slots + slots,
            self.unreported_memory + memory,
            self.own_slots + slots,
        )
        self.discard_changes(now_ns - LOAD_REPORT_MAX_AGE_NS)

    def snapshot(self) -> WorkerSnapshot:
        """What the process that replaces this one needs to know of the worker."""
        return WorkerSnapshot(
            free_slots=self.free_slots,
            free_memory=self.free_memory,
            estimated_slots=self.estimated_slots,
            reported_ns=self.reported_ns,
            unreported_changes=tuple(LoadChange(*change) for change in self.unreported_changes),
            unreported_slots=self.unreported_slots,
            unreported_memory=self.unreported_memory,
            last_response_ns=self.last_response_ns,
            consecutive_rejections=self.consecutive_rejections,
            failure_score=self.failure_score,
            backoff_until_ns=self.backoff_until_ns,
            next_probe_ns=self.next_probe_ns,
            consecutive_probe_failures=self.consecutive_probe_failures,
            is_ejected=self.is_ejected,
            next_trial_ns=self.next_trial_ns,
            trial_backoff_ns=self.trial_backoff_ns,
            reinstated_ns=self.reinstated_ns,
            slow_start_sends=tuple(SlowStartSend(*send) for send in self.slow_start_sends),
            slow_start_budget_ns=self.slow_start_budget_ns,
            slow_start_budget_at_ns=self.slow_start_budget_at_ns,
        )

    def restore(self, snapshot: WorkerSnapshot) -> None:
        """Replace the state with that of an earlier process; the entry, attempts and report stay."""
        self.free_slots = snapshot.free_slots
        self.free_memory = snapshot.free_memory
        self.estimated_slots = snapshot.estimated_slots
        self.reported_ns = snapshot.reported_ns
        self.unreported_changes = deque(snapshot.unreported_changes)
        self.unreported_slots = snapshot.unreported_slots
        self.unreported_memory = snapshot.unreported_memory
        self.last_response_ns = snapshot.last_response_ns
        self.consecutive_rejections = snapshot.consecutive_rejections
        self.failure_score = snapshot.failure_score
        self.backoff_until_ns = snapshot.backoff_until_ns
        self.next_probe_ns = snapshot.next_probe_ns
        self.consecutive_probe_failures = snapshot.consecutive_probe_failures
        self.is_ejected = snapshot.is_ejected
        self.next_trial_ns = snapshot.next_trial_ns
        self.trial_backoff_ns = snapshot.trial_backoff_ns
        self.reinstated_ns = snapshot.reinstated_ns
        self.slow_start_sends = deque(snapshot.slow_start_sends)
        self.slow_start_budget_ns = snapshot.slow_start_budget_ns
        self.slow_start_budget_at_ns = snapshot.slow_start_budget_at_ns
