"""The tables of docs/CAPACITY.md, filled in from a result.

A table is the text between `<!-- scale:NAME -->` and `<!-- scale:end -->`; all other text stays as it is.
"""

from __future__ import annotations

import re
import statistics
from collections.abc import Callable, Sequence

from weldquay.errors import OperatorError
from weldquay.lab.scale import budget, projections, roles
from weldquay.lab.scale.check import MachineStalled, compare
from weldquay.lab.scale.points import CHECK
from weldquay.lab.scale.results import (
    SLOPES,
    Figure,
    Result,
    measurements_on_axis,
    summarize,
    summarize_windows,
)

TABLE_PATTERN = re.compile(r"(<!-- scale:(\w+) -->\n)(.*?)(<!-- scale:end -->)", re.DOTALL)


class UnknownTable(OperatorError):
    """A page has a marker for a table that does not exist."""

    error_code = "unknown-table"
    remedy = "correct the name in the marker, or remove the marker and its end"


def fill(text: str, tables: dict[str, str]) -> str:
    """Return the text of a page with all tables replaced."""

    def replace(match: re.Match[str]) -> str:
        begin, name, _, end = match.groups()
        if name not in tables:
            raise UnknownTable(f"there is no table {name}")
        return f"{begin}\n{tables[name]}\n{end}"

    return TABLE_PATTERN.sub(replace, text)


def render_tables(result: Result, before: Result | None = None) -> dict[str, str]:
    """Return all tables by name."""
    return {
        "stamps": stamps_table(result),
        "check": check_table(result),
        "slopes": slopes_table(result, before),
        "workers": levels_table(result, "workers", "workers", "workers", WORKER_COLUMNS),
        "requests": levels_table(result, "requests", "real_rate", "requests per second", REQUEST_COLUMNS),
        "dispatchers": levels_table(result, "dispatchers", "dispatchers", "dispatchers", FLEET_COLUMNS),
        "changes": levels_table(result, "changes", "changes", "changes per second", CHANGE_COLUMNS),
        "whole": levels_table(
            result, "whole", "dispatchers", "dispatchers", (*WORKER_COLUMNS, *FLEET_COLUMNS)
        ),
        "decisions": decisions_table(result),
        "roles": _table(("role", "figure", "slope x count", "in the users' fleet"), roles.role_rows(result)),
        "budget": _table(
            ("item", "needed in the users' fleet", "budget", "verdict"), budget.budget_rows(result)
        ),
        "planned": _table(("mechanism", "upper limit per dispatcher"), projections.planned_rows(result)),
        "limits": _table(("what grows", "first limit reached", "at"), projections.limit_rows(result)),
    }


def format_number(value: float) -> str:
    """Return a number with three significant digits, written in full."""
    if value == 0 or abs(value) < 0.0005:
        return "0"
    return f"{float(f'{value:.3g}'):,.10g}"


def format_figure(figure: Figure) -> str:
    """Return the median, with the range of the repeats where they differ."""
    minimum, median, maximum = (
        format_number(value) for value in (figure.minimum, figure.median, figure.maximum)
    )
    return median if minimum == maximum else f"{median} ({minimum} to {maximum})"


def _table(head: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    lines = [head, ["---"] * len(head), *rows]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines) + "\n"


def stamps_table(result: Result) -> str:
    """Return the table of the commands that measured the parts, with commit, machine and duration."""
    rows, parts_by_stamp = [], dict[str, list[str]]()
    for name, stamp in sorted(result.stamps.items()):
        parts_by_stamp.setdefault(
            f"`{stamp.command}` | {stamp.commit} | {stamp.cores:g} cores, {stamp.memory_gb:g} GB, Python "
            f"{stamp.python} | {stamp.load_before:.1f} | {stamp.seconds:.0f} s",
            [],
        ).append(name)
    for row, names in parts_by_stamp.items():
        rows.append([", ".join(names), row])
    table = _table(("part", "command", "commit", "machine", "load average before", "duration"), rows)
    if not result.points:
        return table
    cores, memory_mb = (max(getattr(each, name) for each in result.points) for name in ("cores", "memory_mb"))
    delays_ms = [window.figures["late_ms"] for each in result.points for window in each.windows]
    resources_text = (
        f"All processes of a point together used at most {cores:.2f} cores and {memory_mb:,.0f} MB."
    )
    median = statistics.median(delays_ms)
    delay_text = (
        f"The event loops ran {median:.0f} ms late in the median window, at most {max(delays_ms):.0f} ms."
    )
    return f"{table}\n{resources_text} {delay_text}\n"


