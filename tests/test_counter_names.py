"""Counter names by outcome, response, failure or reason: every member has one, and the names are fixed."""

from __future__ import annotations

from typing import get_args

from weldquay import interface as api
from weldquay.net.connection_state import ConnectionState
from weldquay.net.connection_table import EVICTION_COUNTERS
from weldquay.net.counter_names import (
    ATTEMPT_COUNTERS,
    DISCOVERY_FAILURE_COUNTERS,
    LIST_COUNTERS,
    PROBE_COUNTERS,
    RESERVATION_COUNTERS,
)
from weldquay.net.operators import OPERATION_COUNTERS
from weldquay.net.request_table import RESULT_COUNTERS
from weldquay.net.requests import RequestResult
from weldquay.reservations.records import ReservationEndReason

OUTCOMES = [
    "ok",
    "error",
    "overloaded",
    "timeout",
    "connect_failed",
    "reset",
    "cancelled",
    "aborted_before_send",
    "unknown",
    "unprocessable",
]


def test_outcomes() -> None:
    """Each outcome of an attempt or a health check has a counter."""
    assert set(ATTEMPT_COUNTERS) == set(PROBE_COUNTERS) == set(api.Outcome)
    assert sorted(ATTEMPT_COUNTERS.values()) == sorted(f"attempts_{outcome}" for outcome in OUTCOMES)
    assert sorted(PROBE_COUNTERS.values()) == sorted(f"probes_{outcome}" for outcome in OUTCOMES)
    assert (ATTEMPT_COUNTERS[api.Outcome.OK], PROBE_COUNTERS[api.Outcome.OK]) == ("attempts_ok", "probes_ok")


def test_answers_and_lists() -> None:
    """Each response to a client and each kind of endpoint list update has a counter."""
    assert set(RESULT_COUNTERS) == set(get_args(RequestResult))
    assert sorted(RESULT_COUNTERS.values()) == ["requests_completed", "requests_failed", "requests_rejected"]
    assert set(LIST_COUNTERS) == set(api.EndpointListKind)
    assert sorted(LIST_COUNTERS.values()) == [
        "discovery_address_changes",
        "discovery_failures",
        "endpoint_lists_cached",
        "endpoint_lists_delta",
        "endpoint_lists_full",
        "endpoint_lists_unchanged",
    ]


def test_failures_of_discovery() -> None:
    """Each kind of failure of a poll or a watch has a counter."""
    assert set(DISCOVERY_FAILURE_COUNTERS) == set(api.DiscoveryFailure)
    assert sorted(DISCOVERY_FAILURE_COUNTERS.values()) == [
        "discovery_connect_timeouts",
        "discovery_polls_busy",
        "discovery_polls_refused",
        "discovery_polls_unanswered",
        "discovery_polls_unavailable",
        "discovery_watches_closed",
        "discovery_watches_silent",
    ]


def test_reservations() -> None:
    """Each reason for the end of a reservation has a counter."""
    reasons = {reason.value for reason in ReservationEndReason}
    assert len(reasons) == 12 and reasons == set(RESERVATION_COUNTERS)
    external_names = {
        "slipped": "delayed",
        "outbid": "preempted",
        "worker_out": "worker_unavailable",
        "job_over": "request_ended",
    }
    for reason, counter in RESERVATION_COUNTERS.items():
        assert counter == f"reservations_{external_names.get(reason, reason)}"


def test_evictions_and_operators() -> None:
    """Each state in which a connection can be evicted, and each operation of operators, has a counter."""
    assert set(EVICTION_COUNTERS) == set(ConnectionState) - {ConnectionState.WAITING}
    assert sorted(EVICTION_COUNTERS.values()) == [
        "client_connections_evicted_idle",
        "client_connections_evicted_lingering",
        "client_connections_evicted_reading",
    ]
    operations = ["in-service", "offline", "online", "out-of-service", "ready"]
    assert sorted(OPERATION_COUNTERS.values()) == [f"operators_{operation}" for operation in operations]
