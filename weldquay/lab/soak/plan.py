"""The plan of a soak round, drawn from its seed: which faults occur, where and when."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

from weldquay.lab.soak.shim import CallFault
from weldquay.lab.stress.crowds import CrowdBehaviour
from weldquay.lab.stress.fast_peer import FastBehaviour
from weldquay.lab.stress.leavers import LeaverBehaviour

DISPATCHERS = 2
WORKERS = 4
FAULT_PHASE_S = 9.0  # minimum duration of the phase in which faults occur
WARM_UP_S = 1.0  # duration of the load before the fault phase
CLIENT_TIMEOUTS_S = (0.6, 1.5, 3.0)  # one per round; SIGKILL follows SIGTERM after it plus 0.7 s
CONNECTION_FLOOD_FRACTION = 0.3  # fraction of the rounds that have a connection flood
CONNECTION_FLOOD_SIZE = 400  # idle connections to each dispatcher, above its connection limit
BRIEF_RECOVERY_S = 0.7  # longer than dispatchers may fail to notice that discovery is up (0.5 s)


class ProcessFault(Enum):
    """A fault of a dispatcher process."""

    RELOAD = "several SIGHUPs"
    RESTART = "SIGTERM twice, then a new process"
    EARLY_TERMINATION = "SIGTERM twice, then a new process that gets SIGTERM right after its start"
    HOT_RESTART = "hot restart, then SIGTERM to the older process"
    HOT_RESTART_RACE = "hot restart, with SIGTERM to the older process without waiting for the newer one"


class DiscoveryFault(Enum):
    """A fault of discovery."""

    NONE = "nothing"
    DOWN = "refuses connections"
    BRIEF_RECOVERY = "refuses connections, recovers briefly and lists a drain, refuses them again"
    FLAPPING = "refuses connections several times"
    SILENT = "sends nothing more on its open watches"


class WorkerFault(Enum):
    """A fault of a worker."""

    HANG = "does not respond to requests"
    ACCEPT_AND_HANG = "accepts jobs and does not run them"
    RESET = "resets the connection of each job"
    DRAIN = "is listed as draining, and completes its jobs"


@dataclass(frozen=True, slots=True)
class TimedFault:
    """A fault of the dispatcher or worker `number`; start_s counts from the start of the fault phase."""

    start_s: float
    number: int
    fault: ProcessFault | WorkerFault
    duration_s: float


@dataclass(frozen=True, slots=True)
class TimedMisuse:
    """Misbehaving clients of the dispatcher `number`; clients: the size of a crowd."""

    start_s: float
    number: int
    behaviour: CrowdBehaviour | FastBehaviour | LeaverBehaviour
    duration_s: float
    clients: int


@dataclass(frozen=True, slots=True)
class MisusePlan:
    """The additional part of a round with misbehaving clients.

    Attributes:
        misuses: the misbehaving clients.
        memory_mb: the memory limit of the dispatchers.
        sockets: their limit on descriptors.
        kill_at_s: when a dispatcher gets SIGKILL, from the start of the fault phase; None: none does.
        killed: the number of that dispatcher.
        call_faults: the failing system calls of each dispatcher's processes.
    """

    misuses: tuple[TimedMisuse, ...]
    memory_mb: int
    sockets: int
    kill_at_s: float | None
    killed: int
    call_faults: tuple[tuple[CallFault, ...], ...]

    def describe(self) -> list[str]:
        """Return a description with one line per fault."""
        lines = [f"limits {self.memory_mb} MB, {self.sockets} descriptors"]
        lines += [
            f"{each.start_s:5.2f} s clients of dispatcher {each.number}: {each.behaviour.value}, "
            f"{each.duration_s:.2f} s, crowds of {each.clients}"
            for each in self.misuses
        ]
        if self.kill_at_s is not None:
            lines.append(f"{self.kill_at_s:5.2f} s dispatcher {self.killed}: SIGKILL")
        for number, faults in enumerate(self.call_faults):
            lines += [
                f"{fault.start_s:5.2f} s after its starts dispatcher {number}: {fault.call.value} "
                f"{fault.value}, {fault.duration_s:.2f} s, {fault.probability:.0%}"
                for fault in faults
            ]
        return lines


@dataclass(frozen=True, slots=True)
class Plan:
    """The plan of a round; discovery_durations_s: durations of the phases of the discovery fault."""

    seed: int
    client_timeout_s: float
    has_connection_flood: bool
    process_faults: tuple[TimedFault, ...]
    worker_faults: tuple[TimedFault, ...]
    discovery_fault: DiscoveryFault
    discovery_start_s: float
    discovery_durations_s: tuple[float, ...]
    misuse: MisusePlan | None = None

    def describe(self) -> str:
        """Return a description with one line per fault."""
        lines = [
            f"client timeout {self.client_timeout_s} s"
            f"{', connection flood' if self.has_connection_flood else ''}"
        ]
        lines.append(
            f"{self.discovery_start_s:5.2f} s discovery {self.discovery_fault.value} "
            f"{self.discovery_durations_s}"
        )
        for kind, faults in (("dispatcher", self.process_faults), ("worker", self.worker_faults)):
            lines += [
                f"{each.start_s:5.2f} s {kind} {each.number}: {each.fault.value}, {each.duration_s:.2f} s"
                for each in faults
            ]
        return "\n".join(lines + (self.misuse.describe() if self.misuse else []))


def draw_plan(seed: int) -> Plan:
    """Return the plan of a seed, which is always the same."""
    rng = random.Random(seed)
    process_faults = [
        TimedFault(rng.uniform(0, FAULT_PHASE_S / 2), number, rng.choice(list(ProcessFault)), rng.random())
        for number in range(DISPATCHERS)
    ]
    worker_numbers = rng.sample(range(WORKERS), rng.randint(1, 2))  # at least two workers have no fault
    worker_faults = [
        TimedFault(
            rng.uniform(0, FAULT_PHASE_S / 2), number, rng.choice(list(WorkerFault)), rng.uniform(1, 4)
        )
        for number in worker_numbers
    ]
    return Plan(
        seed=seed,
        client_timeout_s=rng.choice(CLIENT_TIMEOUTS_S),
        has_connection_flood=rng.random() < CONNECTION_FLOOD_FRACTION,
        process_faults=tuple(process_faults),
        worker_faults=tuple(worker_faults),
        discovery_fault=rng.choice(list(DiscoveryFault)),
        discovery_start_s=rng.uniform(0, 2),
        discovery_durations_s=tuple(rng.uniform(0.3, 3) for _ in range(4)),
    )
