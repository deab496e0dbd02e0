"""A plot of a scale run; matplotlib is loaded only here."""

from __future__ import annotations

import importlib
import statistics
from functools import partial
from pathlib import Path
from typing import Any

from weldquay.errors import OperatorError
from weldquay.lab.scale.points import Point
from weldquay.lab.scale.results import Result, level, on_axis

PANELS = (
    ("workers", "workers", "dispatcher.cpu", "dispatcher, part of a core", 1.0),
    ("requests", "real_rate", "dispatcher.cpu", "dispatcher, part of a core", 1.0),
    ("workers", "workers", "dispatcher.memory_mb", "dispatcher, MB", 1.0),
    ("dispatchers", "dispatchers", "discovery.bytes", "discovery, KB a second", 1 / 1024),
    ("dispatchers", "dispatchers", "worker.connections", "connections a worker", 1.0),
)


class NoPlot(OperatorError):
    """The plot's library is not there."""

    error_code = "no-plot"
    remedy = "pip install -e '.[lab]'"


def _at(field: str, point: Point) -> float:
    return float(getattr(point, field))


def draw(result: Result, path: Path) -> None:
    """Write the plot; the form goes by the file's ending."""
    try:
        matplotlib: Any = importlib.import_module("matplotlib")
        matplotlib.use("Agg")
        pyplot: Any = importlib.import_module("matplotlib.pyplot")
    except ImportError as error:
        raise NoPlot(str(error)) from None
    figure, axes = pyplot.subplots(2, 3, figsize=(11, 6.5), constrained_layout=True)
    for place, (axis, field, name, label, scale) in zip(axes.flat, PANELS, strict=False):
        key = partial(_at, field)
        points = on_axis(result, axis, key)
        found = [level(each, name).times(scale) for each in points]
        xs = [key(each.point) for each in points]
        middles = [each.middle for each in found]
        errors = [[each.middle - each.low for each in found], [each.high - each.middle for each in found]]
        place.errorbar(xs, middles, yerr=errors, marker="o", capsize=3)
        place.set(
            xlabel=f"{axis}" + (" a second" if axis == "requests" else ""), ylabel=label, ylim=(0, None)
        )
    place = axes.flat[-1]
    for count in sorted({cost.dispatchers for cost in result.decisions}):
        rows = [cost for cost in result.decisions if cost.dispatchers == count]
        for kind, style in (("request_us", "-"), ("all_reported_us", "--")):
            times = [statistics.median(getattr(cost, kind)) for cost in rows]
            word = "played" if kind == "request_us" else "all told"
            place.plot([cost.workers for cost in rows], times, style, marker="o", label=f"{count}, {word}")
    place.set(xscale="log", yscale="log", xlabel="workers", ylabel="decisions, us a request")
    if result.decisions:
        place.legend(fontsize=7, title="dispatchers in settings", title_fontsize=7)
    figure.savefig(path, metadata={"Date": None} if path.suffix == ".svg" else None)
    pyplot.close(figure)
