"""Stand-ins for the platform, discovery, workers and clients, written from the pages; shared by the cases.

They use the standard library alone.  Everything listens on loopback, on free ports.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable, Coroutine
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
LOOPBACK = "127.0.0.1"
HELD, BROKEN, CANNOT_RUN = 0, 1, 2  # exit statuses of a case
READY_TIMEOUT_S = 10.0
HEARTBEAT_S = 2.0
MAX_CALLBACK_TRIES = 10
CALLBACK_TIMEOUT_S = 2.0
CALLBACK_PAUSE_S = 1.0  # between two tries of a callback
SLOTS = 4
MS = 1_000_000


class CannotRunError(Exception):
    """The case could not be set up."""


def is_trouble() -> bool:
    """Return whether the case applies its disruption; TROUBLE=0 switches it off."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The file record.txt of a case: what was sent, answered and run, with the time since the start."""

    def __init__(self, folder: Path) -> None:
        self.started_at = time.monotonic()
        self.file = (folder / "record.txt").open("w")

    def add(self, text: str) -> None:
        """Add one line."""
        self.file.write(f"{time.monotonic() - self.started_at:8.3f} {text}\n")
        self.file.flush()


def free_address() -> str:
    """Return a loopback address with a free port."""
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((LOOPBACK, 0))
        return f"{LOOPBACK}:{sock.getsockname()[1]}"


@dataclass
class Message:
    """An HTTP request or response."""

    start_line: str
    headers: dict[str, str]
    body: bytes

    @property
    def method(self) -> str:
        """The method of a request."""
        return self.start_line.split()[0]

    @property
    def target(self) -> str:
        """The target of a request."""
        return self.start_line.split()[1]

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.start_line.split()[1])


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one message with a Content-Length."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in head[1:-2])}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(head[0], headers, body)


def encode_message(start_line: str, body: bytes = b"", *headers: str) -> bytes:
    """Return the bytes of a message."""
    length = [] if " 204 " in start_line else [f"Content-Length: {len(body)}"]
    return "\r\n".join([start_line, *length, *headers, "", ""]).encode() + body


