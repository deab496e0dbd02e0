"""The names of counters that have one for each outcome, list event or end of a reservation.

Operators' dashboards use these names.  They are written out, so that classes and enum members can be renamed.
"""

from __future__ import annotations

from weldquay.interface import ListKind, Outcome

ATTEMPT_COUNTERS: dict[Outcome, str] = {
    Outcome.OK: "attempts_ok",
    Outcome.ERROR: "attempts_error",
    Outcome.FULL: "attempts_full",
    Outcome.TIMEOUT: "attempts_timeout",
    Outcome.CONNECT_FAILED: "attempts_connect_failed",
    Outcome.RESET: "attempts_reset",
    Outcome.CANCELLED: "attempts_cancelled",
    Outcome.MOOT: "attempts_moot",
    Outcome.UNKNOWN: "attempts_unknown",
    Outcome.REJECTED: "attempts_rejected",
}

PROBE_COUNTERS: dict[Outcome, str] = {
    Outcome.OK: "probes_ok",
    Outcome.ERROR: "probes_error",
    Outcome.FULL: "probes_full",
    Outcome.TIMEOUT: "probes_timeout",
    Outcome.CONNECT_FAILED: "probes_connect_failed",
    Outcome.RESET: "probes_reset",
    Outcome.CANCELLED: "probes_cancelled",
    Outcome.MOOT: "probes_moot",
    Outcome.UNKNOWN: "probes_unknown",
    Outcome.REJECTED: "probes_rejected",
}

LIST_COUNTERS: dict[ListKind, str] = {
    ListKind.DELTA: "lists_delta",
    ListKind.FULL: "lists_full",
    ListKind.CACHED: "lists_cached",
    ListKind.CURRENT: "lists_current",
    ListKind.MOVED: "lists_moved",
    ListKind.FAILED: "lists_failed",
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
