"""One play: a dispatcher process at given limits, ordinary clients, and one kind of misbehaving clients."""

from __future__ import annotations

import asyncio
import json
import os
import resource
import signal
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Sequence
from contextlib import suppress
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

from weldquay.lab.http import encode_message, request
from weldquay.lab.site import reserve_address
from weldquay.lab.soak.clients import RequestOutcome, SentRequest, SoakClients
from weldquay.lab.soak.stand_ins import JobLog, SoakDiscovery, SoakWorker
from weldquay.lab.stress.crowds import Crowd, CrowdBehaviour, CrowdOutcome
from weldquay.lab.stress.fast_peer import FastBehaviour, FastPeer
from weldquay.lab.stress.leavers import LeaverBehaviour, Leavers
from weldquay.lab.stress.memory import peak_memory_mb

ROOT = Path(__file__).parents[3]
CONFIG_PATH = ROOT / "example" / "config.json"
WORKERS = 6
CLIENT_TIMEOUT_S = 2.0
MAX_ANSWER_LATENESS_S = 0.5  # an answer may come this long after the client's timeout
MAX_START_AFTER_LEAVING_S = 0.1
START_MARGIN_S = 0.05  # tolerated delay of this process
READY_TIMEOUT_S = 10.0
SAMPLE_INTERVAL_S = 0.02
THROTTLE_PERIOD_S = 0.02
SECOND = 1_000_000_000
# Counters that show that connections were closed for others.
LIMIT_COUNTERS = (
    "client_connections_over_limit",
    "client_connections_evicted_reading",
    "client_connections_evicted_idle",
)
Behaviour = CrowdBehaviour | FastBehaviour | LeaverBehaviour


@dataclass(frozen=True, slots=True)
class PlaySettings:
    """The limits of the process, and the size and duration of the misbehaviour."""

    memory_mb: int = 192
    sockets: int = 1024
    clients: int = 600  # of a crowd
    duration_s: float = 5.0
    seed: int = 1
    cpu_fraction: float = 1.0  # the process runs for this fraction of the time
    source: Path = ROOT  # the checkout whose code runs


@dataclass
class PlayResult:
    """The measurements of one play."""

    behaviour: Behaviour
    settings: PlaySettings
    peak_mb: float = 0.0
    exit_status: int | None = None  # None: it ran until the end
    requests: list[SentRequest] = field(default_factory=list)
    started_after_leaving: list[str] = field(default_factory=list)
    repeated_ids: list[str] = field(default_factory=list)
    misbehaving: str = ""
    sent_ids: set[str] = field(default_factory=set)  # requests that reached a worker
    held: int = 0  # connections of a crowd that got neither an answer nor a close in time
    counters: dict[str, float] = field(default_factory=dict)
    tracebacks: int = 0  # in the log of the process
    longest_own_delay_s: float = 0.0  # of the event loop of the stand-ins

    def violations(self) -> list[str]:
        """Return what breaks a rule, one line each."""
        found = []
        if self.peak_mb > self.settings.memory_mb:
            found.append(f"peak memory {self.peak_mb:.0f} MB of {self.settings.memory_mb} MB")
        if self.exit_status is not None:
            found.append(f"the process ended by itself with status {self.exit_status}")
        latest_s = CLIENT_TIMEOUT_S + MAX_ANSWER_LATENESS_S
        for each in self.requests:
            took_s = each.ended_at - each.sent_at
            if (each.outcome is not RequestOutcome.ANSWERED or took_s > latest_s) and not self._was_shut(
                each
            ):
                found.append(f"usual request {each.request_id}: {each.outcome.value} after {took_s:.2f} s")
        found += [
            f"{request_id}: sent on after its client had left" for request_id in self.started_after_leaving
        ]
        found += [f"{request_id}: ran more than once" for request_id in self.repeated_ids]
        if self.tracebacks:
            found.append(f"{self.tracebacks} tracebacks in the log")
        if self.held:
            found.append(f"{self.held} connections neither answered nor closed in 3 s")
        return found

    def _was_shut(self, request: SentRequest) -> bool:
        """Return whether a connection was closed at the limit as the request came; its client comes again."""
        return (
            request.outcome is RequestOutcome.CLOSED_UNANSWERED
            and request.request_id not in self.sent_ids
            and any(self.counters.get(name) for name in LIMIT_COUNTERS)
        )

    def summary(self) -> str:
        """Return the measurements on one line."""
        times = sorted(each.ended_at - each.sent_at for each in self.requests) or [0.0]
        statuses = Counter(each.status for each in self.requests)
        longest_ms = self.counters.get("longest_loop_delay_ms", 0.0)
        return (
            f"{self.behaviour.name.lower().replace('_', '-')}: peak {self.peak_mb:.1f} MB, "
            f"usual clients {dict(sorted(statuses.items()))}, median {times[len(times) // 2] * 1000:.0f} ms, "
            f"slowest {times[-1] * 1000:.0f} ms, loop delay {longest_ms:.0f} ms, {self.misbehaving}, "
            f"own delay {self.longest_own_delay_s * 1000:.0f} ms, {len(self.violations())} violations"
        )


