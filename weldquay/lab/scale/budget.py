"""The users' size and budget, and what the slopes come to there."""

from __future__ import annotations

import statistics
from collections.abc import Sequence

from weldquay.lab.scale.decisions import Cost
from weldquay.lab.scale.fleet import Played
from weldquay.lab.scale.results import SLOPES, Result, level

DISPATCHERS, WORKERS = 410, 1400
REQUESTS = 8100.0  # a second, all together
RATE = REQUESTS / DISPATCHERS
CHANGES = (
    2 * (16 + 520) / 86400
)  # of the list, a second: failures and restarts, a line for leaving and one back
CORE, MEMORY_MB, BYTES = 0.016, 256.0, 2000.0  # of one dispatcher, for control
CLOCK_S = 6.0  # so long after it was there a change of the list counts as told
Row = list[str]


def _cost(result: Result, workers: int = WORKERS) -> Cost | None:
    rows = [each for each in result.decisions if (each.workers, each.dispatchers) == (workers, DISPATCHERS)]
    return rows[0] if rows else None


def _point(result: Result, axis: str, field: str, value: float) -> Played | None:
    rows = [each for each in result.points if each.point.axis == axis]
    return next((each for each in rows if getattr(each.point, field) == value), None)


def _slope(result: Result, start: str) -> tuple[float, float] | None:
    """Medians of slope and base."""
    found = next(slope for slope in SLOPES if slope.name.startswith(start)).of(result)
    return None if found is None else (found[0].middle, found[1].middle)


def verdict(needed: float, allowed: float) -> str:
    """Fits or not, and by how much."""
    if needed <= allowed:
        return f"fits: {needed / allowed:.2f} of it"
    return f"does not fit: {needed / allowed:.1f} times as much"


def probe_cost(result: Result) -> float | None:
    """Microseconds a request that probes cost a dispatcher: the same point with and without them."""
    without = _point(result, "probes", "probes", False)
    with_them = _point(result, "requests", "real_rate", 20.0)
    if without is None or with_them is None:
        return None
    both = (
        level(each, "dispatcher.cpu").middle / max(1e-9, level(each, "real.requests").middle)
        for each in (with_them, without)
    )
    return (next(both) - next(both)) * 1e6


def lines(result: Result) -> list[Row]:
    """The budget's lines."""
    rows: list[Row] = []
    if (cost := _cost(result)) is not None:
        for name, times in (("played", cost.request_us), ("all workers have just reported", cost.told_us)):
            middle = statistics.median(times)
            part, low, high = (RATE * value / 1e6 for value in (middle, min(times), max(times)))
            rows.append(
                [
                    f"processor time, decisions, {name}",
                    f"{RATE:.1f} requests/s x {middle:,.0f} us = {part:.1%} of a core "
                    f"({low:.1%} to {high:.1%})",
                    f"{CORE:.1%}",
                    verdict(part, CORE),
                ]
            )
        part = CHANGES * statistics.median(cost.change_us) / 1e6
        text = f"{CHANGES:.4f} changes/s x {statistics.median(cost.change_us):,.0f} us = {part:.4%} of a core"
        rows.append(["processor time, list", text, f"{CORE:.1%}", verdict(part, CORE)])
    if (probes := probe_cost(result)) is not None:
        part = RATE * probes / 1e6
        text = f"{RATE:.1f} requests/s x {probes:,.0f} us (with less without probes) = {part:.1%} of a core"
        rows.append(["processor time, probes on sockets", text, f"{CORE:.1%}", verdict(max(0.0, part), CORE)])
    if (large := _point(result, "workers", "workers", WORKERS)) is not None:
        needed = level(large, "dispatcher.memory_mb").high
        text = f"{needed:.0f} MB resident with {WORKERS:,} workers, the whole process"
        rows.append(["memory", text, f"{MEMORY_MB:.0f} MB", verdict(needed, MEMORY_MB)])
    rows += _bytes(result)
    rows.append(
        [
            "machines set aside",
            "0 for what is built: dispatchers agree by settings alone; discovery is the site's",
            "25",
            "fits; members, shared counts, settings' versions, leases, bookings are planned: not measured",
        ]
    )
    return rows


def _bytes(result: Result) -> list[Row]:
    changes, usual = _slope(result, "list, bytes"), _point(result, "requests", "real_rate", 20.0)
    if changes is None or usual is None:
        return []
    listed = max(0.0, changes[1]) + CHANGES * changes[0]
    probes = level(usual, "real.probes_bytes").middle / level(usual, "real.requests").middle * RATE
    text = f"list {listed:.0f} B/s, probes {probes:,.0f} B/s: {listed + probes:,.0f} B/s"
    return [["bytes a second, both ways", text, f"{BYTES:,.0f} B/s", verdict(listed + probes, BYTES)]]


def crossing(rows: Sequence[tuple[float, float]], allowed: float) -> str:
    """Where a figure crosses what is allowed, on straight lines between the points."""
    before = (0.0, 0.0)
    for at, value in rows:
        if value > allowed:
            share = (allowed - before[1]) / (value - before[1])
            return f"{before[0] + share * (at - before[0]):,.0f}"
        before = (at, value)
    return f"not up to {rows[-1][0]:,.0f}"


def limits(result: Result) -> list[Row]:
    """The first limits met, by what grows."""
    rows: list[Row] = []
    costs = sorted((c for c in result.decisions if c.dispatchers == DISPATCHERS), key=lambda c: c.workers)
    for name in ("request_us", "told_us") if costs else ():
        points = [(float(c.workers), RATE * statistics.median(getattr(c, name)) / 1e6) for c in costs]
        word = "played" if name == "request_us" else "all workers have just reported"
        text = f"decisions over {CORE:.1%} of a core at {RATE:.1f} requests/s, {word}"
        rows.append(["workers in the list", text, f"{crossing(points, CORE)} workers"])
    if cost := _slope(result, "processor time a request"):
        at = (1e6 - cost[1]) / cost[0]
        text = "a dispatcher's one core is full (100 workers, 410 in the settings)"
        rows.append(["requests a second at a dispatcher", text, f"{at:,.0f} requests/s"])
    if memory := _slope(result, "memory a listed"):
        at = (MEMORY_MB * 1024 - memory[1]) / memory[0]
        rows.append(["workers in the list", f"a dispatcher over {MEMORY_MB:.0f} MB", f"{at:,.0f} workers"])
    if changes := _slope(result, "list, bytes"):
        at = (BYTES - changes[1]) / changes[0]
        rows.append(
            ["list changes", f"the list alone over {BYTES:,.0f} B/s a dispatcher", f"{at:,.1f} a second"]
        )
    if watch := _slope(result, "discovery: processor"):
        at = (1e6 - watch[1]) / watch[0]
        text = "one core of the discovery stand-in is full at 1 change/s (lines alone, not asks)"
        rows.append(["dispatchers", text, f"{at:,.0f} dispatchers"])
    if large := _point(result, "workers", "workers", WORKERS):
        whole = large.started_lists["real"]
        text = (
            f"a whole list is {whole / 1024:,.0f} KB; all {DISPATCHERS} ask within the list's {CLOCK_S:.0f} s"
        )
        rows.append(
            [
                "discovery starts anew",
                text,
                f"{whole * DISPATCHERS / CLOCK_S / 2**20:,.1f} MB/s for {CLOCK_S:.0f} s",
            ]
        )
    return rows
