"""The sizes at which measured lines reach a limit, and what the budget leaves for planned mechanisms."""

from __future__ import annotations

from collections.abc import Sequence

from weldquay.lab.scale.budget import CONTROL_PARTS, control_bytes, control_parts, sum_cores
from weldquay.lab.scale.results import Figure, Result, summarize, summarize_windows
from weldquay.lab.scale.targets import (
    CONTROL_BYTES_PER_S,
    CONTROL_CORES,
    DISPATCHERS,
    LIST_DEADLINE_S,
    MEMORY_MB,
    MIN_ENTRY_BYTES,
    MODELS,
    PREFIXES,
    REQUESTS_PER_S,
    SESSIONS,
    SETTINGS_CHANGES_PER_DAY,
    SETTINGS_DEADLINE_S,
    TENANTS,
    WORKERS,
    TableRow,
    find_line,
    find_point,
)


def planned_rows(result: Result) -> list[TableRow]:
    """Return the most that planned mechanisms may use, computed from what the budget leaves."""
    traffic, full_size = control_bytes(result), find_point(result, "whole", "workers", WORKERS)
    parts = control_parts(result)
    if traffic is None or full_size is None or len(parts) < CONTROL_PARTS:
        return []
    spare_bytes = max(1.0, CONTROL_BYTES_PER_S - traffic.total)
    spare_cores = CONTROL_CORES - sum_cores(parts).median
    spare_mb = MEMORY_MB - summarize_windows(full_size, "dispatcher.memory_mb").maximum
    pairs, sessions = TENANTS * MODELS, SESSIONS / DISPATCHERS
    core_text = (
        f"{spare_cores:.2%} of a core is left"
        if spare_cores > 0
        else f"none is left, {-spare_cores:.2%} of a core over the budget"
    )
    return [
        ["all together", f"{spare_bytes:,.0f} B/s, {spare_mb:,.0f} MB; processor time: {core_text}"],
        [
            "members (SWIM)",
            f"a fixed number of messages per period, whatever the number of members; {DISPATCHERS} entries",
        ],
        [
            "shared counts",
            f"{TENANTS:,} tenants x {MODELS} models = {pairs:,} pairs: at {MIN_ENTRY_BYTES} B each a full "
            f"transfer takes {pairs * MIN_ENTRY_BYTES / spare_bytes:,.0f} s of the whole remaining rate, so "
            f"only changes are sent: {spare_bytes / MIN_ENTRY_BYTES:,.0f} per second",
        ],
        [
            "versioned settings",
            f"{SETTINGS_CHANGES_PER_DAY / 86400:.4f} changes/s, each to arrive within "
            f"{SETTINGS_DEADLINE_S:.0f} s: {spare_bytes * SETTINGS_DEADLINE_S / 1024:,.1f} KB per change "
            f"at the remaining rate",
        ],
        [
            "leases (sessions)",
            f"{SESSIONS:,} / {DISPATCHERS} = {sessions:,.0f} per dispatcher; at {MIN_ENTRY_BYTES} B each "
            f"renewed at most once every {sessions * MIN_ENTRY_BYTES / spare_bytes:,.0f} s; if every "
            f"dispatcher holds all of them, at most {spare_mb * 2**20 / SESSIONS:,.0f} B each",
        ],
        [
            "prefixes, bookings",
            f"{PREFIXES:,} prefixes at {MIN_ENTRY_BYTES} B: {PREFIXES * MIN_ENTRY_BYTES / 1024:,.0f} KB, "
            f"sent in full in {PREFIXES * MIN_ENTRY_BYTES / spare_bytes:,.0f} s at the soonest",
        ],
    ]


def crossing(points: Sequence[tuple[float, float]], allowed: float) -> str:
    """Return the x at which a figure exceeds its limit, interpolated between (x, figure) points."""
    previous_x, previous_value = 0.0, 0.0
    for x, value in points:
        if value > allowed:
            fraction = (allowed - previous_value) / (value - previous_value)
            return f"{previous_x + fraction * (x - previous_x):,.0f}"
        previous_x, previous_value = x, value
    return f"not up to {points[-1][0]:,.0f}"


