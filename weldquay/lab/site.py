"""A site on loopback: dispatcher processes, stand-ins for workers and discovery, and open-loop clients."""

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
from weldquay.lab.http import Message, Pool, encode_message, request
from weldquay.lab.servers import Discovery, MatchWorker

READY_TIMEOUT_S = 10.0
POLL_S = 0.02
EXIT_TIMEOUT_S = 20.0
RETRY_PAUSE_S = (0.05, 0.1)  # pause before a client's retry: minimum and maximum
ANSWER_GRACE_S = 1.0  # how long after its timeout a client still waits for a response


def reserve_address(address: str = "127.0.0.1:0") -> tuple[socket.socket, str]:
    """Return a bound socket that does not listen, and its address, which stays reserved while it is open.

    address: HOST:PORT, for example of a stopped server; port 0 is one that the system chooses.
    """
    host, port = address.split(":")
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    sock.bind((host, int(port)))
    return sock, "{}:{}".format(*sock.getsockname())


async def wait_for_exit(process: asyncio.subprocess.Process, within_s: float) -> None:
    """Wait for a process to exit, and kill it after a timeout."""
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
        """Start the process and wait until it is ready.

        Raises:
            TimeoutError: it is not ready in time.
            RuntimeError: it exited.
        """
        with (self.folder / "log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "weldquay", *self.arguments, env=self.environ, stdout=log, stderr=log
            )
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await self._is_healthy():
                if self.process.returncode is not None:
                    raise RuntimeError(f"dispatcher process exited: {(self.folder / 'log').read_text()}")
                await asyncio.sleep(POLL_S)

    async def _is_healthy(self) -> bool:
        try:
            return (await request(self.address, encode_message("GET /_health HTTP/1.1"))).status == 200
        except (OSError, asyncio.IncompleteReadError):
            return False

    async def stop(self) -> None:
        """Shut the process down gracefully and read its counters."""
        if self.process is None or self.process.returncode is not None:
            return
        self.process.send_signal(signal.SIGTERM)
        await wait_for_exit(self.process, EXIT_TIMEOUT_S)
        for line in (self.folder / "log").read_text().splitlines():
            _, separator, text = line.partition(" counters {")
            if separator:
                self.counters = json.loads("{" + text)


