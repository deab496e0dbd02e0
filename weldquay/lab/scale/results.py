"""The JSON of a scale run, and the slopes that are drawn from it."""

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
    """Where a part of the figures comes from."""

    command: str
    commit: str
    cores: float
    memory_gb: float
    python: str
    load_before: float  # the machine's load average of a minute, before the run
    seconds: float = 0.0


class Result(msgspec.Struct):
    """All that was measured; each part has a stamp by its name."""

    stamps: dict[str, Stamp] = {}
    points: list[Measurement] = []
    decisions: list[Cost] = []


def stamp(command: str) -> Stamp:
    """The stamp of a run that begins now."""
    machine = proc.machine_resources()
    return Stamp(
        command,
        commit(),
        machine["cores"],
        machine["memory_gb"],
        platform.python_version(),
        os.getloadavg()[0],
    )


def commit() -> str:
    """The commit of this checkout, marked where files of the program differ from it."""
    package = Path(__file__).parents[2]
    told = []
    for asked in (["rev-parse", "--short=7", "HEAD"], ["status", "--porcelain", "--", "."]):
        try:
            done = subprocess.run(
                ["git", *asked], cwd=package, capture_output=True, text=True, timeout=10, check=True
            )
        except (OSError, subprocess.SubprocessError):
            return "unknown"
        told.append(done.stdout.strip())
    return told[0] + ("-dirty" if told[1] else "")


def read(path: Path) -> Result:
    """A result from its file; an empty one where there is none."""
    return msgspec.json.decode(path.read_bytes(), type=Result) if path.exists() else Result()


def write(path: Path, result: Result) -> None:
    """Write a result; figures to six digits."""
    told = _rounded(msgspec.to_builtins(result))
    path.write_bytes(msgspec.json.format(msgspec.json.encode(told), indent=1) + b"\n")


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
    """A figure with its spread: the least, the median and the most over the repeats."""

    low: float
    middle: float
    high: float

    def times(self, factor: float) -> Figure:
        """The same in another unit, or of so many."""
        return Figure(self.low * factor, self.middle * factor, self.high * factor)


def spread(values: Sequence[float]) -> Figure:
    """The figure of some repeats."""
    return Figure(min(values), statistics.median(values), max(values))


def on_axis(result: Result, axis: str, key: Callable[[Point], float]) -> list[Measurement]:
    """The points of one axis, in order."""
    return sorted((each for each in result.points if each.point.axis == axis), key=lambda p: key(p.point))


def level(measurement: Measurement, name: str) -> Figure:
    """A figure at one point, over its windows."""
    return spread([window.figures.get(name, 0.0) for window in measurement.windows])


class Slope(msgspec.Struct, frozen=True):
    """How a figure grows with another: `y` = base + slope `x`, a line through the points for each repeat.

    x: a figure of the windows, or `point.FIELD`; scale: from the figure's unit to the one that is shown.
    """

    name: str
    axis: str
    x: str
    y: str
    unit: str
    scale: float = 1.0

    def of(self, result: Result) -> tuple[Figure, Figure] | None:
        """Slope and base; None where the axis was not played."""
        points = [each for each in result.points if each.point.axis == self.axis]
        if len(points) < 2:
            return None
        rows = []
        for number in range(min(len(each.windows) for each in points)):
            xs = [self._x(each, number) for each in points]
            ys = [each.windows[number].figures.get(self.y, 0.0) * self.scale for each in points]
            rows.append(statistics.linear_regression(xs, ys))
        return spread([row.slope for row in rows]), spread([row.intercept for row in rows])

    def _x(self, measurement: Measurement, number: int) -> float:
        if self.x.startswith("point."):
            return float(getattr(measurement.point, self.x.removeprefix("point.")))
        return measurement.windows[number].figures.get(self.x, 0.0)


REQUESTS = ("requests", "real.requests")
WORKERS = ("workers", "point.workers")
CHANGES = ("changes", "discovery.changes")
FLEET = ("dispatchers", "point.dispatchers")
SLOPES = (
    Slope("processor time a request, 100 workers", *REQUESTS, "dispatcher.cpu", "us", 1e6),
    Slope("processor time a list change, 400 workers", *CHANGES, "dispatcher.cpu", "us", 1e6),
    Slope("memory a listed worker", *WORKERS, "dispatcher.memory_mb", "KB", 1024),
    Slope("descriptors a request a second", *REQUESTS, "dispatcher.descriptors", ""),
    Slope("attempts a request", *REQUESTS, "real.attempts", ""),
    Slope("attempts, bytes a request", *REQUESTS, "real.attempts_bytes", "B"),
    Slope("callbacks a request", *REQUESTS, "real.callbacks", ""),
    Slope("callbacks, bytes a request", *REQUESTS, "real.callbacks_bytes", "B"),
    Slope("probes a request, to 40 a second", *REQUESTS, "real.probes", ""),
    Slope("list, bytes a change", *CHANGES, "real.list_bytes", "B"),
    Slope("discovery: lines a second, a dispatcher (1 change/s)", *FLEET, "discovery.lines", ""),
    Slope("discovery: bytes a second, a dispatcher (1 change/s)", *FLEET, "discovery.bytes", "B"),
    Slope("discovery: processor time a second, a dispatcher", *FLEET, "discovery.cpu", "us", 1e6),
    Slope("discovery: memory a dispatcher", *FLEET, "discovery.memory_mb", "KB", 1024),
    Slope("discovery: descriptors a dispatcher", *FLEET, "discovery.descriptors", ""),
    Slope("a worker: connections a dispatcher (100 workers)", *FLEET, "worker.connections", ""),
    Slope("a worker: probes a second, a dispatcher at 1 request/s", *FLEET, "worker.probes", ""),
    Slope("a worker: attempts a second, a dispatcher at 1 request/s", *FLEET, "worker.attempts", ""),
)
