"""Stand-ins for workers and discovery that fail on demand and record what the dispatchers do."""

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
from weldquay.lab.http import Message, Server, encode_message, read_message, request, write_line
from weldquay.lab.site import reserve_address
from weldquay.lab.soak.held_requests import Interval
from weldquay.lab.soak.plan import WorkerFault

RUN_S = 0.03  # running time of a job
SLOTS = 8
MAX_CALLBACK_ATTEMPTS = 10
CALLBACK_RETRY_DELAY_S = 0.1
CALLBACK_TIMEOUT_S = 3.0


@dataclass(frozen=True, slots=True)
class ReceivedJob:
    """A job that a worker received; had_open_attempt: its request had another open attempt at any worker."""

    request_id: str
    worker_id: str
    received_at: float
    had_open_attempt: bool


@dataclass
class JobLog:
    """The jobs that all workers received, and the open attempts."""

    received: list[ReceivedJob] = field(default_factory=list)
    open_attempts: dict[str, int] = field(default_factory=dict)  # number by request id

    def begin(self, request_id: str, worker_id: str) -> None:
        """Record an attempt that was received completely."""
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
        self.hung_requests: set[str] = set()  # ids of requests with an open attempt that does not run
        self.tasks: set[asyncio.Task[None]] = set()

    async def listen(self) -> None:
        """Listen for each dispatcher."""
        for _ in self.dispatchers:
            await self.start()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve a connection; attempts without a 202 end when it closes."""
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
                self._end_hung_attempt(request_id)

    async def answer(self, message: Message, writer: asyncio.StreamWriter) -> None:
        """Accept a job (POST), cancel one (DELETE) or report the load (GET), unless a fault prevents it."""
        if message.method == "POST":
            self._accept(message, writer)
        elif message.method == "DELETE":
            self._cancel(message.target.rsplit("/", 1)[1])
            writer.write(encode_message("HTTP/1.1 204 No Content"))
        elif self.fault is not WorkerFault.HANG:
            load = {"svc_ms": RUN_S * 1000, "pending": 0, "x0": max(0, SLOTS - len(self.jobs)), "x1": SLOTS}
            writer.write(encode_message("HTTP/1.1 200 OK", json.dumps(load).encode()))

    def _accept(self, message: Message, writer: asyncio.StreamWriter) -> None:
        request_id = message.headers["x-correlation-id"]
        self.log.begin(request_id, self.worker_id)
        if self.fault is WorkerFault.RESET:
            self.log.end(request_id)
            writer.transport.abort()
        elif self.fault is WorkerFault.HANG:
            self.hung_requests.add(request_id)
        else:
            writer.write(encode_message("HTTP/1.1 202 Accepted"))
            if self.fault is WorkerFault.ACCEPT_AND_HANG:
                self.hung_requests.add(request_id)
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
        self._end_hung_attempt(request_id)

    def _end_hung_attempt(self, request_id: str) -> None:
        if request_id in self.hung_requests:
            self.hung_requests.remove(request_id)
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
        data = encode_message("POST /callback HTTP/1.1", json.dumps(callback).encode())
        for _ in range(MAX_CALLBACK_ATTEMPTS):
            with suppress(OSError, asyncio.IncompleteReadError):
                async with asyncio.timeout(CALLBACK_TIMEOUT_S):
                    if (await request(dispatcher, data)).status in (200, 204):
                        return
            await asyncio.sleep(CALLBACK_RETRY_DELAY_S)

    def stop(self) -> None:
        """Close all connections and cancel all jobs."""
        super().stop()
        for task in self.tasks:
            task.cancel()


class SoakDiscovery(servers.Discovery):
    """Discovery that can refuse connections and silence its watches, with one address per dispatcher."""

    def __init__(self) -> None:
        super().__init__()
        self.addresses_by_caller: list[str] = []
        self._reserved_sockets: list[socket.socket] = []  # reserve the ports while discovery is down
        self.is_up = False
        self.outages: list[Interval] = []  # outages that have ended
        self._down_since = 0.0
        self.drained: dict[str, float] = {}  # monotonic time (s) when each worker was listed as draining
        self.drain_visible_at: dict[str, float] = {}  # monotonic time (s) when discovery could report it
        self._silenced_at = 0.0  # watches opened before this time send nothing

    async def open(self, callers: int) -> None:
        """Listen at one address for each caller."""
        for _ in range(callers):
            sock, address = reserve_address()
            self._reserved_sockets.append(sock)
            self.addresses_by_caller.append(address)
        await self.come_up()

    async def come_up(self) -> None:
        """Accept connections."""
        self.stopping = False
        for address in self.addresses_by_caller:
            sock, _ = reserve_address(address)
            await self.start_on(sock)
        if self._down_since:
            self.outages.append(Interval(self._down_since, time.monotonic()))
        self.is_up = True
        for worker_id in self.drained:
            self.drain_visible_at.setdefault(worker_id, time.monotonic())

    def go_down(self) -> None:
        """Refuse new connections and close the open ones."""
        self.is_up = False
        self._down_since = time.monotonic()
        super().stop()
        self.servers.clear()

    def silence_watches(self) -> None:
        """Send nothing more on the open watches."""
        self._silenced_at = time.monotonic()

    async def drain(self, worker_id: str) -> None:
        """List a worker as draining."""
        self.put(worker_id, self.addresses[worker_id], "DRAINING")
        self.drained[worker_id] = time.monotonic()
        if self.is_up:
            self.drain_visible_at.setdefault(worker_id, time.monotonic())
        await self.notify_watches()

    async def answer(self, _: Message, writer: asyncio.StreamWriter) -> None:
        """Serve a watch until it is closed; send nothing while it is silenced."""
        started_at = time.monotonic()
        caller = self.caller(writer)
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        while not writer.is_closing():
            changed = self.changed
            if started_at < self._silenced_at:
                await asyncio.sleep(1)
                continue
            write_line(writer, json.dumps(self.list_document(caller)).encode())
            await self._wait_for_change(writer, changed, started_at)

    async def _wait_for_change(
        self, writer: asyncio.StreamWriter, changed: asyncio.Event, started_at: float
    ) -> None:
        """Send heartbeats until the list changes or the watch is silenced."""
        while not writer.is_closing():
            try:
                async with asyncio.timeout(servers.HEARTBEAT_S):
                    await changed.wait()
            except TimeoutError:
                if started_at < self._silenced_at:
                    return
                write_line(writer, b"")
            else:
                return

    def stop(self) -> None:
        """Stop serving and release the reserved ports."""
        self.go_down()
        for sock in self._reserved_sockets:
            sock.close()
