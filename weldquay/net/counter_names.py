"""The names of the counters that exist for each outcome, list update or end of a reservation.

Operators' dashboards use these names, so they do not follow the names of classes or enum members.
"""

from __future__ import annotations

from weldquay.interface import EndpointListKind, Outcome

ATTEMPT_COUNTERS: dict[Outcome, str] = {
    Outcome.OK: "attempts_ok",
    Outcome.ERROR: "attempts_error",
    Outcome.OVERLOADED: "attempts_full",
    Outcome.TIMEOUT: "attempts_timeout",
    Outcome.CONNECT_FAILED: "attempts_connect_failed",
    Outcome.RESET: "attempts_reset",
    Outcome.CANCELLED: "attempts_cancelled",
    Outcome.ABORTED_BEFORE_SEND: "attempts_moot",
    Outcome.UNKNOWN: "attempts_unknown",
    Outcome.UNPROCESSABLE: "attempts_rejected",
}

PROBE_COUNTERS: dict[Outcome, str] = {
    Outcome.OK: "probes_ok",
    Outcome.ERROR: "probes_error",
    Outcome.OVERLOADED: "probes_full",
    Outcome.TIMEOUT: "probes_timeout",
    Outcome.CONNECT_FAILED: "probes_connect_failed",
    Outcome.RESET: "probes_reset",
    Outcome.CANCELLED: "probes_cancelled",
    Outcome.ABORTED_BEFORE_SEND: "probes_moot",
    Outcome.UNKNOWN: "probes_unknown",
    Outcome.UNPROCESSABLE: "probes_rejected",
}

LIST_COUNTERS: dict[EndpointListKind, str] = {
    EndpointListKind.DELTA: "lists_delta",
    EndpointListKind.FULL: "lists_full",
    EndpointListKind.CACHED: "lists_cached",
    EndpointListKind.UNCHANGED: "lists_current",
    EndpointListKind.ADDRESS_CHANGED: "lists_moved",
    EndpointListKind.FAILED: "lists_failed",
}

RESERVATION_COUNTERS: dict[str, str] = {
    "placed": "holds_placed",
    "queued": "holds_queued",
    "too_late": "holds_too_late",
    "slipped": "holds_slipped",
    "moved": "holds_moved",
    "outbid": "holds_outbid",
    "worker_out": "holds_worker_out",
    "no_hint": "holds_no_hint",
    "bad_hints": "holds_bad_hints",
    "overload": "holds_overload",
    "job_over": "holds_job_over",
    "reload": "holds_reload",
}