async def connect(address: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Connect to HOST:PORT."""
    host, port = address.rsplit(":", 1)
    return await asyncio.open_connection(host, int(port))


async def call(address: str, start_line: str, body: bytes = b"", timeout_s: float = 1.0) -> Message | None:
    """Make one call on a connection of its own; return None if it gets no answer."""
    with suppress(OSError, asyncio.IncompleteReadError):  # TimeoutError is an OSError
        async with asyncio.timeout(timeout_s):
            reader, writer = await connect(address)
            try:
                writer.write(encode_message(start_line, body, "Host: stand-in"))
                return await read_message(reader)
            finally:
                writer.transport.abort()
    return None


# --- the platform ---


class Dispatcher:
    """One dispatcher: a folder with its configuration, and the processes started for it by the run line."""

    def __init__(self, record: Record, document: dict[str, Any]) -> None:
        self.record = record
        self.document = document
        self.address: str = document["listen"]
        self.mgmt: str = document["mgmt"]
        self.folder = Path(tempfile.mkdtemp(prefix="weldquay-review-"))
        self.processes: list[asyncio.subprocess.Process] = []
        (self.folder / "tmp").mkdir()
        self.write_config()

    def write_config(self) -> None:
        """Write the configuration file."""
        (self.folder / "config.json").write_text(json.dumps(self.document))

    async def start(self, mgmt: str = "") -> asyncio.subprocess.Process:
        """Start a process by the run line of the deploy file; mgmt: another address for operators."""
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        environ = {name: value for name, value in os.environ.items() if not name.startswith("GW_")}
        environ |= {
            "GW_CONFIG": str(self.folder / "config.json"),
            "GW_NAME": self.document["name"],
            "GW_LISTEN": self.address,
            "GW_MGMT": mgmt or self.mgmt,
            "GW_DISCOVERY": self.document["discovery"],
            "TMPDIR": str(self.folder / "tmp"),
        }
        with (self.folder / f"log-{len(self.processes)}").open("wb") as output:
            process = await asyncio.create_subprocess_exec(
                *("/bin/sh", "-c", deploy["run"]), cwd=ROOT, env=environ, stdout=output, stderr=output
            )
        self.processes.append(process)
        self.record.add(f"process {len(self.processes) - 1} started")
        return process

    async def wait_until_ready(self, mgmt: str = "") -> None:
        """Wait until the operators' address says that the process is ready.

        Raises:
            CannotRunError: it does not become ready in time.
        """
        until = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < until:
            answer = await call(mgmt or self.mgmt, "GET /control/ready HTTP/1.1")
            if answer is not None and answer.status == 200:
                self.record.add(f"process {len(self.processes) - 1} is ready")
                return
            await asyncio.sleep(0.02)
        raise CannotRunError("a dispatcher did not become ready")

    def send_signal(self, process: asyncio.subprocess.Process, number: signal.Signals) -> None:
        """Send a signal to a process that is still running."""
        if process.returncode is None:
            self.record.add(f"process {self.processes.index(process)} gets {number.name}")
            process.send_signal(number)

    async def stop(self) -> None:
        """End all processes, record what they logged, and remove the folder."""
        for process in self.processes:
            self.send_signal(process, signal.SIGTERM)
        with suppress(TimeoutError):
            async with asyncio.timeout(6):
                await asyncio.gather(*(process.wait() for process in self.processes))
        for process in self.processes:
            if process.returncode is None:
                process.kill()
                await process.wait()
        for path in sorted(self.folder.glob("log-*")):
            for line in path.read_text(errors="replace").splitlines():
                self.record.add(f"{path.name}: {line}".replace(str(ROOT), "."))
        shutil.rmtree(self.folder, ignore_errors=True)


def small_deployment(listen: str, discovery: str, known: dict[str, Any]) -> dict[str, Any]:
    """Return the configuration of one dispatcher of a small deployment."""
    return {
        "name": "d0",
        "listen": listen,
        "mgmt": free_address(),
        "discovery": discovery,
        "seed": f"{time.time_ns() & 0xFFFFFFFF:x}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
        "known": known,
        "settings": {
            "group_size": 1,
            "me": 0,
            "zone": 0,
            "zones": ["here"],
            "shapes": ["standard"],
            "granularity_ns": 5 * MS,
            "discovery": "ask",
            "worth_by": "work",
            "services": [
                {
                    "name": "lookup",
                    "aim_ns": 1000 * MS,
                    "give_up_ns": 5000 * MS,
                    "effect": "retryable",
                    "worth": 1.0,
                },
                {
                    "name": "import",
                    "aim_ns": 5000 * MS,
                    "give_up_ns": 15000 * MS,
                    "effect": "fragile",
                    "worth": 8.0,
                },
            ],
            "family_info": {
                "class_stretch": [2.0, 2.0],
                "tells_start": True,
                "report_x0": "free slots",
                "report_x1": "free memory",
            },
            "load_info": {"fields": ["svc_ms", "pending", "x0", "x1"], "via": "inline"},
            "caps": {
                "cancel": True,
                "probes": True,
                "may_duplicate": True,
                "max_attempts": 5,
                "max_open": 1000,
                "retry_after": True,
                "max_retry_after_ns": 2000 * MS,
                "connect_timeout_ns": 250 * MS,
                "conn_idle_ns": 60000 * MS,
            },
            "safety": {
                "ask_within_ns": 10000 * MS,
                "cold_share": 0.34,
                "warm_after_ns": 8900 * MS,
                "fall_multiple": 2.5,
                "overload_for_ns": 2000 * MS,
            },
            "tariffs": {"probe": 0.002, "waste": 0.3},
        },
    }


# --- servers ---


class Server:
    """An HTTP server with one task per connection."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    async def listen(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, LOOPBACK, 0, limit=256 * 1024)

    @property
    def address(self) -> str:
        """The address, as HOST:PORT."""
        assert self.server is not None
        return "{}:{}".format(*self.server.sockets[0].getsockname())

    def start_task(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Start a task that `stop` cancels."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def stop(self) -> None:
        """Close the listener and cancel all tasks."""
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        try:
            await self.serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            writer.transport.abort()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of one connection, one after another."""
        while True:
            await self.answer(await read_message(reader), writer)
            await writer.drain()

    async def answer(self, message: Message, writer: asyncio.StreamWriter) -> None:
        """Answer one request."""
        raise NotImplementedError


class Discovery(Server):
    """Discovery: a list that does not change, told by watches with an empty line every 2 s."""

    def __init__(self, record: Record) -> None:
        super().__init__(record)
        self.members: list[dict[str, Any]] = []

    def add(self, worker: Worker) -> None:
        """List a worker as serving since long ago."""
        self.members.append(
            {
                "id": worker.name,
                "host_port": worker.address,
                "locality": "here",
                "flavor": "standard",
                "cell": 0,
                "phase": "SERVING",
                "size": 1.0,
                "up_since_ms": 0,
            }
        )

    def document(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"revision": 1, "complete": True, "members": self.members}

    async def answer(self, _message: Message, writer: asyncio.StreamWriter) -> None:
        """Serve a watch until its connection ends."""
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        line = json.dumps(self.document()).encode()
        while not writer.is_closing():
            writer.write(b"%x\r\n%s\n\r\n" % (len(line) + 1, line))
            await writer.drain()
            line = b""
            await asyncio.sleep(HEARTBEAT_S)


@dataclass
class Run:
    """One job that a worker has begun to run, or has taken and not begun."""

    id: str
    worker: str
    attempt: int  # the number of the attempt at this worker, from 1
    has_begun: bool = False


@dataclass
class Behaviour:
    """What a worker does; the functions get the id of a job."""

    run_s: float = 0.5
    result: Callable[[str], str] = lambda request_id: f"result of {request_id}"
    hands_back: Callable[[str, int], bool] = lambda _id, _attempt: False


class Worker(Server):
    """A match worker with some slots and a queue, which calls back at one address until it is answered."""

    def __init__(self, record: Record, name: str, callback_address: str, behaviour: Behaviour) -> None:
        super().__init__(record)
        self.name = name
        self.callback_address = callback_address
        self.behaviour = behaviour
        self.slots = asyncio.Semaphore(SLOTS)
        self.free = SLOTS
        self.waiting = 0
        self.runs: list[Run] = []
        self.attempts: dict[str, int] = {}
        self.cancelled: set[tuple[str, int]] = set()

    def load(self) -> dict[str, float]:
        """Return the load report."""
        return {
            "svc_ms": self.behaviour.run_s * 1000,
            "pending": self.waiting,
            "x0": self.free,
            "x1": self.free,
        }

    async def answer(self, message: Message, writer: asyncio.StreamWriter) -> None:
        """Take a job (POST), give one up (DELETE) or report the load (GET)."""
        if message.method == "POST":
            request_id = message.headers["x-correlation-id"]
            attempt = self.attempts[request_id] = self.attempts.get(request_id, 0) + 1
            self.record.add(f"{self.name} takes {request_id}, attempt {attempt} at this worker")
            writer.write(encode_message("HTTP/1.1 202 Accepted"))
            self.start_task(self._handle(request_id, attempt))
        elif message.method == "DELETE":
            request_id = message.target.rsplit("/", 1)[1]
            self.record.add(f"{self.name} is told to give up {request_id}")
            self.cancelled.add((request_id, self.attempts.get(request_id, 0)))
            writer.write(encode_message("HTTP/1.1 204 No Content"))
        else:
            writer.write(encode_message("HTTP/1.1 200 OK", json.dumps(self.load()).encode()))

    async def _handle(self, request_id: str, attempt: int) -> None:
        run = Run(request_id, self.name, attempt)
        self.runs.append(run)
        if self.behaviour.hands_back(request_id, attempt):
            await asyncio.sleep(0.05)
            self.record.add(f"{self.name} hands back {request_id}, attempt {attempt}, unstarted")
            await self.call_back(request_id, state="returned", load=self.load())
            return
        self.waiting += 1
        await self.slots.acquire()
        self.waiting -= 1
        if (request_id, attempt) in self.cancelled:  # waiting work is dropped, running work goes on
            self.slots.release()
            return
        self.free -= 1
        run.has_begun = True
        self.record.add(f"{self.name} begins to run {request_id}, attempt {attempt}")
        self.start_task(self.call_back(request_id, state="started"))
        await asyncio.sleep(self.behaviour.run_s)
        self.free += 1
        self.slots.release()
        self.record.add(f"{self.name} has run {request_id}, attempt {attempt}")
        result = self.behaviour.result(request_id)
        await self.call_back(request_id, state="done", result=result, load=self.load())

    async def call_back(self, request_id: str, **fields: Any) -> None:
        """Make one call until it is answered, at most ten times."""
        body = json.dumps({"id": request_id, "from": self.name, **fields}).encode()
        for number in range(1, MAX_CALLBACK_TRIES + 1):
            answer = await call(
                self.callback_address, "POST /callback HTTP/1.1", body, timeout_s=CALLBACK_TIMEOUT_S
            )
            status = "no answer" if answer is None else str(answer.status)
            self.record.add(
                f"{self.name} calls back {fields['state']} of {request_id}, try {number}: {status}"
            )
            if answer is not None and answer.status in (200, 204):
                return
            await asyncio.sleep(CALLBACK_PAUSE_S)


# --- clients ---


@dataclass
class Answer:
    """What a client got for its request; status 0: the connection was closed; -1: nothing came."""

    id: str
    sent_at: float
    status: int
    took_s: float
    body: bytes = b""


@dataclass
class Client:
    """A client that hands in one job at a time, on a new connection each."""

    address: str
    record: Record
    answers: list[Answer] = field(default_factory=list)

    async def post(
        self, request_id: str, path: str, give_up_s: float, patience_s: float = 0.0, body: bytes = b"text"
    ) -> Answer:
        """Hand in a job and wait for its answer until give_up_s + patience_s are over."""
        head = f"Host: stand-in\r\nX-Correlation-Id: {request_id}\r\nX-Time-Left-Ms: {int(give_up_s * 1000)}"
        sent_at = time.monotonic()
        status, answer_body = 0, b""
        try:
            async with asyncio.timeout(give_up_s + patience_s):
                reader, writer = await connect(self.address)
                try:
                    writer.write(encode_message(f"POST {path} HTTP/1.1", body, head))
                    sent_at = time.monotonic()
                    self.record.add(f"client sends {request_id} to {path}")
                    message = await read_message(reader)
                    status, answer_body = message.status, message.body
                finally:
                    writer.transport.abort()
        except TimeoutError:
            status = -1
        except (OSError, asyncio.IncompleteReadError):
            status = 0
        answer = Answer(request_id, sent_at, status, time.monotonic() - sent_at, answer_body)
        meaning = {0: "connection closed without an answer", -1: "no answer"}.get(status, str(status))
        self.record.add(f"client has for {request_id} after {answer.took_s:.3f} s: {meaning}")
        self.answers.append(answer)
        return answer


def run_case(folder: Path, case: Callable[[Record], Coroutine[Any, Any, list[str]]]) -> int:
    """Run a case, which returns the breaks of its rule; return the exit status."""
    record = Record(folder)
    record.add(f"TROUBLE={int(is_trouble())}")
    try:
        breaks = asyncio.run(_limited(case(record)))
    except (CannotRunError, OSError) as error:
        record.add(f"the case could not run: {error!r}")
        print(f"could not run: {error!r}", file=sys.stderr)
        return CANNOT_RUN
    for text in breaks:
        record.add(f"BROKEN: {text}")
        print(f"BROKEN: {text}")
    record.add(f"{len(breaks)} breaks of the rule")
    print(f"{len(breaks)} breaks of the rule")
    return BROKEN if breaks else HELD


async def _limited(case: Coroutine[Any, Any, list[str]]) -> list[str]:
    async with asyncio.timeout(105):
        return await case
