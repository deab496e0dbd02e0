"""A process of a scale run: `python -m weldquay.lab.scale.child ROLE`, one JSON object a line each way.

It answers each line of standard input with a line on standard output.  It ends, with all that it started, at
the end of its input, so also where the process that started it has died, and in any case after LIMIT_S.
"""

from __future__ import annotations

import asyncio
import json
import sys
from collections import Counter
from typing import Any, Protocol

import msgspec

from weldquay.lab.scale.counts import MessageCounter, peer_side
from weldquay.lab.scale.discovery import ChangingDiscovery
from weldquay.lab.scale.hollow import HollowDispatcher
from weldquay.lab.scale.points import Point
from weldquay.lab.scale.real import RealDispatchers
from weldquay.lab.scale.workers import CountingWorker

LIMIT_S = 120.0  # no point takes so long
TICK_S = 0.25
LINE = 2**24  # bytes of one line; 1,400 workers' addresses take a hundredth of it


class Role(Protocol):
    """What a child is."""

    async def start(self, told: dict[str, Any]) -> dict[str, Any]:
        """Begin; what the others have to know."""

    async def go(self, told: dict[str, Any]) -> dict[str, Any]:
        """Begin the load."""

    def count(self) -> dict[str, Any]:
        """What was counted so far."""

    async def stop(self) -> None:
        """End all."""


class WorkersRole:
    """All stand-in workers."""

    def __init__(self) -> None:
        self.counter, self.callers = MessageCounter(), list[str]()
        self.fleet: list[CountingWorker] = []

    async def start(self, told: dict[str, Any]) -> dict[str, Any]:
        """Listen; the addresses by name."""
        names = [f"w-{number}" for number in range(told["workers"])]
        self.fleet = [CountingWorker(name, self.callers, told["real"], self.counter) for name in names]
        for worker in self.fleet:
            await worker.start()
        return {"workers": {worker.spec.name: worker.address for worker in self.fleet}}

    async def go(self, told: dict[str, Any]) -> dict[str, Any]:
        """Take in whom to call back."""
        self.callers.extend(told["callers"])
        return {}

    def count(self) -> dict[str, Any]:
        """Counts, and the connections that are open now."""
        held = Counter(peer_side(writer) for worker in self.fleet for writer in worker.writers)
        unheard = sum(worker.unanswered_callbacks for worker in self.fleet)
        return {**self.counter, "open_real": held["real"], "open_hollow": held["hollow"], "unheard": unheard}

    async def stop(self) -> None:
        """Close all."""
        for worker in self.fleet:
            worker.stop()


class DiscoveryRole:
    """Discovery with its changes."""

    def __init__(self) -> None:
        self.counter = MessageCounter()
        self.discovery = ChangingDiscovery(self.counter)
        self.changing: asyncio.Task[None] | None = None

    async def start(self, told: dict[str, Any]) -> dict[str, Any]:
        """List the workers and listen."""
        for name, address in told["workers"].items():
            self.discovery.put(name, [address], kind="standard")
        await self.discovery.start()
        return {"discovery": self.discovery.address}

    async def go(self, told: dict[str, Any]) -> dict[str, Any]:
        """Begin to change the list."""
        if told["point"]["changes"]:
            work = self.discovery.run_changes(told["point"]["changes"], told["point"]["seed"])
            self.changing = asyncio.get_running_loop().create_task(work)
        return {}

    def count(self) -> dict[str, Any]:
        """Counts, and the watches that are open now."""
        return {**self.counter, "open": len(self.discovery.writers)}

    async def stop(self) -> None:
        """Close all."""
        if self.changing is not None:
            self.changing.cancel()
        self.discovery.stop()


class HollowRole:
    """The hollow dispatchers."""

    def __init__(self) -> None:
        self.counter = MessageCounter()
        self.fleet: list[HollowDispatcher] = []

    async def start(self, told: dict[str, Any]) -> dict[str, Any]:
        """Listen and watch; the addresses for callbacks."""
        point = msgspec.convert(told["point"], Point)
        for number in range(point.real, point.dispatchers):
            one = HollowDispatcher(number, point, told["discovery"], self.counter)
            await one.start()
            one.run(one.watch())
            self.fleet.append(one)
        return {"callers": [one.address for one in self.fleet]}

    async def go(self, told: dict[str, Any]) -> dict[str, Any]:
        """Begin the requests."""
        point = msgspec.convert(told["point"], Point)
        for one in self.fleet if point.hollow_rate else ():
            one.run(one.load(point.hollow_rate, point.seed))
        return {}

    def count(self) -> dict[str, Any]:
        """Counts."""
        return {**self.counter, "listed": sum(bool(one.revision) for one in self.fleet)}

    async def stop(self) -> None:
        """Close all."""
        for one in self.fleet:
            one.stop()


class RealRole:
    """The real dispatchers with their clients."""

    def __init__(self) -> None:
        self.real: RealDispatchers | None = None

    async def start(self, told: dict[str, Any]) -> dict[str, Any]:
        """Start them; their addresses and processes."""
        self.real = RealDispatchers(msgspec.convert(told["point"], Point), told["discovery"])
        await self.real.start()
        return {"callers": [node.address for node in self.real.nodes], "pids": self.real.process_ids()}

    async def go(self, told: dict[str, Any]) -> dict[str, Any]:  # noqa: ARG002  # as in `Role`
        """Begin the requests."""
        assert self.real is not None
        self.real.start_clients()
        return {}

    def count(self) -> dict[str, Any]:
        """Counts, and how long each served request took since the count before."""
        assert self.real is not None
        response_times_ms, self.real.response_times_ms = self.real.response_times_ms, []
        return {**self.real.counter, "took_ms": response_times_ms}

    async def stop(self) -> None:
        """End the processes in order."""
        if self.real is not None:
            await self.real.stop()


ROLES: dict[str, type[Role]] = {
    "workers": WorkersRole,
    "discovery": DiscoveryRole,
    "hollow": HollowRole,
    "real": RealRole,
}


class Lateness:
    """How late this process's loop ran at the most since the last look: a machine that stands still shows."""

    def __init__(self) -> None:
        self.most_ms = 0.0

    async def watch(self) -> None:
        """Tick until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + TICK_S
            await asyncio.sleep(TICK_S)
            self.most_ms = max(self.most_ms, (loop.time() - due) * 1000)

    def take(self) -> float:
        """The most since the last look, in milliseconds."""
        most, self.most_ms = self.most_ms, 0.0
        return most


async def serve(role: Role) -> None:
    """Do what the lines of standard input say, to their end."""
    reader = asyncio.StreamReader(limit=LINE)
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    late = Lateness()
    watching = loop.create_task(late.watch())
    try:
        async with asyncio.timeout(LIMIT_S):
            while line := await reader.readline():
                told = json.loads(line)
                match told["do"]:
                    case "start":
                        answer = await role.start(told)
                    case "go":
                        answer = await role.go(told)
                    case _:
                        answer = {**role.count(), "late_ms": late.take()}
                print(json.dumps(answer), flush=True)
    finally:
        watching.cancel()
        await role.stop()


if __name__ == "__main__":
    asyncio.run(serve(ROLES[sys.argv[1]]()))
