"""A child process of a scale run: `python -m weldquay.lab.scale.child ROLE`.

Each line of standard input is a command, a JSON object; the response is one line on standard output.  The
process stops, with everything it started, at the end of its input, and so also when its parent has died; it
runs for MAX_LIFETIME_S at most.
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

MAX_LIFETIME_S = 120.0  # maximum age of a child process, longer than any point takes
LOOP_CHECK_PERIOD_S = 0.25
MAX_LINE_BYTES = 2**24  # limit of a command or response; the addresses of 1,400 workers need 1% of it


class Role(Protocol):
    """The work of a child process."""

    async def start(self, command: dict[str, Any]) -> dict[str, Any]:
        """Start the servers or processes, and return what other roles need to reach them."""

    async def start_load(self, command: dict[str, Any]) -> dict[str, Any]:
        """Begin to generate the load."""

    def read_counters(self) -> dict[str, Any]:
        """Return the counters."""

    async def stop(self) -> None:
        """Stop everything that was started."""


class WorkersRole:
    """All stand-in workers."""

    def __init__(self) -> None:
        self.counter, self.dispatcher_addresses = MessageCounter(), list[str]()
        self.workers: list[CountingWorker] = []

    async def start(self, command: dict[str, Any]) -> dict[str, Any]:
        """Start the workers and return their addresses by name."""
        names = [f"w-{number}" for number in range(command["workers"])]
        self.workers = [
            CountingWorker(name, self.dispatcher_addresses, command["real"], self.counter) for name in names
        ]
        for worker in self.workers:
            await worker.start()
        return {"workers": {worker.spec.name: worker.address for worker in self.workers}}

    async def start_load(self, command: dict[str, Any]) -> dict[str, Any]:
        """Set the addresses of the dispatchers, to which callbacks go."""
        self.dispatcher_addresses.extend(command["callers"])
        return {}

    def read_counters(self) -> dict[str, Any]:
        """Return the counters, and the number of open connections by side."""
        open_connections = Counter(peer_side(writer) for worker in self.workers for writer in worker.writers)
        unanswered = sum(worker.unanswered_callbacks for worker in self.workers)
        return {
            **self.counter,
            "open_real": open_connections["real"],
            "open_hollow": open_connections["hollow"],
            "unheard": unanswered,
        }

    async def stop(self) -> None:
        """Close all listeners and connections."""
        for worker in self.workers:
            worker.stop()


class DiscoveryRole:
    """The stand-in discovery and its changes."""

    def __init__(self) -> None:
        self.counter = MessageCounter()
        self.discovery = ChangingDiscovery(self.counter)
        self.change_task: asyncio.Task[None] | None = None

    async def start(self, command: dict[str, Any]) -> dict[str, Any]:
        """List the workers and start to listen."""
        for name, address in command["workers"].items():
            self.discovery.put(name, [address], kind="standard")
        await self.discovery.start()
        return {"discovery": self.discovery.address}

    async def start_load(self, command: dict[str, Any]) -> dict[str, Any]:
        """Begin to change the list."""
        if command["point"]["changes"]:
            work = self.discovery.run_changes(command["point"]["changes"], command["point"]["seed"])
            self.change_task = asyncio.get_running_loop().create_task(work)
        return {}

    def read_counters(self) -> dict[str, Any]:
        """Return the counters, and the number of open watches."""
        return {**self.counter, "open": len(self.discovery.writers)}

    async def stop(self) -> None:
        """Stop the changes; close the listener and all watches."""
        if self.change_task is not None:
            self.change_task.cancel()
        self.discovery.stop()


class HollowRole:
    """All hollow dispatchers."""

    def __init__(self) -> None:
        self.counter = MessageCounter()
        self.dispatchers: list[HollowDispatcher] = []

    async def start(self, command: dict[str, Any]) -> dict[str, Any]:
        """Start the dispatchers and their watches, and return the addresses for callbacks."""
        point = msgspec.convert(command["point"], Point)
        for number in range(point.real, point.dispatchers):
            dispatcher = HollowDispatcher(number, point, command["discovery"], self.counter)
            await dispatcher.start()
            dispatcher.start_task(dispatcher.watch())
            self.dispatchers.append(dispatcher)
        return {"callers": [dispatcher.address for dispatcher in self.dispatchers]}

    async def start_load(self, command: dict[str, Any]) -> dict[str, Any]:
        """Begin the requests."""
        point = msgspec.convert(command["point"], Point)
        for dispatcher in self.dispatchers if point.hollow_rate else ():
            dispatcher.start_task(dispatcher.send_requests(point.hollow_rate, point.seed))
        return {}

    def read_counters(self) -> dict[str, Any]:
        """Return the counters, and how many dispatchers have received the list."""
        return {**self.counter, "listed": sum(bool(dispatcher.revision) for dispatcher in self.dispatchers)}

    async def stop(self) -> None:
        """Stop all dispatchers."""
        for dispatcher in self.dispatchers:
            dispatcher.stop()


class RealRole:
    """The real dispatchers and their clients."""

    def __init__(self) -> None:
        self.dispatchers: RealDispatchers | None = None

    async def start(self, command: dict[str, Any]) -> dict[str, Any]:
        """Start the dispatchers and return their addresses and process ids."""
        self.dispatchers = RealDispatchers(msgspec.convert(command["point"], Point), command["discovery"])
        await self.dispatchers.start()
        return {
            "callers": [node.address for node in self.dispatchers.nodes],
            "pids": self.dispatchers.process_ids(),
        }

    async def start_load(self, command: dict[str, Any]) -> dict[str, Any]:  # noqa: ARG002  # as in `Role`
        """Begin the requests."""
        assert self.dispatchers is not None
        self.dispatchers.start_clients()
        return {}

    def read_counters(self) -> dict[str, Any]:
        """Return the counters, and the response time of each request served since the last call."""
        assert self.dispatchers is not None
        response_times_ms, self.dispatchers.response_times_ms = self.dispatchers.response_times_ms, []
        return {**self.dispatchers.counter, "took_ms": response_times_ms}

    async def stop(self) -> None:
        """Shut the processes down gracefully."""
        if self.dispatchers is not None:
            await self.dispatchers.stop()


ROLES: dict[str, type[Role]] = {
    "workers": WorkersRole,
    "discovery": DiscoveryRole,
    "hollow": HollowRole,
    "real": RealRole,
}


class LoopDelayMonitor:
    """Measures how late the event loop of this process runs.

    A long delay shows that the machine was stalled, so that a measurement over that time is void.
    """

    def __init__(self) -> None:
        self.max_delay_ms = 0.0

    async def run(self) -> None:
        """Compare the planned and the actual time of a periodic wake-up, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            due_s = loop.time() + LOOP_CHECK_PERIOD_S
            await asyncio.sleep(LOOP_CHECK_PERIOD_S)
            self.max_delay_ms = max(self.max_delay_ms, (loop.time() - due_s) * 1000)

    def take_max_ms(self) -> float:
        """Return the maximum delay since the last call, in milliseconds, and reset it."""
        max_ms, self.max_delay_ms = self.max_delay_ms, 0.0
        return max_ms


async def serve_commands(role: Role) -> None:
    """Execute the commands on standard input until it ends."""
    reader = asyncio.StreamReader(limit=MAX_LINE_BYTES)
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    delay_monitor = LoopDelayMonitor()
    monitor_task = loop.create_task(delay_monitor.run())
    try:
        async with asyncio.timeout(MAX_LIFETIME_S):
            while line := await reader.readline():
                command = json.loads(line)
                match command["do"]:
                    case "start":
                        answer = await role.start(command)
                    case "go":
                        answer = await role.start_load(command)
                    case _:
                        answer = {**role.read_counters(), "late_ms": delay_monitor.take_max_ms()}
                print(json.dumps(answer), flush=True)
    finally:
        monitor_task.cancel()
        await role.stop()


if __name__ == "__main__":
    asyncio.run(serve_commands(ROLES[sys.argv[1]]()))
