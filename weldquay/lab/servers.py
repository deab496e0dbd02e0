"""Match workers and discovery as servers on loopback, in real time."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Coroutine, Sequence
from typing import Any

from weldquay.lab import model
from weldquay.lab.http import Message, Pool, Server, write_line, write_message

HEARTBEAT_S = 2.0
MOST_TRIES = 10  # of a call-back
TRY_AGAIN_S = 0.05
BODY = "application/json"


class MatchWorker(Server):
    """A model worker at one address for each dispatcher, which it calls back.

    A job's body says what it asks for: {"work_ns": ..., "slots": ..., "memory": ...}.
    """

    def __init__(self, spec: model.Spec, dispatchers: Sequence[str]) -> None:
        super().__init__()
        self.spec = spec
        self.model = model.Worker(spec, time.monotonic_ns())
        self.pools = [Pool(address) for address in dispatchers]
        self.callers: dict[str, int] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.unheard = 0  # call-backs that no dispatcher answered

    async def listen(self) -> None:
        """Listen for each dispatcher."""
        for _ in self.pools:
            await self.start()

    async def answer(self, message: Message, writer: asyncio.StreamWriter) -> None:
        """Take a job, drop one, or tell the load."""
        now_ns = time.monotonic_ns()
        if message.method == "POST":
            self._take(message, writer, now_ns)
        elif message.method == "DELETE":
            self.model.cancel(now_ns, message.target.rsplit("/", 1)[1])
            writer.write(write_message("HTTP/1.1 204 No Content"))
        else:
            writer.write(write_message("HTTP/1.1 200 OK", json.dumps(self._load(now_ns)).encode()))
        self._look()

    def _take(self, message: Message, writer: asyncio.StreamWriter, now_ns: int) -> None:
        told, call = json.loads(message.body), message.headers["x-correlation-id"]
        job = model.Job(call, told["work_ns"], told["slots"], told["memory"])
        if self.model.offer(now_ns, job):
            self.callers[call] = self.caller(writer)
            writer.write(write_message("HTTP/1.1 202 Accepted"))
        else:
            load = f"X-Backend-Load: {json.dumps(self._load(now_ns))}"
            writer.write(write_message("HTTP/1.1 503 Full", b"", "X-Unprocessed: 1", load))

    def _load(self, now_ns: int) -> dict[str, float]:
        figures = self.model.report(now_ns)
        return {
            "svc_ms": figures.service_ms,
            "pending": figures.waiting,
            "x0": figures.free_slots,
            "x1": figures.free_memory,
        }

    def drain(self) -> None:
        """Finish what runs and hand back what waits."""
        self.model.drain(time.monotonic_ns())
        self._look()

    def _look(self) -> None:
        """Tell what has happened, and look again when more will have."""
        for happening in self.model.advance(time.monotonic_ns()):
            call = happening.job.id
            if isinstance(happening, model.Started):
                told: dict[str, Any] = {"id": call, "from": self.spec.name, "state": "started"}
                self._go(self._tell(self.callers[call], told))
                continue
            caller, load = self.callers.pop(call), self._load(time.monotonic_ns())
            told = {"id": call, "from": self.spec.name, "load": load}
            told |= (
                {"state": "done", "result": call}
                if isinstance(happening, model.Done)
                else {"state": "returned"}
            )
            self._go(self._tell(caller, told))
        if self.timer is not None:
            self.timer.cancel()
        if (next_ns := self.model.next_ns()) >= 0:
            delay_s = max(0, next_ns - time.monotonic_ns()) / 1e9
            self.timer = asyncio.get_running_loop().call_later(delay_s, self._look)

    def _go(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def pool(self, caller: int) -> Pool:
        """The connections to a dispatcher."""
        return self.pools[caller]

    async def _tell(self, caller: int, told: dict[str, Any]) -> None:
        """One call-back, until it is answered."""
        data = write_message("POST /callback HTTP/1.1", json.dumps(told).encode())
        for _ in range(MOST_TRIES):
            try:
                if (await self.pool(caller).ask(data)).status in (200, 204):
                    return
            except (OSError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(TRY_AGAIN_S)
        self.unheard += 1

    def stop(self) -> None:
        """End at once."""
        super().stop()
        if self.timer is not None:
            self.timer.cancel()
        for task in self.tasks:
            task.cancel()
        for pool in self.pools:
            pool.close()


class Discovery(Server):
    """The list of match workers, as watches see it; each caller has addresses of its own for them."""

    def __init__(self) -> None:
        super().__init__()
        self.revision = 1
        self.members: dict[str, dict[str, Any]] = {}
        self.addresses: dict[str, list[str]] = {}
        self.changed = asyncio.Event()  # another one after each change

    def put(
        self,
        worker_id: str,
        addresses: Sequence[str],
        phase: str = "SERVING",
        kind: str = "toy",
        up_since_ms: int = 0,
    ) -> None:
        """List a worker under its addresses by caller; one address serves for all."""
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

    async def tell(self) -> None:
        """Tell all watches that the list has changed."""
        self.revision += 1
        before, self.changed = self.changed, asyncio.Event()
        before.set()

    def told(self, caller: int = 0) -> dict[str, Any]:
        """The whole list as a caller sees it."""
        rows = []
        for worker_id, member in self.members.items():
            own = self.addresses.get(worker_id, [])[: caller + 1][1:]  # the first caller's is in the row
            rows.append({**member, "host_port": own[-1]} if own else member)
        return {"revision": self.revision, "complete": True, "members": rows}

    async def answer(self, message: Message, writer: asyncio.StreamWriter) -> None:
        """A watch: the whole list at once, and again with each change."""
        caller = self.caller(writer)
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        while not writer.is_closing():
            changed = self.changed
            write_line(writer, json.dumps(self.told(caller)).encode())
            await self.wait(writer, changed)

    async def wait(self, writer: asyncio.StreamWriter, changed: asyncio.Event) -> None:
        """Wait for a change, with an empty line now and then."""
        while not writer.is_closing():
            try:
                async with asyncio.timeout(HEARTBEAT_S):
                    await changed.wait()
                return
            except TimeoutError:
                write_line(writer, b"")
