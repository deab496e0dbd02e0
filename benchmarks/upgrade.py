"""Upgrade and downgrade under load: a newer dispatcher process replaces an older one by hot restart.

    python -m benchmarks.upgrade --before 725bba5              # a commit, or the folder of a checkout
    python -m benchmarks.upgrade --before 725bba5 --after DIR  # DIR instead of this tree

It runs three directions, before -> after, after -> before and after -> after, and prints one line of figures
for each.  The two processes use this interpreter, the code of their own checkout and the same $TMPDIR.  Match
workers, discovery and clients are stand-ins on loopback, limited in number and time; a direction takes about
7 s.  The exit status is 1 if a request got no response or a wrong one, a banned worker received a job, a
non-idempotent job ran twice, or a process failed.
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

from benchmarks.cost import ROOT, extract_commit
from benchmarks.upgrade_figures import (
    ReceivedJob,
    RequestResult,
    UpgradeFigures,
    classify_response,
    count_received_between,
    count_repeated,
)
from example.toy import RUN_S, Discovery, Message, Worker, encode_message, read_message, request

CONFIG_PATH = ROOT / "example" / "config.json"
WORKERS = 4
PERSISTENT_CLIENTS = 12  # each uses one connection for all its requests
NON_PERSISTENT_CLIENTS = 3  # each opens a new connection for each request
REQUEST_PAUSE_S = 0.05  # pause of a client between a response and its next request
MAX_REQUESTS = 600  # limit on the total number of requests of all clients
CLIENT_TIMEOUT_MS = 5000  # remaining time that a client sends with each request
RESPONSE_TIMEOUT_S = 8.0  # a request without a response by then counts as lost
# Duration of each stage: before the ban, before the start of the newer process, after the older process has
# exited, and after the ban has been lifted.
STAGE_S = 1.0
START_TIMEOUT_S = 15.0
EXIT_TIMEOUT_S = 15.0
UPGRADE_TIMEOUT_S = 90.0
POLL_INTERVAL_S = 0.05
MAX_DELIVERY_DELAY_S = 0.05  # a job sent before the ban may arrive at the worker this long after it
MAX_CALLBACK_ATTEMPTS = 10


class RecordingWorker(Worker):
    """A toy worker that records the jobs it receives and retries callbacks without a response."""

    def __init__(self, name: str, dispatcher: str) -> None:
        super().__init__(name, dispatcher)
        self.received: list[ReceivedJob] = []
        self.unanswered_callbacks = 0

    async def answer(self, message: Message, writer: asyncio.StreamWriter) -> None:
        """Record a received job, then handle the message."""
        if message.method == "POST":
            self.received.append(ReceivedJob(message.headers["x-correlation-id"], time.monotonic()))
        await super().answer(message, writer)

    async def run(self, request_id: str, body: bytes) -> None:
        """Run one job; unlike the toy worker, print nothing."""
        await self.send_callback(request_id, state="started")
        await asyncio.sleep(RUN_S)
        self.jobs.pop(request_id, None)
        await self.send_callback(request_id, state="done", result=body.decode().upper(), load=self.load())

    async def send_callback(self, request_id: str, **fields: Any) -> Message:
        """Send one callback, with retries until there is a response.

        Raises:
            ConnectionError: no attempt got a response.
        """
        for _ in range(MAX_CALLBACK_ATTEMPTS):
            with suppress(OSError, asyncio.IncompleteReadError):
                return await super().send_callback(request_id, **fields)
            await asyncio.sleep(POLL_INTERVAL_S)
        self.unanswered_callbacks += 1
        raise ConnectionError("no attempt to send a callback got a response")


class DispatcherProcess:
    """A dispatcher process that runs the code of one checkout."""

    def __init__(self, checkout: Path, config: Path, operator_port: int, log: Path) -> None:
        self.checkout = checkout
        self.config = config
        self.operator_address = f"127.0.0.1:{operator_port}"
        self.log = log
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process and wait until it is ready.

        Raises:
            TimeoutError: the process is not ready in time.
            RuntimeError: the process exited.
        """
        environment = {name: value for name, value in os.environ.items() if not name.startswith("GW_")}
        environment |= {
            "PYTHONPATH": str(self.checkout),
            "TMPDIR": str(self.config.parent),
            "GW_CONFIG": str(self.config),
            "GW_MGMT": self.operator_address,
        }
        with self.log.open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "weldquay"), cwd=self.checkout, env=environment, stderr=log
            )
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self.is_ready():
                if self.process.returncode is not None:
                    raise RuntimeError(f"dispatcher exited during startup: {self.log.read_text()[-2000:]}")
                await asyncio.sleep(POLL_INTERVAL_S)

    async def send_operator_request(self, method: str, path: str) -> int:
        """Send an operator request and return the status of the response."""
        data = encode_message(f"{method} /control/{path} HTTP/1.1")
        return (await request(self.operator_address, data)).status

    async def is_ready(self) -> bool:
        """Return whether the process reports that it is ready."""
        with suppress(OSError, asyncio.IncompleteReadError):
            return await self.send_operator_request("GET", "ready") == 200
        return False

    async def stop(self) -> int:
        """Terminate the process with SIGTERM and return its exit status."""
        assert self.process is not None
        self.process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(EXIT_TIMEOUT_S):
            return await self.process.wait()

    def kill(self) -> None:
        """Kill the process if it is still running."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()


class ClientLoad:
    """Clients that each send one request at a time until they are stopped."""

    def __init__(self, address: str, figures: UpgradeFigures) -> None:
        self.host, port = address.split(":")
        self.port = int(port)
        self.figures = figures
        self.sent = 0
        self.non_idempotent_ids: set[str] = set()
        self.is_stopping = False
        self.tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start all clients."""
        for number in range(PERSISTENT_CLIENTS + NON_PERSISTENT_CLIENTS):
            is_persistent = number < PERSISTENT_CLIENTS
            self.tasks.append(asyncio.create_task(self._run_client(is_persistent)))

    async def finish(self) -> None:
        """Stop sending requests and wait for the outstanding responses."""
        self.is_stopping = True
        await asyncio.gather(*self.tasks)

    async def _run_client(self, is_persistent: bool) -> None:
        connection = await asyncio.open_connection(self.host, self.port)
        while not self.is_stopping and self.sent < MAX_REQUESTS:
            is_reusable = await self._send_request(*connection)
            if not is_reusable or not is_persistent:
                connection[1].close()
                connection = await asyncio.open_connection(self.host, self.port)
                self.figures.connections_reopened += is_persistent
            await asyncio.sleep(REQUEST_PAUSE_S)
        with suppress(TimeoutError):
            async with asyncio.timeout(REQUEST_PAUSE_S):
                self.figures.surplus_responses += bool(await connection[0].read(1))
        connection[1].close()

    async def _send_request(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Send one request, count its result, and return whether the connection can be reused."""
        self.sent += 1
        request_id = f"upgrade-{self.sent}"
        path = "/import" if self.sent % 4 == 0 else "/lookup/a"
        if path == "/import":
            self.non_idempotent_ids.add(request_id)
        headers = (f"X-Correlation-Id: {request_id}", f"X-Time-Left-Ms: {CLIENT_TIMEOUT_MS}")
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                writer.write(encode_message(f"POST {path} HTTP/1.1", request_id.encode(), *headers))
                response = await read_message(reader)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            self.figures.results[RequestResult.LOST] += 1
            return False
        result = classify_response(response.status, response.body, request_id.upper().encode())
        self.figures.results[result] += 1
        return response.headers.get("connection", "") != "close"


def free_port() -> int:
    """Return an unused loopback port."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


class UpgradeRun:
    """The run of one direction: the stand-ins, the client load and the two dispatcher processes."""

    def __init__(self, older: Path, newer: Path, folder: Path) -> None:
        self.figures = UpgradeFigures(connections=PERSISTENT_CLIENTS)
        self.address = f"127.0.0.1:{free_port()}"
        self.discovery = Discovery()
        self.workers = [RecordingWorker(f"w{number}", self.address) for number in range(WORKERS)]
        self.config = folder / "config.json"
        self.dispatchers = [
            DispatcherProcess(checkout, self.config, free_port(), folder / f"{name}.log")
            for name, checkout in (("older", older), ("newer", newer))
        ]

    async def run(self) -> UpgradeFigures:
        """Run all stages and return the figures."""
        try:
            async with asyncio.timeout(UPGRADE_TIMEOUT_S):
                await self._start_servers()
                await self._run_stages()
        finally:
            for dispatcher in self.dispatchers:
                dispatcher.kill()
            for server in (self.discovery, *self.workers):
                server.stop()
        return self.figures

    async def _start_servers(self) -> None:
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

    async def _run_stages(self) -> None:
        older, newer = self.dispatchers
        banned_worker = self.workers[0]
        await older.start()
        client_load = ClientLoad(self.address, self.figures)
        client_load.start()
        await asyncio.sleep(STAGE_S)
        await self._post_operator_request(older, f"match-workers/{banned_worker.name}/offline")
        ban_start_s = time.monotonic() + MAX_DELIVERY_DELAY_S
        await asyncio.sleep(STAGE_S)
        start_s = time.monotonic()
        await newer.start()
        self.figures.ready_after_s = time.monotonic() - start_s
        self.figures.exit_statuses.append(await older.stop())
        await asyncio.sleep(STAGE_S)
        ban_end_s = time.monotonic()
        await self._post_operator_request(newer, f"match-workers/{banned_worker.name}/online")
        await asyncio.sleep(STAGE_S)
        await client_load.finish()
        self.figures.exit_statuses.append(await newer.stop())
        self.figures.jobs_while_banned = count_received_between(
            banned_worker.received, ban_start_s, ban_end_s
        )
        self.figures.jobs_after_ban = count_received_between(banned_worker.received, ban_end_s, float("inf"))
        jobs = [job for worker in self.workers for job in worker.received]
        self.figures.repeated_jobs = count_repeated(jobs, client_load.non_idempotent_ids)
        self.figures.unanswered_callbacks = sum(worker.unanswered_callbacks for worker in self.workers)
        self.figures.tracebacks = sum(
            dispatcher.log.read_text().count("Traceback") for dispatcher in self.dispatchers
        )

    @staticmethod
    async def _post_operator_request(dispatcher: DispatcherProcess, path: str) -> None:
        if (status := await dispatcher.send_operator_request("POST", path)) != 200:
            raise RuntimeError(f"operator request {path} failed with status {status}")


@contextmanager
def open_checkout(name: str | None) -> Iterator[Path]:
    """Yield the folder of a checkout: this tree, a given folder, or a commit in a temporary folder."""
    if name is None:
        yield ROOT
    elif Path(name).is_dir():
        yield Path(name).resolve()
    else:
        with tempfile.TemporaryDirectory() as folder:
            yield extract_commit(name, Path(folder))


def create_parser() -> argparse.ArgumentParser:
    """Return the parser of the command-line arguments."""
    parser = argparse.ArgumentParser(
        description="Hot restarts between two versions under load, in three directions."
    )
    parser.add_argument("--before", required=True, help="commit, or folder of a checkout")
    parser.add_argument("--after", help="commit or folder to use instead of this tree")
    return parser


def main() -> int:
    """Run all directions; return 1 if a check failed."""
    arguments = create_parser().parse_args()
    before, after = arguments.before, arguments.after or "this tree"
    exit_status = 0
    with ExitStack() as stack:
        paths = {
            before: stack.enter_context(open_checkout(arguments.before)),
            after: stack.enter_context(open_checkout(arguments.after)),
        }
        for older, newer in ((before, after), (after, before), (after, after)):
            with tempfile.TemporaryDirectory(prefix="upgrade-") as folder:
                figures = asyncio.run(UpgradeRun(paths[older], paths[newer], Path(folder)).run())
            print(f"{older} -> {newer}: {figures.summary()}", flush=True)
            if failures := figures.failures():
                exit_status = 1
                print(f"{older} -> {newer}: FAILED: {', '.join(failures)}", flush=True)
    return exit_status


if __name__ == "__main__":
    sys.exit(main())
