"""The plan of a soak round, drawn from its seed: which faults occur, where and when."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

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
        return "\n".join(lines)


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
