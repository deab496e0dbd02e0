"""The real dispatchers of a point, and the clients that send them requests."""

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
    """Processes of `python -m weldquay`, with clients that send requests at random times from a seed."""

    def __init__(self, point: Point, discovery: str) -> None:
        self.point, self.resources = point, contextlib.ExitStack()
        folder = Path(self.resources.enter_context(tempfile.TemporaryDirectory(prefix="weldquay-scale-")))
        self.nodes: list[Node] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.counter: Counter[str] = Counter()
        self.response_times_ms: list[float] = []
        for number in range(point.real):
            sock, address = reserve_address()
            self.resources.enter_context(sock)
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
        """Start all processes and wait until they accept clients."""
        await asyncio.gather(*(node.start() for node in self.nodes))

    def process_ids(self) -> list[int]:
        """Return the process id of each dispatcher that was started."""
        return [node.process.pid for node in self.nodes if node.process is not None]

    def start_task(self, work: Coroutine[Any, Any, None]) -> None:
        """Start a task that is cancelled when the dispatchers stop, if it has not ended before."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def start_clients(self) -> None:
        """Begin to send requests to each dispatcher."""
        if self.point.real_rate:
            for number in range(len(self.nodes)):
                self.start_task(self._send_requests(number))

    async def _send_requests(self, number: int) -> None:
        rng, loop = random.Random(self.point.seed * 1000 + number), asyncio.get_running_loop()
        due_s, count = loop.time(), 0
        while True:
            due_s, count = due_s + rng.expovariate(self.point.real_rate), count + 1
            await asyncio.sleep(max(0.0, due_s - loop.time()))
            self.start_task(self._send_request(number, f"{number}-{count}"))

    async def _send_request(self, number: int, request_id: str) -> None:
        self.counter["requests"] += 1
        start_s = time.monotonic()
        header_lines = (
            f"X-Correlation-Id: {request_id}",
            f"X-Time-Left-Ms: {CLIENT_TIMEOUT_NS // 1_000_000}",
        )
        data = encode_message(f"POST /{JOB_CLASSES[0].name}/run HTTP/1.1", job_body().encode(), *header_lines)
        try:
            async with asyncio.timeout(CLIENT_TIMEOUT_NS / 1e9 + 1):
                answer = await self.pools[number].send_request(data)
        except (OSError, asyncio.IncompleteReadError):  # a TimeoutError is an OSError
            self.counter["lost"] += 1
            return
        self.counter["served" if answer.status == 200 else "failed"] += 1
        if answer.status == 200:
            self.response_times_ms.append((time.monotonic() - start_s) * 1000)

    async def stop(self) -> None:
        """Cancel the clients, then shut the processes down gracefully."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*(node.stop() for node in self.nodes))
        for pool in self.pools:
            pool.close()
        self.resources.close()