class Play:
    """The processes, stand-ins and clients of one play."""

    def __init__(self, behaviour: Behaviour, settings: PlaySettings, folder: Path, address: str) -> None:
        self.settings = settings
        self.folder = folder
        self.address = address
        self.jobs = JobLog()
        self.discovery = SoakDiscovery()
        self.workers = [SoakWorker(f"w{number}", [address], self.jobs) for number in range(WORKERS)]
        self.clients = SoakClients(settings.seed, [address], CLIENT_TIMEOUT_S)
        self.result = PlayResult(behaviour, settings)
        self.process: asyncio.subprocess.Process | None = None

    async def run(self) -> PlayResult:
        """Run the play and return its measurements."""
        await self.discovery.open(1)
        for worker in self.workers:
            await worker.listen()
            self.discovery.put(worker.worker_id, [worker.address_for(0)])
        process = self.process = await self._start_process()
        await self._wait_until_ready()
        sampling = asyncio.create_task(self._sample(process.pid))
        throttling = asyncio.create_task(self._throttle(process))
        self.clients.start()
        await asyncio.sleep(0.5)
        await self._misbehave()
        await asyncio.sleep(0.5)
        await self.clients.finish()
        sampling.cancel()
        throttling.cancel()
        process.send_signal(signal.SIGCONT)
        await self._end_process(process)
        return self._evaluate()

    def stop(self) -> None:
        """Kill the process if it still runs, and stop the stand-ins."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
        for server in (self.discovery, *self.workers):
            server.stop()

    def _config_document(self) -> dict[str, Any]:
        document: dict[str, Any] = json.loads(CONFIG_PATH.read_text())
        document |= {
            "listen": self.address,
            "mgmt": None,
            "discovery": self.discovery.addresses_by_caller[0],
            "known": self.discovery.list_document(0),
            "limits": {"memory_mb": self.settings.memory_mb, "sockets": self.settings.sockets},
        }
        for service in document["settings"]["services"]:
            service["give_up_ns"] = int(CLIENT_TIMEOUT_S * SECOND)
            service["aim_ns"] = service["give_up_ns"] // 2
        return document

    async def _start_process(self) -> asyncio.subprocess.Process:
        config = self.folder / "config.json"
        config.write_text(json.dumps(self._config_document()))
        environ = {name: value for name, value in os.environ.items() if not name.startswith("GW_")}
        environ |= {"GW_CONFIG": str(config), "TMPDIR": str(self.folder)}
        limit = self.settings.sockets
        with (self.folder / "log").open("wb") as output:
            return await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "weldquay"),
                cwd=self.settings.source,
                env=environ,
                stdout=output,
                stderr=output,
                preexec_fn=partial(resource.setrlimit, resource.RLIMIT_NOFILE, (limit, limit)),
            )

    async def _wait_until_ready(self) -> None:
        async with asyncio.timeout(READY_TIMEOUT_S):
            while True:
                with suppress(OSError, asyncio.IncompleteReadError):
                    if (await request(self.address, encode_message("GET /_health HTTP/1.1"))).status == 200:
                        return
                await asyncio.sleep(SAMPLE_INTERVAL_S)

    async def _sample(self, pid: int) -> None:
        """Record the peak memory of the process and the delays of this event loop."""
        while True:
            due_at = time.monotonic() + SAMPLE_INTERVAL_S
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            self.result.longest_own_delay_s = max(self.result.longest_own_delay_s, time.monotonic() - due_at)
            self.result.peak_mb = max(self.result.peak_mb, peak_memory_mb(pid))

    async def _throttle(self, process: asyncio.subprocess.Process) -> None:
        """Stop and continue the process in turn, since a dispatcher may have only part of a core."""
        fraction = self.settings.cpu_fraction
        while fraction < 1 and process.returncode is None:
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(THROTTLE_PERIOD_S * (1 - fraction))
            process.send_signal(signal.SIGCONT)
            await asyncio.sleep(THROTTLE_PERIOD_S * fraction)

    async def _misbehave(self) -> None:
        duration_s = self.settings.duration_s
        match self.result.behaviour:
            case CrowdBehaviour() as behaviour:
                crowd = Crowd(self.address, behaviour, self.settings.clients)
                await crowd.run(duration_s)
                self.result.held = crowd.outcomes[CrowdOutcome.HELD.value]
                self.result.misbehaving = (
                    f"crowd {dict(crowd.outcomes)}, longest hold {crowd.longest_hold_s:.2f} s"
                )
            case FastBehaviour() as behaviour:
                peer = FastPeer(self.address, behaviour)
                await self._in_thread(partial(peer.run, duration_s))
                self.result.misbehaving = (
                    f"fast peer sent {peer.sent_bytes / 1e6:.1f} MB on {peer.connections} connections"
                )
            case LeaverBehaviour() as behaviour:
                leavers = Leavers(self.address, behaviour)
                await self._in_thread(partial(leavers.run, duration_s))
                await asyncio.sleep(CLIENT_TIMEOUT_S)
                self._judge_leavers(leavers)

    def _in_thread(self, work: Any) -> Awaitable[None]:
        return asyncio.get_running_loop().run_in_executor(None, work)

    def _judge_leavers(self, leavers: Leavers) -> None:
        received = [job for job in self.jobs.received if job.request_id in leavers.left_at]
        counts = Counter(job.request_id for job in received)
        self.result.misbehaving = f"{leavers.clients} clients left, {len(received)} of their jobs were sent"
        if leavers.behaviour is LeaverBehaviour.SAME_ID:
            self.result.repeated_ids = [request_id for request_id, count in counts.items() if count > 1]
            return
        latest_s = MAX_START_AFTER_LEAVING_S + START_MARGIN_S
        self.result.started_after_leaving = [
            job.request_id for job in received if job.received_at > leavers.left_at[job.request_id] + latest_s
        ]

    async def _end_process(self, process: asyncio.subprocess.Process) -> None:
        self.result.peak_mb = max(self.result.peak_mb, peak_memory_mb(process.pid))
        self.result.exit_status = process.returncode
        with suppress(ProcessLookupError):
            process.send_signal(signal.SIGTERM)
        await process.wait()

    def _evaluate(self) -> PlayResult:
        log = (self.folder / "log").read_text()
        self.result.tracebacks = log.count("Traceback")
        if "counters " in log:
            self.result.counters = json.loads(log.rpartition("counters ")[2].splitlines()[0])
        self.result.requests = self.clients.requests
        self.result.sent_ids = {job.request_id for job in self.jobs.received}
        return self.result


async def play(behaviour: Behaviour, settings: PlaySettings) -> PlayResult:
    """Run one play in a temporary folder."""
    sock, address = reserve_address()
    with sock, tempfile.TemporaryDirectory(prefix="weldquay-stress-") as folder:
        one = Play(behaviour, settings, Path(folder), address)
        try:
            return await one.run()
        finally:
            one.stop()


def behaviours(names: Sequence[str]) -> list[Behaviour]:
    """Return the behaviours with these names; "all" stands for each of them.

    Raises:
        KeyError: there is no such behaviour.
    """
    known: dict[str, Behaviour] = {
        each.name.lower().replace("_", "-"): each
        for kind in (CrowdBehaviour, FastBehaviour, LeaverBehaviour)
        for each in kind
    }
    return list(known.values()) if "all" in names else [known[name] for name in names]
