"""Executes one round: its processes, its load and the faults of its plan."""

from __future__ import annotations

import asyncio
import json
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable
from contextlib import ExitStack
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from weldquay.lab.site import reserve_address
from weldquay.lab.soak.checks import Records, check
from weldquay.lab.soak.clients import CLIENTS, RequestOutcome, SoakClients
from weldquay.lab.soak.held_requests import MAX_RECOVERY_S, held_time_fraction, is_held_request
from weldquay.lab.soak.misuse import MisuseRecords
from weldquay.lab.soak.plan import (
    BRIEF_RECOVERY_S,
    CONNECTION_FLOOD_SIZE,
    DISPATCHERS,
    FAULT_PHASE_S,
    WARM_UP_S,
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
MIN_STALE_OUTAGE_S = 7.0  # longer than the maximum staleness of the endpoint list (6 s)
RECOVERY_POLL_S = 0.1
OWN_DELAY_INTERVAL_S = 0.02
SECOND = 1_000_000_000


@dataclass(frozen=True, slots=True)
class RoundResult:
    """The violations and statistics of a round."""

    violations: list[str]
    requests: int
    statuses: Counter[int]
    closed_unanswered: int
    min_margin_s: float  # shortest time that a process had left before SIGKILL
    held_fraction: float  # fraction of the clients' time spent on requests held without a valid lease
    peak_mb: float  # peak memory of the largest process
    fired_faults: int  # call faults that fired
    longest_own_delay_s: float  # of the event loop of the clients and stand-ins

    def summary(self) -> str:
        """Return the statistics on one line."""
        statuses = ", ".join(f"{status}: {count}" for status, count in sorted(self.statuses.items()))
        return (
            f"{self.requests} requests ({statuses}), {self.closed_unanswered} closed without a response, "
            f"minimum margin before SIGKILL {self.min_margin_s:.2f} s, "
            f"requests held without a valid lease {self.held_fraction:.0%} of the clients' time, "
            f"peak memory {self.peak_mb:.0f} MB, {self.fired_faults} call faults fired, "
            f"longest own delay {self.longest_own_delay_s:.2f} s"
        )


async def run_plan(plan: Plan) -> RoundResult:
    """Run a plan and check its records.

    Raises:
        TimeoutError: the round does not end in time.
    """
    with tempfile.TemporaryDirectory(prefix="weldquay-soak-") as folder, ExitStack() as sockets:
        addresses = []
        for _ in range(DISPATCHERS):
            sock, address = reserve_address()
            sockets.enter_context(sock)
            addresses.append(address)
        soak_round = Round(plan, Path(folder), addresses)
        try:
            async with asyncio.timeout(ROUND_TIMEOUT_S):
                return await soak_round.run()
        finally:
            soak_round.stop()


class Round:
    """The processes, stand-ins and clients of one round."""

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
        self.misuse = MisuseRecords()
        self.longest_own_delay_s = 0.0
        self.process_locks = [asyncio.Lock() for _ in range(DISPATCHERS)]

    async def run(self) -> RoundResult:
        """Start everything, apply the faults, terminate all processes and check the records."""
        await self.discovery.open(DISPATCHERS)
        for worker in self.workers:
            await worker.listen()
            self.discovery.put(worker.worker_id, [worker.address_for(n) for n in range(DISPATCHERS)])
        for number in range(DISPATCHERS):
            document = self._config_document(number)
            folder = self.folder / f"d{number}"
            call_faults = self.plan.misuse.call_faults[number] if self.plan.misuse else ()
            self.dispatchers.append(
                SoakDispatcher(folder, document, self.plan.client_timeout_s, self.processes, call_faults)
            )
        await asyncio.gather(*(dispatcher.serve() for dispatcher in self.dispatchers))
        self.clients.start()
        if self.plan.has_connection_flood:
            await self.clients.open_idle_connections(CONNECTION_FLOOD_SIZE)
        await asyncio.sleep(WARM_UP_S)
        measuring = asyncio.create_task(self._measure_own_delay())
        await asyncio.gather(*self._faults(), asyncio.sleep(FAULT_PHASE_S))
        measuring.cancel()
        await asyncio.gather(*(self._wait_until_recovered(each) for each in self.dispatchers))
        await asyncio.gather(*(each.terminate(each.process) for each in self.dispatchers if each.process))
        await self.clients.finish()
        return self._result()

    async def _measure_own_delay(self) -> None:
        """Record the delays of this event loop, which also runs the clients and stand-ins."""
        while True:
            due_at = time.monotonic() + OWN_DELAY_INTERVAL_S
            await asyncio.sleep(OWN_DELAY_INTERVAL_S)
            self.longest_own_delay_s = max(self.longest_own_delay_s, time.monotonic() - due_at)

    def stop(self) -> None:
        """Kill the remaining processes and stop the stand-ins."""
        for dispatcher in self.dispatchers:
            dispatcher.kill()
        for server in (self.discovery, *self.workers):
            server.stop()

    def _config_document(self, number: int) -> dict[str, Any]:
        document: dict[str, Any] = json.loads(CONFIG_PATH.read_text())
        document |= {
            "name": f"d{number}",
            "listen": self.addresses[number],
            "mgmt": None,
            "discovery": self.discovery.addresses_by_caller[number],
            "known": self.discovery.list_document(number),
            "seed": f"{self.plan.seed + number:x}",
        }
        document["settings"] |= {"group_size": DISPATCHERS, "me": number}
        if self.plan.misuse is not None:
            document["limits"] |= {
                "memory_mb": self.plan.misuse.memory_mb,
                "sockets": self.plan.misuse.sockets,
            }
            # Otherwise a retry need not wait until an attempt is cancelled, which failing calls delay.
            document["settings"]["caps"] |= {"may_duplicate": False}
        for service in document["settings"]["services"]:
            service["give_up_ns"] = int(self.plan.client_timeout_s * SECOND)
            service["aim_ns"] = service["give_up_ns"] // 2
        return document

    def _faults(self) -> list[Awaitable[None]]:
        faults: list[Awaitable[None]] = [self._apply_discovery_fault()]
        faults += [self._apply_process_fault(fault) for fault in self.plan.process_faults]
        faults += [self._apply_worker_fault(fault) for fault in self.plan.worker_faults]
        if self.plan.misuse is not None:
            faults += [
                self.misuse.run(each, self.addresses[each.number]) for each in self.plan.misuse.misuses
            ]
            if self.plan.misuse.kill_at_s is not None:
                faults.append(self._kill(self.plan.misuse.killed, self.plan.misuse.kill_at_s))
        return faults

    async def _apply_process_fault(self, fault: TimedFault) -> None:
        await asyncio.sleep(fault.start_s)
        async with self.process_locks[fault.number]:
            await self.dispatchers[fault.number].apply_fault(fault)

    async def _kill(self, number: int, start_s: float) -> None:
        await asyncio.sleep(start_s)
        async with self.process_locks[number]:  # a restart that is under way ends first
            await self.dispatchers[number].kill_and_restart()

    async def _apply_worker_fault(self, fault: TimedFault) -> None:
        await asyncio.sleep(fault.start_s)
        worker = self.workers[fault.number]
        assert isinstance(fault.fault, WorkerFault)
        if fault.fault is WorkerFault.DRAIN:
            await self.discovery.drain(worker.worker_id)
            return
        worker.fault = fault.fault
        await asyncio.sleep(fault.duration_s)
        worker.fault = None

    async def _wait_until_recovered(self, dispatcher: SoakDispatcher) -> None:
        """Wait until a dispatcher completes a request after all faults; record a timeout."""
        try:
            async with asyncio.timeout(MAX_RECOVERY_S):
                while not await self.clients.is_served(dispatcher.address):  # noqa: ASYNC110
                    await asyncio.sleep(RECOVERY_POLL_S)
        except TimeoutError:
            self.processes.not_recovered.append(
                f"{dispatcher.name}: completed no request for {MAX_RECOVERY_S} s after the last fault"
            )

    async def _apply_discovery_fault(self) -> None:
        await asyncio.sleep(self.plan.discovery_start_s)
        first_s, second_s, *_ = durations_s = self.plan.discovery_durations_s
        match self.plan.discovery_fault:
            case DiscoveryFault.DOWN:
                await self._discovery_outage(2 * first_s)
            case DiscoveryFault.BRIEF_RECOVERY:
                self.discovery.go_down()
                await asyncio.sleep(first_s)
                await self.discovery.come_up()
                await self.discovery.drain(self.workers[-1].worker_id)
                await asyncio.sleep(BRIEF_RECOVERY_S)
                await self._discovery_outage(MIN_STALE_OUTAGE_S + second_s)
            case DiscoveryFault.FLAPPING:
                for duration_s in durations_s:
                    await self._discovery_outage(duration_s / 2)
                    await asyncio.sleep(duration_s / 4)
            case DiscoveryFault.SILENT:
                self.discovery.silence_watches()

    async def _discovery_outage(self, duration_s: float) -> None:
        self.discovery.go_down()
        await asyncio.sleep(duration_s)
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
            # A crowd fills the connection limit too.
            self.plan.has_connection_flood or self.plan.misuse is not None,
            self.plan.misuse.memory_mb if self.plan.misuse is not None else None,
        )
        kills = [kill for dispatcher in self.dispatchers for kill in dispatcher.kills]
        return RoundResult(
            check(records) + self.misuse.check(self.jobs, kills),
            len(requests),
            Counter(request.status for request in requests if request.outcome is RequestOutcome.ANSWERED),
            sum(request.outcome is RequestOutcome.CLOSED_UNANSWERED for request in requests),
            min((end.margin_s for end in self.processes.ends), default=0.0),
            self._held_fraction(),
            max(each.peak_mb for each in self.dispatchers),
            sum(each.count_fired_faults() for each in self.dispatchers),
            self.longest_own_delay_s,
        )

    def _held_fraction(self) -> float:
        without_lease = {each.address: each.intervals_without_lease() for each in self.dispatchers}
        held = [
            request
            for request in self.clients.requests
            if is_held_request(request, without_lease[request.dispatcher], self.discovery.outages)
        ]
        return held_time_fraction(self.clients.requests, held, CLIENTS)
