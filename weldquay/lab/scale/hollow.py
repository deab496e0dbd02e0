"""Hollow dispatchers: what a real one does on its sockets, without its decisions.

Kept from the real one: the watch with its waits (`discovery.backoff`), the subset of workers, the look at up
to four workers where fewer than four have fresh news, jobs and callbacks with their bytes, two idle
connections a worker.  Left out: clients' sockets, the water-fill, health, slow start, DELETE.
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
from weldquay.lab.scale.counts import CountingPool, Tally, hollow_address
from weldquay.lab.scale.points import CLIENT_TIMEOUT_NS, JOB_CLASSES, Point, job_body
from weldquay.net.discovery_client import HEARTBEAT_GRACE_S, HEARTBEAT_S, RESPONSE_TIMEOUT_S
from weldquay.net.messages import JobPayload, job_headers, watch_target
from weldquay.policy.limits import FRESH_REPORT_NS, PROBE_WAIT_NS
from weldquay.policy.placement import MIN_FRESH_CANDIDATES
from weldquay.policy.probing import MAX_PROBES

ASK_WITHIN_NS = 10_000_000_000  # as the settings say
MAX_ATTEMPTS = 5
NO_CONTENT = b"HTTP/1.1 204 No Content\r\n\r\n"


@lru_cache(maxsize=4)
def parsed(line: bytes) -> dict[str, Any]:
    """A line of a watch.  All hollow ones of a process get the same lines: one parse serves them."""
    told: dict[str, Any] = json.loads(line)
    return told


@lru_cache(maxsize=4)
def numbers(line: bytes) -> list[int]:
    """A number for each worker of a whole list, the same at all hollow dispatchers."""
    return [zlib.crc32(member["id"].encode()) for member in parsed(line)["members"]]


class HollowDispatcher(Server):
    """One of many; its number is its place among the dispatchers of the settings too."""

    def __init__(self, number: int, point: Point, discovery: str, tally: Tally) -> None:
        super().__init__()
        self.number, self.group = number, point.group_size
        self.source, self.discovery, self.tally = hollow_address(number), discovery, tally
        self.draw = random.Random(number)
        self.backoff = Backoff(self.draw, self.group)
        self.revision = 0
        self.workers: dict[str, str] = {}  # addresses of those that serve
        self.home: list[str] = []
        self.news: dict[str, int] = {}  # when each last told its load
        self.free: dict[str, float] = {}
        self.pools: dict[str, CountingPool] = {}
        self.waiting: dict[str, asyncio.Future[None]] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    def run(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Start a task that ends with the dispatcher at the latest."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def stop(self) -> None:
        """End at once."""
        super().stop()
        for task in self.tasks:
            task.cancel()
        for pool in self.pools.values():
            pool.close()

    # --- discovery ---

    async def watch(self) -> None:
        """Follow the list; after a failure ask again when the real one would."""
        while True:
            self.whole_ns = time.monotonic_ns()
            failure = DiscoveryFailure.CLOSED
            try:
                await self._follow()
            except ConnectionRefusedError:
                failure = DiscoveryFailure.REFUSED
            except (OSError, asyncio.IncompleteReadError):  # a TimeoutError is an OSError
                pass
            now_ns = time.monotonic_ns()
            wait_ns = self.backoff.retry_delay_ns(now_ns, ASK_WITHIN_NS, now_ns - self.whole_ns, failure)
            self.tally["watches_ended"] += 1
            await asyncio.sleep(wait_ns / 1e9)

    async def _follow(self) -> None:
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
                self.whole_ns = time.monotonic_ns()
                self.backoff.reset()
                if line:
                    self._take(line)
        finally:
            writer.transport.abort()

    def _take(self, line: bytes) -> None:
        told = parsed(line)
        self.revision = told["revision"]
        if told["complete"]:
            self.workers.clear()
        for member in told["members"]:
            if member["phase"] == "SERVING":
                self.workers[member["id"]] = member["host_port"]
            else:
                self.workers.pop(member["id"], None)
        if told["complete"]:
            places = subset(numbers(line), self.number, self.group)
            self.home = [told["members"][place]["id"] for place in places]

    # --- workers ---

    def _pool(self, address: str) -> CountingPool:
        if address not in self.pools:
            self.pools[address] = CountingPool(address, self.tally, "hollow", self.source)
        return self.pools[address]

    def _fresh(self) -> list[str]:
        """Workers with room whose news is fresh."""
        since = time.monotonic_ns() - FRESH_REPORT_NS
        while self.news and next(iter(self.news.values())) < since:
            del self.news[next(iter(self.news))]
        return [name for name in self.news if name in self.workers and self.free[name] >= 1]

    def _look(self) -> list[asyncio.Task[None]]:
        """Probe up to four of a few workers without fresh news."""
        pool = [name for name in self.home if name in self.workers]
        some = self.draw.sample(pool, min(len(pool), 3 * MAX_PROBES))
        asked = [name for name in some if name not in self.news][:MAX_PROBES]
        return [self.run(self._probe(name, self.workers[name])) for name in asked]

    def _hear(self, name: str, load: dict[str, float]) -> None:
        self.news.pop(name, None)
        self.news[name], self.free[name] = time.monotonic_ns(), load["x0"]

    async def _probe(self, name: str, address: str) -> None:
        try:
            answer = await self._pool(address).send_request(
                b"GET /_load HTTP/1.1\r\nHost: %s\r\n\r\n" % address.encode()
            )
            self._hear(name, json.loads(answer.body))
        except (OSError, asyncio.IncompleteReadError):
            self.tally["probes_failed"] += 1

    # --- requests ---

    async def load(self, rate: float, seed: int) -> None:
        """Have so many requests a second, at moments drawn from a seed."""
        draw, loop = random.Random(seed * 1000 + self.number), asyncio.get_running_loop()
        due, number = loop.time(), 0
        while True:
            due, number = due + draw.expovariate(rate), number + 1
            await asyncio.sleep(max(0.0, due - loop.time()))
            self.run(self._request(f"{self.number}-{number}"))

    async def _request(self, call: str) -> None:
        """One request, from its coming to its end."""
        self.tally["requests"] += 1
        begun_ns = time.monotonic_ns()
        ended = self.waiting[call] = asyncio.get_running_loop().create_future()
        try:
            async with asyncio.timeout(CLIENT_TIMEOUT_NS / 1e9):
                for _ in range(MAX_ATTEMPTS):
                    if await self._attempt(call, begun_ns):
                        await ended
                        self.tally["served"] += 1
                        return
        except (OSError, asyncio.IncompleteReadError):  # a TimeoutError is an OSError
            pass
        finally:
            del self.waiting[call]
        self.tally["failed"] += 1

    async def _attempt(self, call: str, begun_ns: int) -> bool:
        """Send it to a worker with room; True where that took it."""
        fresh = self._fresh()
        if len(fresh) < MIN_FRESH_CANDIDATES and (looks := self._look()):
            await asyncio.wait(looks, timeout=PROBE_WAIT_NS / 1e9)
            fresh = self._fresh()
        home = set(self.home)
        choice = [name for name in fresh if name in home] or fresh or list(self.workers)
        if not choice:
            await asyncio.sleep(FRESH_REPORT_NS / 1e9)
            return False
        name = self.draw.choice(choice)
        address = self.workers[name]
        self.free[name] = self.free.get(name, 1.0) - 1
        body = job_body().encode()
        job = JobPayload(f"/{JOB_CLASSES[0].name}/run".encode(), body)
        left_ns = begun_ns + CLIENT_TIMEOUT_NS - time.monotonic_ns()
        lines = [b"POST %s HTTP/1.1" % job.target]
        lines += [b"%s: %s" % pair for pair in job_headers(call, job, left_ns, address)]
        answer = await self._pool(address).send_request(b"\r\n".join([*lines, b"", body]))
        return answer.status == 202

    async def answer(self, message: Message, writer: asyncio.StreamWriter) -> None:
        """A callback."""
        told = json.loads(message.body)
        writer.write(NO_CONTENT)
        if load := told.get("load"):
            self._hear(told["from"], load)
        ended = self.waiting.get(told["id"])
        if told["state"] == "done" and ended is not None and not ended.done():
            ended.set_result(None)
