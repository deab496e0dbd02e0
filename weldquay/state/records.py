"""The state of requests, attempts and workers, which refer to each other.

All times are nanoseconds on the monotonic clock of the steps. "Own" sends and attempts are those of this
dispatcher. A worker's unreported load is the sum of own load changes that its last load report may not
contain; each send, outcome and report updates it.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Any

from weldquay.interface import (
    JobClass,
    LoadReport,
    RequestReceived,
    WorkerEntry,
)

SECOND_NS = 1_000_000_000
LOAD_REPORT_MAX_AGE_NS = 2 * SECOND_NS  # a load report older than this is not used
INITIAL_TRIAL_BACKOFF_NS = SECOND_NS  # backoff before the first trial of an ejected worker; it doubles
CAPACITY_INCREASE_RATE = 0.3  # smoothing factor for a sample above the estimated capacity
CAPACITY_DECREASE_RATE = 0.1  # smoothing factor for a sample below it, if busy requests are reported
# Smoothing factor for a sample below it, if the worker does not report its busy requests: those that other
# dispatchers sent are missing from the sample.
UNREPORTED_BUSY_DECREASE_RATE = 0.002


@dataclass(slots=True, eq=False)
class Job:
    """A client's request that has no final answer yet.

    Attributes:
        request: the request as received.
        class_settings: the settings of its class when it was received.
        first_received_ns: when it was received; for a client's retry, when the rejected request was.
        max_attempts: maximum number of attempts.
        deadline_ns: the time by which its final answer is due.
        attempts: number of attempts sent so far.
        in_flight: attempts without an outcome, by attempt number.
        possibly_executed: the first attempt that a worker may have executed.
        response_started: the client has received the beginning of a response.
        unprocessable: a worker found it invalid, so no other worker could process it.
        overload_count: attempts rejected as overloaded; from the second on, retries back off.
        retry_not_before_ns: no attempt is sent before this time.
        last_probed_ns: when workers were last probed for it.
        reservation_tried_ns: when capacity was last requested for it.
        probe_rounds: number of probe rounds for it so far.
        probed_workers: the workers probed in the last round.
        queue_priority: its priority in the queue, higher first (`weldquay/candidates/queue_order.py`).
        latest_start_ns: the latest start that is likely to be on time; computed with the priority.
        priority_valid_until_ns: until when priority and latest start are valid.
        estimate_version: version of the runtime estimates that they were computed from.
    """

    request: RequestReceived
    class_settings: JobClass
    first_received_ns: int
    max_attempts: int
    deadline_ns: int = 0
    attempts: int = 0
    in_flight: dict[int, Attempt] = field(default_factory=dict)
    possibly_executed: Attempt | None = None
    response_started: bool = False
    unprocessable: bool = False
    overload_count: int = 0
    retry_not_before_ns: int = 0
    last_probed_ns: int = 0
    reservation_tried_ns: int = 0
    probe_rounds: int = 0
    probed_workers: list[Worker] = field(default_factory=list)
    queue_priority: float = 0.0
    latest_start_ns: float = 0.0
    priority_valid_until_ns: float = -1
    estimate_version: int = 0


@dataclass(slots=True, eq=False)
class Attempt:
    """One send of a request to a worker, kept until its outcome is known, even if the request has ended.

    Attributes:
        job: the request.
        number: its number among the attempts of the request, from 0.
        worker: the worker.
        sent_ns: when it was sent.
        connection_idle_ns: how long its connection had been idle, in ns; 0: the connection was new or busy.
        cancelled: its cancellation was requested.
        started_ns: when the worker reported its start; 0: not reported.
    """

    job: Job
    number: int
    worker: Worker
    sent_ns: int
    connection_idle_ns: int = 0
    cancelled: bool = False
    started_ns: int = 0


@dataclass(slots=True, eq=False)
class WorkerGroup:
    """Workers with the same key. Each worker records its position, so that removal takes constant time.

    Attributes:
        key: the common key.
        members: the workers, in arbitrary order.
    """

    key: Any
    members: list[Worker] = field(default_factory=list)

    def add(self, worker: Worker) -> None:
        """Add a worker."""
        worker.group = self
        worker.group_position = len(self.members)
        self.members.append(worker)

    def remove(self, worker: Worker) -> None:
        """Remove a worker; the last member moves to its position."""
        last = self.members.pop()
        if last is not worker:
            self.members[worker.group_position] = last
            last.group_position = worker.group_position
        worker.group = None


@dataclass(slots=True, eq=False)
class Worker:
    """The state that this dispatcher keeps about one worker.

    Attributes:
        entry: its entry in the endpoint list.
        free_slots: free slots in its last load report, negative for queued requests; None without a report.
        free_memory: free memory in its last load report; None if unknown.
        estimated_slots: its capacity, estimated from its reports; 0 if unknown.
        report: its last load report.
        reported_ns: when the last load report arrived, whether its figures had changed or not.
        unreported_changes: own load changes that the last report may not contain: (time, slots, memory).
        unreported_slots: sum of the slots in `unreported_changes`.
        unreported_memory: sum of the memory in `unreported_changes`.
        in_flight_slots: slots of own attempts in flight.
        in_flight: own attempts without an outcome, by request id and attempt number.
        last_response_ns: when an own attempt last showed that the worker is alive.
        connection_idle_since_ns: since when the connection of an ended attempt has been idle; 0: none is.
        consecutive_rejections: number of attempts in a row that it rejected as overloaded.
        slowness: logarithm of its running time over that of its machine kind, and when it was measured.
        failure_score: grows with failed attempts and decays with successful ones.
        backoff_until_ns: no attempt is sent before this time, after a rejection or errors.
        probe_pending: a probe is in flight.
        next_probe_ns: no probe is sent before this time.
        consecutive_probe_failures: number of failed probes in a row.
        is_ejected: it gets no attempts until a probe or a trial succeeds.
        next_trial_ns: when an ejected worker is tried again.
        trial_backoff_ns: the backoff that the next ejection sets; it doubles each time.
        reinstated_ns: when operators lifted its ban, as it may have restarted while banned; 0: never.
        slow_start_sends: (age of the worker, work in ns) of each send while it was warming up.
        slow_start_budget_ns: the work that may still be sent while it is warming up.
        slow_start_budget_at_ns: when that budget was computed; -1: it must be recomputed.
        report_sequence: sequence number of its last report among the reports of all workers.
        list_position: its position in the list of ready workers; -1: it is not listed there.
        group: its group, maintained by `weldquay/candidates`.
        group_position: its position in that group.
        recheck_ns: the next time at which its group may change without an event; -1: there is none.
    """

    entry: WorkerEntry
    free_slots: float | None = None
    free_memory: float | None = None
    estimated_slots: float = 0.0
    report: LoadReport | None = None
    reported_ns: int = -LOAD_REPORT_MAX_AGE_NS
    unreported_changes: deque[tuple[int, float, float]] = field(default_factory=deque)
    unreported_slots: float = 0.0
    unreported_memory: float = 0.0
    in_flight_slots: float = 0.0
    in_flight: dict[tuple[int, int], Attempt] = field(default_factory=dict)
    last_response_ns: int = 0
    connection_idle_since_ns: int = 0
    consecutive_rejections: int = 0
    slowness: tuple[float, int] = (0.0, 0)
    failure_score: float = 0.0
    backoff_until_ns: int = 0
    probe_pending: bool = False
    next_probe_ns: int = 0
    consecutive_probe_failures: int = 0
    is_ejected: bool = False
    next_trial_ns: int = 0
    trial_backoff_ns: int = INITIAL_TRIAL_BACKOFF_NS
    reinstated_ns: int = 0
    slow_start_sends: deque[tuple[int, float]] = field(default_factory=deque)
    slow_start_budget_ns: float = 0.0
    slow_start_budget_at_ns: int = -1
    report_sequence: int = 0
    list_position: int = -1
    group: WorkerGroup | None = None
    group_position: int = 0
    recheck_ns: int = -1

    @property
    def started_ns(self) -> int:
        """When its last slow start began, if known; 0: long ago."""
        return max(self.entry.started_ns, self.reinstated_ns)

    def has_unstarted_attempt(self, before_ns: int) -> bool:
        """Return whether the start of an own attempt sent before this time has not been reported."""
        return bool(self.in_flight) and any(
            [not attempt.started_ns and attempt.sent_ns < before_ns for attempt in self.in_flight.values()]
        )

    def unresponsive_ns(self, now_ns: int) -> int:
        """Return how long the worker has not responded while own attempts are in flight; 0 if none are."""
        sent_times = [attempt.sent_ns for attempt in self.in_flight.values() if not attempt.cancelled]
        return now_ns - max(self.last_response_ns, min(sent_times)) if sent_times else 0

    def may_be_probed(self, now_ns: int, fresh_ns: int) -> bool:
        """Return whether its load report is older than `fresh_ns` and no backoff is in force."""
        return now_ns - self.reported_ns > fresh_ns and now_ns >= max(
            self.next_probe_ns, self.backoff_until_ns, self.is_ejected * self.next_trial_ns
        )

    def reset(self, now_ns: int) -> None:
        """Discard the state of an earlier process of the worker."""
        self.free_slots = None
        self.report = None
        self.failure_score = 0
        self.backoff_until_ns = 0
        self.next_probe_ns = 0
        self.discard_load_changes(now_ns + 1)
        self.slow_start_sends.clear()
        self.clear_ejection()

    def clear_ejection(self) -> None:
        """End the ejection of a worker that has responded, and reset its backoff and failure counts."""
        self.is_ejected = False
        self.consecutive_probe_failures = 0
        self.trial_backoff_ns = INITIAL_TRIAL_BACKOFF_NS
        self.consecutive_rejections = 0

    def apply_load_report(
        self, now_ns: int, report: LoadReport, report_lag_ns: int, queues_in_order: bool = False
    ) -> None:
        """Apply a load report with new figures.

        Args:
            now_ns: time of the step.
            report: the report. It is ignored if it has no free slots and they cannot be computed from busy
                requests and a known capacity.
            report_lag_ns: own load changes within this time are kept, as the report may not contain them.
            queues_in_order: the worker serves its queue in order, so that free slots cannot be used while
                requests wait.
        """
        free = report.free_slots
        if free is None and report.busy_requests is not None and self.estimated_slots:
            free = self.estimated_slots - report.busy_requests
        if free is None:
            return
        busy = report.busy_requests if report.busy_requests is not None else self.in_flight_slots
        self._update_estimated_slots(free, busy, report.busy_requests is not None)
        queued = report.queued_requests
        is_queue_blocked = queues_in_order and (queued or 0.0) >= 0.5
        if free < 0.5 or is_queue_blocked:
            if queued is None:
                queued = max(0.0, busy - max(self.estimated_slots, 1.0))
            self.free_slots = -float(round(queued))
        else:
            self.free_slots = float(round(free))
        self.free_memory = report.free_memory
        self.discard_load_changes(now_ns - report_lag_ns)

    def _update_estimated_slots(self, free: float, busy: float, is_busy_reported: bool) -> None:
        """Update the estimated capacity from a report.

        Some requests of a full worker may be queued, so they count at most up to the estimate.
        """
        if not self.estimated_slots:
            self.estimated_slots = free + busy
            return
        sample = free + (busy if free >= 0.5 else min(busy, self.estimated_slots))
        if sample > self.estimated_slots:
            rate = CAPACITY_INCREASE_RATE
        else:
            rate = CAPACITY_DECREASE_RATE if is_busy_reported else UNREPORTED_BUSY_DECREASE_RATE
        self.estimated_slots += rate * (sample - self.estimated_slots)

    def discard_load_changes(self, before_ns: int) -> None:
        """Discard own load changes from before this time."""
        changes = self.unreported_changes
        while changes and changes[0][0] < before_ns:
            _, slots, memory = changes.popleft()
            self.unreported_slots -= slots
            self.unreported_memory -= memory

    def record_load_change(self, now_ns: int, slots: float, memory: float) -> None:
        """Record the load of an own send (positive) or of an ended attempt (negative)."""
        self.unreported_changes.append((now_ns, slots, memory))
        self.unreported_slots += slots
        self.unreported_memory += memory
        self.in_flight_slots += slots
        self.discard_load_changes(now_ns - LOAD_REPORT_MAX_AGE_NS)