def check_table(result: Result) -> str:
    """Return the table that compares hollow with real dispatchers."""
    measurement = [each for each in result.points if each.point.axis == CHECK.axis]
    if not measurement:
        return "Not measured.\n"
    try:
        comparisons = compare(measurement[0])
    except MachineStalled as error:
        return f"Not measured: {error}.\n"
    rows = [
        [
            row.name,
            format_number(row.real),
            format_number(row.hollow),
            f"{row.relative_difference:.3f}",
            f"{row.allowed:g}",
        ]
        for row in comparisons
    ]
    return _table(("figure", "real", "hollow", "relative difference", "allowed"), rows)


def slopes_table(result: Result, before: Result | None) -> str:
    """Return the table of all slopes with base and range, next to earlier ones if there are any."""
    rows = []
    for slope in SLOPES:
        fit_now, fit_before = slope.fit(result), slope.fit(before) if before else None
        if fit_now is None:
            rows.append([slope.name, "not measured", "", slope.axis] + [""] * (before is not None))
            continue
        unit = f" {slope.unit}" if slope.unit else ""
        row = [slope.name, format_figure(fit_now[0]) + unit, format_figure(fit_now[1]) + unit, slope.axis]
        if before is not None:
            row.append(format_figure(fit_before[0]) + unit if fit_before else "not measured")
        rows.append(row)
    head = ["figure", "slope", "base", "axis"] + ["slope before"] * (before is not None)
    return _table(head, rows)


Column = tuple[str, str, float]  # heading, name of the figure, factor from its unit to the unit shown
CPU: Column = ("fraction of a core", "dispatcher.cpu", 1.0)
MEMORY: Column = ("MB", "dispatcher.memory_mb", 1.0)
DESCRIPTORS: Column = ("descriptors", "dispatcher.descriptors", 1.0)
PROBES: Column = ("probes/s", "real.probes", 1.0)
WORKER_COLUMNS = (CPU, MEMORY, DESCRIPTORS, PROBES, ("p95, ms", "real.p95_ms", 1.0))
REQUEST_COLUMNS = (
    *WORKER_COLUMNS,
    ("probes, B/s", "real.probes_bytes", 1.0),
    ("list, B/s", "real.list_bytes", 1.0),
)
FLEET_COLUMNS = (
    ("discovery, lines/s", "discovery.lines", 1.0),
    ("discovery, KB/s", "discovery.bytes", 1 / 1024),
    ("discovery, fraction of a core", "discovery.cpu", 1.0),
    ("discovery, MB", "discovery.memory_mb", 1.0),
    ("discovery, descriptors", "discovery.descriptors", 1.0),
    ("connections per worker", "worker.connections", 1.0),
    ("probes/s per worker", "worker.probes", 1.0),
    ("attempts/s per worker", "worker.attempts", 1.0),
)
CHANGE_COLUMNS = (CPU, ("list lines/s", "real.list_lines", 1.0), ("list, B/s", "real.list_bytes", 1.0))


def levels_table(result: Result, axis: str, field: str, title: str, columns: Sequence[Column]) -> str:
    """Return the table of the figures measured at each point of an axis."""
    key: Callable[[object], float] = lambda point: float(getattr(point, field))  # noqa: E731
    points = measurements_on_axis(result, axis, key)
    if not points:
        return "Not measured.\n"
    rows = [
        [
            format_number(key(each.point)),
            *(format_figure(summarize_windows(each, name).scaled(scale)) for _, name, scale in columns),
        ]
        for each in points
    ]
    return _table([title, *(column[0] for column in columns)], rows)


def decisions_table(result: Result) -> str:
    """Return the table of the processor time of the decisions for a request."""
    if not result.decisions:
        return "Not measured.\n"
    rows = [
        [
            format_number(cost.dispatchers),
            format_number(cost.workers),
            format_figure(summarize(cost.request_us)),
            format_figure(summarize(cost.all_reported_us)),
            format_figure(summarize(cost.change_us)),
            format_figure(summarize(cost.list_us)),
            format_number(statistics.median(cost.probes)),
        ]
        for cost in result.decisions
    ]
    head = (
        "dispatchers in the settings",
        "workers",
        "per request, us",
        "per request where all workers have just reported, us",
        "per list change, us",
        "per whole list, us",
        "probes per request",
    )
    return _table(head, rows)
