"""Hollow dispatchers: they use the network as real dispatchers do, but make no decisions.

Like a real dispatcher, each has a watch with backoff (`discovery.backoff`), a subset of workers, probes of up
to four workers where fewer than four have a fresh load report, jobs and callbacks of the real size, and two
idle connections per worker.  Left out: client connections, the water-fill, worker health, slow start, DELETE.
"""

from __future__ import annotations

import asyncio
import json
import random
import time
import zlib
from collections.abc import Coroutine
from functools import lru_cache
from typing import Any

from weldquay.discovery.backoff import Backoff
from weldquay.fleet.subset import subset
from weldquay.interface import DiscoveryFailure
from weldquay.lab.http import Message, Server
from weldquay.lab.scale.counts import CountingPool, MessageCounter, hollow_address
from weldquay.lab.scale.points import CLIENT_TIMEOUT_NS, JOB_CLASSES, Point, job_body
from weldquay.net.discovery_client import HEARTBEAT_GRACE_S, HEARTBEAT_S, RESPONSE_TIMEOUT_S
from weldquay.net.messages import JobPayload, job_headers, watch_target
from weldquay.policy.limits import FRESH_REPORT_NS, PROBE_WAIT_NS
from weldquay.policy.placement import MIN_FRESH_CANDIDATES
from weldquay.policy.probing import MAX_PROBES

MAX_POLL_DELAY_NS = 10_000_000_000  # as `ask_within_ns` in the settings of the real dispatchers
MAX_ATTEMPTS = 5
CALLBACK_RESPONSE = b"HTTP/1.1 204 No Content\r\n\r\n"


@lru_cache(maxsize=4)
def parse_line(line: bytes) -> dict[str, Any]:
    """Parse a line of a watch, once for all hollow dispatchers of a process: they all get the same lines."""
    update: dict[str, Any] = json.loads(line)
    return update


@lru_cache(maxsize=4)
def worker_keys(line: bytes) -> list[int]:
    """Return a hash of the id of each worker of a whole list, the same for all hollow dispatchers."""
    return [zlib.crc32(member["id"].encode()) for member in parse_line(line)["members"]]


