"""Workers and discovery of a soak: they fail on demand and record what dispatchers did."""

from __future__ import annotations

import asyncio
import json
import socket
import time
from collections.abc import Coroutine
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

from weldquay.lab import servers
from weldquay.lab.http import Message, Server, read_message, request, write_line, write_message
from weldquay.lab.site import reserve
from weldquay.lab.soak.plan import WorkerFault

RUN_S = 0.03  # running time of a job
SLOTS = 8
MAX_CALLBACK_ATTEMPTS = 10
CALLBACK_RETRY_S = 0.1
CALLBACK_TIMEOUT_S = 3.0


@dataclass(frozen=True, slots=True)
class ReceivedJob:
    """A job that came to a worker, on the monotonic clock; had_open: at another or the same worker."""

    request_id: str
    worker_id: str
    at: float
    had_open: bool


@dataclass
class JobLog:
    """What all workers have received, and which attempts are open."""

    received: list[ReceivedJob] = field(default_factory=list)
    open_attempts: dict[str, int] = field(default_factory=dict)  # by request

    def begin(self, request_id: str, worker_id: str) -> None:
        """Record an attempt whose last byte has come."""
        count = self.open_attempts.get(request_id, 0)
        self.received.append(ReceivedJob(request_id, worker_id, time.monotonic(), count > 0))
        self.open_attempts[request_id] = count + 1

    def end(self, request_id: str) -> None:
        """Record that an attempt has ended or was cancelled."""
        self.open_attempts[request_id] = max(0, self.open_attempts.get(request_id, 0) - 1)


