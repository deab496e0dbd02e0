"""Soak rounds with fixed seeds; `python -m weldquay.lab.soak --seeds 50` runs more of them."""

from __future__ import annotations

import asyncio
import time
from datetime import datetime

import pytest

from weldquay.lab.soak.clients import RequestOutcome, SentRequest
from weldquay.lab.soak.held_requests import (
    LEASE_EXPIRED_TEXT,
    LEASE_VALID_TEXT,
    LOG_TIME_FORMAT,
    MAX_RECOVERY_S,
    Interval,
    held_time_fraction,
    intervals_without_lease,
    is_held_request,
)
from weldquay.lab.soak.plan import (
    CONNECTION_FLOOD_FRACTION,
    DiscoveryFault,
    ProcessFault,
    WorkerFault,
    draw_plan,
)
from weldquay.lab.soak.round import run_plan

# In this order: a drain during a brief recovery of discovery, SIGTERM right after a start, a connection
# flood, repeated discovery outages, and silent watches.
SEEDS = [4, 5, 7, 17, 20]

# Each round must have more requests with status 200, if the dispatchers have valid leases all the time.
MIN_COMPLETED_REQUESTS = 500


@pytest.mark.parametrize("seed", SEEDS)
def test_soak_round_violates_no_rule(seed: int) -> None:
    """A failed round prints its plan and its violations.

    Clients whose requests are held without a valid lease send fewer requests.  The minimum of completed
    requests is reduced by the fraction of the time that they wait for these, and by nothing else.
    """
    plan = draw_plan(seed)
    result = asyncio.run(run_plan(plan))
    print(plan.describe(), result.summary(), *result.violations, sep="\n")
    assert not result.violations, f"python -m weldquay.lab.soak --seed {seed}"
    assert result.statuses[200] > MIN_COMPLETED_REQUESTS * (1 - result.held_fraction)


def sent_request(
    sent_at: float, ended_at: float, status: int, outcome: RequestOutcome = RequestOutcome.ANSWERED
) -> SentRequest:
    """Return a request with this outcome."""
    return SentRequest("soak-1", "127.0.0.1:1", True, False, sent_at, ended_at, outcome, status)


def test_only_requests_rejected_without_a_lease_in_an_outage_count_as_held() -> None:
    """A rejection counts neither with a valid lease nor when discovery has long been reachable again."""
    outages = [Interval(100.0, 101.0)]
    without_lease = [Interval(100.5, 120.0)]
    last_s = 101.0 + MAX_RECOVERY_S

    assert is_held_request(sent_request(100.2, 100.7, 503), without_lease, outages)
    assert is_held_request(sent_request(last_s - 0.1, last_s + 0.4, 503), without_lease, outages)
    assert not is_held_request(sent_request(last_s + 0.1, last_s + 0.6, 503), without_lease, outages)
    assert not is_held_request(sent_request(100.6, 101.1, 503), without_lease, [])
    assert not is_held_request(sent_request(100.0, 100.4, 503), without_lease, outages)
    assert not is_held_request(sent_request(100.6, 101.1, 503), [], outages)
    for status in (200, 429, 502):
        assert not is_held_request(sent_request(100.6, 101.1, status), without_lease, outages)
    closed = sent_request(100.6, 101.1, 0, RequestOutcome.CLOSED_UNANSWERED)
    assert not is_held_request(closed, without_lease, outages)


def test_held_time_is_a_fraction_of_the_time_of_all_clients() -> None:
    """Two held requests of 0.5 s are a tenth of a round of 5 s with two clients."""
    held = [sent_request(1.0, 1.5, 503), sent_request(2.0, 2.5, 503)]
    requests = [sent_request(0.0, 0.1, 200), *held, sent_request(4.9, 5.0, 200)]
    assert held_time_fraction(requests, held, clients=2) == pytest.approx(0.1)
    assert held_time_fraction(requests, [], clients=2) == 0
    assert held_time_fraction([], [], clients=2) == 0


def test_intervals_without_a_lease_are_read_from_the_log() -> None:
    """An interval whose end is not logged lasts until the last record; lines without a time are ignored."""
    now_s = time.time()

    def log_line(after_s: float, text: str) -> str:
        logged_time = datetime.fromtimestamp(now_s + after_s).strftime(LOG_TIME_FORMAT)[:-3]
        return f"{logged_time} INFO weldquay.net.endpoint_list_adapter: {text}"

    lines = [
        log_line(0, "d0 is serving"),
        log_line(1, f"{LEASE_EXPIRED_TEXT}: requests are held until discovery responds"),
        log_line(2, f"{LEASE_VALID_TEXT}: requests are no longer held"),
        log_line(3, f"{LEASE_EXPIRED_TEXT}: requests are held until discovery responds"),
        log_line(5, "d0 is stopped"),
        "a line without a time",
    ]
    offset_s = time.monotonic() - time.time() + now_s
    assert [
        (interval.started_at - offset_s, interval.ended_at - offset_s)
        for interval in intervals_without_lease(lines)
    ] == [pytest.approx((1, 2), abs=0.1), pytest.approx((3, 5), abs=0.1)]
    assert len(intervals_without_lease(lines[:3])) == 1
    assert intervals_without_lease(lines[:1]) == []


def test_plan_depends_only_on_the_seed() -> None:
    """A seed always gives the same plan, and the first fifty seeds cover all faults."""
    plans = [draw_plan(seed) for seed in range(1, 51)]
    assert plans == [draw_plan(seed) for seed in range(1, 51)]
    assert {fault.fault for plan in plans for fault in plan.process_faults} == set(ProcessFault)
    assert {fault.fault for plan in plans for fault in plan.worker_faults} == set(WorkerFault)
    assert {plan.discovery_fault for plan in plans} == set(DiscoveryFault)
    assert 0 < sum(plan.has_connection_flood for plan in plans) < 2 * CONNECTION_FLOOD_FRACTION * len(plans)
