"""Stand-ins for match workers and discovery: servers on loopback, in real time."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from collections.abc import Coroutine, Sequence
from typing import Any

from weldquay.lab import model
from weldquay.lab.http import Message, Pool, Server, encode_message, write_line

HEARTBEAT_S = 2.0
MAX_CALLBACK_ATTEMPTS = 10
CALLBACK_RETRY_DELAY_S = 0.05


class MatchWorker(Server):
    """A server for a model worker, with one address per dispatcher; it sends callbacks to the dispatcher.

    The body of a job has its requirements: {"work_ns": ..., "slots": ..., "memory": ...}.
    """

    def __init__(self, spec: model.WorkerSpec, dispatchers: Sequence[str]) -> None:
        super().__init__()
        self.spec = spec
        self.model = model.Worker(spec, time.monotonic_ns())
        self.pools = [Pool(address) for address in dispatchers]
        self.callers: dict[str, int] = {}  # index of the dispatcher that sent each open job, by request id
        self.timer: asyncio.TimerHandle | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.unanswered_callbacks = 0

    async def listen(self) -> None:
        """Listen at one address for each dispatcher."""
        for _ in self.pools:
            await self.start()

    async def answer(self, message: Message, writer: asyncio.StreamWriter) -> None:
        """Accept or reject a job (POST), cancel one (DELETE) or report the load (GET)."""
        now_ns = time.monotonic_ns()
        if message.method == "POST":
            self._accept_job(message, writer, now_ns)
        elif message.method == "DELETE":
            self.model.cancel(now_ns, message.target.rsplit("/", 1)[1])
            writer.write(encode_message("HTTP/1.1 204 No Content"))
        else:
            writer.write(encode_message("HTTP/1.1 200 OK", json.dumps(self._load(now_ns)).encode()))
        self._process_events()

    def _accept_job(self, message: Message, writer: asyncio.StreamWriter, now_ns: int) -> None:
        request_id = message.headers["x-correlation-id"]
        needs = json.loads(message.body)
        job = model.Job(request_id, needs["work_ns"], needs["slots"], needs["memory"])
        if self.model.offer(now_ns, job):
            self.callers[request_id] = self.caller(writer)
            writer.write(encode_message("HTTP/1.1 202 Accepted"))
        else:
            load = f"X-Backend-Load: {json.dumps(self._load(now_ns))}"
            writer.write(encode_message("HTTP/1.1 503 Full", b"", "X-Unprocessed: 1", load))

    def _load(self, now_ns: int) -> dict[str, float]:
        report = self.model.report(now_ns)
        return {
            "svc_ms": report.service_ms,
            "pending": report.queued,
            "x0": report.free_slots,
            "x1": report.free_memory,
        }

    def drain(self) -> None:
        """Finish running jobs and return queued ones."""
        self.model.drain(time.monotonic_ns())
        self._process_events()

    def _process_events(self) -> None:
        """Send the callbacks for the model's events, and schedule the next call at its next event."""
        for event in self.model.advance(time.monotonic_ns()):
            request_id = event.job.id
            callback: dict[str, Any] = {"id": request_id, "from": self.spec.name}
            if isinstance(event, model.JobStarted):
                callback["state"] = "started"
                self._start_task(self._send_callback(self.callers[request_id], callback))
                continue
            callback["load"] = self._load(time.monotonic_ns())
            if isinstance(event, model.JobCompleted):
                callback |= {"state": "done", "result": request_id}
            else:
                callback["state"] = "returned"
            self._start_task(self._send_callback(self.callers.pop(request_id), callback))
        if self.timer is not None:
            self.timer.cancel()
        if (next_ns := self.model.next_event_ns()) >= 0:
            delay_s = max(0, next_ns - time.monotonic_ns()) / 1e9
            self.timer = asyncio.get_running_loop().call_later(delay_s, self._process_events)

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def pool(self, caller: int) -> Pool:
        """Return the connection pool of a dispatcher."""
        return self.pools[caller]

    async def _send_callback(self, caller: int, callback: dict[str, Any]) -> None:
        """Send a callback until it is acknowledged, with a limited number of attempts."""
        data = encode_message("POST /callback HTTP/1.1", json.dumps(callback).encode())
        for _ in range(MAX_CALLBACK_ATTEMPTS):
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                if (await self.pool(caller).send_request(data)).status in (200, 204):
                    return
            await asyncio.sleep(CALLBACK_RETRY_DELAY_S)
        self.unanswered_callbacks += 1

    def stop(self) -> None:
        """Close all connections and cancel all callbacks."""
        super().stop()
        if self.timer is not None:
            self.timer.cancel()
        for task in self.tasks:
            task.cancel()
        for pool in self.pools:
            pool.close()


class Discovery(Server):
    """The discovery server; each caller may get its own addresses for the workers."""

    def __init__(self) -> None:
        super().__init__()
        self.revision = 1
        self.members: dict[str, dict[str, Any]] = {}
        self.addresses: dict[str, list[str]] = {}
        self.changed = asyncio.Event()  # set at the next change of the list, then replaced

    def put(
        self,
        worker_id: str,
        addresses: Sequence[str],
        phase: str = "SERVING",
        kind: str = "toy",
        up_since_ms: int = 0,
    ) -> None:
        """Add or replace a worker, with its addresses by caller; a single address is used for all."""
        self.addresses[worker_id] = [*addresses]
        self.members[worker_id] = {
            "id": worker_id,
            "host_port": addresses[0],
            "locality": "here",
            "flavor": kind,
            "cell": 0,
            "phase": phase,
            "size": 1.0,
            "up_since_ms": up_since_ms,
        }

    async def notify_watches(self) -> None:
        """Send the changed list to all watches, with a new revision."""
        self.revision += 1
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def list_document(self, caller: int = 0) -> dict[str, Any]:
        """Return the complete list document with the addresses for a caller."""
        members = []
        for worker_id, member in self.members.items():
            # A member has the first caller's address; a later caller gets its own, or the last one there is.
            later_addresses = self.addresses.get(worker_id, [])[: caller + 1][1:]
            members.append({**member, "host_port": later_addresses[-1]} if later_addresses else member)
        return {"revision": self.revision, "complete": True, "members": members}

    async def answer(self, _: Message, writer: asyncio.StreamWriter) -> None:
        """Serve a watch: send the complete list immediately and after each change."""
        caller = self.caller(writer)
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        while not writer.is_closing():
            changed = self.changed
            write_line(writer, json.dumps(self.list_document(caller)).encode())
            await self.wait_for_change(writer, changed)

    async def wait_for_change(self, writer: asyncio.StreamWriter, changed: asyncio.Event) -> None:
        """Wait for a change, and send empty lines as heartbeats until then."""
        while not writer.is_closing():
            try:
                async with asyncio.timeout(HEARTBEAT_S):
                    await changed.wait()
            except TimeoutError:
                write_line(writer, b"")
            else:
                return
