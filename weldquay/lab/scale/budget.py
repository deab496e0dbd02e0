"""The users' size and budget, and what the slopes come to there."""

from __future__ import annotations

import statistics
from collections.abc import Sequence

import numpy as np

from weldquay.lab.scale.decisions import Cost
from weldquay.lab.scale.fleet import Played
from weldquay.lab.scale.results import SLOPES, Figure, Result, level, spread

DISPATCHERS, WORKERS = 410, 1400
REQUESTS = 8100.0  # a second, all together
RATE = REQUESTS / DISPATCHERS
CHANGES = (
    2 * (16 + 520) / 86400
)  # of the list, a second: failures and restarts, a line for leaving and one back
CORE, MEMORY_MB, BYTES = 0.016, 256.0, 2000.0  # of one dispatcher, for control
TENANTS, MODELS, SESSIONS, PREFIXES, SETTINGS_CHANGES = 2000, 23, 1_300_000, 15_000, 700
SETTINGS_S = 5.0  # by then a change of the settings is in force everywhere
ENTRY = 16  # bytes that an entry of a planned mechanism takes at the least: an id and a figure
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


def request_and_probe(result: Result) -> tuple[Figure, Figure] | None:
    """Microseconds of a dispatcher process for a request without its probes, and for a probe.

    Least squares over the axis of requests, for each repeat: the more requests, the fewer probes each has.
    """
    points = [each for each in result.points if each.point.axis == "requests"]
    if len(points) < 3:
        return None
    rows = []
    for windows in zip(*(each.windows for each in points), strict=True):
        found = [window.figures for window in windows]
        known = np.array([[each["real.requests"], each["real.probes"], 1.0] for each in found])
        spent = np.array([each["dispatcher.cpu"] * 1e6 for each in found])
        rows.append(np.linalg.lstsq(known, spent, rcond=None)[0])
    return spread([float(row[0]) for row in rows]), spread([float(row[1]) for row in rows])


def growth(result: Result) -> Figure | None:
    """Microseconds a request that a dispatcher process spends more at the users' workers than at ten."""
    small, large = (_point(result, "workers", "workers", count) for count in (10, WORKERS))
    if small is None or large is None:
        return None
    return spread(
        [
            1e6 * (b.figures["dispatcher.cpu"] - a.figures["dispatcher.cpu"]) / b.figures["real.requests"]
            for a, b in zip(small.windows, large.windows, strict=True)
        ]
    )


def control(result: Result, workers: int = WORKERS) -> list[tuple[str, str, Figure]]:
    """What control takes of a core at one dispatcher: name, how it comes about, the part of a core.

    The decisions are timed alone, in a loop that does nothing else; what a process spends is more (`growth`).
    """
    found: list[tuple[str, str, Figure]] = []
    if (cost := _cost(result, workers)) is not None:
        times, change_us = spread(cost.request_us), statistics.median(cost.change_us)
        text = f"{RATE:.1f} requests/s x {times.middle:,.0f} us"
        found.append(("decisions, played", text, times.times(RATE / 1e6)))
        text = f"{CHANGES:.4f} changes/s x {change_us:,.0f} us"
        found.append(("list changes", text, spread([CHANGES * change_us / 1e6])))
    large, fitted = _point(result, "whole", "workers", WORKERS), request_and_probe(result)
    if large is not None and fitted is not None:
        probes = level(large, "real.probes").middle
        text = f"{probes:.1f} probes/s x {fitted[1].middle:,.0f} us, sockets and decisions"
        found.append(("probes", text, fitted[1].times(probes / 1e6)))
    if (rest := _point(result, "requests", "real_rate", 0.0)) is not None:
        text = "a process without requests, 100 workers, 1 list change/s"
        found.append(("at rest", text, level(rest, "dispatcher.cpu")))
    return found


def total(parts: Sequence[tuple[str, str, Figure]]) -> Figure:
    """The sum of some parts; the spread is that of all at their least and all at their most."""
    figures = [part for _, _, part in parts]
    return Figure(
        sum(each.low for each in figures),
        sum(each.middle for each in figures),
        sum(each.high for each in figures),
    )


def share(part: Figure) -> str:
    """A part of a core with its spread."""
    return f"{part.middle:.2%} of a core ({part.low:.2%} to {part.high:.2%})"


