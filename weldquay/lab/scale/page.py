"""The tables of docs/CAPACITY.md, filled from a result.

A table stands between `<!-- scale:NAME -->` and `<!-- scale:end -->`; what is around them is left alone.
"""

from __future__ import annotations

import re
import statistics
from collections.abc import Callable, Sequence

from weldquay.errors import OperatorError
from weldquay.lab.scale import budget, projections
from weldquay.lab.scale import roles as role_loads
from weldquay.lab.scale.check import MachineStalled, compare
from weldquay.lab.scale.points import CHECK
from weldquay.lab.scale.results import SLOPES, Figure, Result, level, on_axis, spread

MARKED = re.compile(r"(<!-- scale:(\w+) -->\n)(.*?)(<!-- scale:end -->)", re.DOTALL)


class UnknownTable(OperatorError):
    """A page names a table that nobody makes."""

    error_code = "unknown-table"
    remedy = "correct the marker's name, or remove it with its end"


def fill(text: str, tables: dict[str, str]) -> str:
    """A page's text with all tables anew."""

    def table(found: re.Match[str]) -> str:
        begin, name, _, end = found.groups()
        if name not in tables:
            raise UnknownTable(f"there is no table {name}")
        return f"{begin}\n{tables[name]}\n{end}"

    return MARKED.sub(table, text)


def tables(result: Result, before: Result | None = None) -> dict[str, str]:
    """All tables, by name."""
    return {
        "stamps": stamps(result),
        "check": check(result),
        "slopes": slopes(result, before),
        "workers": levels(result, "workers", "workers", "workers", WORKER_COLUMNS),
        "requests": levels(result, "requests", "real_rate", "requests a second", REQUEST_COLUMNS),
        "dispatchers": levels(result, "dispatchers", "dispatchers", "dispatchers", FLEET_COLUMNS),
        "changes": levels(result, "changes", "changes", "changes a second", CHANGE_COLUMNS),
        "whole": levels(result, "whole", "dispatchers", "dispatchers", (*WORKER_COLUMNS, *FLEET_COLUMNS)),
        "decisions": decisions(result),
        "roles": _table(("role", "figure", "slope x count", "at the users' size"), role_loads.roles(result)),
        "budget": _table(("line", "needed at the users' size", "allowed", "verdict"), budget.lines(result)),
        "planned": _table(("mechanism", "at most, at each dispatcher"), projections.planned(result)),
        "limits": _table(("what grows", "first limit met", "at"), projections.limits(result)),
    }


def number(value: float) -> str:
    """Three digits, in full."""
    if value == 0 or abs(value) < 0.0005:
        return "0"
    return f"{float(f'{value:.3g}'):,.10g}"


def shown(figure: Figure) -> str:
    """The median with the range of the repeats."""
    low, middle, high = (number(value) for value in (figure.low, figure.middle, figure.high))
    return middle if low == high else f"{middle} ({low} to {high})"


def _table(head: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    lines = [head, ["---"] * len(head), *rows]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines) + "\n"


def stamps(result: Result) -> str:
    """Which command gave what, where and when."""
    rows, seen = [], dict[str, list[str]]()
    for name, told in sorted(result.stamps.items()):
        seen.setdefault(
            f"`{told.command}` | {told.commit} | {told.cores:g} cores, {told.memory_gb:g} GB, Python "
            f"{told.python} | {told.load_before:.1f} | {told.seconds:.0f} s",
            [],
        ).append(name)
    for stamp, names in seen.items():
        rows.append([", ".join(names), stamp])
    table = _table(("part", "command", "commit", "machine", "its load before", "took"), rows)
    if not result.points:
        return table
    cores, memory = (max(getattr(each, name) for each in result.points) for name in ("cores", "memory_mb"))
    late = [window.figures["late_ms"] for each in result.points for window in each.windows]
    most = f"All processes of a point took {cores:.2f} cores and {memory:,.0f} MB at the most."
    median = statistics.median(late)
    stood = f"A stand-in was {median:.0f} ms late in the median window, {max(late):.0f} ms at the most."
    return f"{table}\n{most} {stood}\n"


