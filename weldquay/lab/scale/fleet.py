"""One point of a scale run: its processes are started, loaded, measured and ended."""

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
from weldquay.lab.scale.child import LINE
from weldquay.lab.scale.points import Point
from weldquay.lab.site import wait_for_exit

START_S, END_S = 30.0, 25.0
MEMORY_PART = 0.5  # of the machine's memory: a run that comes to it is ended
MAX_CORES = 4.0
POINT_S = 60.0  # a point takes no longer, its end left out
LISTED_S = 15.0  # by then all dispatchers have the list


class TooLarge(OperatorError):
    """A point used more of the machine than a run may."""

    error_code = "too-large"
    remedy = "play a smaller point: fewer dispatchers, workers or requests a second"


class ChildFailed(OperatorError):
    """A process of the run ended or did not answer."""

    error_code = "child-failed"
    remedy = "see its last lines on standard error; play the point alone"


class Child:
    """A process of the run, by its role."""

    def __init__(self, role: str, process: asyncio.subprocess.Process) -> None:
        self.role, self.process = role, process

    async def ask(self, what: str, **told: Any) -> dict[str, Any]:
        """One line there, one line back."""
        assert self.process.stdin is not None and self.process.stdout is not None
        try:
            self.process.stdin.write(json.dumps({"do": what, **told}).encode() + b"\n")
            async with asyncio.timeout(START_S):
                line = await self.process.stdout.readline()
        except (OSError, ValueError) as error:  # a TimeoutError is an OSError
            raise ChildFailed(f"{type(error).__name__} at {what}", self.role) from None
        if not line:
            raise ChildFailed(f"it ended at {what}", self.role)
        answer: dict[str, Any] = json.loads(line)
        return answer

    async def stop(self) -> None:
        """Have it end; by force where it does not."""
        assert self.process.stdin is not None
        self.process.stdin.close()
        await wait_for_exit(self.process, END_S)


@contextlib.asynccontextmanager
async def children(*roles: str) -> AsyncIterator[dict[str, Child]]:
    """Processes by role; all have ended at the end of the block."""
    started: dict[str, Child] = {}
    pipe = asyncio.subprocess.PIPE
    try:
        for role in roles:
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", f"{__package__}.child", role, stdin=pipe, stdout=pipe, limit=LINE
            )
            started[role] = Child(role, process)
        yield started
    finally:
        await asyncio.shield(asyncio.gather(*(child.stop() for child in started.values())))


class Window(msgspec.Struct):
    """What was measured in one span: rates a second and levels, by name (`figures` makes them)."""

    figures: dict[str, float]


class Measurement(msgspec.Struct):
    """The figures of one point; its fields are those of the stored JSON."""

    point: Point
    windows: list[Window]
    started_lists: dict[str, float]  # bytes of the first whole list, to one dispatcher
    cores: float  # that all processes used together, the fullest window
    memory_mb: float  # of all together, the most


@dataclass(slots=True)
class Moment:
    """All counts and usages at once."""

    at: float
    counts: dict[str, dict[str, Any]]
    usage: dict[str, list[proc.Usage]]


@dataclass(slots=True)
class Fleet:
    """A point's processes."""

    point: Point
    role: dict[str, Child]
    pids: list[int] = field(default_factory=list)  # of the real dispatchers

    async def start(self) -> None:
        """Start all, until each dispatcher has its list, and begin the load."""
        told = msgspec.to_builtins(self.point)
        listed = await self.role["workers"].ask("start", workers=self.point.workers, real=self.point.real)
        where = await self.role["discovery"].ask("start", **listed)
        real = await self.role["real"].ask("start", point=told, **where)
        hollow = await self.role["hollow"].ask("start", point=told, **where)
        self.pids = real["pids"]
        await self.role["workers"].ask("go", callers=[*real["callers"], *hollow["callers"]])
        begun = time.monotonic()
        while (await self.role["discovery"].ask("count"))["open"] < self.point.dispatchers:
            if time.monotonic() - begun > LISTED_S:
                raise ChildFailed("not all dispatchers watch the list", "discovery")
            await asyncio.sleep(0.1)
        for role in ("discovery", "hollow", "real"):
            await self.role[role].ask("go", point=told)

    async def look(self) -> Moment:
        """Count and measure now."""
        names = list(self.role)
        counts = await asyncio.gather(*(self.role[name].ask("count") for name in names))
        pids = {name: [self.role[name].process.pid] for name in names}
        usage = {
            name: [proc.usage(pid) for pid in group]
            for name, group in {**pids, "dispatcher": self.pids, "parent": [os.getpid()]}.items()
        }
        return Moment(time.monotonic(), dict(zip(names, counts, strict=True)), usage)

    def left(self) -> list[int]:
        """Processes of the point that still run."""
        return [
            pid
            for pid in (*self.pids, *(child.process.pid for child in self.role.values()))
            if proc.alive(pid)
        ]


async def _measure(fleet: Fleet) -> list[Moment]:
    """Start a fleet and look at it so often, within POINT_S."""
    async with asyncio.timeout(POINT_S):
        await fleet.start()
        await asyncio.sleep(fleet.point.seconds)
        moments = [await fleet.look()]
        for _ in range(fleet.point.windows):
            await asyncio.sleep(fleet.point.seconds)
            moments.append(await fleet.look())
            _bound(moments[-2], moments[-1])
    return moments


