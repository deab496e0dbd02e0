"""Runs one point of a scale run: starts its processes, generates the load, measures and stops them."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import statistics
import sys
import time
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from weldquay.errors import OperatorError
from weldquay.lab.scale import proc
from weldquay.lab.scale.child import MAX_LINE_BYTES
from weldquay.lab.scale.points import Point
from weldquay.lab.site import wait_for_exit

RESPONSE_TIMEOUT_S, EXIT_TIMEOUT_S = 30.0, 25.0
MAX_MEMORY_FRACTION = 0.5  # fraction of the machine's memory; a run whose processes use more is stopped
MAX_CORES = 4.0  # used by all processes of a run together; a run that uses more is stopped
POINT_TIMEOUT_S = 60.0  # time limit of one point, without the shutdown of its processes
WATCH_TIMEOUT_S = 15.0  # time limit from the start until all dispatchers watch the list


class ResourceLimitExceeded(OperatorError):
    """A point used more memory or processor time than a run may."""

    error_code = "too-large"
    remedy = "run a smaller point: fewer dispatchers, workers or requests per second"


class ChildProcessFailed(OperatorError):
    """A process of the run exited early, did not respond or did not stop."""

    error_code = "child-failed"
    remedy = "read its last lines on standard error; run the point alone"


class ChildProcess:
    """A process of the run with its role."""

    def __init__(self, role: str, process: asyncio.subprocess.Process) -> None:
        self.role, self.process = role, process

    async def send_command(self, command: str, **arguments: Any) -> dict[str, Any]:
        """Send a command and return the response, one line of JSON each."""
        assert self.process.stdin is not None and self.process.stdout is not None
        try:
            self.process.stdin.write(json.dumps({"do": command, **arguments}).encode() + b"\n")
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                line = await self.process.stdout.readline()
        except (OSError, ValueError) as error:  # a TimeoutError is an OSError
            raise ChildProcessFailed(
                f"{type(error).__name__} during the command {command}", self.role
            ) from None
        if not line:
            raise ChildProcessFailed(f"the process exited during the command {command}", self.role)
        response: dict[str, Any] = json.loads(line)
        return response

    async def stop(self) -> None:
        """Close its standard input, so that it exits; kill it after a timeout."""
        assert self.process.stdin is not None
        self.process.stdin.close()
        await wait_for_exit(self.process, EXIT_TIMEOUT_S)


@contextlib.asynccontextmanager
async def child_processes(*roles: str) -> AsyncIterator[dict[str, ChildProcess]]:
    """Start a process for each role; all have exited when the block ends."""
    started: dict[str, ChildProcess] = {}
    pipe = asyncio.subprocess.PIPE
    try:
        for role in roles:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                f"{__package__}.child",
                role,
                stdin=pipe,
                stdout=pipe,
                limit=MAX_LINE_BYTES,
            )
            started[role] = ChildProcess(role, process)
        yield started
    finally:
        await asyncio.shield(asyncio.gather(*(child.stop() for child in started.values())))


class Window(msgspec.Struct):
    """The figures of one window by name: rates per second, and values at its end (`compute_figures`)."""

    figures: dict[str, float]


class Measurement(msgspec.Struct):
    """The figures of one point; its fields are keys of the stored JSON."""

    point: Point
    windows: list[Window]
    started_lists: dict[str, float]  # mean bytes of a whole list sent to one dispatcher at the start, by side
    cores: float  # used by all processes together, maximum over the windows
    memory_mb: float  # used by all processes together, maximum over the snapshots


@dataclass(slots=True)
class Snapshot:
    """The counters and the resource use of all processes at one time."""

    taken_s: float
    counts: dict[str, dict[str, Any]]  # by role of the child process
    usage: dict[str, list[proc.Usage]]  # by role; also `dispatcher`: the real ones, `parent`: this process


@dataclass(slots=True)
class Fleet:
    """The processes of a point."""

    point: Point
    children: dict[str, ChildProcess]  # child processes by role
    pids: list[int] = field(default_factory=list)  # process ids of the real dispatchers

    async def start(self) -> None:
        """Start everything, wait until each dispatcher watches the list, then begin the load."""
        point_fields = msgspec.to_builtins(self.point)
        addresses = await self.children["workers"].send_command(
            "start", workers=self.point.workers, real=self.point.real
        )
        discovery = await self.children["discovery"].send_command("start", **addresses)
        real = await self.children["real"].send_command("start", point=point_fields, **discovery)
        hollow = await self.children["hollow"].send_command("start", point=point_fields, **discovery)
        self.pids = real["pids"]
        await self.children["workers"].send_command("go", callers=[*real["callers"], *hollow["callers"]])
        start_s = time.monotonic()
        while (await self.children["discovery"].send_command("count"))["open"] < self.point.dispatchers:
            if time.monotonic() - start_s > WATCH_TIMEOUT_S:
                raise ChildProcessFailed("not all dispatchers opened a watch in time", "discovery")
            await asyncio.sleep(0.1)
        for role in ("discovery", "hollow", "real"):
            await self.children[role].send_command("go", point=point_fields)

    async def take_snapshot(self) -> Snapshot:
        """Read all counters and the resource use of all processes."""
        names = list(self.children)
        counts = await asyncio.gather(*(self.children[name].send_command("count") for name in names))
        pids = {name: [self.children[name].process.pid] for name in names}
        usage = {
            name: [proc.read_usage(pid) for pid in group]
            for name, group in {**pids, "dispatcher": self.pids, "parent": [os.getpid()]}.items()
        }
        return Snapshot(time.monotonic(), dict(zip(names, counts, strict=True)), usage)

    def running_pids(self) -> list[int]:
        """Return the ids of the processes of the point that still run."""
        return [
            pid
            for pid in (*self.pids, *(child.process.pid for child in self.children.values()))
            if proc.is_running(pid)
        ]


async def _take_snapshots(fleet: Fleet) -> list[Snapshot]:
    """Start a fleet; take a snapshot after the warm-up and after each window, within POINT_TIMEOUT_S."""
    async with asyncio.timeout(POINT_TIMEOUT_S):
        await fleet.start()
        await asyncio.sleep(fleet.point.seconds)
        snapshots = [await fleet.take_snapshot()]
        for _ in range(fleet.point.windows):
            await asyncio.sleep(fleet.point.seconds)
            snapshots.append(await fleet.take_snapshot())
            _check_limits(snapshots[-2], snapshots[-1])
    return snapshots


async def measure_point(point: Point, on_stopped: Callable[[Fleet], None] = lambda _: None) -> Measurement:
    """Measure one point.

    on_stopped: called with the fleet after its processes were stopped.

    Raises:
        ChildProcessFailed: a process exited early, did not respond or still runs, or the point took too long.
        ResourceLimitExceeded: the processes used too much memory or processor time.
    """
    async with child_processes("workers", "discovery", "hollow", "real") as children:
        fleet = Fleet(point, children)
        try:
            snapshots = await _take_snapshots(fleet)
        except TimeoutError:
            raise ChildProcessFailed(f"the point took more than {POINT_TIMEOUT_S:.0f} s") from None
    on_stopped(fleet)
    if running_pids := fleet.running_pids():
        raise ChildProcessFailed(f"processes still run after the point: {running_pids}")
    pairs = list(itertools.pairwise(snapshots))
    first = snapshots[0].counts["discovery"]
    list_bytes = {
        side: first.get(f"{side}.lists_bytes", 0) / max(1, first.get(f"{side}.lists", 0))
        for side in ("real", "hollow")
    }
    return Measurement(
        point,
        [Window(compute_figures(point, *pair)) for pair in pairs],
        list_bytes,
        max(_cores_used(*pair) for pair in pairs),
        max(_total_memory_mb(snapshot) for snapshot in snapshots),
    )


def _cores_used(before: Snapshot, after: Snapshot) -> float:
    cpu_s_used = sum(
        b.cpu_s - a.cpu_s
        for name in after.usage
        for a, b in zip(before.usage[name], after.usage[name], strict=True)
    )
    return cpu_s_used / (after.taken_s - before.taken_s)


def _total_memory_mb(snapshot: Snapshot) -> float:
    return sum(each.memory_mb for group in snapshot.usage.values() for each in group)


def _check_limits(before: Snapshot, after: Snapshot) -> None:
    """Raise an error where the processes use too much of the machine."""
    max_memory_mb = proc.machine_resources()["memory_gb"] * 1024 * MAX_MEMORY_FRACTION
    if (memory_mb := _total_memory_mb(after)) > max_memory_mb:
        raise ResourceLimitExceeded(
            f"all processes together use {memory_mb:.0f} MB of memory; {max_memory_mb:.0f} MB are allowed"
        )
    if (cores := _cores_used(before, after)) > MAX_CORES:
        raise ResourceLimitExceeded(
            f"all processes together use {cores:.1f} cores; {MAX_CORES:g} are allowed"
        )


DISCOVERY_MESSAGES = ("asks", "lists", "changes", "beats")


def compute_figures(point: Point, before: Snapshot, after: Snapshot) -> dict[str, float]:
    """Compute the figures of one window.

    Rates are per second; `real.` and `hollow.` are the averages over the dispatchers of that kind.
    """
    length_s = after.taken_s - before.taken_s

    def rate(role: str, name: str) -> float:
        return float(after.counts[role].get(name, 0) - before.counts[role].get(name, 0)) / length_s

    values = {"late_ms": max(float(counts["late_ms"]) for counts in after.counts.values())}
    for side, count in (("real", point.real), ("hollow", point.hollow)):
        if not count:
            continue
        for name in ("connections", "probes", "probes_bytes", "attempts", "attempts_bytes", "deletes"):
            values[f"{side}.{name}"] = rate("workers", f"{side}.{name}") / count
        for name in ("callbacks", "callbacks_bytes"):
            values[f"{side}.{name}"] = rate("workers", f"to_{side}.{name}") / count
        values[f"{side}.open"] = after.counts["workers"].get(f"open_{side}", 0) / count
        values[f"{side}.list_lines"] = (
            sum(rate("discovery", f"{side}.{name}") for name in DISCOVERY_MESSAGES) / count
        )
        values[f"{side}.list_bytes"] = (
            sum(rate("discovery", f"{side}.{name}_bytes") for name in DISCOVERY_MESSAGES) / count
        )
        values[f"{side}.control_bytes"] = values[f"{side}.list_bytes"] + values[f"{side}.probes_bytes"]
        role = "real" if side == "real" else "hollow"
        for name in ("requests", "served"):
            values[f"{side}.{name}"] = rate(role, name) / count
    response_times_ms = sorted(after.counts["real"]["took_ms"])
    if len(response_times_ms) > 1:
        values["real.p50_ms"] = statistics.median(response_times_ms)
        values["real.p95_ms"] = response_times_ms[int(0.95 * (len(response_times_ms) - 1))]
    for name, group in after.usage.items():
        earlier = before.usage[name]
        values[f"{name}.cpu"] = (
            sum(b.cpu_s - a.cpu_s for a, b in zip(earlier, group, strict=True)) / length_s / len(group)
        )
        values[f"{name}.memory_mb"] = statistics.mean(each.memory_mb for each in group)
        values[f"{name}.descriptors"] = statistics.mean(each.descriptors for each in group)
    rates = {
        name: sum(rate("discovery", f"{side}.{name}") for side in ("real", "hollow"))
        for name in DISCOVERY_MESSAGES
    }
    values["discovery.lines"] = sum(rates.values())
    values["discovery.bytes"] = sum(
        rate("discovery", f"{side}.{name}_bytes")
        for side in ("real", "hollow")
        for name in DISCOVERY_MESSAGES
    )
    values["discovery.asks"] = rates["asks"]
    values["discovery.changes"] = rate("discovery", "discovery.changes")
    open_connections = sum(after.counts["workers"][f"open_{side}"] for side in ("real", "hollow"))
    values["worker.connections"] = open_connections / point.workers
    for name in ("probes", "attempts"):
        fleet_rate = sum(rate("workers", f"{side}.{name}") for side in ("real", "hollow"))
        values[f"worker.{name}"] = fleet_rate / point.workers
    return values