@dataclass(slots=True)
class Site:
    """The dispatcher processes and stand-ins that run, and the records of the requests sent to them."""

    nodes: list[Node]
    workers: list[MatchWorker]
    discovery: Discovery
    job_classes: Sequence[loads.JobClass]
    records: list[loads.RequestRecord] = field(default_factory=list)
    pools: list[Pool] = field(default_factory=list)

    async def send_arrivals(self, arrivals: Sequence[loads.Arrival], seed: int, retries: int = 0) -> None:
        """Send each request at its time, independently of the others, and wait for all responses."""
        self.pools = [Pool(node.address) for node in self.nodes]
        draw = random.Random(seed)
        start_s = asyncio.get_running_loop().time()
        async with asyncio.TaskGroup() as tasks:
            for arrival in arrivals:
                record = loads.RequestRecord(arrival)
                self.records.append(record)
                due_s = start_s + arrival.at_ns / 1e9
                await asyncio.sleep(due_s - asyncio.get_running_loop().time())
                pauses = [draw.uniform(*RETRY_PAUSE_S) for _ in range(retries)]
                tasks.create_task(self._run_client(record, due_s, pauses))

    async def _run_client(self, record: loads.RequestRecord, due_s: float, pauses: list[float]) -> None:
        """Send one request, with retries if it is rejected; response times count from its due time."""
        arrival = record.arrival
        job_class = self.job_classes[arrival.job_class]
        loop = asyncio.get_running_loop()
        for number in range(len(pauses) + 1):
            try:
                async with asyncio.timeout(job_class.client_timeout_ns / 1e9 + ANSWER_GRACE_S):
                    answer = await self._send(arrival, number)
            except (TimeoutError, OSError, asyncio.IncompleteReadError):
                record.result = loads.RequestResult.LOST
                return
            elapsed_ns = int((loop.time() - due_s) * 1e9)
            if answer.status not in (429, 503):
                record.answers += 1
                record.answered_ns = arrival.at_ns + elapsed_ns
                record.wait_ns = elapsed_ns - int(arrival.work_ns)
                record.result = (
                    loads.classify_served(job_class, arrival.work_ns, elapsed_ns)
                    if answer.status == 200
                    else loads.RequestResult.FAILED
                )
                return
            record.rejections += 1
            if number < len(pauses):
                await asyncio.sleep(pauses[number])
        record.answers += 1
        record.result = loads.RequestResult.REJECTED

    async def _send(self, arrival: loads.Arrival, number: int) -> Message:
        job_class = self.job_classes[arrival.job_class]
        facts = {"slots": arrival.slots, "memory": round(arrival.memory, 6)}
        body = json.dumps({"work_ns": arrival.work_ns, **facts}).encode()
        hint = [] if arrival.hint_ns is None else [f"X-Weight-Hint: {arrival.hint_ns // 1000}"]
        return await self.pools[arrival.dispatcher].send_request(
            encode_message(
                f"POST /{job_class.name}/run HTTP/1.1",
                body,
                f"X-Correlation-Id: {arrival.number:x}-{number}",
                f"X-Time-Left-Ms: {job_class.client_timeout_ns // model.MS}",
                "X-Facts: " + ",".join(f"{name}={value}" for name, value in facts.items()),
                *hint,
            )
        )

    @property
    def counters(self) -> dict[str, float]:
        """The sum of the dispatchers' counters."""
        total: dict[str, float] = {}
        for node in self.nodes:
            for name, value in node.counters.items():
                total[name] = total.get(name, 0) + value
        return total

    def starts_by_job(self) -> dict[str, int]:
        """Return how often each job was started, including retries."""
        total: dict[str, int] = {}
        for worker in self.workers:
            for request_id, times in worker.model.starts_by_job.items():
                job = request_id.split("-")[0]
                total[job] = total.get(job, 0) + times
        return total

    def busy_fraction(self, length_ns: int) -> float:
        """Return the used fraction of all slot time."""
        for worker in self.workers:
            worker.model.advance(time.monotonic_ns())
        used = sum(worker.model.busy_ns for worker in self.workers)
        return used / (length_ns * sum(worker.spec.slots for worker in self.workers))


@contextlib.asynccontextmanager
async def site(
    specs: Sequence[model.WorkerSpec],
    dispatchers: int = 1,
    job_classes: Sequence[loads.JobClass] = loads.JOB_CLASSES,
    arguments: Sequence[str] = (),
    **settings: Any,
) -> AsyncIterator[Site]:
    """Run a site; its processes and servers are stopped at the end of the block."""
    with tempfile.TemporaryDirectory(prefix="weldquay-lab-") as folder, contextlib.ExitStack() as sockets:
        addresses = []
        for _ in range(dispatchers):
            sock, address = reserve_address()
            sockets.enter_context(sock)
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
            document = _config_document(
                number, address, discovery, loads.settings(dispatchers, job_classes, number, **settings)
            )
            nodes.append(make_node(Path(folder) / f"n{number}", number, address, document, arguments))
        running = Site(nodes, workers, discovery, job_classes)
        try:
            await asyncio.gather(*(node.start() for node in nodes))
            yield running
        finally:
            await asyncio.gather(*(node.stop() for node in nodes))
            for server in (discovery, *workers):
                server.stop()
            for pool in running.pools:
                pool.close()


def _config_document(
    number: int, address: str, discovery: Discovery, settings: dict[str, Any]
) -> dict[str, Any]:
    return {
        "name": f"n{number}",
        "listen": address,
        "discovery": discovery.address_for(number),
        "seed": f"{0x5EED + number:x}",
        "limits": {"memory_mb": 192, "sockets": 1024},
        "known": discovery.list_document(number),
        "settings": settings,
    }


def make_node(
    folder: Path,
    number: int,
    address: str,
    document: dict[str, Any],
    arguments: Sequence[str],
) -> Node:
    """Return a dispatcher process that is not started, with its files in a folder."""
    (folder / "tmp").mkdir(parents=True)
    (folder / "config.json").write_text(json.dumps(document))
    environ = {name: value for name, value in os.environ.items() if not name.startswith("GW_")}
    environ |= {"GW_CONFIG": str(folder / "config.json"), "TMPDIR": str(folder / "tmp")}
    return Node(number, address, folder, environ, arguments)
