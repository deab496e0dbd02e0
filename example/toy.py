"""A toy discovery and three toy match workers, in one process on loopback.

Run it as `python -m example.toy example/config.json`, together with a dispatcher that has the same
configuration.  It is a minimal example, without limits and input checks; the result of a job is its body in
upper case.  Its servers come from `weldquay/lab/`, which also has match workers with slots, queues and
speeds.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import sys
from pathlib import Path
from typing import Any

from weldquay.lab import servers
from weldquay.lab.http import Message, Server, encode_message, read_message, request

__all__ = ["Discovery", "Message", "Server", "Worker", "encode_message", "read_message", "request"]

SLOTS = 4  # number of job slots in the load report of a worker
RUN_S = 0.2  # running time of a job
IDLE_LOAD_REPORT = {"svc_ms": RUN_S * 1000, "pending": 0, "x0": SLOTS, "x1": SLOTS}


class Worker(Server):
    """A match worker that accepts each job with 202 and sends callbacks to the dispatcher."""

    def __init__(self, name: str, dispatcher: str) -> None:
        super().__init__()
        self.name, self.dispatcher = name, dispatcher
        self.jobs: dict[str, asyncio.Task[None]] = {}
        self.tasks: set[asyncio.Task[None]] = set()  # the event loop keeps only weak references to tasks

    async def answer(self, message: Message, writer: asyncio.StreamWriter) -> None:
        """Start a job (POST), cancel one (DELETE) or report the load (GET)."""
        if message.method == "POST":
            request_id = message.headers["x-correlation-id"]
            self.jobs[request_id] = task = asyncio.create_task(self.run(request_id, message.body))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            writer.write(encode_message("HTTP/1.1 202 Accepted"))
        elif message.method == "DELETE":
            job = self.jobs.pop(message.target.rsplit("/", 1)[1], None)
            if job is not None:
                job.cancel()
            writer.write(encode_message("HTTP/1.1 204 No Content"))
        else:
            writer.write(encode_message("HTTP/1.1 200 OK", json.dumps(self.load()).encode()))

    def load(self) -> dict[str, float]:
        """Return the load report."""
        return {
            **IDLE_LOAD_REPORT,
            "x0": max(0, SLOTS - len(self.jobs)),
            "pending": max(0, len(self.jobs) - SLOTS),
        }

    async def run(self, request_id: str, body: bytes) -> None:
        """Run one job and send its callbacks."""
        await self.send_callback(request_id, state="started")
        await asyncio.sleep(RUN_S)
        self.jobs.pop(request_id, None)
        print(f"{self.name} ran {request_id}", flush=True)
        await self.send_callback(request_id, state="done", result=body.decode().upper(), load=self.load())

    async def send_callback(self, request_id: str, **fields: Any) -> Message:
        """Send one callback and return the dispatcher's response."""
        body = json.dumps({"id": request_id, "from": self.name, **fields}).encode()
        return await request(self.dispatcher, encode_message("POST /callback HTTP/1.1", body))


class Discovery(servers.Discovery):
    """A discovery that lists toy workers."""

    def add(self, worker: Worker, phase: str = "SERVING") -> None:
        """Add or replace a worker without notifying the watches."""
        self.put(worker.name, [worker.address], phase)

    async def change(self, worker: Worker, phase: str) -> None:
        """Change a worker's phase and notify the watches."""
        self.add(worker, phase)
        await self.notify_watches()


async def main(config: dict[str, Any]) -> None:
    """Serve until interrupted, with the addresses of a dispatcher's configuration."""
    discovery = Discovery()
    await discovery.start(int(config["discovery"].rsplit(":", 1)[1]))
    for number in range(3):
        worker = Worker(f"toy-{number}", config["listen"])
        await worker.start()
        discovery.add(worker)
    print(f"three toy match workers, listed at {config['discovery']}", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(main(json.loads(Path(sys.argv[1]).read_text())))
