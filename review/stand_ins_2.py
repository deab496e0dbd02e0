"""Stand-ins for the cases 6 to 10: match workers, discovery, clients and the platform, on loopback.

They follow the pages PROTOCOL and DEPLOY.  Each case starts the dispatcher by the `run` line of deploy/.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Coroutine
from contextlib import suppress
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parents[1]
HEARTBEAT_S = 2.0
CALLBACK_TRIES = 10
READY_TIMEOUT_S = 20.0
SLOTS = 4  # of a worker with slots
MAX_WAITING = 6  # jobs in its waiting room
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CaseError(Exception):
    """The case could not run."""


def has_trouble() -> bool:
    """Return whether the disruption is part of this run."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port() -> int:
    """Return a port of the loopback address that is not in use."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w")
        self.started_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.started_at

    def write(self, text: str) -> None:
        """Add one line."""
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


class Message:
    """An HTTP request or response."""

    def __init__(self, start_line: str, headers: dict[str, str], body: bytes) -> None:
        self.start_line, self.headers, self.body = start_line, headers, body

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
    pairs = (line.partition(":") for line in head[1:-2])
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    return Message(head[0], headers, await reader.readexactly(int(headers.get("content-length", "0"))))


def encode(start_line: str, body: bytes = b"", *headers: str) -> bytes:
    """Return the bytes of a message."""
    lines = [start_line, "Host: app.svc", f"Content-Length: {len(body)}", *headers, "", ""]
    return "\r\n".join(lines).encode() + body


async def call(port: int, data: bytes, timeout_s: float) -> Message:
    """Send one request on a new connection and return the response."""
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            writer.write(data)
            return await read_message(reader)
        finally:
            writer.transport.abort()


class MatchWorker:
    """A match worker with a limit on its connections; at the limit it refuses new ones.

    It runs all its jobs at once and drops a job on DELETE.  The workers that share `pod` drop a repeat of an
    idempotency key: it is accepted and not run, and called back with the result of the first.
    """

    pod: dict[str, asyncio.Task[None]] | None = None  # the runs by idempotency key

    def __init__(self, name: str, dispatcher_port: int, record: Record, limit: int = 1000) -> None:
        self.name, self.dispatcher_port, self.record, self.limit = name, dispatcher_port, record, limit
        self.port = free_port()
        self.server: asyncio.Server | None = None
        self.writers: dict[asyncio.StreamWriter, bool] = {}  # whether the connection is in use
        self.running: dict[str, float] = {}  # request id: when its attempt came
        self.received: list[tuple[str, float]] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.run_s: Callable[[bytes], float] = lambda body: float(json.loads(body)["run_s"])
        self.load: dict[str, float] = {"svc_ms": 400.0, "cpu_share": 0.2, "pending": 0, "x0": 3, "x1": 3}

    async def start(self) -> None:
        """Accept connections."""
        if self.server is None and len(self.writers) < self.limit:
            self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    def _refuse_at_limit(self) -> None:
        if self.server is not None and len(self.writers) >= self.limit:
            self.server.close()
            self.server = None

    def close_idle(self) -> int:
        """Close the connections that carry no request, and return how many there were."""
        idle = [writer for writer, is_used in self.writers.items() if not is_used]
        for writer in idle:
            writer.close()
        return len(idle)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers[writer] = False
        self._refuse_at_limit()
        try:
            while True:
                message = await read_message(reader)
                self.writers[writer] = True
                self._answer(message, writer)
                await writer.drain()
                self.writers[writer] = False
        except (asyncio.IncompleteReadError, OSError):
            writer.transport.abort()
        finally:
            self.writers.pop(writer, None)
            with suppress(OSError):
                await self.start()

    def _answer(self, message: Message, writer: asyncio.StreamWriter) -> None:
        if message.method == "POST":
            request_id = message.headers["x-correlation-id"]
            self.record.write(f"worker {self.name}: attempt of {request_id} came")
            self.received.append((request_id, self.record.now()))
            self.running[request_id] = self.record.now()
            writer.write(encode("HTTP/1.1 202 Accepted"))
            key = message.headers.get("idempotency-key", "")
            first = self.pod.get(key) if self.pod is not None and key else None
            run = self._start(self._run(request_id, self.run_s(message.body), first))
            if self.pod is not None and key:
                self.pod[key] = run
        elif message.method == "DELETE":
            request_id = message.target.rsplit("/", 1)[1]
            self.record.write(f"worker {self.name}: DELETE of {request_id}")
            self.running.pop(request_id, None)
            writer.write(encode("HTTP/1.1 204 No Content"))
        else:
            writer.write(encode("HTTP/1.1 200 OK", json.dumps(self.load).encode()))

    def _start(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def _run(self, request_id: str, run_s: float, first: asyncio.Task[None] | None) -> None:
        came_at = self.running[request_id]
        if first is None:
            await asyncio.sleep(run_s)
        else:
            self.record.write(f"worker {self.name}: {request_id} is a repeat, which the pod drops")
            await asyncio.wait([first])
        if self.running.get(request_id) != came_at:
            return
        del self.running[request_id]
        self.record.write(f"worker {self.name}: {request_id} is done")
        await self.call_back(request_id, {"state": "done", "result": f"{request_id} by {self.name}"})

    async def call_back(self, request_id: str, fields: dict[str, Any]) -> None:
        """Send a callback until it is answered."""
        body = json.dumps({"id": request_id, "from": self.name, **fields}).encode()
        for _ in range(CALLBACK_TRIES):
            with suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                answer = await call(self.dispatcher_port, encode("POST /callback HTTP/1.1", body), 5.0)
                if answer.status in (200, 204):
                    return
            await asyncio.sleep(0.1)
        self.record.write(f"worker {self.name}: a callback for {request_id} was never answered")

    def stop(self) -> None:
        """Close everything."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        for task in self.tasks:
            task.cancel()


