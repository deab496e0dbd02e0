"""A site on loopback: dispatcher processes among match workers, discovery, and clients that ask on time."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from weldquay.lab import load as loads
from weldquay.lab import model
from weldquay.lab.http import Message, Pool, request, write_message
from weldquay.lab.servers import Discovery, MatchWorker

READY_S = 10.0
LOOK_S = 0.02
END_S = 20.0
PAUSE_S = (0.05, 0.1)  # before a client tries again
GRACE_S = 1.0  # how much longer than its patience a client's socket waits


def reserve(address: str = "127.0.0.1:0") -> tuple[socket.socket, str]:
    """An address that nobody else gets while the socket is open; it is bound and does not listen.

    address: HOST:PORT, as of a server that was stopped; port 0 is one that the system chooses.
    """
    host, port = address.split(":")
    held = socket.socket()
    held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    held.bind((host, int(port)))
    return held, "{}:{}".format(*held.getsockname())


async def ended(process: asyncio.subprocess.Process, within_s: float) -> None:
    """Wait for a process that was told to end; by force where it does not."""
    try:
        async with asyncio.timeout(within_s):
            await process.wait()
    except TimeoutError:
        process.kill()
        await process.wait()


@dataclass(slots=True)
class Node:
    """A dispatcher process."""

    number: int
    address: str
    folder: Path
    environ: dict[str, str]
    arguments: Sequence[str] = ()
    process: asyncio.subprocess.Process | None = None
    counters: dict[str, float] = field(default_factory=dict)

    async def start(self) -> None:
        """Start it and wait until it takes clients."""
        with (self.folder / "log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "weldquay", *self.arguments, env=self.environ, stdout=log, stderr=log
            )
        async with asyncio.timeout(READY_S):
            while not await self._healthy():
                if self.process.returncode is not None:
                    raise RuntimeError(f"a dispatcher ended: {(self.folder / 'log').read_text()}")
                await asyncio.sleep(LOOK_S)

    async def _healthy(self) -> bool:
        try:
            return (await request(self.address, write_message("GET /_health HTTP/1.1"))).status == 200
        except (OSError, asyncio.IncompleteReadError):
            return False

    async def stop(self) -> None:
        """End it in order and keep its counters."""
        if self.process is None or self.process.returncode is not None:
            return
        self.process.send_signal(signal.SIGTERM)
        await ended(self.process, END_S)
        for line in (self.folder / "log").read_text().splitlines():
            _, found, told = line.partition(" counters {")
            if found:
                self.counters = json.loads("{" + told)


@dataclass(slots=True)
class Site:
    """All of a site that runs."""

    nodes: list[Node]
    workers: list[MatchWorker]
    discovery: Discovery
    kinds: Sequence[loads.Kind]
    records: list[loads.Record] = field(default_factory=list)
    pools: list[Pool] = field(default_factory=list)

    async def play(self, arrivals: Sequence[loads.Arrival], seed: int, retries: int = 0) -> None:
        """Bring each job at its moment, whatever became of the others, and wait for all answers."""
        self.pools = [Pool(node.address) for node in self.nodes]
        draw, begun = random.Random(seed), asyncio.get_running_loop().time()
        async with asyncio.TaskGroup() as tasks:
            for arrival in arrivals:
                record = loads.Record(arrival)
                self.records.append(record)
                await asyncio.sleep(begun + arrival.at_ns / 1e9 - asyncio.get_running_loop().time())
                due_s = begun + arrival.at_ns / 1e9
                pauses = [draw.uniform(*PAUSE_S) for _ in range(retries)]
                tasks.create_task(self._client(record, due_s, pauses))

    async def _client(self, record: loads.Record, due_s: float, pauses: list[float]) -> None:
        """One client: a call, again after a refusal, to the end; times count from when it was due."""
        arrival, kind = record.arrival, self.kinds[record.arrival.kind]
        loop = asyncio.get_running_loop()
        for number in range(len(pauses) + 1):
            try:
                async with asyncio.timeout(kind.give_up_ns / 1e9 + GRACE_S):
                    answer = await self._ask(arrival, number)
            except (TimeoutError, OSError, asyncio.IncompleteReadError):
                record.fate = loads.Fate.LOST
                return
            took_ns = int((loop.time() - due_s) * 1e9)
            if answer.status not in (429, 503):
                record.answers += 1
                record.answered_ns = arrival.at_ns + took_ns
                record.wait_ns = took_ns - int(arrival.work_ns)
                record.fate = (
                    loads.judge(kind, arrival.work_ns, took_ns)
                    if answer.status == 200
                    else (loads.Fate.FAILED)
                )
                return
            record.refusals += 1
            if number < len(pauses):
                await asyncio.sleep(pauses[number])
        record.answers, record.fate = record.answers + 1, loads.Fate.REFUSED

    async def _ask(self, arrival: loads.Arrival, number: int) -> Message:
        kind = self.kinds[arrival.kind]
        facts = {"slots": arrival.slots, "memory": round(arrival.memory, 6)}
        body = json.dumps({"work_ns": arrival.work_ns, **facts}).encode()
        hint = [] if arrival.hint_ns is None else [f"X-Weight-Hint: {arrival.hint_ns // 1000}"]
        return await self.pools[arrival.dispatcher].ask(
            write_message(
                f"POST /{kind.name}/run HTTP/1.1",
                body,
                f"X-Correlation-Id: {arrival.number:x}-{number}",
                f"X-Time-Left-Ms: {kind.give_up_ns // model.MS}",
                "X-Facts: " + ",".join(f"{name}={value}" for name, value in facts.items()),
                *hint,
            )
        )

    @property
    def counters(self) -> dict[str, float]:
        """The dispatchers' counters, added up."""
        total: dict[str, float] = {}
        for node in self.nodes:
            for name, value in node.counters.items():
                total[name] = total.get(name, 0) + value
        return total

    def runs(self) -> dict[str, int]:
        """Starts by job, whatever the client's retry."""
        total: dict[str, int] = {}
        for worker in self.workers:
            for call, times in worker.model.runs.items():
                job = call.split("-")[0]
                total[job] = total.get(job, 0) + times
        return total

    def busy(self, length_ns: int) -> float:
        """The part of all slot time that was used."""
        for worker in self.workers:
            worker.model.advance(time.monotonic_ns())
        used = sum(worker.model.busy_ns for worker in self.workers)
        return used / (length_ns * sum(worker.spec.slots for worker in self.workers))


