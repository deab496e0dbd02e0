"""The plan of one round, drawn from its seed: what happens to whom, and when."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

DISPATCHERS = 2
WORKERS = 4
LENGTH_S = 9.0  # of the faults; then all processes are ended
START_S = 1.0  # before the first fault
CLIENT_TIMEOUTS_S = (0.6, 1.5, 3.0)  # SIGKILL follows SIGTERM after the longest one and 0.7 s
CROWD_FRACTION = 0.3  # of the rounds
CROWD_SIZE = 400  # idle connections to each dispatcher, more than it may hold
MOMENT_S = 0.7  # in which discovery is back, longer than it can be unnoticed


class ProcessFault(Enum):
    """What is done to a dispatcher process."""

    RELOADS = "several SIGHUP"
    RESTART = "SIGTERM twice, then a new process"
    EARLY_END = "SIGTERM twice, a new process, and SIGTERM right after its start"
    HOT_RESTART = "a newer process beside it, and SIGTERM"
    HOT_RESTART_RACE = "a newer process beside it, and SIGTERM at once"


class DiscoveryFault(Enum):
    """What happens to discovery."""

    NONE = "nothing"
    DOWN = "refuses connections"
    MOMENT = "refuses connections, is back for a moment with a drain, refuses them again"
    FLAPS = "refuses connections several times"
    SILENT = "its open watches fall silent"


class WorkerFault(Enum):
    """What happens to a worker."""

    HANG = "answers no request"
    ACCEPT_AND_HANG = "accepts jobs and does not run them"
    RESET = "resets the connection of each job"
    DRAIN = "is listed as draining, and finishes what it has"


@dataclass(frozen=True, slots=True)
class TimedFault:
    """A fault of a dispatcher or a worker, with its number; times in seconds from the start of the faults."""

    at_s: float
    number: int
    fault: ProcessFault | WorkerFault
    length_s: float


@dataclass(frozen=True, slots=True)
class Plan:
    """A round; discovery_lengths_s: of the parts of its fault."""

    seed: int
    client_timeout_s: float
    has_crowd: bool
    process_faults: tuple[TimedFault, ...]
    worker_faults: tuple[TimedFault, ...]
    discovery_fault: DiscoveryFault
    discovery_at_s: float
    discovery_lengths_s: tuple[float, ...]

    def describe(self) -> str:
        """One line for each part."""
        lines = [f"clients wait {self.client_timeout_s} s{', crowd' if self.has_crowd else ''}"]
        lines.append(
            f"{self.discovery_at_s:5.2f} s discovery {self.discovery_fault.value} {self.discovery_lengths_s}"
        )
        for kind, faults in (("dispatcher", self.process_faults), ("worker", self.worker_faults)):
            lines += [
                f"{each.at_s:5.2f} s {kind} {each.number}: {each.fault.value}, {each.length_s:.2f} s"
                for each in faults
            ]
        return "\n".join(lines)


def draw_plan(seed: int) -> Plan:
    """Return the plan of a seed."""
    draw = random.Random(seed)
    process_faults = [
        TimedFault(draw.uniform(0, LENGTH_S / 2), number, draw.choice(list(ProcessFault)), draw.random())
        for number in range(DISPATCHERS)
    ]
    victims = draw.sample(range(WORKERS), draw.randint(1, 2))  # at least two stay well
    worker_faults = [
        TimedFault(draw.uniform(0, LENGTH_S / 2), number, draw.choice(list(WorkerFault)), draw.uniform(1, 4))
        for number in victims
    ]
    return Plan(
        seed=seed,
        client_timeout_s=draw.choice(CLIENT_TIMEOUTS_S),
        has_crowd=draw.random() < CROWD_FRACTION,
        process_faults=tuple(process_faults),
        worker_faults=tuple(worker_faults),
        discovery_fault=draw.choice(list(DiscoveryFault)),
        discovery_at_s=draw.uniform(0, 2),
        discovery_lengths_s=tuple(draw.uniform(0.3, 3) for _ in range(4)),
    )
