"""Soak rounds with fixed seeds; `python -m weldquay.lab.soak --seeds 50` runs more of them."""

from __future__ import annotations

import asyncio
import os
import subprocess
import sys
import time
from datetime import datetime
from pathlib import Path

import pytest

from weldquay.lab.soak import shim
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
from weldquay.lab.soak.misuse import LIMITS, draw_misuse_plan
from weldquay.lab.soak.plan import (
    CONNECTION_FLOOD_FRACTION,
    DiscoveryFault,
    ProcessFault,
    WorkerFault,
    draw_plan,
)
from weldquay.lab.soak.round import run_plan
from weldquay.lab.soak.shim import ERRORS, FIRED_TEXT, Call, CallFault
from weldquay.lab.stress.crowds import CrowdBehaviour
from weldquay.lab.stress.fast_peer import FastBehaviour
from weldquay.lab.stress.leavers import LeaverBehaviour

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


# In this order: see `python -m weldquay.lab.soak --misuse --seed N`, which prints the plan of a seed.
MISUSE_SEEDS = [1, 2, 3]


@pytest.mark.parametrize("seed", MISUSE_SEEDS)
def test_soak_round_with_misbehaving_clients_violates_no_rule(seed: int) -> None:
    """Crowds, a fast peer, clients that leave, kills, a stepped clock and failing system calls."""
    plan = draw_misuse_plan(seed)
    result = asyncio.run(run_plan(plan))
    print(plan.describe(), result.summary(), *result.violations, sep="\n")
    assert not result.violations, f"python -m weldquay.lab.soak --misuse --seed {seed}"
    assert result.statuses[200] > 0


def test_misuse_plan_depends_only_on_the_seed() -> None:
    """The first fifty seeds cover all behaviours, all failing calls, kills and limits."""
    plans = [draw_misuse_plan(seed) for seed in range(1, 51)]
    assert plans == [draw_misuse_plan(seed) for seed in range(1, 51)]
    misuses = [plan.misuse for plan in plans if plan.misuse is not None]
    behaviours = {each.behaviour for misuse in misuses for each in misuse.misuses}
    assert behaviours == {*CrowdBehaviour, *FastBehaviour, *LeaverBehaviour}
    calls = {fault.call for misuse in misuses for faults in misuse.call_faults for fault in faults}
    assert calls == set(Call) and any(misuse.kill_at_s is not None for misuse in misuses)
    assert {(misuse.memory_mb, misuse.sockets) for misuse in misuses} == set(LIMITS)


@pytest.mark.parametrize(
    ("call", "code"),
    [
        (Call.ACCEPT, "socket.create_server(('127.0.0.1', 0)).accept()"),
        (Call.CONNECT, "socket.create_connection(('127.0.0.1', 9))"),
        (Call.STATE_FILE, "pathlib.Path('f').write_bytes(b'')"),
        (
            Call.RECEIVE,
            "s = socket.create_server(('127.0.0.1', 0)); "
            "c = socket.socket(); c.connect(s.getsockname()); c.setblocking(False); c.recv(1)",
        ),
    ],
    ids=lambda value: value.name.lower() if isinstance(value, Call) else "",
)
def test_a_call_fault_fires(call: Call, code: str, tmp_path: Path) -> None:
    """The call fails with the drawn error, once the fault has started."""
    fault = CallFault(call, 0.0, 60.0, 1.0, ERRORS[call][0])
    process = subprocess.run(
        [
            sys.executable,
            "-c",
            f"import socket, pathlib\ntry:\n    {code}\nexcept OSError as e: print(e.errno)",
        ],
        env={**os.environ, **shim.environment((fault,))},
        cwd=tmp_path,
        capture_output=True,
        check=True,
        text=True,
    )
    assert process.stdout.strip() == str(ERRORS[call][0])
    assert f"{FIRED_TEXT} {call.name}" in process.stderr


def test_the_wall_clock_is_stepped_and_the_monotonic_clock_runs_on() -> None:
    """Both clocks of the process, in seconds and in nanoseconds."""
    fault = CallFault(Call.WALL_CLOCK, 0.0, 60.0, 1.0, 3600)
    code = "import time; print(time.time(), time.time_ns() / 1e9, time.monotonic())"
    process = subprocess.run(
        [sys.executable, "-c", code],
        env={**os.environ, **shim.environment((fault,))},
        capture_output=True,
        check=True,
        text=True,
    )
    wall_s, wall_ns_s, monotonic_s = map(float, process.stdout.split())
    assert abs(wall_s - time.time() - 3600) < 60 and abs(wall_ns_s - wall_s) < 60
    assert abs(monotonic_s - time.monotonic()) < 60
