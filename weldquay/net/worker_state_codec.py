"""The wire format of a worker's state in the hot-restart message `worker`.

Processes of other releases send and expect these names, so they are independent of the names of
`WorkerSnapshot` or any other class.  Their order is part of the format.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from weldquay.interface import UNKNOWN_WORKER, LoadChange, SlowStartSend, WorkerSnapshot

FREE_SLOTS = "free"
FREE_MEMORY = "free_memory"
ESTIMATED_SLOTS = "size"
REPORTED = "report_ns"
UNREPORTED_CHANGES = "changes"
UNREPORTED_SLOTS = "changed"
UNREPORTED_MEMORY = "changed_memory"
LAST_RESPONSE = "job_sign_ns"
CONSECUTIVE_REJECTIONS = "refusals"
FAILURE_SCORE = "errors"
BACKOFF_UNTIL = "rest_ns"
NEXT_PROBE = "next_probe_ns"
CONSECUTIVE_PROBE_FAILURES = "strikes"
IS_EJECTED = "suspect"
NEXT_TRIAL = "trial_ns"
TRIAL_BACKOFF = "backoff_ns"
REINSTATED = "back_ns"
SLOW_START_SENDS = "pushed"
SLOW_START_BUDGET = "cold_room"
SLOW_START_BUDGET_AT = "cold_ns"


def encode_worker_state(snapshot: WorkerSnapshot) -> dict[str, Any]:
    """Encode a snapshot as a JSON object, with its names in the order of the wire format."""
    return {
        FREE_SLOTS: snapshot.free_slots,
        FREE_MEMORY: snapshot.free_memory,
        ESTIMATED_SLOTS: snapshot.estimated_slots,
        REPORTED: snapshot.reported_ns,
        UNREPORTED_CHANGES: [
            [change.at_ns, change.slots, change.memory] for change in snapshot.unreported_changes
        ],
        UNREPORTED_SLOTS: snapshot.unreported_slots,
        UNREPORTED_MEMORY: snapshot.unreported_memory,
        LAST_RESPONSE: snapshot.last_response_ns,
        CONSECUTIVE_REJECTIONS: snapshot.consecutive_rejections,
        FAILURE_SCORE: snapshot.failure_score,
        BACKOFF_UNTIL: snapshot.backoff_until_ns,
        NEXT_PROBE: snapshot.next_probe_ns,
        CONSECUTIVE_PROBE_FAILURES: snapshot.consecutive_probe_failures,
        IS_EJECTED: snapshot.is_ejected,
        NEXT_TRIAL: snapshot.next_trial_ns,
        TRIAL_BACKOFF: snapshot.trial_backoff_ns,
        REINSTATED: snapshot.reinstated_ns,
        SLOW_START_SENDS: [[send.worker_age_ns, send.work_ns] for send in snapshot.slow_start_sends],
        SLOW_START_BUDGET: snapshot.slow_start_budget_ns,
        SLOW_START_BUDGET_AT: snapshot.slow_start_budget_at_ns,
    }


def decode_worker_state(state: Mapping[str, Any]) -> WorkerSnapshot:
    """Decode a snapshot from a JSON object.

    Unknown names are ignored.  A missing name has the value of `UNKNOWN_WORKER`.
    """
    default = UNKNOWN_WORKER
    return WorkerSnapshot(
        free_slots=state.get(FREE_SLOTS, default.free_slots),
        free_memory=state.get(FREE_MEMORY, default.free_memory),
        estimated_slots=state.get(ESTIMATED_SLOTS, default.estimated_slots),
        reported_ns=state.get(REPORTED, default.reported_ns),
        unreported_changes=tuple(
            LoadChange(at_ns, slots, memory) for at_ns, slots, memory in state.get(UNREPORTED_CHANGES, ())
        ),
        unreported_slots=state.get(UNREPORTED_SLOTS, default.unreported_slots),
        unreported_memory=state.get(UNREPORTED_MEMORY, default.unreported_memory),
        last_response_ns=state.get(LAST_RESPONSE, default.last_response_ns),
        consecutive_rejections=state.get(CONSECUTIVE_REJECTIONS, default.consecutive_rejections),
        failure_score=state.get(FAILURE_SCORE, default.failure_score),
        backoff_until_ns=state.get(BACKOFF_UNTIL, default.backoff_until_ns),
        next_probe_ns=state.get(NEXT_PROBE, default.next_probe_ns),
        consecutive_probe_failures=state.get(CONSECUTIVE_PROBE_FAILURES, default.consecutive_probe_failures),
        is_ejected=state.get(IS_EJECTED, default.is_ejected),
        next_trial_ns=state.get(NEXT_TRIAL, default.next_trial_ns),
        trial_backoff_ns=state.get(TRIAL_BACKOFF, default.trial_backoff_ns),
        reinstated_ns=state.get(REINSTATED, default.reinstated_ns),
        slow_start_sends=tuple(
            SlowStartSend(age_ns, work_ns) for age_ns, work_ns in state.get(SLOW_START_SENDS, ())
        ),
        slow_start_budget_ns=state.get(SLOW_START_BUDGET, default.slow_start_budget_ns),
        slow_start_budget_at_ns=state.get(SLOW_START_BUDGET_AT, default.slow_start_budget_at_ns),
    )