def limit_rows(result: Result) -> list[TableRow]:
    """Return the rows of the table of limits: what grows, and the first limit it reaches."""
    return [*_decision_limits(result), *_line_limits(result), *_discovery_restart(result)]


def _decision_limits(result: Result) -> list[TableRow]:
    """Return the numbers of workers at which decisions exceed the budget of processor time."""
    costs = sorted(
        (cost for cost in result.decisions if cost.dispatchers == DISPATCHERS), key=lambda cost: cost.workers
    )
    control_points: list[tuple[float, Figure]] = []
    all_reported_points: list[tuple[float, Figure]] = []
    for cost in costs:
        all_reported_points.append(
            (float(cost.workers), summarize(cost.all_reported_us).scaled(REQUESTS_PER_S / 1e6))
        )
        if len(parts := control_parts(result, cost.workers)) == CONTROL_PARTS:
            control_points.append((float(cost.workers), sum_cores(parts)))
    rows = []
    for name, points in (
        ("control", control_points),
        ("decisions where all workers have just reported", all_reported_points),
    ):
        if points:
            lowest = crossing([(workers, cores.maximum) for workers, cores in points], CONTROL_CORES)
            median = crossing([(workers, cores.median) for workers, cores in points], CONTROL_CORES)
            highest = crossing([(workers, cores.minimum) for workers, cores in points], CONTROL_CORES)
            text = f"{name}: over {CONTROL_CORES:.1%} of a core at {REQUESTS_PER_S:.1f} requests/s"
            rows.append(["workers in the list", text, f"{median} workers (range: {lowest} to {highest})"])
    return rows


def _line_limits(result: Result) -> list[TableRow]:
    """Return where a measured line reaches a limit."""
    rows = []
    if line := find_line(result, "processor time per request"):
        limit = (1e6 - line.base) / line.slope
        text = "one core of a dispatcher is fully used (100 workers, 410 in the settings)"
        rows.append(["requests/s at a dispatcher", text, f"{limit:,.0f} requests/s"])
    if line := find_line(result, "memory per listed"):
        limit = (MEMORY_MB * 1024 - line.base) / line.slope
        rows.append(
            [
                "workers in the list",
                f"a dispatcher uses more than {MEMORY_MB:.0f} MB",
                f"{limit:,.0f} workers",
            ]
        )
    if line := find_line(result, "list, bytes"):
        limit = (CONTROL_BYTES_PER_S - line.base) / line.slope
        text = f"the list alone takes more than {CONTROL_BYTES_PER_S:,.0f} B/s per dispatcher"
        rows.append(["list changes", text, f"{limit:,.1f} per second"])
    if line := find_line(result, "discovery: processor"):
        limit = (1e6 - line.base) / line.slope
        text = "one core of the discovery stand-in is fully used at 1 change/s (lines alone, without polls)"
        rows.append(["dispatchers", text, f"{limit:,.0f} dispatchers"])
    return rows


def _discovery_restart(result: Result) -> list[TableRow]:
    """Return the traffic after discovery restarts, when all dispatchers poll for the whole list."""
    if (full_size := find_point(result, "whole", "workers", WORKERS)) is None:
        return []
    list_bytes = full_size.started_lists["real"]
    text = (
        f"a whole list is {list_bytes / 1024:,.0f} KB; "
        f"all {DISPATCHERS} fetch it within the deadline of {LIST_DEADLINE_S:.0f} s"
    )
    rate = list_bytes * DISPATCHERS / LIST_DEADLINE_S / 2**20
    return [["discovery restarts", text, f"{rate:,.1f} MB/s for {LIST_DEADLINE_S:.0f} s"]]
