"""The wire format of a job class's settings in the hot-restart message `client`.

Processes of other releases send and expect these names, which are those of the settings, so they are
independent of the names of `JobClass` and its fields.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from weldquay.interface import DeduplicationScope, Idempotency, JobClass
from weldquay.settings import IDEMPOTENCY_BY_EFFECT, SCOPES_BY_GROUP

LATENCY_OBJECTIVE = "aim_ns"
CLIENT_TIMEOUT = "give_up_ns"
EFFECT = "effect"
SCOPE = "group"
WINDOW = "window_ns"
PRIORITY_WEIGHT = "worth"
LATE_WEIGHT = "late_value"
RUNTIME_ALLOWANCE = "aim_stretch"
STREAMS_RESPONSE = "streams"

EFFECT_NAMES = {idempotency: name for name, idempotency in IDEMPOTENCY_BY_EFFECT.items()}
SCOPE_NAMES = {scope: name for name, scope in SCOPES_BY_GROUP.items()}


def encode_class_settings(job_class: JobClass) -> dict[str, Any]:
    """Encode the settings as a JSON object, except the machine kind, whose number depends on the file."""
    return {
        LATENCY_OBJECTIVE: job_class.latency_objective_ns,
        CLIENT_TIMEOUT: job_class.client_timeout_ns,
        EFFECT: EFFECT_NAMES[job_class.idempotency],
        SCOPE: SCOPE_NAMES[job_class.deduplication_scope],
        WINDOW: job_class.idempotency_window_ns,
        PRIORITY_WEIGHT: job_class.priority_weight,
        LATE_WEIGHT: job_class.late_weight,
        RUNTIME_ALLOWANCE: job_class.runtime_allowance,
        STREAMS_RESPONSE: job_class.streams_response,
    }


def decode_class_settings(fields: Mapping[str, Any] | None) -> JobClass | None:
    """Decode the settings; an unknown effect or scope is taken for the most restrictive one.

    Returns:
        None if they are absent or lack a time: the sender runs a release that does not send them.
    """
    if fields is None or not {LATENCY_OBJECTIVE, CLIENT_TIMEOUT} <= fields.keys():
        return None
    return JobClass(
        latency_objective_ns=fields[LATENCY_OBJECTIVE],
        client_timeout_ns=fields[CLIENT_TIMEOUT],
        idempotency=IDEMPOTENCY_BY_EFFECT.get(fields.get(EFFECT, ""), Idempotency.NON_IDEMPOTENT),
        deduplication_scope=SCOPES_BY_GROUP.get(fields.get(SCOPE, ""), DeduplicationScope.CELL),
        idempotency_window_ns=fields.get(WINDOW, 0),
        priority_weight=fields.get(PRIORITY_WEIGHT, 1.0),
        late_weight=fields.get(LATE_WEIGHT, 0.0),
        runtime_allowance=fields.get(RUNTIME_ALLOWANCE, 0.0),
        streams_response=fields.get(STREAMS_RESPONSE, False),
    )