def lines(result: Result) -> list[Row]:
    """The budget's lines."""
    rows: list[Row] = []
    parts = control(result)
    for name, text, part in parts:
        rows.append(
            [
                f"processor time: {name}",
                f"{text} = {share(part)}",
                "",
                f"{part.middle / CORE:.2f} of the line",
            ]
        )
    if len(parts) == 4:
        all_of_it = total(parts)
        row = ["processor time, these together", share(all_of_it), f"{CORE:.1%}"]
        rows.append([*row, verdict(all_of_it.middle, CORE)])
    if (more := growth(result)) is not None:
        part = more.times(RATE / 1e6)
        text = f"{RATE:.1f} requests/s x {more.middle:,.0f} us = {share(part)}"
        name = f"the same in a process: what {WORKERS:,} workers cost more than 10"
        rows.append([name, text, f"{CORE:.1%}", verdict(part.middle, CORE)])
    if (cost := _cost(result)) is not None:
        part = spread(cost.told_us).times(RATE / 1e6)
        text = f"{RATE:.1f} requests/s x {statistics.median(cost.told_us):,.0f} us = {share(part)}"
        name = "decisions, where all workers have just reported"
        rows.append([name, text, f"{CORE:.1%}", verdict(part.middle, CORE)])
    large = _point(result, "whole", "workers", WORKERS)
    if large is not None:
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


def control_bytes(result: Result) -> tuple[float, float] | None:
    """Bytes a second at a dispatcher, both ways: of the list and of probes."""
    changes, usual = _slope(result, "list, bytes"), _point(result, "whole", "workers", WORKERS)
    if changes is None or usual is None:
        return None
    listed = max(0.0, changes[1]) + CHANGES * changes[0]
    return listed, level(usual, "real.probes_bytes").middle / level(usual, "real.requests").middle * RATE


def _bytes(result: Result) -> list[Row]:
    if (found := control_bytes(result)) is None:
        return []
    listed, probes = found
    text = f"list {listed:.0f} B/s, probes {probes:,.0f} B/s: {listed + probes:,.0f} B/s"
    return [["bytes a second, both ways", text, f"{BYTES:,.0f} B/s", verdict(listed + probes, BYTES)]]


def planned(result: Result) -> list[Row]:
    """What the planned mechanisms may take at most: arithmetic on what the budget leaves."""
    found, large = control_bytes(result), _point(result, "whole", "workers", WORKERS)
    parts = control(result)
    if found is None or large is None or len(parts) < 4:
        return []
    left, core = max(1.0, BYTES - sum(found)), CORE - total(parts).middle
    memory = MEMORY_MB - level(large, "dispatcher.memory_mb").high
    pairs, sessions = TENANTS * MODELS, SESSIONS / DISPATCHERS
    room = f"{core:.2%} of a core is left" if core > 0 else f"none is left: {-core:.2%} of a core too much"
    return [
        ["all together", f"{left:,.0f} B/s, {memory:,.0f} MB; processor time: {room}"],
        ["members (SWIM)", f"a fixed number of messages a period, whatever the count; {DISPATCHERS} entries"],
        [
            "shared counts",
            f"{TENANTS:,} tenants x {MODELS} models = {pairs:,} pairs: told whole at {ENTRY} B each they "
            f"take {pairs * ENTRY / left:,.0f} s of all that is left, so only what changed: "
            f"{left / ENTRY:,.0f} a second",
        ],
        [
            "versioned settings",
            f"{SETTINGS_CHANGES / 86400:.4f} changes/s, each here within {SETTINGS_S:.0f} s: "
            f"{left * SETTINGS_S / 1024:,.1f} KB a change at the rate that is left",
        ],
        [
            "leases (sessions)",
            f"{SESSIONS:,} / {DISPATCHERS} = {sessions:,.0f} a dispatcher; at {ENTRY} B each renewed no more "
            f"often than every {sessions * ENTRY / left:,.0f} s; held by all they could take "
            f"{memory * 2**20 / SESSIONS:,.0f} B each",
        ],
        [
            "prefixes, bookings",
            f"{PREFIXES:,} prefixes at {ENTRY} B: {PREFIXES * ENTRY / 1024:,.0f} KB, told anew within "
            f"{PREFIXES * ENTRY / left:,.0f} s at the soonest",
        ],
    ]


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
    by_count = [(float(each.workers), control(result, each.workers)) for each in costs]
    told = [(float(each.workers), spread(each.told_us).times(RATE / 1e6)) for each in costs]
    sums = [(count, total(parts)) for count, parts in by_count if len(parts) == 4]
    for name, points in (("control", sums), ("decisions where all have just reported", told)):
        if points:
            text = f"{name}: over {CORE:.1%} of a core at {RATE:.1f} requests/s"
            least, usual, most = (
                crossing([(count, getattr(part, name)) for count, part in points], CORE)
                for name in ("high", "middle", "low")
            )
            rows.append(["workers in the list", text, f"{usual} workers (spread: {least} to {most})"])
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
    if large := _point(result, "whole", "workers", WORKERS):
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


