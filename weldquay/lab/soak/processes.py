"""The dispatcher processes of a soak: their starts, signals and ends, as the users' page times them."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import time
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from weldquay.lab.http import request, write_message
from weldquay.lab.soak.plan import ProcessFault, TimedFault

LONGEST_TIMEOUT_S = 3.0  # a longer one counts as this
KILL_DELAY_S = 0.7
READY_TIMEOUT_S = 10.0
POLL_S = 0.02
SIGNAL_GAP_S = 0.15  # between two signals of a series
HEALTH_TIMEOUT_S = 1.0


@dataclass(frozen=True, slots=True)
class ProcessEnd:
    """The end of a process after SIGTERM; after_s: from the signal, margin_s: before SIGKILL was due."""

    name: str
    status: int | None  # None: it was killed
    after_s: float
    margin_s: float


@dataclass
class ProcessLog:
    """What was seen of all processes."""

    ends: list[ProcessEnd] = field(default_factory=list)
    not_ready: list[str] = field(default_factory=list)
    refused_starts: list[str] = field(default_factory=list)


class SoakDispatcher:
    """One dispatcher: the process that serves, and for a time an older or newer one beside it."""

    def __init__(
        self, folder: Path, document: dict[str, Any], client_timeout_s: float, log: ProcessLog
    ) -> None:
        self.name = document["name"]
        self.address = document["listen"]
        self.folder = folder
        self.kill_after_s = min(client_timeout_s, LONGEST_TIMEOUT_S) + KILL_DELAY_S
        self.log = log
        self.process: asyncio.subprocess.Process | None = None
        self.ending: list[tuple[float, float]] = []  # from SIGTERM to the process's end
        self._starts = 0
        folder.mkdir(parents=True)
        (folder / "tmp").mkdir()
        self._config = folder / "config.json"
        self._config.write_text(json.dumps(document))

    async def start(self) -> asyncio.subprocess.Process:
        """Start a process, beside the running one if there is one."""
        self._starts += 1
        environ = {name: value for name, value in os.environ.items() if not name.startswith("GW_")}
        environ |= {"GW_CONFIG": str(self._config), "TMPDIR": str(self.folder / "tmp")}
        with (self.folder / f"log-{self._starts}").open("wb") as output:
            return await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "weldquay"), env=environ, stdout=output, stderr=output
            )

    async def serve(self) -> None:
        """Start the process that serves, and wait until it is ready."""
        self.process = await self.start()
        await self.wait_until_ready(self.process)

    async def wait_until_ready(self, process: asyncio.subprocess.Process) -> None:
        """Wait until the process answers health checks with 200, or record that it does not."""
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                while process.returncode is None and not await self._is_healthy():  # noqa: ASYNC110
                    await asyncio.sleep(POLL_S)
        except TimeoutError:
            self.log.not_ready.append(f"{self.name}: not ready after {READY_TIMEOUT_S} s")
        if process.returncode is not None:
            self.log.refused_starts.append(f"{self.name}: a start ended with status {process.returncode}")

    async def _is_healthy(self) -> bool:
        with suppress(OSError, asyncio.IncompleteReadError):  # TimeoutError is an OSError
            async with asyncio.timeout(HEALTH_TIMEOUT_S):
                return (await request(self.address, write_message("GET /_health HTTP/1.1"))).status == 200
        return False

    async def end(self, process: asyncio.subprocess.Process, signals: int = 2) -> None:
        """Send SIGTERM so many times, and SIGKILL as early as the users' page allows."""
        begun_at = time.monotonic()
        killing = asyncio.create_task(self._kill(process))
        for _ in range(signals):
            with suppress(ProcessLookupError):
                process.send_signal(signal.SIGTERM)
            await asyncio.sleep(SIGNAL_GAP_S)
        await process.wait()
        was_killed = killing.done() and killing.result()
        killing.cancel()
        after_s = time.monotonic() - begun_at
        status = None if was_killed else process.returncode
        self.log.ends.append(ProcessEnd(self.name, status, after_s, self.kill_after_s - after_s))
        self.ending.append((begun_at, time.monotonic()))

    async def _kill(self, process: asyncio.subprocess.Process) -> bool:
        await asyncio.sleep(self.kill_after_s)
        if process.returncode is not None:
            return False
        process.kill()
        return True

    async def play(self, fault: TimedFault) -> None:
        """Play a fault of this dispatcher."""
        assert self.process is not None
        match fault.fault:
            case ProcessFault.RELOADS:
                for _ in range(4):
                    self.process.send_signal(signal.SIGHUP)
                    await asyncio.sleep(SIGNAL_GAP_S)
            case ProcessFault.RESTART:
                await self.end(self.process)
                await self.serve()
            case ProcessFault.EARLY_END:
                await self.end(self.process)
                early = await self.start()
                await asyncio.sleep(fault.length_s)
                await self.end_early(early)
                await self.serve()
            case ProcessFault.HOT_RESTART | ProcessFault.HOT_RESTART_RACE:
                await self._hot_restart(fault)

    async def end_early(self, process: asyncio.subprocess.Process) -> None:
        """End a process right after its start; before it handles signals SIGTERM ends it by default."""
        await self.end(process, signals=1)
        if self.log.ends[-1].status == -int(signal.SIGTERM):
            self.log.ends.pop()

    async def _hot_restart(self, fault: TimedFault) -> None:
        older = self.process
        assert older is not None
        newer = self.process = await self.start()
        if fault.fault is ProcessFault.HOT_RESTART_RACE:
            await asyncio.sleep(fault.length_s)
        else:
            await self.wait_until_handed_over(newer)
        older.send_signal(signal.SIGHUP)
        await self.end(older)
        await self.wait_until_ready(newer)

    async def wait_until_handed_over(self, newer: asyncio.subprocess.Process) -> None:
        """Wait until the newer process has logged that it serves."""
        path = self.folder / f"log-{self._starts}"
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                while newer.returncode is None and b"is serving" not in path.read_bytes():  # noqa: ASYNC110
                    await asyncio.sleep(POLL_S)
        except TimeoutError:
            self.log.not_ready.append(f"{self.name}: no hot restart after {READY_TIMEOUT_S} s")

    def tracebacks(self) -> int:
        """Return how many exceptions the logs have."""
        return sum(path.read_text().count("Traceback") for path in self.folder.glob("log-*"))

    def kill(self) -> None:
        """End what still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
