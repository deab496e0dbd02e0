"""The cost of a dispatcher's control work in the users' fleet, compared with its budget."""

from __future__ import annotations

import statistics
from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np

from weldquay.lab.scale.results import Figure, Result, summarize, summarize_windows
from weldquay.lab.scale.targets import (
    CONTROL_BYTES_PER_S,
    CONTROL_CORES,
    LIST_CHANGES_PER_S,
    MEMORY_MB,
    REQUESTS_PER_S,
    WORKERS,
    TableRow,
    find_cost,
    find_line,
    find_point,
)

CONTROL_PARTS = 4  # number that `control_parts` returns if all of them were measured


@dataclass(frozen=True, slots=True)
class ControlPart:
    """One part of the control work: name, how its cost is derived, and cost as a fraction of a core."""

    name: str
    derivation: str
    cores: Figure


@dataclass(frozen=True, slots=True)
class ControlTraffic:
    """Control traffic of one dispatcher in bytes per second, both directions."""

    list_bytes: float
    probe_bytes: float

    @property
    def total(self) -> float:
        """Return all control bytes per second."""
        return self.list_bytes + self.probe_bytes


@dataclass(frozen=True, slots=True)
class ProcessCost:
    """Microseconds of a dispatcher process for a request without its probes, and for a probe."""

    request_us: Figure
    probe_us: Figure


def verdict(needed: float, allowed: float) -> str:
    """Return as text whether a need fits the budget, with the ratio of the two."""
    if needed <= allowed:
        return f"fits: {needed / allowed:.2f} of the budget"
    return f"does not fit: {needed / allowed:.1f} times the budget"


def fit_process_cost(result: Result) -> ProcessCost | None:
    """Return the cost of a request and of a probe, or None if fewer than three points were measured.

    The costs are fitted by least squares over the points of the `requests` axis, for each repeat.  Requests
    and probes can be told apart: the higher the request rate, the fewer probes each request has.
    """
    points = [measured for measured in result.points if measured.point.axis == "requests"]
    if len(points) < 3:
        return None
    solutions = []
    for windows in zip(*(measured.windows for measured in points), strict=True):
        figures = [window.figures for window in windows]
        counts = np.array([[values["real.requests"], values["real.probes"], 1.0] for values in figures])
        cpu_us = np.array([values["dispatcher.cpu"] * 1e6 for values in figures])
        solutions.append(np.linalg.lstsq(counts, cpu_us, rcond=None)[0])
    return ProcessCost(
        summarize([float(solution[0]) for solution in solutions]),
        summarize([float(solution[1]) for solution in solutions]),
    )


def worker_count_cost(result: Result) -> Figure | None:
    """Return how many microseconds more a request costs a process with the users' workers than with ten."""
    small, large = (find_point(result, "workers", "workers", count) for count in (10, WORKERS))
    if small is None or large is None:
        return None
    return summarize(
        [
            1e6
            * (after.figures["dispatcher.cpu"] - before.figures["dispatcher.cpu"])
            / after.figures["real.requests"]
            for before, after in zip(small.windows, large.windows, strict=True)
        ]
    )


def control_parts(result: Result, workers: int = WORKERS) -> list[ControlPart]:
    """Return the measured parts of one dispatcher's control work.

    The decisions are timed in a loop that does nothing else; a process spends more (`worker_count_cost`).
    """
    parts: list[ControlPart] = []
    if (cost := find_cost(result, workers)) is not None:
        request_us, change_us = summarize(cost.request_us), statistics.median(cost.change_us)
        text = f"{REQUESTS_PER_S:.1f} requests/s x {request_us.median:,.0f} us"
        parts.append(ControlPart("decisions, simulated", text, request_us.scaled(REQUESTS_PER_S / 1e6)))
        text = f"{LIST_CHANGES_PER_S:.4f} changes/s x {change_us:,.0f} us"
        parts.append(ControlPart("list changes", text, summarize([LIST_CHANGES_PER_S * change_us / 1e6])))
    full_size, process = find_point(result, "whole", "workers", WORKERS), fit_process_cost(result)
    if full_size is not None and process is not None:
        probes = summarize_windows(full_size, "real.probes").median
        text = f"{probes:.1f} probes/s x {process.probe_us.median:,.0f} us, sockets and decisions"
        parts.append(ControlPart("probes", text, process.probe_us.scaled(probes / 1e6)))
    if (idle := find_point(result, "requests", "real_rate", 0.0)) is not None:
        text = "a process without requests, 100 workers, 1 list change/s"
        parts.append(ControlPart("idle", text, summarize_windows(idle, "dispatcher.cpu")))
    return parts