class SoakWorker(Server):
    """A worker with an address for each dispatcher, to which it sends its callbacks."""

    def __init__(self, worker_id: str, dispatchers: list[str], log: JobLog) -> None:
        super().__init__()
        self.worker_id = worker_id
        self.dispatchers = dispatchers
        self.log = log
        self.fault: WorkerFault | None = None
        self.jobs: dict[str, asyncio.Task[None]] = {}
        self.hanging: set[str] = set()  # requests whose attempts are open here and do not run
        self.tasks: set[asyncio.Task[None]] = set()

    async def listen(self) -> None:
        """Listen for each dispatcher."""
        for _ in self.dispatchers:
            await self.start()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve a connection; an attempt that waits for its 202 ends with it."""
        waiting: list[str] = []
        self.writers[writer] = asyncio.current_task()
        try:
            while True:
                message = await read_message(reader)
                if message.method == "POST" and self.fault is WorkerFault.HANG:
                    waiting.append(message.headers["x-correlation-id"])
                await self.answer(message, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            writer.transport.abort()
        except asyncio.CancelledError:
            if not self.stopping:
                raise
        finally:
            self.writers.pop(writer, None)
            for request_id in waiting:
                self._end_hanging(request_id)

    async def answer(self, message: Message, writer: asyncio.StreamWriter) -> None:
        """Accept a job (POST), cancel one (DELETE) or report the load (GET), unless there is a fault."""
        if message.method == "POST":
            self._accept(message, writer)
        elif message.method == "DELETE":
            self._cancel(message.target.rsplit("/", 1)[1])
            writer.write(write_message("HTTP/1.1 204 No Content"))
        elif self.fault is not WorkerFault.HANG:
            load = {"svc_ms": RUN_S * 1000, "pending": 0, "x0": max(0, SLOTS - len(self.jobs)), "x1": SLOTS}
            writer.write(write_message("HTTP/1.1 200 OK", json.dumps(load).encode()))

    def _accept(self, message: Message, writer: asyncio.StreamWriter) -> None:
        request_id = message.headers["x-correlation-id"]
        self.log.begin(request_id, self.worker_id)
        if self.fault is WorkerFault.RESET:
            self.log.end(request_id)
            writer.transport.abort()
        elif self.fault is WorkerFault.HANG:
            self.hanging.add(request_id)
        else:
            writer.write(write_message("HTTP/1.1 202 Accepted"))
            if self.fault is WorkerFault.ACCEPT_AND_HANG:
                self.hanging.add(request_id)
                return
            address = self.dispatchers[self.caller(writer)]
            self.jobs[request_id] = self._start(self._run(request_id, message.body, address))

    def _start(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def _cancel(self, request_id: str) -> None:
        if (task := self.jobs.pop(request_id, None)) is not None:
            task.cancel()
            self.log.end(request_id)
        self._end_hanging(request_id)

    def _end_hanging(self, request_id: str) -> None:
        if request_id in self.hanging:
            self.hanging.remove(request_id)
            self.log.end(request_id)

    async def _run(self, request_id: str, body: bytes, dispatcher: str) -> None:
        await asyncio.sleep(RUN_S)
        self.jobs.pop(request_id, None)
        self.log.end(request_id)
        callback = {
            "id": request_id,
            "from": self.worker_id,
            "state": "done",
            "result": body.decode().upper(),
        }
        data = write_message("POST /callback HTTP/1.1", json.dumps(callback).encode())
        for _ in range(MAX_CALLBACK_ATTEMPTS):
            with suppress(OSError, asyncio.IncompleteReadError):
                async with asyncio.timeout(CALLBACK_TIMEOUT_S):
                    if (await request(dispatcher, data)).status in (200, 204):
                        return
            await asyncio.sleep(CALLBACK_RETRY_S)

    def stop(self) -> None:
        """Close all connections and end all jobs."""
        super().stop()
        for task in self.tasks:
            task.cancel()


class SoakDiscovery(servers.Discovery):
    """A discovery that goes down, comes back and falls silent, with an address for each dispatcher."""

    def __init__(self) -> None:
        super().__init__()
        self.addresses_by_caller: list[str] = []
        self._bound: list[socket.socket] = []  # keep the ports while discovery is down
        self.is_up = False
        self.up_since: list[float] = []
        self.drained: dict[str, float] = {}  # when a worker was listed as draining, by its id
        self.reachable_after: dict[str, float] = {}  # when that could first be had from discovery
        self._silent_at = 0.0  # watches that are older send nothing

    async def open(self, callers: int) -> None:
        """Listen for so many callers."""
        for _ in range(callers):
            sock, address = reserve()
            self._bound.append(sock)
            self.addresses_by_caller.append(address)
        await self.come_up()

    async def come_up(self) -> None:
        """Accept connections."""
        self.stopping = False
        for address in self.addresses_by_caller:
            sock, _ = reserve(address)
            await self.start_on(sock)
        self.is_up = True
        for worker_id in self.drained:
            self.reachable_after.setdefault(worker_id, time.monotonic())

    def go_down(self) -> None:
        """Refuse connections, and close the open ones."""
        self.is_up = False
        super().stop()
        self.servers.clear()

    def fall_silent(self) -> None:
        """Send nothing more on the watches that are open."""
        self._silent_at = time.monotonic()

    async def drain(self, worker_id: str) -> None:
        """List a worker as draining."""
        self.put(worker_id, self.addresses[worker_id], "DRAINING")
        self.drained[worker_id] = time.monotonic()
        if self.is_up:
            self.reachable_after.setdefault(worker_id, time.monotonic())
        await self.tell()

    async def answer(self, _: Message, writer: asyncio.StreamWriter) -> None:
        """Serve a watch, unless it falls silent."""
        begun_at = time.monotonic()
        caller = self.caller(writer)
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        while not writer.is_closing():
            changed = self.changed
            if begun_at < self._silent_at:
                await asyncio.sleep(1)
                continue
            write_line(writer, json.dumps(self.told(caller)).encode())
            await self._wait_for_change(writer, changed, begun_at)

    async def _wait_for_change(
        self, writer: asyncio.StreamWriter, changed: asyncio.Event, begun_at: float
    ) -> None:
        """Send heartbeats until the list changes or the watch falls silent."""
        while not writer.is_closing():
            try:
                async with asyncio.timeout(servers.HEARTBEAT_S):
                    await changed.wait()
            except TimeoutError:
                if begun_at < self._silent_at:
                    return
                write_line(writer, b"")
            else:
                return

    def stop(self) -> None:
        """Close everything."""
        self.go_down()
        for sock in self._bound:
            sock.close()