class SlotWorker(MatchWorker):
    """A match worker with slots; it starts waiting jobs in order and reports its load in every answer."""

    def __init__(self, name: str, dispatcher_port: int, record: Record) -> None:
        super().__init__(name, dispatcher_port, record)
        self.busy = 0
        self.waiting: list[tuple[str, float, int]] = []

    def report(self) -> dict[str, float]:
        """Return the load report."""
        free = SLOTS - self.busy
        return {"svc_ms": 600.0, "pending": len(self.waiting), "x0": free, "x1": free}

    def _answer(self, message: Message, writer: asyncio.StreamWriter) -> None:
        if message.method == "GET":
            writer.write(encode("HTTP/1.1 200 OK", json.dumps(self.report()).encode()))
            return
        request_id = message.headers.get("x-correlation-id") or message.target.rsplit("/", 1)[1]
        if message.method == "DELETE":
            self.record.write(f"worker {self.name}: DELETE of {request_id}")
            self.waiting = [job for job in self.waiting if job[0] != request_id]
            writer.write(encode("HTTP/1.1 204 No Content"))
        elif len(self.waiting) >= MAX_WAITING:
            load = f"X-Backend-Load: {json.dumps(self.report())}"
            writer.write(encode("HTTP/1.1 503 Full", b"", "X-Unprocessed: 1", load))
        else:
            self.record.write(f"worker {self.name}: attempt of {request_id} came")
            self.received.append((request_id, self.record.now()))
            job = json.loads(message.body)
            self.waiting.append((request_id, job["run_s"], int(job["slots"])))
            writer.write(encode("HTTP/1.1 202 Accepted"))
            self._begin_waiting()

    def _begin_waiting(self) -> None:
        while self.waiting and self.busy + self.waiting[0][2] <= SLOTS:
            request_id, run_s, slots = self.waiting.pop(0)
            self.busy += slots
            self._start(self._run_job(request_id, run_s, slots))

    async def _run_job(self, request_id: str, run_s: float, slots: int) -> None:
        self._start(self.call_back(request_id, {"state": "started"}))
        await asyncio.sleep(run_s)
        self.busy -= slots
        fields = {"state": "done", "result": f"{request_id} by {self.name}", "load": self.report()}
        self._start(self.call_back(request_id, fields))
        self._begin_waiting()


