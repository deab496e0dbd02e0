"""The plot of a scale run; nothing else imports matplotlib."""

from __future__ import annotations

import importlib
import statistics
from functools import partial
from pathlib import Path
from typing import Any

from weldquay.errors import OperatorError
from weldquay.lab.scale.points import Point
from weldquay.lab.scale.results import Result, measurements_on_axis, summarize_windows

# Axis, field of its points, name of the figure, label, and factor from its unit to the unit shown.
PANELS = (
    ("workers", "workers", "dispatcher.cpu", "dispatcher, fraction of a core", 1.0),
    ("requests", "real_rate", "dispatcher.cpu", "dispatcher, fraction of a core", 1.0),
    ("workers", "workers", "dispatcher.memory_mb", "dispatcher, MB", 1.0),
    ("dispatchers", "dispatchers", "discovery.bytes", "discovery, KB/s", 1 / 1024),
    ("dispatchers", "dispatchers", "worker.connections", "connections per worker", 1.0),
)


class PlottingUnavailable(OperatorError):
    """matplotlib is not installed."""

    error_code = "no-plot"
    remedy = "pip install -e '.[lab]'"


def _point_field(field: str, point: Point) -> float:
    return float(getattr(point, field))


def draw(result: Result, path: Path) -> None:
    """Write the plot to a file whose suffix sets the format."""
    try:
        matplotlib: Any = importlib.import_module("matplotlib")
        matplotlib.use("Agg")
        pyplot: Any = importlib.import_module("matplotlib.pyplot")
    except ImportError as error:
        raise PlottingUnavailable(str(error)) from None
    figure, axes = pyplot.subplots(2, 3, figsize=(11, 6.5), constrained_layout=True)
    for subplot, (axis, field, name, label, scale) in zip(axes.flat, PANELS, strict=False):
        key = partial(_point_field, field)
        points = measurements_on_axis(result, axis, key)
        figures = [summarize_windows(each, name).scaled(scale) for each in points]
        x_values = [key(each.point) for each in points]
        medians = [each.median for each in figures]
        errors = [
            [each.median - each.minimum for each in figures],
            [each.maximum - each.median for each in figures],
        ]
        subplot.errorbar(x_values, medians, yerr=errors, marker="o", capsize=3)
        subplot.set(
            xlabel=f"{axis}" + (" per second" if axis == "requests" else ""), ylabel=label, ylim=(0, None)
        )
    subplot = axes.flat[-1]
    for count in sorted({cost.dispatchers for cost in result.decisions}):
        rows = [cost for cost in result.decisions if cost.dispatchers == count]
        for kind, style in (("request_us", "-"), ("all_reported_us", "--")):
            times_us = [statistics.median(getattr(cost, kind)) for cost in rows]
            conditions = "simulated" if kind == "request_us" else "all reported"
            subplot.plot(
                [cost.workers for cost in rows], times_us, style, marker="o", label=f"{count}, {conditions}"
            )
    subplot.set(xscale="log", yscale="log", xlabel="workers", ylabel="decisions, us per request")
    if result.decisions:
        subplot.legend(fontsize=7, title="dispatchers in settings", title_fontsize=7)
    figure.savefig(path, metadata={"Date": None} if path.suffix == ".svg" else None)
    pyplot.close(figure)
