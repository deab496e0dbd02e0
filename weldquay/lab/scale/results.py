"""The JSON file of a scale run, and the slopes that are computed from it."""

from __future__ import annotations

import os
import platform
import statistics
import subprocess
from collections.abc import Callable, Sequence
from pathlib import Path

import msgspec

from weldquay.lab.scale import proc
from weldquay.lab.scale.decisions import Cost
from weldquay.lab.scale.fleet import Measurement
from weldquay.lab.scale.points import Point


class Stamp(msgspec.Struct):
    """How a part of the figures was measured: by which command and commit, and on which machine."""

    command: str
    commit: str
    cores: float
    memory_gb: float
    python: str
    load_before: float  # the machine's load average over one minute, before the run
    seconds: float = 0.0


class Result(msgspec.Struct):
    """All measurements; each part has a stamp under its name."""

    stamps: dict[str, Stamp] = {}
    points: list[Measurement] = []
    decisions: list[Cost] = []


def make_stamp(command: str) -> Stamp:
    """Return the stamp of a run that begins now."""
    machine = proc.machine_resources()
    return Stamp(
        command,
        current_commit(),
        machine["cores"],
        machine["memory_gb"],
        platform.python_version(),
        os.getloadavg()[0],
    )


def current_commit() -> str:
    """Return the commit of this checkout, with `-dirty` where files of the package differ from it."""
    package = Path(__file__).parents[2]
    outputs = []
    for arguments in (["rev-parse", "--short=7", "HEAD"], ["status", "--porcelain", "--", "."]):
        try:
            completed = subprocess.run(
                ["git", *arguments], cwd=package, capture_output=True, text=True, timeout=10, check=True
            )
        except (OSError, subprocess.SubprocessError):
            return "unknown"
        outputs.append(completed.stdout.strip())
    return outputs[0] + ("-dirty" if outputs[1] else "")


def read_result(path: Path) -> Result:
    """Read a result from its file; return an empty one where there is no file."""
    return msgspec.json.decode(path.read_bytes(), type=Result) if path.exists() else Result()


def write_result(path: Path, result: Result) -> None:
    """Write a result, its figures rounded to six significant digits."""
    fields = _rounded(msgspec.to_builtins(result))
    path.write_bytes(msgspec.json.format(msgspec.json.encode(fields), indent=1) + b"\n")


def _rounded(value: object) -> object:
    match value:
        case float():
            return float(f"{value:.6g}")
        case dict():
            return {name: _rounded(each) for name, each in value.items()}
        case list():
            return [_rounded(each) for each in value]
    return value


class Figure(msgspec.Struct, frozen=True):
    """A figure over the repeats: minimum, median and maximum."""

    minimum: float
    median: float
    maximum: float

    def scaled(self, factor: float) -> Figure:
        """Return the figure times a factor, for another unit or a total."""
        return Figure(self.minimum * factor, self.median * factor, self.maximum * factor)


def summarize(values: Sequence[float]) -> Figure:
    """Return the figure of the values of some repeats."""
    return Figure(min(values), statistics.median(values), max(values))


def measurements_on_axis(result: Result, axis: str, key: Callable[[Point], float]) -> list[Measurement]:
    """Return the measurements of one axis, sorted by a key of their points."""
    return sorted((each for each in result.points if each.point.axis == axis), key=lambda p: key(p.point))


def summarize_windows(measurement: Measurement, name: str) -> Figure:
    """Return a figure of one point over its windows."""
    return summarize([window.figures.get(name, 0.0) for window in measurement.windows])


class Slope(msgspec.Struct, frozen=True):
    """How a figure depends on another: `y` = base + slope * `x`, with a line fitted for each repeat.

    x: a figure of the windows, or `point.FIELD`; scale: factor from the unit of `y` to the unit shown.
    """

    name: str
    axis: str
    x: str
    y: str
    unit: str
    scale: float = 1.0

    def fit(self, result: Result) -> tuple[Figure, Figure] | None:
        """Return slope and base, or None where the axis was not measured."""
        points = [each for each in result.points if each.point.axis == self.axis]
        if len(points) < 2:
            return None
        lines = []
        for window_index in range(min(len(each.windows) for each in points)):
            x_values = [self._x_value(each, window_index) for each in points]
            y_values = [each.windows[window_index].figures.get(self.y, 0.0) * self.scale for each in points]
            lines.append(statistics.linear_regression(x_values, y_values))
        return summarize([line.slope for line in lines]), summarize([line.intercept for line in lines])

    def _x_value(self, measurement: Measurement, window_index: int) -> float:
        if self.x.startswith("point."):
            return float(getattr(measurement.point, self.x.removeprefix("point.")))
        return measurement.windows[window_index].figures.get(self.x, 0.0)


REQUESTS_AXIS = ("requests", "real.requests")
WORKERS_AXIS = ("workers", "point.workers")
CHANGES_AXIS = ("changes", "discovery.changes")
DISPATCHERS_AXIS = ("dispatchers", "point.dispatchers")
SLOPES = (
    Slope("processor time per request, 100 workers", *REQUESTS_AXIS, "dispatcher.cpu", "us", 1e6),
    Slope("processor time per list change, 400 workers", *CHANGES_AXIS, "dispatcher.cpu", "us", 1e6),
    Slope("memory per listed worker", *WORKERS_AXIS, "dispatcher.memory_mb", "KB", 1024),
    Slope("descriptors per request/s", *REQUESTS_AXIS, "dispatcher.descriptors", ""),
    Slope("attempts per request", *REQUESTS_AXIS, "real.attempts", ""),
    Slope("attempts, bytes per request", *REQUESTS_AXIS, "real.attempts_bytes", "B"),
    Slope("callbacks per request", *REQUESTS_AXIS, "real.callbacks", ""),
    Slope("callbacks, bytes per request", *REQUESTS_AXIS, "real.callbacks_bytes", "B"),
    Slope("probes per request, up to 40 requests/s", *REQUESTS_AXIS, "real.probes", ""),
    Slope("list, bytes per change", *CHANGES_AXIS, "real.list_bytes", "B"),
    Slope("discovery: lines/s per dispatcher (1 change/s)", *DISPATCHERS_AXIS, "discovery.lines", ""),
    Slope("discovery: bytes/s per dispatcher (1 change/s)", *DISPATCHERS_AXIS, "discovery.bytes", "B"),
    Slope(
        "discovery: processor time per second and dispatcher", *DISPATCHERS_AXIS, "discovery.cpu", "us", 1e6
    ),
    Slope("discovery: memory per dispatcher", *DISPATCHERS_AXIS, "discovery.memory_mb", "KB", 1024),
    Slope("discovery: descriptors per dispatcher", *DISPATCHERS_AXIS, "discovery.descriptors", ""),
    Slope("worker: connections per dispatcher (100 workers)", *DISPATCHERS_AXIS, "worker.connections", ""),
    Slope("worker: probes/s per dispatcher at 1 request/s", *DISPATCHERS_AXIS, "worker.probes", ""),
    Slope("worker: attempts/s per dispatcher at 1 request/s", *DISPATCHERS_AXIS, "worker.attempts", ""),
)