@contextlib.asynccontextmanager
async def site(
    specs: Sequence[model.Spec],
    dispatchers: int = 1,
    kinds: Sequence[loads.Kind] = loads.KINDS,
    arguments: Sequence[str] = (),
    **settings: Any,
) -> AsyncIterator[Site]:
    """A running site; its processes and servers end with the block."""
    with tempfile.TemporaryDirectory(prefix="weldquay-lab-") as folder, contextlib.ExitStack() as held:
        addresses = []
        for _ in range(dispatchers):
            sock, address = reserve()
            held.enter_context(sock)
            addresses.append(address)
        discovery, workers = Discovery(), [MatchWorker(spec, addresses) for spec in specs]
        for worker in workers:
            await worker.listen()
            discovery.put(
                worker.spec.name, [worker.address_for(n) for n in range(dispatchers)], kind=worker.spec.kind
            )
        nodes = []
        for number, address in enumerate(addresses):
            await discovery.start()
            document = _document(
                number, address, discovery, loads.settings(dispatchers, kinds, number, **settings)
            )
            nodes.append(make_node(Path(folder) / f"n{number}", number, address, document, arguments))
        here = Site(nodes, workers, discovery, kinds)
        try:
            await asyncio.gather(*(node.start() for node in nodes))
            yield here
        finally:
            await asyncio.gather(*(node.stop() for node in nodes))
            for server in (discovery, *workers):
                server.stop()
            for pool in here.pools:
                pool.close()


def _document(number: int, address: str, discovery: Discovery, settings: dict[str, Any]) -> dict[str, Any]:
    return {
        "name": f"n{number}",
        "listen": address,
        "discovery": discovery.address_for(number),
        "seed": f"{0x5EED + number:x}",
        "limits": {"memory_mb": 192, "sockets": 1024},
        "known": discovery.told(number),
        "settings": settings,
    }


def make_node(
    folder: Path,
    number: int,
    address: str,
    document: dict[str, Any],
    arguments: Sequence[str],
) -> Node:
    """A dispatcher that has not started, with its files in a folder."""
    (folder / "tmp").mkdir(parents=True)
    (folder / "config.json").write_text(json.dumps(document))
    environ = {name: value for name, value in os.environ.items() if not name.startswith("GW_")}
    environ |= {"GW_CONFIG": str(folder / "config.json"), "TMPDIR": str(folder / "tmp")}
    return Node(number, address, folder, environ, arguments)
