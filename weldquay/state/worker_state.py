"""Conversion of worker state to and from the snapshots that a hot restart migrates."""

from __future__ import annotations

from collections import deque

from weldquay.interface import LoadChange, SlowStartSend, WorkerSnapshot
from weldquay.state.records import Worker


def take_snapshot(worker: Worker) -> WorkerSnapshot:
    """Return a worker's state for the newer process of a hot restart."""
    return WorkerSnapshot(
        free_slots=worker.free_slots,
        free_memory=worker.free_memory,
        estimated_slots=worker.estimated_slots,
        reported_ns=worker.reported_ns,
        unreported_changes=tuple(LoadChange(*change) for change in worker.unreported_changes),
        unreported_slots=worker.unreported_slots,
        unreported_memory=worker.unreported_memory,
        last_response_ns=worker.last_response_ns,
        consecutive_rejections=worker.consecutive_rejections,
        failure_score=worker.failure_score,
        backoff_until_ns=worker.backoff_until_ns,
        next_probe_ns=worker.next_probe_ns,
        consecutive_probe_failures=worker.consecutive_probe_failures,
        is_ejected=worker.is_ejected,
        next_trial_ns=worker.next_trial_ns,
        trial_backoff_ns=worker.trial_backoff_ns,
        reinstated_ns=worker.reinstated_ns,
        slow_start_sends=tuple(SlowStartSend(*send) for send in worker.slow_start_sends),
        slow_start_budget_ns=worker.slow_start_budget_ns,
        slow_start_budget_at_ns=worker.slow_start_budget_at_ns,
    )


def restore_snapshot(worker: Worker, snapshot: WorkerSnapshot) -> None:
    """Restore a worker's state from the older process; entry, attempts in flight and report are kept."""
    worker.free_slots = snapshot.free_slots
    worker.free_memory = snapshot.free_memory
    worker.estimated_slots = snapshot.estimated_slots
    worker.reported_ns = snapshot.reported_ns
    worker.unreported_changes = deque(snapshot.unreported_changes)
    worker.unreported_slots = snapshot.unreported_slots
    worker.unreported_memory = snapshot.unreported_memory
    worker.last_response_ns = snapshot.last_response_ns
    worker.consecutive_rejections = snapshot.consecutive_rejections
    worker.failure_score = snapshot.failure_score
    worker.backoff_until_ns = snapshot.backoff_until_ns
    worker.next_probe_ns = snapshot.next_probe_ns
    worker.consecutive_probe_failures = snapshot.consecutive_probe_failures
    worker.is_ejected = snapshot.is_ejected
    worker.next_trial_ns = snapshot.next_trial_ns
    worker.trial_backoff_ns = snapshot.trial_backoff_ns
    worker.reinstated_ns = snapshot.reinstated_ns
    worker.slow_start_sends = deque(snapshot.slow_start_sends)
    worker.slow_start_budget_ns = snapshot.slow_start_budget_ns
    worker.slow_start_budget_at_ns = snapshot.slow_start_budget_at_ns