class HollowDispatcher(Server):
    """A hollow dispatcher; its number is also its index among the dispatchers of the settings."""

    def __init__(self, number: int, point: Point, discovery: str, counter: MessageCounter) -> None:
        super().__init__()
        self.number, self.group_size = number, point.group_size
        self.source, self.discovery, self.counter = hollow_address(number), discovery, counter
        self.rng = random.Random(number)
        self.backoff = Backoff(self.rng, self.group_size)
        self.revision = 0
        self.workers: dict[str, str] = {}  # addresses of the serving workers by id
        self.subset_ids: list[str] = []
        self.report_times_ns: dict[str, int] = {}  # when each worker last reported its load, oldest first
        self.free_slots: dict[str, float] = {}
        self.pools: dict[str, CountingPool] = {}
        self.pending: dict[str, asyncio.Future[None]] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    def start_task(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Start a task that is cancelled when the dispatcher stops, if it has not ended before."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def stop(self) -> None:
        """Close all connections and cancel all tasks."""
        super().stop()
        for task in self.tasks:
            task.cancel()
        for pool in self.pools.values():
            pool.close()

    # --- discovery ---

    async def watch(self) -> None:
        """Watch the endpoint list; after a failure wait as long as a real dispatcher would."""
        while True:
            self.last_update_ns = time.monotonic_ns()
            failure = DiscoveryFailure.CLOSED
            try:
                await self._read_watch()
            except ConnectionRefusedError:
                failure = DiscoveryFailure.REFUSED
            except (OSError, asyncio.IncompleteReadError):  # a TimeoutError is an OSError
                pass
            now_ns = time.monotonic_ns()
            wait_ns = self.backoff.retry_delay_ns(
                now_ns, MAX_POLL_DELAY_NS, now_ns - self.last_update_ns, failure
            )
            self.counter["watches_ended"] += 1
            await asyncio.sleep(wait_ns / 1e9)

    async def _read_watch(self) -> None:
        host, _, port = self.discovery.partition(":")
        async with asyncio.timeout(RESPONSE_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, int(port), local_addr=(self.source, 0))
        try:
            head = b"GET %s HTTP/1.1\r\nHost: %s\r\n\r\n"
            writer.write(head % (watch_target(self.revision), self.discovery.encode()))
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                await reader.readuntil(b"\r\n\r\n")
            while True:
                async with asyncio.timeout(HEARTBEAT_S + HEARTBEAT_GRACE_S):
                    size = int(await reader.readuntil(b"\r\n"), 16)
                    line = (await reader.readexactly(size + 2))[:-3]
                self.last_update_ns = time.monotonic_ns()
                self.backoff.reset()
                if line:
                    self._apply_update(line)
        finally:
            writer.transport.abort()

    def _apply_update(self, line: bytes) -> None:
        update = parse_line(line)
        self.revision = update["revision"]
        if update["complete"]:
            self.workers.clear()
        for member in update["members"]:
            if member["phase"] == "SERVING":
                self.workers[member["id"]] = member["host_port"]
            else:
                self.workers.pop(member["id"], None)
        if update["complete"]:
            indices = subset(worker_keys(line), self.number, self.group_size)
            self.subset_ids = [update["members"][index]["id"] for index in indices]

    # --- workers ---

    def _pool(self, address: str) -> CountingPool:
        if address not in self.pools:
            self.pools[address] = CountingPool(address, self.counter, "hollow", self.source)
        return self.pools[address]

    def _fresh_workers(self) -> list[str]:
        """Return the listed workers that have a fresh load report and a free slot."""
        oldest_ns = time.monotonic_ns() - FRESH_REPORT_NS
        while self.report_times_ns and next(iter(self.report_times_ns.values())) < oldest_ns:
            del self.report_times_ns[next(iter(self.report_times_ns))]
        return [
            worker_id
            for worker_id in self.report_times_ns
            if worker_id in self.workers and self.free_slots[worker_id] >= 1
        ]

    def _start_probes(self) -> list[asyncio.Task[None]]:
        """Probe up to four workers, from a sample of the subset, that have no fresh load report."""
        listed_ids = [worker_id for worker_id in self.subset_ids if worker_id in self.workers]
        sampled = self.rng.sample(listed_ids, min(len(listed_ids), 3 * MAX_PROBES))
        workers_to_probe = [worker_id for worker_id in sampled if worker_id not in self.report_times_ns][
            :MAX_PROBES
        ]
        return [
            self.start_task(self._probe(worker_id, self.workers[worker_id])) for worker_id in workers_to_probe
        ]

    def _record_report(self, worker_id: str, load: dict[str, float]) -> None:
        self.report_times_ns.pop(worker_id, None)
        self.report_times_ns[worker_id], self.free_slots[worker_id] = time.monotonic_ns(), load["x0"]

    async def _probe(self, worker_id: str, address: str) -> None:
        try:
            answer = await self._pool(address).send_request(
                b"GET /_load HTTP/1.1\r\nHost: %s\r\n\r\n" % address.encode()
            )
            self._record_report(worker_id, json.loads(answer.body))
        except (OSError, asyncio.IncompleteReadError):
            self.counter["probes_failed"] += 1

    # --- requests ---

    async def send_requests(self, rate: float, seed: int) -> None:
        """Generate requests at random times from a seed, `rate` per second on average."""
        rng, loop = random.Random(seed * 1000 + self.number), asyncio.get_running_loop()
        due_s, number = loop.time(), 0
        while True:
            due_s, number = due_s + rng.expovariate(rate), number + 1
            await asyncio.sleep(max(0.0, due_s - loop.time()))
            self.start_task(self._send_request(f"{self.number}-{number}"))

    async def _send_request(self, request_id: str) -> None:
        """Process one request from its arrival to its end."""
        self.counter["requests"] += 1
        start_ns = time.monotonic_ns()
        completed = self.pending[request_id] = asyncio.get_running_loop().create_future()
        try:
            async with asyncio.timeout(CLIENT_TIMEOUT_NS / 1e9):
                for _ in range(MAX_ATTEMPTS):
                    if await self._send_attempt(request_id, start_ns):
                        await completed
                        self.counter["served"] += 1
                        return
        except (OSError, asyncio.IncompleteReadError):  # a TimeoutError is an OSError
            pass
        finally:
            del self.pending[request_id]
        self.counter["failed"] += 1

    async def _send_attempt(self, request_id: str, start_ns: int) -> bool:
        """Send the job to a worker with a free slot; return True if the worker accepted it."""
        fresh_workers = self._fresh_workers()
        if len(fresh_workers) < MIN_FRESH_CANDIDATES and (probes := self._start_probes()):
            await asyncio.wait(probes, timeout=PROBE_WAIT_NS / 1e9)
            fresh_workers = self._fresh_workers()
        subset_ids = set(self.subset_ids)
        candidates = (
            [worker_id for worker_id in fresh_workers if worker_id in subset_ids]
            or fresh_workers
            or list(self.workers)
        )
        if not candidates:
            await asyncio.sleep(FRESH_REPORT_NS / 1e9)
            return False
        worker_id = self.rng.choice(candidates)
        address = self.workers[worker_id]
        self.free_slots[worker_id] = self.free_slots.get(worker_id, 1.0) - 1
        body = job_body().encode()
        job = JobPayload(f"/{JOB_CLASSES[0].name}/run".encode(), body)
        remaining_ns = start_ns + CLIENT_TIMEOUT_NS - time.monotonic_ns()
        lines = [b"POST %s HTTP/1.1" % job.target]
        lines += [b"%s: %s" % pair for pair in job_headers(request_id, job, remaining_ns, address)]
        answer = await self._pool(address).send_request(b"\r\n".join([*lines, b"", body]))
        return answer.status == 202

    async def answer(self, message: Message, writer: asyncio.StreamWriter) -> None:
        """Acknowledge a callback and process it."""
        callback = json.loads(message.body)
        writer.write(CALLBACK_RESPONSE)
        if load := callback.get("load"):
            self._record_report(callback["from"], load)
        completed = self.pending.get(callback["id"])
        if callback["state"] == "done" and completed is not None and not completed.done():
            completed.set_result(None)
