"""An upgrade under load: a newer dispatcher process takes over from an older one by hot restart.

    python -m benchmarks.upgrade --before 725bba5              # a commit, or the folder of a checkout
    python -m benchmarks.upgrade --before 725bba5 --after DIR  # in place of this tree

It prints one line of figures for each direction: before -> after, after -> before, after -> after.  Both
processes run with this interpreter, the code of their own checkout, and one $TMPDIR.  Match workers,
discovery and clients are stand-ins on loopback, bounded in number and time; a direction takes about 7 s.  The
exit status is 1 if a request got no answer or a wrong one, a job came to the banned worker, a non-idempotent
job ran twice, or a process failed.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager, suppress
from pathlib import Path
from typing import Any

from benchmarks.cost import ROOT, extract
from benchmarks.upgrade_figures import (
    Figures,
    ReceivedJob,
    RequestResult,
    classify,
    count_between,
    count_repeated,
)
from example.toy import RUN_S, Discovery, Message, Worker, encode_message, read_message, request

CONFIG_PATH = ROOT / "example" / "config.json"
WORKERS = 4
PERSISTENT_CLIENTS = 12  # each sends all its requests on one connection
SHORT_CLIENTS = 3  # each opens a connection for each request
PAUSE_S = 0.05  # between an answer and the client's next request
MAX_REQUESTS = 600  # of all clients
LEFT_MS = 5000  # client timeout of a request
ANSWER_TIMEOUT_S = 8.0  # without an answer by then a request is lost
STEP_S = (
    1.0  # load before the ban, before the newer process starts, after it took over, after the ban is lifted
)
START_TIMEOUT_S = 15.0
EXIT_TIMEOUT_S = 15.0
DIRECTION_TIMEOUT_S = 90.0
POLL_S = 0.05
IN_FLIGHT_S = 0.05  # a job that was sent before the ban arrives by then
CALLBACK_ATTEMPTS = 10


class RecordingWorker(Worker):
    """A toy worker that records its jobs and repeats a call-back that was not answered."""

    def __init__(self, name: str, dispatcher: str) -> None:
        super().__init__(name, dispatcher)
        self.received: list[ReceivedJob] = []
        self.failed_callbacks = 0

    async def answer(self, message: Message, writer: asyncio.StreamWriter) -> None:
        """Record a job, then serve the message."""
        if message.method == "POST":
            self.received.append(ReceivedJob(message.headers["x-correlation-id"], time.monotonic()))
        await super().answer(message, writer)

    async def run(self, request_id: str, body: bytes) -> None:
        """Run one job without a line on standard output."""
        await self.send_callback(request_id, state="started")
        await asyncio.sleep(RUN_S)
        self.jobs.pop(request_id, None)
        await self.send_callback(request_id, state="done", result=body.decode().upper(), load=self.load())

    async def send_callback(self, request_id: str, **what: Any) -> Message:
        """Send one call-back until it is answered.

        Raises:
            ConnectionError: no attempt was answered.
        """
        for _ in range(CALLBACK_ATTEMPTS):
            with suppress(OSError, asyncio.IncompleteReadError):
                return await super().send_callback(request_id, **what)
            await asyncio.sleep(POLL_S)
        self.failed_callbacks += 1
        raise ConnectionError("no dispatcher answered a call-back")


class Dispatcher:
    """A dispatcher process of one checkout."""

    def __init__(self, checkout: Path, config: Path, operators_port: int, log: Path) -> None:
        self.checkout = checkout
        self.config = config
        self.operators_address = f"127.0.0.1:{operators_port}"
        self.log = log
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process and wait until it serves.

        Raises:
            TimeoutError: it does not serve in time.
            RuntimeError: it ended.
        """
        environment = {name: value for name, value in os.environ.items() if not name.startswith("GW_")}
        environment |= {
            "PYTHONPATH": str(self.checkout),
            "TMPDIR": str(self.config.parent),
            "GW_CONFIG": str(self.config),
            "GW_MGMT": self.operators_address,
        }
        with self.log.open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "weldquay"), cwd=self.checkout, env=environment, stderr=log
            )
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self.is_ready():
                if self.process.returncode is not None:
                    raise RuntimeError(f"a dispatcher ended: {self.log.read_text()[-2000:]}")
                await asyncio.sleep(POLL_S)

    async def operate(self, method: str, path: str) -> int:
        """Send an operator's request and return the status of its answer."""
        data = encode_message(f"{method} /control/{path} HTTP/1.1")
        return (await request(self.operators_address, data)).status

    async def is_ready(self) -> bool:
        """Return whether the process has told that it serves."""
        with suppress(OSError, asyncio.IncompleteReadError):
            return await self.operate("GET", "ready") == 200
        return False

    async def stop(self) -> int:
        """Ask the process to end, and return its exit status."""
        assert self.process is not None
        self.process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(EXIT_TIMEOUT_S):
            return await self.process.wait()

    def kill(self) -> None:
        """End the process at once if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()


class ClientLoad:
    """Clients that send one request after another until they are stopped."""

    def __init__(self, address: str, figures: Figures) -> None:
        self.host, port = address.split(":")
        self.port = int(port)
        self.figures = figures
        self.sent = 0
        self.non_idempotent_ids: set[str] = set()
        self.is_stopping = False
        self.tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start all clients."""
        for number in range(PERSISTENT_CLIENTS + SHORT_CLIENTS):
            is_persistent = number < PERSISTENT_CLIENTS
            self.tasks.append(asyncio.create_task(self._run(is_persistent)))

    async def finish(self) -> None:
        """Send no further request and wait for the answers that are due."""
        self.is_stopping = True
        await asyncio.gather(*self.tasks)

    async def _run(self, is_persistent: bool) -> None:
        connection = await asyncio.open_connection(self.host, self.port)
        while not self.is_stopping and self.sent < MAX_REQUESTS:
            is_reusable = await self._exchange(*connection)
            if not is_reusable or not is_persistent:
                connection[1].close()
                connection = await asyncio.open_connection(self.host, self.port)
                self.figures.connections_reopened += is_persistent
            await asyncio.sleep(PAUSE_S)
        with suppress(TimeoutError):
            async with asyncio.timeout(PAUSE_S):
                self.figures.surplus_answers += bool(await connection[0].read(1))
        connection[1].close()

    async def _exchange(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Send one request, count its result and return whether the connection can be used again."""
        self.sent += 1
        request_id = f"upgrade-{self.sent}"
        path = "/import" if self.sent % 4 == 0 else "/lookup/a"
        if path == "/import":
            self.non_idempotent_ids.add(request_id)
        headers = (f"X-Correlation-Id: {request_id}", f"X-Time-Left-Ms: {LEFT_MS}")
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                writer.write(encode_message(f"POST {path} HTTP/1.1", request_id.encode(), *headers))
                answer = await read_message(reader)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            self.figures.results[RequestResult.LOST] += 1
            return False
        result = classify(answer.status, answer.body, request_id.upper().encode())
        self.figures.results[result] += 1
        return answer.headers.get("connection", "") != "close"


def free_port() -> int:
    """Return a port of the loopback that nothing listens on."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


class Upgrade:
    """One direction: the stand-ins, the load, and the two processes."""

    def __init__(self, older: Path, newer: Path, folder: Path) -> None:
        self.figures = Figures(connections=PERSISTENT_CLIENTS)
        self.address = f"127.0.0.1:{free_port()}"
        self.discovery = Discovery()
        self.workers = [RecordingWorker(f"w{number}", self.address) for number in range(WORKERS)]
        self.config = folder / "config.json"
        self.dispatchers = [
            Dispatcher(checkout, self.config, free_port(), folder / f"{name}.log")
            for name, checkout in (("older", older), ("newer", newer))
        ]

    async def run(self) -> Figures:
        """Run the upgrade and return its figures."""
        try:
            async with asyncio.timeout(DIRECTION_TIMEOUT_S):
                await self._start_site()
                await self._upgrade()
        finally:
            for dispatcher in self.dispatchers:
                dispatcher.kill()
            for server in (self.discovery, *self.workers):
                server.stop()
        return self.figures

    async def _start_site(self) -> None:
        await self.discovery.start()
        for worker in self.workers:
            await worker.start()
            self.discovery.add(worker)
        document = json.loads(CONFIG_PATH.read_text())
        document |= {
            "listen": self.address,
            "discovery": self.discovery.address,
            "known": self.discovery.list_document(),
        }
        self.config.write_text(json.dumps(document))

    async def _upgrade(self) -> None:
        older, newer = self.dispatchers
        banned = self.workers[0]
        await older.start()
        load = ClientLoad(self.address, self.figures)
        load.start()
        await asyncio.sleep(STEP_S)
        await self._operate(older, f"match-workers/{banned.name}/offline")
        banned_s = time.monotonic() + IN_FLIGHT_S
        await asyncio.sleep(STEP_S)
        begun_s = time.monotonic()
        await newer.start()
        self.figures.ready_after_s = time.monotonic() - begun_s
        self.figures.exit_statuses.append(await older.stop())
        await asyncio.sleep(STEP_S)
        lifted_s = time.monotonic()
        await self._operate(newer, f"match-workers/{banned.name}/online")
        await asyncio.sleep(STEP_S)
        await load.finish()
        self.figures.exit_statuses.append(await newer.stop())
        self.figures.jobs_while_banned = count_between(banned.received, banned_s, lifted_s)
        self.figures.jobs_after_ban = count_between(banned.received, lifted_s, float("inf"))
        jobs = [job for worker in self.workers for job in worker.received]
        self.figures.repeated_jobs = count_repeated(jobs, load.non_idempotent_ids)
        self.figures.failed_callbacks = sum(worker.failed_callbacks for worker in self.workers)
        self.figures.tracebacks = sum(
            dispatcher.log.read_text().count("Traceback") for dispatcher in self.dispatchers
        )

    @staticmethod
    async def _operate(dispatcher: Dispatcher, path: str) -> None:
        if (status := await dispatcher.operate("POST", path)) != 200:
            raise RuntimeError(f"{path}: {status}")


@contextmanager
def checkout_of(name: str | None) -> Iterator[Path]:
    """Provide the folder of a checkout: this tree, a given folder, or a commit extracted for the time."""
    if name is None:
        yield ROOT
    elif Path(name).is_dir():
        yield Path(name).resolve()
    else:
        with tempfile.TemporaryDirectory() as folder:
            yield extract(name, Path(folder))


def options() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(description="An upgrade under load, in three directions.")
    parser.add_argument("--before", required=True, help="a commit, or the folder of a checkout")
    parser.add_argument("--after", help="the same in place of this tree")
    return parser


def main() -> int:
    """Run all directions; return 1 if a check failed."""
    arguments = options().parse_args()
    before, after = arguments.before, arguments.after or "this tree"
    exit_status = 0
    with ExitStack() as stack:
        paths = {
            before: stack.enter_context(checkout_of(arguments.before)),
            after: stack.enter_context(checkout_of(arguments.after)),
        }
        for older, newer in ((before, after), (after, before), (after, after)):
            with tempfile.TemporaryDirectory(prefix="upgrade-") as folder:
                figures = asyncio.run(Upgrade(paths[older], paths[newer], Path(folder)).run())
            print(f"{older} -> {newer}: {figures.line()}", flush=True)
            if failures := figures.failures():
                exit_status = 1
                print(f"{older} -> {newer}: FAILED: {', '.join(failures)}", flush=True)
    return exit_status


if __name__ == "__main__":
    sys.exit(main())