class Discovery:
    """Discovery, or the agent on its machine: each watch gets the list, then each changed list."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.port = free_port()
        self.revision = 1
        self.members: dict[str, dict[str, Any]] = {}
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.changed = asyncio.Event()
        self.before_answer: Callable[[], Awaitable[bool]] | None = None  # returns whether the call fails

    async def start(self) -> None:
        """Accept calls."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    def put(self, worker: MatchWorker, phase: str = "SERVING", cell: int = 0, kind: str = "standard") -> None:
        """Add a match worker or change its phase."""
        self.members[worker.name] = {
            "id": worker.name,
            "host_port": f"127.0.0.1:{worker.port}",
            "locality": "here",
            "flavor": kind,
            "cell": cell,
            "phase": phase,
            "size": 1.0,
            "up_since_ms": 0,
        }
        self.revision += 1
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def document(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"revision": self.revision, "complete": True, "members": list(self.members.values())}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            await read_message(reader)
            if self.before_answer is not None and await self.before_answer():
                writer.write(encode("HTTP/1.1 503 Service Unavailable", b"", "Connection: close"))
                await writer.drain()
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            while not writer.is_closing():
                changed = self.changed
                self._write_line(writer, json.dumps(self.document()).encode())
                while not changed.is_set() and not writer.is_closing():
                    with suppress(TimeoutError):
                        async with asyncio.timeout(HEARTBEAT_S):
                            await changed.wait()
                            continue
                    self._write_line(writer, b"")
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    @staticmethod
    def _write_line(writer: asyncio.StreamWriter, line: bytes) -> None:
        writer.write(b"%x\r\n%s\n\r\n" % (len(line) + 1, line))

    def refuse(self) -> None:
        """Accept no new connection."""
        if self.server is not None:
            self.server.close()
            self.server = None

    def stop(self) -> None:
        """Close everything."""
        self.refuse()
        for writer in list(self.writers):
            writer.transport.abort()


