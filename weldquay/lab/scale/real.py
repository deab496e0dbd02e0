"""The real dispatchers of a point, and the clients that bring them requests."""

from __future__ import annotations

import asyncio
import contextlib
import random
import tempfile
import time
from collections import Counter
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

from weldquay.lab.http import Pool, encode_message
from weldquay.lab.scale.points import CLIENT_TIMEOUT_NS, JOB_CLASSES, Point, job_body, settings
from weldquay.lab.site import Node, make_node, reserve_address


class RealDispatchers:
    """Processes of `python -m weldquay`; clients ask each at moments drawn from a seed."""

    def __init__(self, point: Point, discovery: str) -> None:
        self.point, self.held = point, contextlib.ExitStack()
        folder = Path(self.held.enter_context(tempfile.TemporaryDirectory(prefix="weldquay-scale-")))
        self.nodes: list[Node] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.tally: Counter[str] = Counter()
        self.took_ms: list[float] = []
        for number in range(point.real):
            sock, address = reserve_address()
            self.held.enter_context(sock)
            document = {
                "name": f"r{number}",
                "listen": address,
                "discovery": discovery,
                "seed": f"{0x5EED + number:x}",
                "limits": {"memory_mb": 256, "sockets": 4096},
                "known": {"revision": 0, "complete": True, "members": []},
                "settings": settings(point.group_size, number),
            }
            self.nodes.append(make_node(folder / f"r{number}", number, address, document, ()))
        self.pools = [Pool(node.address) for node in self.nodes]

    async def start(self) -> None:
        """Start all, until they take clients."""
        await asyncio.gather(*(node.start() for node in self.nodes))

    def pids(self) -> list[int]:
        """Their processes."""
        return [node.process.pid for node in self.nodes if node.process is not None]

    def run(self, work: Coroutine[Any, Any, None]) -> None:
        """Start a task that ends with the dispatchers at the latest."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def load(self) -> None:
        """Begin to bring requests."""
        if self.point.real_rate:
            for number in range(len(self.nodes)):
                self.run(self._clients(number))

    async def _clients(self, number: int) -> None:
        draw, loop = random.Random(self.point.seed * 1000 + number), asyncio.get_running_loop()
        due, count = loop.time(), 0
        while True:
            due, count = due + draw.expovariate(self.point.real_rate), count + 1
            await asyncio.sleep(max(0.0, due - loop.time()))
            self.run(self._request(number, f"{number}-{count}"))

    async def _request(self, number: int, call: str) -> None:
        self.tally["requests"] += 1
        begun = time.monotonic()
        figures = (f"X-Correlation-Id: {call}", f"X-Time-Left-Ms: {CLIENT_TIMEOUT_NS // 1_000_000}")
        data = encode_message(f"POST /{JOB_CLASSES[0].name}/run HTTP/1.1", job_body().encode(), *figures)
        try:
            async with asyncio.timeout(CLIENT_TIMEOUT_NS / 1e9 + 1):
                answer = await self.pools[number].send_request(data)
        except (OSError, asyncio.IncompleteReadError):  # a TimeoutError is an OSError
            self.tally["lost"] += 1
            return
        self.tally["served" if answer.status == 200 else "failed"] += 1
        if answer.status == 200:
            self.took_ms.append((time.monotonic() - begun) * 1000)

    async def stop(self) -> None:
        """End the clients, then the processes in order."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*(node.stop() for node in self.nodes))
        for pool in self.pools:
            pool.close()
        self.held.close()
