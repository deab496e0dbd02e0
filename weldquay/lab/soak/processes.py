"""Dispatcher processes of the soak test: starts, signals and exits, with the documented time limits."""

from __future__ import annotations

import asyncio
import json
import os
import resource
import signal
import sys
import time
from contextlib import suppress
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

from weldquay.lab.http import encode_message, request
from weldquay.lab.soak.held_requests import Interval, intervals_without_lease
from weldquay.lab.soak.plan import ProcessFault, TimedFault
from weldquay.lab.soak.shim import FIRED_TEXT, CallFault, environment
from weldquay.lab.stress.memory import peak_memory_mb

MAX_CLIENT_TIMEOUT_S = 3.0  # longer client timeouts do not delay SIGKILL further
KILL_DELAY_S = 0.7  # SIGKILL follows SIGTERM after the client timeout plus this delay
READY_TIMEOUT_S = 10.0
POLL_S = 0.02
SIGNAL_GAP_S = 0.15  # pause between two signals of a series
HEALTH_TIMEOUT_S = 1.0
ACCEPT_FAILURE_TEXT = "socket.accept() out of system resource"


@dataclass(frozen=True, slots=True)
class ProcessEnd:
    """The exit of a process; elapsed_s: time since SIGTERM; margin_s: time that was left until SIGKILL."""

    name: str
    status: int | None  # exit status; None if SIGKILL was sent
    elapsed_s: float
    margin_s: float


@dataclass
class ProcessLog:
    """The recorded exits, failed starts and failed recoveries of all processes."""

    ends: list[ProcessEnd] = field(default_factory=list)
    not_ready: list[str] = field(default_factory=list)
    failed_starts: list[str] = field(default_factory=list)
    not_recovered: list[str] = field(default_factory=list)


