"""The counter names for each outcome, endpoint list update, discovery failure and reservation end reason.

Operators' dashboards use these names, so they are independent of the names of classes and enum members.
"""

from __future__ import annotations

from weldquay.interface import DiscoveryFailure, EndpointListKind, Outcome

ATTEMPT_COUNTERS: dict[Outcome, str] = {
    Outcome.OK: "attempts_ok",
    Outcome.ERROR: "attempts_error",
    Outcome.OVERLOADED: "attempts_overloaded",
    Outcome.TIMEOUT: "attempts_timeout",
    Outcome.CONNECT_FAILED: "attempts_connect_failed",
    Outcome.RESET: "attempts_reset",
    Outcome.CANCELLED: "attempts_cancelled",
    Outcome.ABORTED_BEFORE_SEND: "attempts_aborted_before_send",
    Outcome.UNKNOWN: "attempts_unknown",
    Outcome.UNPROCESSABLE: "attempts_unprocessable",
}

PROBE_COUNTERS: dict[Outcome, str] = {
    Outcome.OK: "probes_ok",
    Outcome.ERROR: "probes_error",
    Outcome.OVERLOADED: "probes_overloaded",
    Outcome.TIMEOUT: "probes_timeout",
    Outcome.CONNECT_FAILED: "probes_connect_failed",
    Outcome.RESET: "probes_reset",
    Outcome.CANCELLED: "probes_cancelled",
    Outcome.ABORTED_BEFORE_SEND: "probes_aborted_before_send",
    Outcome.UNKNOWN: "probes_unknown",
    Outcome.UNPROCESSABLE: "probes_unprocessable",
}

LIST_COUNTERS: dict[EndpointListKind, str] = {
    EndpointListKind.DELTA: "endpoint_lists_delta",
    EndpointListKind.FULL: "endpoint_lists_full",
    EndpointListKind.CACHED: "endpoint_lists_cached",
    EndpointListKind.UNCHANGED: "endpoint_lists_unchanged",
    EndpointListKind.ADDRESS_CHANGED: "discovery_address_changes",
    EndpointListKind.FAILED: "discovery_failures",
}

DISCOVERY_FAILURE_COUNTERS: dict[DiscoveryFailure, str] = {
    DiscoveryFailure.REFUSED: "discovery_polls_refused",
    DiscoveryFailure.UNAVAILABLE: "discovery_polls_unavailable",
    DiscoveryFailure.CONNECT_TIMEOUT: "discovery_connect_timeouts",
    DiscoveryFailure.CLOSED: "discovery_watches_closed",
    DiscoveryFailure.HEARTBEAT_TIMEOUT: "discovery_watches_silent",
    DiscoveryFailure.RESPONSE_TIMEOUT: "discovery_polls_unanswered",
    DiscoveryFailure.BUSY: "discovery_polls_busy",
}

RESERVATION_COUNTERS: dict[str, str] = {
    "placed": "reservations_placed",
    "queued": "reservations_queued",
    "too_late": "reservations_too_late",
    "slipped": "reservations_delayed",
    "moved": "reservations_moved",
    "outbid": "reservations_preempted",
    "worker_out": "reservations_worker_unavailable",
    "no_hint": "reservations_no_hint",
    "bad_hints": "reservations_bad_hints",
    "overload": "reservations_overload",
    "job_over": "reservations_request_ended",
    "reload": "reservations_reload",
}