async def play(point: Point, check: Callable[[Fleet], None] = lambda _: None) -> Measurement:
    """Play one point; `check` sees the fleet once all its processes have ended.

    ChildFailed where a process ends early, does not answer, or is left; TooLarge where it takes too much.
    """
    async with children("workers", "discovery", "hollow", "real") as role:
        fleet = Fleet(point, role)
        try:
            moments = await _measure(fleet)
        except TimeoutError:
            raise ChildFailed(f"the point took more than {POINT_S:.0f} s") from None
    check(fleet)
    if left := fleet.left():
        raise ChildFailed(f"processes are left: {left}")
    pairs = list(itertools.pairwise(moments))
    first = moments[0].counts["discovery"]
    lists = {
        side: first.get(f"{side}.lists_bytes", 0) / max(1, first.get(f"{side}.lists", 0))
        for side in ("real", "hollow")
    }
    return Measurement(
        point,
        [Window(figures(point, *pair)) for pair in pairs],
        lists,
        max(_cores(*pair) for pair in pairs),
        max(_memory(moment) for moment in moments),
    )


def _cores(before: Moment, after: Moment) -> float:
    spent = sum(
        b.cpu_s - a.cpu_s
        for name in after.usage
        for a, b in zip(before.usage[name], after.usage[name], strict=True)
    )
    return spent / (after.at - before.at)


def _memory(moment: Moment) -> float:
    return sum(each.memory_mb for group in moment.usage.values() for each in group)


def _bound(before: Moment, after: Moment) -> None:
    """End a run that takes too much of the machine."""
    most_mb = proc.machine()["memory_gb"] * 1024 * MEMORY_PART
    if (memory := _memory(after)) > most_mb:
        raise TooLarge(f"all processes hold {memory:.0f} MB, of {most_mb:.0f} allowed")
    if (cores := _cores(before, after)) > MAX_CORES:
        raise TooLarge(f"all processes use {cores:.1f} cores, of {MAX_CORES:g} allowed")


LIST = ("asks", "lists", "changes", "beats")


def figures(point: Point, before: Moment, after: Moment) -> dict[str, float]:
    """The figures of one window.  `real.` and `hollow.`: of one dispatcher of that kind, a second."""
    span = after.at - before.at

    def rate(role: str, name: str) -> float:
        return float(after.counts[role].get(name, 0) - before.counts[role].get(name, 0)) / span

    found = {"late_ms": max(float(counts["late_ms"]) for counts in after.counts.values())}
    for side, count in (("real", point.real), ("hollow", point.hollow)):
        if not count:
            continue
        for name in ("connections", "probes", "probes_bytes", "attempts", "attempts_bytes", "deletes"):
            found[f"{side}.{name}"] = rate("workers", f"{side}.{name}") / count
        for name in ("callbacks", "callbacks_bytes"):
            found[f"{side}.{name}"] = rate("workers", f"to_{side}.{name}") / count
        found[f"{side}.open"] = after.counts["workers"].get(f"open_{side}", 0) / count
        found[f"{side}.list_lines"] = sum(rate("discovery", f"{side}.{name}") for name in LIST) / count
        found[f"{side}.list_bytes"] = sum(rate("discovery", f"{side}.{name}_bytes") for name in LIST) / count
        found[f"{side}.control_bytes"] = found[f"{side}.list_bytes"] + found[f"{side}.probes_bytes"]
        role = "real" if side == "real" else "hollow"
        for name in ("requests", "served"):
            found[f"{side}.{name}"] = rate(role, name) / count
    took = sorted(after.counts["real"]["took_ms"])
    if len(took) > 1:
        found["real.p50_ms"] = statistics.median(took)
        found["real.p95_ms"] = took[int(0.95 * (len(took) - 1))]
    for name, group in after.usage.items():
        earlier = before.usage[name]
        found[f"{name}.cpu"] = (
            sum(b.cpu_s - a.cpu_s for a, b in zip(earlier, group, strict=True)) / span / len(group)
        )
        found[f"{name}.memory_mb"] = statistics.mean(each.memory_mb for each in group)
        found[f"{name}.descriptors"] = statistics.mean(each.descriptors for each in group)
    total = {name: sum(rate("discovery", f"{side}.{name}") for side in ("real", "hollow")) for name in LIST}
    found["discovery.lines"] = sum(total.values())
    found["discovery.bytes"] = sum(
        rate("discovery", f"{side}.{name}_bytes") for side in ("real", "hollow") for name in LIST
    )
    found["discovery.asks"] = total["asks"]
    found["discovery.changes"] = rate("discovery", "discovery.changes")
    held = sum(after.counts["workers"][f"open_{side}"] for side in ("real", "hollow"))
    found["worker.connections"] = held / point.workers
    for name in ("probes", "attempts"):
        whole = sum(rate("workers", f"{side}.{name}") for side in ("real", "hollow"))
        found[f"worker.{name}"] = whole / point.workers
    return found