def check(result: Result) -> str:
    """Hollow ones beside real ones."""
    measurement = [each for each in result.points if each.point.axis == CHECK.axis]
    if not measurement:
        return "Not measured.\n"
    try:
        found = compare(measurement[0])
    except MachineStalled as error:
        return f"Not measured: {error}.\n"
    rows = [
        [row.name, number(row.real), number(row.hollow), f"{row.relative_difference:.3f}", f"{row.allowed:g}"]
        for row in found
    ]
    return _table(("figure", "real", "hollow", "differ by the part", "allowed"), rows)


def slopes(result: Result, before: Result | None) -> str:
    """Every slope with its base and spread; beside them the earlier ones, where there are any."""
    rows = []
    for slope in SLOPES:
        found, earlier = slope.of(result), slope.of(before) if before else None
        if found is None:
            rows.append([slope.name, "not measured", "", slope.axis] + [""] * (before is not None))
            continue
        unit = f" {slope.unit}" if slope.unit else ""
        row = [slope.name, shown(found[0]) + unit, shown(found[1]) + unit, slope.axis]
        if before is not None:
            row.append(shown(earlier[0]) + unit if earlier else "not measured")
        rows.append(row)
    head = ["figure", "slope", "base", "axis"] + ["slope before"] * (before is not None)
    return _table(head, rows)


Column = tuple[str, str, float]
CPU: Column = ("part of a core", "dispatcher.cpu", 1.0)
MEMORY: Column = ("MB", "dispatcher.memory_mb", 1.0)
FILES: Column = ("descriptors", "dispatcher.descriptors", 1.0)
PROBES: Column = ("probes/s", "real.probes", 1.0)
WORKER_COLUMNS = (CPU, MEMORY, FILES, PROBES, ("p95, ms", "real.p95_ms", 1.0))
REQUEST_COLUMNS = (
    *WORKER_COLUMNS,
    ("probes, B/s", "real.probes_bytes", 1.0),
    ("list, B/s", "real.list_bytes", 1.0),
)
FLEET_COLUMNS = (
    ("discovery, lines/s", "discovery.lines", 1.0),
    ("discovery, KB/s", "discovery.bytes", 1 / 1024),
    ("discovery, part of a core", "discovery.cpu", 1.0),
    ("discovery, MB", "discovery.memory_mb", 1.0),
    ("discovery, descriptors", "discovery.descriptors", 1.0),
    ("connections a worker", "worker.connections", 1.0),
    ("probes/s a worker", "worker.probes", 1.0),
    ("attempts/s a worker", "worker.attempts", 1.0),
)
CHANGE_COLUMNS = (CPU, ("list lines/s", "real.list_lines", 1.0), ("list, B/s", "real.list_bytes", 1.0))


def levels(result: Result, axis: str, field: str, title: str, columns: Sequence[Column]) -> str:
    """What was measured at each point of an axis."""
    key: Callable[[object], float] = lambda point: float(getattr(point, field))  # noqa: E731
    points = on_axis(result, axis, key)
    if not points:
        return "Not measured.\n"
    rows = [
        [number(key(each.point)), *(shown(level(each, name).times(scale)) for _, name, scale in columns)]
        for each in points
    ]
    return _table([title, *(column[0] for column in columns)], rows)


def decisions(result: Result) -> str:
    """What a request costs the decisions."""
    if not result.decisions:
        return "Not measured.\n"
    rows = [
        [
            number(cost.dispatchers),
            number(cost.workers),
            shown(spread(cost.request_us)),
            shown(spread(cost.all_reported_us)),
            shown(spread(cost.change_us)),
            shown(spread(cost.list_us)),
            number(statistics.median(cost.probes)),
        ]
        for cost in result.decisions
    ]
    head = (
        "dispatchers in the settings",
        "workers",
        "a request, us",
        "a request where all have just reported, us",
        "a list change, us",
        "a whole list, us",
        "probes a request",
    )
    return _table(head, rows)