def roles(result: Result) -> list[Row]:
    """Each role's figures as slope x count at the users' size."""
    large, found = _point(result, "whole", "workers", WORKERS), request_and_probe(result)
    fleet, changes = _point(result, "dispatchers", "dispatchers", DISPATCHERS), _slope(result, "list, bytes")
    if large is None or found is None or fleet is None or changes is None:
        return []

    def at(played: Played, name: str) -> float:
        return level(played, name).middle

    probes, connections = at(large, "real.probes"), at(large, "dispatcher.descriptors")
    attempts, callbacks = (
        _slope(result, f"{name}s a request") or (0.0, 0.0) for name in ("attempt", "callback")
    )
    memory, watch = _slope(result, "memory a listed"), _slope(result, "discovery: processor")
    assert memory is not None and watch is not None
    spent, lines_s = found[0].middle, 0.5 + CHANGES
    listed = large.started_lists["real"]
    return [
        [
            "dispatcher",
            "attempts",
            f"{attempts[0]:.2f} a request x {RATE:.1f}/s",
            f"{attempts[0] * RATE:.1f}/s",
        ],
        ["", "callbacks", f"{callbacks[0]:.2f} a request x {RATE:.1f}/s", f"{callbacks[0] * RATE:.1f}/s"],
        ["", "probes", f"measured with {DISPATCHERS} dispatchers, {WORKERS:,} workers", f"{probes:.1f}/s"],
        ["", "list", f"0.5 empty lines/s + {CHANGES:.4f} changes/s", f"{lines_s:.2f} lines/s"],
        [
            "",
            "processor time, all of a request but probes",
            f"{spent:,.0f} us ({found[0].low:,.0f} to {found[0].high:,.0f}) x {RATE:.1f}/s",
            f"{spent * RATE / 1e6:.1%} of a core",
        ],
        [
            "",
            "processor time, probes",
            f"{found[1].middle:,.0f} us ({found[1].low:,.0f} to {found[1].high:,.0f}) x {probes:.1f}/s",
            f"{found[1].middle * probes / 1e6:.1%} of a core",
        ],
        [
            "",
            "memory",
            f"{memory[1] / 1024:.1f} MB + {memory[0]:.2f} KB x {WORKERS:,} workers",
            f"{(memory[1] + memory[0] * WORKERS) / 1024:.1f} MB",
        ],
        [
            "",
            "descriptors",
            f"measured with {DISPATCHERS} dispatchers, {WORKERS:,} workers",
            f"{connections:.0f}",
        ],
        ["discovery", "watches, descriptors", f"1 x {DISPATCHERS}", f"{DISPATCHERS}"],
        ["", "lines", f"{lines_s:.2f}/s x {DISPATCHERS}", f"{lines_s * DISPATCHERS:.0f}/s"],
        [
            "",
            "bytes of changes",
            f"{changes[0]:.0f} B x {CHANGES:.4f}/s x {DISPATCHERS}",
            f"{changes[0] * CHANGES * DISPATCHERS:,.0f} B/s",
        ],
        [
            "",
            "bytes, all ask anew",
            f"{listed / WORKERS:.0f} B x {WORKERS:,} workers x {DISPATCHERS}",
            f"{listed * DISPATCHERS / 2**20:.0f} MB",
        ],
        [
            "",
            "processor time of the stand-in, 1 change/s",
            f"{watch[0]:.0f} us x {DISPATCHERS}",
            f"{watch[0] * DISPATCHERS / 1e6:.1%} of a core",
        ],
        [
            "a worker",
            "attempts",
            f"{REQUESTS:,.0f}/s / {WORKERS:,}",
            f"{REQUESTS * attempts[0] / WORKERS:.1f}/s",
        ],
        ["", "callbacks sent", f"{callbacks[0]:.2f} x", f"{REQUESTS * callbacks[0] / WORKERS:.1f}/s"],
        [
            "",
            "probes",
            f"{probes:.1f}/s x {DISPATCHERS} / {WORKERS:,}",
            f"{probes * DISPATCHERS / WORKERS:.1f}/s",
        ],
        [
            "",
            "connections from dispatchers",
            f"{at(large, 'real.open'):.1f} a dispatcher x {DISPATCHERS} / {WORKERS:,}",
            f"{at(large, 'real.open') * DISPATCHERS / WORKERS:.1f}",
        ],
        [
            "",
            "the same with 100 workers, 1 request/s a dispatcher",
            f"measured at {DISPATCHERS} dispatchers",
            f"{at(fleet, 'worker.connections'):.1f}",
        ],
    ]
