"""One round: its processes, its load and its faults in the order of the plan."""

from __future__ import annotations

import asyncio
import json
import tempfile
from collections import Counter
from collections.abc import Awaitable
from contextlib import ExitStack
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from weldquay.lab.site import reserve
from weldquay.lab.soak.checks import Records, check
from weldquay.lab.soak.clients import RequestOutcome, SoakClients
from weldquay.lab.soak.plan import (
    CROWD_SIZE,
    DISPATCHERS,
    LENGTH_S,
    MOMENT_S,
    START_S,
    WORKERS,
    DiscoveryFault,
    Plan,
    TimedFault,
    WorkerFault,
)
from weldquay.lab.soak.processes import ProcessLog, SoakDispatcher
from weldquay.lab.soak.stand_ins import JobLog, SoakDiscovery, SoakWorker

CONFIG_PATH = Path(__file__).parents[3] / "example" / "config.json"
ROUND_TIMEOUT_S = 90.0
STALE_OUTAGE_S = 7.0  # an outage that outlasts the time after which a change counts as reported
SECOND = 1_000_000_000


@dataclass(frozen=True, slots=True)
class RoundResult:
    """The violations of a round, and its figures."""

    violations: list[str]
    requests: int
    statuses: Counter[int]
    closed: int
    least_margin_s: float  # of all processes before SIGKILL

    def line(self) -> str:
        """The figures on one line."""
        statuses = ", ".join(f"{status}: {count}" for status, count in sorted(self.statuses.items()))
        return (
            f"{self.requests} requests ({statuses}), {self.closed} closed unread, "
            f"least margin before SIGKILL {self.least_margin_s:.2f} s"
        )


async def play(plan: Plan) -> RoundResult:
    """Play a plan, and check it.

    Raises:
        TimeoutError: the round does not end.
    """
    with tempfile.TemporaryDirectory(prefix="weldquay-soak-") as folder, ExitStack() as sockets:
        addresses = []
        for _ in range(DISPATCHERS):
            sock, address = reserve()
            sockets.enter_context(sock)
            addresses.append(address)
        soak_round = Round(plan, Path(folder), addresses)
        try:
            async with asyncio.timeout(ROUND_TIMEOUT_S):
                return await soak_round.run()
        finally:
            soak_round.stop()


class Round:
    """The parts of one round."""

    def __init__(self, plan: Plan, folder: Path, addresses: list[str]) -> None:
        self.plan = plan
        self.folder = folder
        self.addresses = addresses
        self.jobs = JobLog()
        self.processes = ProcessLog()
        self.discovery = SoakDiscovery()
        self.workers = [SoakWorker(f"w{number}", addresses, self.jobs) for number in range(WORKERS)]
        self.clients = SoakClients(plan.seed, addresses, plan.client_timeout_s)
        self.dispatchers: list[SoakDispatcher] = []

    async def run(self) -> RoundResult:
        """Start everything, play the faults, end all processes and check."""
        await self.discovery.open(DISPATCHERS)
        for worker in self.workers:
            await worker.listen()
            self.discovery.put(worker.worker_id, [worker.address_for(n) for n in range(DISPATCHERS)])
        for number in range(DISPATCHERS):
            document = self._document(number)
            folder = self.folder / f"d{number}"
            self.dispatchers.append(
                SoakDispatcher(folder, document, self.plan.client_timeout_s, self.processes)
            )
        await asyncio.gather(*(dispatcher.serve() for dispatcher in self.dispatchers))
        self.clients.start()
        if self.plan.has_crowd:
            await self.clients.gather_crowd(CROWD_SIZE)
        await asyncio.sleep(START_S)
        await asyncio.gather(*self._faults(), asyncio.sleep(LENGTH_S))
        await asyncio.gather(*(each.end(each.process) for each in self.dispatchers if each.process))
        await self.clients.finish()
        return self._result()

    def stop(self) -> None:
        """End what still runs."""
        for dispatcher in self.dispatchers:
            dispatcher.kill()
        for server in (self.discovery, *self.workers):
            server.stop()

    def _document(self, number: int) -> dict[str, Any]:
        document: dict[str, Any] = json.loads(CONFIG_PATH.read_text())
        document |= {
            "name": f"d{number}",
            "listen": self.addresses[number],
            "mgmt": None,
            "discovery": self.discovery.addresses_by_caller[number],
            "known": self.discovery.told(number),
            "seed": f"{self.plan.seed + number:x}",
        }
        document["settings"] |= {"group_size": DISPATCHERS, "me": number}
        for service in document["settings"]["services"]:
            service["give_up_ns"] = int(self.plan.client_timeout_s * SECOND)
            service["aim_ns"] = service["give_up_ns"] // 2
        return document

    def _faults(self) -> list[Awaitable[None]]:
        faults: list[Awaitable[None]] = [self._play_discovery()]
        faults += [self._play_process(fault) for fault in self.plan.process_faults]
        faults += [self._play_worker(fault) for fault in self.plan.worker_faults]
        return faults

    async def _play_process(self, fault: TimedFault) -> None:
        await asyncio.sleep(fault.at_s)
        await self.dispatchers[fault.number].play(fault)

    async def _play_worker(self, fault: TimedFault) -> None:
        await asyncio.sleep(fault.at_s)
        worker = self.workers[fault.number]
        assert isinstance(fault.fault, WorkerFault)
        if fault.fault is WorkerFault.DRAIN:
            await self.discovery.drain(worker.worker_id)
            return
        worker.fault = fault.fault
        await asyncio.sleep(fault.length_s)
        worker.fault = None

    async def _play_discovery(self) -> None:
        await asyncio.sleep(self.plan.discovery_at_s)
        first_s, second_s, *_ = lengths_s = self.plan.discovery_lengths_s
        match self.plan.discovery_fault:
            case DiscoveryFault.DOWN:
                await self._discovery_outage(2 * first_s)
            case DiscoveryFault.MOMENT:
                self.discovery.go_down()
                await asyncio.sleep(first_s)
                await self.discovery.come_up()
                await self.discovery.drain(self.workers[-1].worker_id)
                await asyncio.sleep(MOMENT_S)
                await self._discovery_outage(STALE_OUTAGE_S + second_s)
            case DiscoveryFault.FLAPS:
                for length_s in lengths_s:
                    await self._discovery_outage(length_s / 2)
                    await asyncio.sleep(length_s / 4)
            case DiscoveryFault.SILENT:
                self.discovery.fall_silent()

    async def _discovery_outage(self, length_s: float) -> None:
        self.discovery.go_down()
        await asyncio.sleep(length_s)
        await self.discovery.come_up()

    def _result(self) -> RoundResult:
        requests = self.clients.requests
        records = Records(
            requests,
            self.jobs,
            self.discovery,
            self.processes,
            self.dispatchers,
            self.plan.client_timeout_s,
            self.plan.has_crowd,
        )
        return RoundResult(
            check(records),
            len(requests),
            Counter(request.status for request in requests if request.outcome is RequestOutcome.ANSWERED),
            sum(request.outcome is RequestOutcome.CLOSED for request in requests),
            min((end.margin_s for end in self.processes.ends), default=0.0),
        )
