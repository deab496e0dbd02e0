"""The fixture of the tests on real sockets: a dispatcher with toy workers and a toy discovery."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from example.toy import Discovery, Message, Server, Worker, request, write_message
from weldquay.net.config import config_from_document
from weldquay.net.dispatcher_process import DispatcherProcess

CONFIG = Path(__file__).parents[1] / "example" / "config.json"
PATIENCE_S = 20.0  # a test that waits this long has failed
ACCEPTED = write_message("HTTP/1.1 202 Accepted")
WATCH_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


Script = Callable[[Message, asyncio.StreamWriter], Awaitable[None]]


class Scripted(Worker):
    """A worker whose script handles each job; it records the messages that it receives."""

    def __init__(self, name: str, dispatcher: str) -> None:
        super().__init__(name, dispatcher)
        self.seen: list[Message] = []
        self.come = asyncio.Condition()
        self.script: Script | None = None

    async def answer(self, message: Message, writer: asyncio.StreamWriter) -> None:
        """Record the message, then run the script; without a script, serve the job."""
        self.seen.append(message)
        async with self.come:
            self.come.notify_all()
        if message.method == "POST" and self.script is not None:
            await self.script(message, writer)
        else:
            await super().answer(message, writer)

    async def run(self, call: str, body: bytes) -> None:
        """Complete a job at once."""
        await self.tell(call, state="done", result=body.decode().upper())

    async def accept(self, _message: Message, writer: asyncio.StreamWriter) -> None:
        """A script: accept the job and send no callback."""
        writer.write(ACCEPTED)

    def telling(self, result: str) -> Script:
        """The script that accepts a job and completes it at once with a result."""

        async def script(message: Message, writer: asyncio.StreamWriter) -> None:
            writer.write(ACCEPTED)
            await self.tell(message.headers["x-correlation-id"], state="done", result=result)

        return script

    def methods(self) -> list[str]:
        """The methods of the received requests, without health checks."""
        return [message.method for message in self.seen if message.method != "GET"]

    async def until(self, *methods: str) -> None:
        """Wait until exactly these methods have been received, in this order."""
        async with self.come:
            await self.come.wait_for(lambda: self.methods() == list(methods))


class SilentDiscovery(Server):
    """A discovery whose watches send a list and then nothing more, not even empty lines."""

    def __init__(self) -> None:
        super().__init__()
        self.polls: list[tuple[str, float]] = []  # target, time in s of the event loop
        self.lists: list[bytes] = []  # one for each poll; a poll without one has no response
        self.pause_s = 0.0

    async def answer(self, message: Message, writer: asyncio.StreamWriter) -> None:
        """Record the poll, and respond if there is a list for it."""
        self.polls.append((message.target, asyncio.get_running_loop().time()))
        if self.lists:
            writer.write(WATCH_HEAD)
            await asyncio.sleep(self.pause_s)
            writer.write(b"%x\r\n%s\n\r\n" % (len(self.lists[0]) + 1, self.lists.pop(0)))


def list_of_one_worker(revision: int, phase: str, address: str) -> bytes:
    """A complete list of one worker, w0."""
    member = {
        "id": "w0",
        "host_port": address,
        "locality": "here",
        "flavor": "toy",
        "cell": 0,
        "phase": phase,
        "size": 1.0,
        "up_since_ms": 0,
    }
    document = {"revision": revision, "complete": True, "members": [member]}
    return json.dumps(document, indent=1).encode()


class Site:
    """A dispatcher with the example's configuration, two workers and discovery."""

    def __init__(self, program: DispatcherProcess, discovery: Discovery, workers: list[Scripted]) -> None:
        self.program, self.discovery, self.workers = program, discovery, workers
        self.address = f"127.0.0.1:{program.server.port}"

    async def post(self, call: str = "c1", path: str = "/lookup/a?b=1", left_ms: int = 5000) -> Message:
        """Send one request, and return its response."""
        return await request(self.address, job(call, path, left_ms))

    async def operate(self, call: str, method: str = "POST") -> int:
        """Send an operator's call, and return the status of its response."""
        address = f"127.0.0.1:{self.program.operators.port}"
        answer = await request(address, write_message(f"{method} /control/{call} HTTP/1.1"))
        return int(answer.start.split()[1])

    async def health(self) -> int:
        """The status of /_health."""
        answer = await request(self.address, write_message("GET /_health HTTP/1.1"))
        return int(answer.start.split()[1])


async def until(condition: Callable[[], Any]) -> Any:
    """Poll a condition until its value is true, and return the value."""
    while True:
        value = condition()
        if value:
            return value
        await asyncio.sleep(0.01)


def job(call: str = "c1", path: str = "/lookup/a?b=1", left_ms: int = 5000) -> bytes:
    """The bytes of a client's request."""
    return write_message(
        f"POST {path} HTTP/1.1", b"text", f"X-Correlation-Id: {call}", f"X-Time-Left-Ms: {left_ms}"
    )


def document(**settings: Any) -> dict[str, Any]:
    """The example's configuration with changed settings, by group."""
    told: dict[str, Any] = json.loads(CONFIG.read_text())
    for group, values in settings.items():
        before = told["settings"].get(group)
        told["settings"][group] = {**before, **values} if isinstance(before, dict) else values
    return told


@asynccontextmanager
async def site(
    workers: int = 1, discovery: Server | None = None, discovery_mode: str = "ask", **settings: Any
) -> AsyncIterator[Site]:
    """Run a site; at its end everything is closed, and no task may have failed."""
    listing = Discovery()
    told = document(discovery=discovery_mode, **settings)
    await (discovery or listing).start()
    told.update(listen="127.0.0.1:0", mgmt="127.0.0.1:0", discovery=(discovery or listing).address)
    fleet = [Scripted(f"w{number}", "") for number in range(workers)]
    for worker in fleet:
        await worker.start()
        listing.add(worker)
    told["known"] = listing.told()
    program = DispatcherProcess(config_from_document({}, told))
    failures: list[Any] = []
    asyncio.get_running_loop().set_exception_handler(lambda _, context: failures.append(context))
    await program.start()
    here = Site(program, listing, fleet)
    for worker in fleet:
        worker.dispatcher = here.address
    try:
        async with asyncio.timeout(PATIENCE_S):
            yield here
    finally:
        program.hot_restart.stop()
        for part in (program.tasks, program.operators, program.discovery, program.server, program.workers):
            await part.stop()
        for server in (listing, *fleet, *([discovery] if discovery else [])):
            server.stop()
    assert not failures and not program.counters.counts["client_connections_failed"]
    assert (
        not program.counters.counts["steps_failed"] and not program.counters.counts["requests_past_deadline"]
    )


def play(scenario: Coroutine[Any, Any, None]) -> None:
    """Run a scenario in an event loop of its own."""
    asyncio.run(scenario)