def sum_cores(parts: Sequence[ControlPart]) -> Figure:
    """Return the sum of some parts; its range adds up all minima and all maxima."""
    figures = [part.cores for part in parts]
    return Figure(
        sum(figure.minimum for figure in figures),
        sum(figure.median for figure in figures),
        sum(figure.maximum for figure in figures),
    )


def format_cores(cores: Figure) -> str:
    """Return a fraction of a core with its range, as text."""
    return f"{cores.median:.2%} of a core ({cores.minimum:.2%} to {cores.maximum:.2%})"


def control_bytes(result: Result) -> ControlTraffic | None:
    """Return the control traffic of one dispatcher, or None if it was not measured."""
    line, full_size = find_line(result, "list, bytes"), find_point(result, "whole", "workers", WORKERS)
    if line is None or full_size is None:
        return None
    probe_bytes = (
        summarize_windows(full_size, "real.probes_bytes").median
        / summarize_windows(full_size, "real.requests").median
    )
    return ControlTraffic(max(0.0, line.base) + LIST_CHANGES_PER_S * line.slope, probe_bytes * REQUESTS_PER_S)


def budget_rows(result: Result) -> list[TableRow]:
    """Return the rows of the table of the budget."""
    return [
        *_control_rows(result),
        *_growth_rows(result),
        *_all_reported_rows(result),
        *_memory_rows(result),
        *_traffic_rows(result),
        [
            "dedicated machines",
            "0 so far: dispatchers coordinate through settings alone; discovery belongs to the site",
            "25",
            "fits; members, shared counts, versioned settings, leases and bookings are planned, not measured",
        ],
    ]


def _control_rows(result: Result) -> list[TableRow]:
    parts = control_parts(result)
    rows = [
        [
            f"processor time: {part.name}",
            f"{part.derivation} = {format_cores(part.cores)}",
            "",
            f"{part.cores.median / CONTROL_CORES:.2f} of the budget",
        ]
        for part in parts
    ]
    if len(parts) == CONTROL_PARTS:
        cores = sum_cores(parts)
        row = ["processor time, sum of these", format_cores(cores), f"{CONTROL_CORES:.1%}"]
        rows.append([*row, verdict(cores.median, CONTROL_CORES)])
    return rows


def _cores_row(name: str, request_us: float, cores: Figure) -> TableRow:
    text = f"{REQUESTS_PER_S:.1f} requests/s x {request_us:,.0f} us = {format_cores(cores)}"
    return [name, text, f"{CONTROL_CORES:.1%}", verdict(cores.median, CONTROL_CORES)]


def _growth_rows(result: Result) -> list[TableRow]:
    if (request_us := worker_count_cost(result)) is None:
        return []
    name = f"the same in a process: extra cost of {WORKERS:,} workers over 10"
    return [_cores_row(name, request_us.median, request_us.scaled(REQUESTS_PER_S / 1e6))]


def _all_reported_rows(result: Result) -> list[TableRow]:
    if (cost := find_cost(result)) is None:
        return []
    cores = summarize(cost.all_reported_us).scaled(REQUESTS_PER_S / 1e6)
    name = "decisions where all workers have just reported"
    return [_cores_row(name, statistics.median(cost.all_reported_us), cores)]


def _memory_rows(result: Result) -> list[TableRow]:
    if (full_size := find_point(result, "whole", "workers", WORKERS)) is None:
        return []
    needed_mb = summarize_windows(full_size, "dispatcher.memory_mb").maximum
    text = f"{needed_mb:.0f} MB resident with {WORKERS:,} workers, the whole process"
    return [["memory", text, f"{MEMORY_MB:.0f} MB", verdict(needed_mb, MEMORY_MB)]]


def _traffic_rows(result: Result) -> list[TableRow]:
    if (traffic := control_bytes(result)) is None:
        return []
    text = (
        f"list {traffic.list_bytes:.0f} B/s, probes {traffic.probe_bytes:,.0f} B/s: {traffic.total:,.0f} B/s"
    )
    allowed = f"{CONTROL_BYTES_PER_S:,.0f} B/s"
    return [["bytes per second, both directions", text, allowed, verdict(traffic.total, CONTROL_BYTES_PER_S)]]