class Dispatcher:
    """One dispatcher process, started by the `run` line of the deploy file."""

    def __init__(self, folder: Path, record: Record, port: int, settings: dict[str, Any]) -> None:
        self.folder, self.record, self.port = folder, record, port
        self.config_path = folder / "config.json"
        self.config: dict[str, Any] = {
            "name": "n1",
            "listen": f"127.0.0.1:{port}",
            "mgmt": f"127.0.0.1:{free_port()}",
            "seed": "5eed",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"revision": 0, "complete": True, "members": []},
            "settings": settings,
        }
        self.process: asyncio.subprocess.Process | None = None

    def configure(self, discovery: Discovery) -> None:
        """Write the configuration, with the address of discovery."""
        self.config["discovery"] = f"127.0.0.1:{discovery.port}"
        temporary_path = self.config_path.with_suffix(".new")
        temporary_path.write_text(json.dumps(self.config))
        temporary_path.replace(self.config_path)

    async def start(self) -> None:
        """Start the process and wait until it is healthy."""
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        environment = {name: value for name, value in os.environ.items() if not name.startswith("GW_")}
        environment |= {"GW_CONFIG": str(self.config_path), "TMPDIR": str(self.folder)}
        with (self.folder / "log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", deploy["run"], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        give_up_at = time.monotonic() + READY_TIMEOUT_S
        while not await self.is_healthy():
            if time.monotonic() > give_up_at or self.process.returncode is not None:
                raise CaseError("the dispatcher did not become healthy")
            await asyncio.sleep(0.05)
        self.record.write("dispatcher: healthy")

    async def is_healthy(self) -> bool:
        """Return whether the health check is answered with 200."""
        with suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            return (await call(self.port, encode("GET /_health HTTP/1.1"), 1.0)).status == 200
        return False

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.record.write(f"platform: {number.name} to the dispatcher")
        self.process.send_signal(number)

    def peak_memory(self) -> str:
        """Return the line of the system's file that tells the peak memory of the process."""
        assert self.process is not None
        with suppress(OSError):
            lines = Path(f"/proc/{self.process.pid}/status").read_text().splitlines()
            return next((line for line in lines if line.startswith("VmHWM")), "unknown")
        return "unknown"

    async def stop(self) -> None:
        """End the process at once."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class Client:
    """Clients that hand in jobs, each on its own connection, and keep what they were answered."""

    def __init__(self, port: int, record: Record) -> None:
        self.port, self.record = port, record
        self.answers: dict[str, tuple[str, float]] = {}

    async def post(
        self, request_id: str, path: str, run_s: float, time_left_s: float, *headers: str, slots: int = 1
    ) -> str:
        """Hand in a job and return the status, or what happened instead of an answer."""
        self.record.write(f"client: {request_id} to {path}")
        data = encode(
            f"POST {path} HTTP/1.1",
            json.dumps({"run_s": run_s, "slots": slots}).encode(),
            f"X-Correlation-Id: {request_id}",
            f"X-Time-Left-Ms: {int(time_left_s * 1000)}",
            *headers,
        )
        started_at = time.monotonic()
        try:
            message = await call(self.port, data, time_left_s + 1.0)
            outcome = f"{message.status} {message.body.decode('latin-1')}"
        except TimeoutError:
            outcome = "no answer"
        except (OSError, asyncio.IncompleteReadError) as error:
            outcome = f"connection ended: {type(error).__name__}"
        took_s = time.monotonic() - started_at
        self.answers[request_id] = (outcome, took_s)
        self.record.write(f"client: {request_id} got [{outcome}] after {took_s:.3f} s")
        return outcome


def settings_of(classes: list[dict[str, Any]], **changes: Any) -> dict[str, Any]:
    """Return the settings of a small deployment, with these classes."""
    settings: dict[str, Any] = {
        "group_size": 3,
        "me": 0,
        "zone": 0,
        "zones": ["here"],
        "shapes": ["standard"],
        "granularity_ns": 5_000_000,
        "discovery": "ask",
        "worth_by": "work",
        "services": classes,
        "family_info": {
            "class_stretch": [2.0] * len(classes),
            "class_kind": [-1] * len(classes),
            "progress_ns": 0,
            "queue_order": "fifo",
            "report_x0": "free slots",
            "report_x1": "free memory",
            "tells_start": False,
        },
        "load_info": {"fields": ["svc_ms", "cpu_share", "x0"], "via": "on_probe"},
        "caps": {
            "cancel": True,
            "probes": True,
            "may_duplicate": True,
            "max_attempts": 5,
            "max_open": 20000,
            "retry_after": True,
            "max_retry_after_ns": 2_000_000_000,
            "connect_timeout_ns": 250_000_000,
            "conn_idle_ns": 60_000_000_000,
        },
        "safety": {
            "answer_slack_ns": 20_000_000,
            "ask_within_ns": 10_000_000_000,
            "cold_share": 0.34,
            "warm_after_ns": 8_900_000_000,
            "fall_multiple": 2.5,
            "overload_for_ns": 2_000_000_000,
            "stop_sending_within_ns": 250_000_000,
        },
        "tariffs": {"probe": 0.002, "waste": 0.3, "cross_zone": 0.03},
    }
    for name, change in changes.items():
        settings[name] = settings[name] | change if isinstance(change, dict) else change
    return settings


def longest_rejection(events: list[tuple[float, bool]]) -> tuple[float, int]:
    """Return the longest time on end without an attempt in which all was rejected, and how many requests.

    events: the times of rejections (True), and of attempts and other answers (False).
    """
    longest, count = 0.0, 0
    run: list[float] = []
    for at, is_rejection in sorted(events):
        run = [*run, at] if is_rejection else []
        if run and run[-1] - run[0] > longest:
            longest, count = run[-1] - run[0], len(run)
    return longest, count


def run_case(folder: Path, scenario: Callable[[Record, Path], Awaitable[list[str]]]) -> int:
    """Run a scenario, which returns the breaks of the rule, and return the exit status."""
    record = Record(folder / "record.txt")
    record.write(f"TROUBLE={'1' if has_trouble() else '0'}")

    async def limited(temporary: Path) -> list[str]:
        async with asyncio.timeout(110):
            return await scenario(record, temporary)

    with tempfile.TemporaryDirectory() as temporary:
        try:
            breaks = asyncio.run(limited(Path(temporary)))
        except Exception as error:
            record.write(f"the case did not run: {type(error).__name__}: {error}")
            print(f"not run: {type(error).__name__}: {error}", file=sys.stderr)
            return NOT_RUN
        finally:
            log = Path(temporary) / "log"
            if log.exists():
                record.file.write("\nlog of the dispatcher, last lines:\n")
                record.file.writelines(f"  {line}\n" for line in log.read_text().splitlines()[-60:])
            record.file.close()
    for line in breaks:
        print(f"broken: {line}")
    with (folder / "record.txt").open("a") as file:
        file.write("\n" + "\n".join([f"broken: {line}" for line in breaks] or ["the rule held"]) + "\n")
    return BROKEN if breaks else HELD