class SoakDispatcher:
    """One dispatcher: its serving process and, during a hot restart, an older one."""

    def __init__(
        self,
        folder: Path,
        document: dict[str, Any],
        client_timeout_s: float,
        log: ProcessLog,
        call_faults: tuple[CallFault, ...] = (),
    ) -> None:
        self.name = document["name"]
        self.address = document["listen"]
        self.folder = folder
        self.kill_after_s = min(client_timeout_s, MAX_CLIENT_TIMEOUT_S) + KILL_DELAY_S
        self.log = log
        self.call_faults = call_faults
        self.sockets = document["limits"]["sockets"]
        self.peak_mb = 0.0  # of all processes of this dispatcher
        self.kills: list[tuple[float, float]] = []  # monotonic times (s) of SIGKILL and readiness
        self.process: asyncio.subprocess.Process | None = None
        self.terminations: list[tuple[float, float]] = []  # monotonic times (s) of SIGTERM and exit
        self._starts = 0
        folder.mkdir(parents=True)
        (folder / "tmp").mkdir()
        self._config = folder / "config.json"
        self._config.write_text(json.dumps(document))

    async def start(self) -> asyncio.subprocess.Process:
        """Start a process; one that is already running keeps running."""
        self._starts += 1
        environ = {name: value for name, value in os.environ.items() if not name.startswith("GW_")}
        environ |= {"GW_CONFIG": str(self._config), "TMPDIR": str(self.folder / "tmp")}
        environ |= environment(self.call_faults)
        with (self.folder / f"log-{self._starts}").open("wb") as output:
            return await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "weldquay"),
                env=environ,
                stdout=output,
                stderr=output,
                preexec_fn=partial(resource.setrlimit, resource.RLIMIT_NOFILE, (self.sockets, self.sockets)),
            )

    async def serve(self) -> None:
        """Start the serving process and wait until it is ready."""
        self.process = await self.start()
        await self.wait_until_ready(self.process)

    async def wait_until_ready(self, process: asyncio.subprocess.Process) -> None:
        """Wait until a health check of the process succeeds; record a timeout or an exit."""
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                while process.returncode is None and not await self._is_healthy():  # noqa: ASYNC110
                    await asyncio.sleep(POLL_S)
        except TimeoutError:
            self.log.not_ready.append(f"{self.name}: not ready after {READY_TIMEOUT_S} s")
        if process.returncode is not None:
            self.log.failed_starts.append(f"{self.name}: a process exited with status {process.returncode}")

    async def _is_healthy(self) -> bool:
        with suppress(OSError, asyncio.IncompleteReadError):  # TimeoutError is an OSError
            async with asyncio.timeout(HEALTH_TIMEOUT_S):
                return (await request(self.address, encode_message("GET /_health HTTP/1.1"))).status == 200
        return False

    async def terminate(self, process: asyncio.subprocess.Process, signals: int = 2) -> None:
        """Send SIGTERM `signals` times, and SIGKILL after the shortest time that the documentation allows."""
        started_at = time.monotonic()
        self.record_peak(process)
        kill_task = asyncio.create_task(self._kill(process))
        for _ in range(signals):
            with suppress(ProcessLookupError):
                process.send_signal(signal.SIGTERM)
            await asyncio.sleep(SIGNAL_GAP_S)
        await process.wait()
        was_killed = kill_task.done() and kill_task.result()
        kill_task.cancel()
        elapsed_s = time.monotonic() - started_at
        status = None if was_killed else process.returncode
        self.log.ends.append(ProcessEnd(self.name, status, elapsed_s, self.kill_after_s - elapsed_s))
        self.terminations.append((started_at, time.monotonic()))

    async def _kill(self, process: asyncio.subprocess.Process) -> bool:
        await asyncio.sleep(self.kill_after_s)
        if process.returncode is not None:
            return False
        process.kill()
        return True

    def record_peak(self, process: asyncio.subprocess.Process) -> None:
        """Record the peak memory of a process that still runs."""
        self.peak_mb = max(self.peak_mb, peak_memory_mb(process.pid))

    async def kill_and_restart(self) -> None:
        """Send SIGKILL to the serving process, and start another one."""
        assert self.process is not None
        started_at = time.monotonic()
        self.record_peak(self.process)
        with suppress(ProcessLookupError):
            self.process.kill()
        await self.process.wait()
        await self.serve()
        self.kills.append((started_at, time.monotonic()))

    async def apply_fault(self, fault: TimedFault) -> None:
        """Apply a fault to this dispatcher."""
        assert self.process is not None
        match fault.fault:
            case ProcessFault.RELOAD:
                for _ in range(4):
                    self.process.send_signal(signal.SIGHUP)
                    await asyncio.sleep(SIGNAL_GAP_S)
            case ProcessFault.RESTART:
                await self.terminate(self.process)
                await self.serve()
            case ProcessFault.EARLY_TERMINATION:
                await self.terminate(self.process)
                early = await self.start()
                await asyncio.sleep(fault.duration_s)
                await self.terminate_early(early)
                await self.serve()
            case ProcessFault.HOT_RESTART | ProcessFault.HOT_RESTART_RACE:
                await self._hot_restart(fault)

    async def terminate_early(self, process: asyncio.subprocess.Process) -> None:
        """Terminate a process right after its start.

        Until it handles signals, SIGTERM ends it by default; this is not recorded as a failure.
        """
        await self.terminate(process, signals=1)
        if self.log.ends[-1].status == -int(signal.SIGTERM):
            self.log.ends.pop()

    async def _hot_restart(self, fault: TimedFault) -> None:
        older = self.process
        assert older is not None
        newer = self.process = await self.start()
        if fault.fault is ProcessFault.HOT_RESTART_RACE:
            await asyncio.sleep(fault.duration_s)
        else:
            await self.wait_until_handed_over(newer)
        older.send_signal(signal.SIGHUP)
        await self.terminate(older)
        await self.wait_until_ready(newer)

    async def wait_until_handed_over(self, newer: asyncio.subprocess.Process) -> None:
        """Wait until the newer process logs that it is serving."""
        path = self.folder / f"log-{self._starts}"
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                while newer.returncode is None and b"is serving" not in path.read_bytes():  # noqa: ASYNC110
                    await asyncio.sleep(POLL_S)
        except TimeoutError:
            self.log.not_ready.append(f"{self.name}: hot restart not completed after {READY_TIMEOUT_S} s")

    def count_tracebacks(self) -> int:
        """Return the number of tracebacks in the logs; asyncio logs one when accept lacks a resource."""
        logs = [path.read_text() for path in self.folder.glob("log-*")]
        return sum(log.count("Traceback") - log.count(ACCEPT_FAILURE_TEXT) for log in logs)

    def last_lines_of_tracebacks(self) -> list[str]:
        """Return the different last lines of the tracebacks in the logs."""
        found: dict[str, None] = {}
        for path in self.folder.glob("log-*"):
            for traceback in path.read_text().split("Traceback (most recent call last):")[1:]:
                lines = [line for line in traceback.splitlines() if line and not line.startswith(" ")]
                found.setdefault(lines[0] if lines else "", None)
        return list(found)

    def count_fired_faults(self) -> int:
        """Return how many of the call faults have fired in any process."""
        logs = "".join(path.read_text() for path in self.folder.glob("log-*"))
        return sum(f"{FIRED_TEXT} {fault.call.name} " in logs for fault in self.call_faults)

    def intervals_without_lease(self) -> list[Interval]:
        """Return the intervals in which a process of this dispatcher had no valid lease, from its logs."""
        return [
            interval
            for path in self.folder.glob("log-*")
            for interval in intervals_without_lease(path.read_text().splitlines())
        ]

    def kill(self) -> None:
        """Kill the serving process if it is still running."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
