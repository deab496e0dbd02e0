"""When a worker will have room: its slots and memory over time, as far as one dispatcher can know.

A dispatcher sees its own attempts, each with an expected running time, and the worker's own figures, which
are late and tell nothing of whose jobs hold the slots.  What others hold is taken as jobs of one slot and the
mean running time, without memory of their age (exponential): of n such the i-th ends after
mean * (1/n + 1/(n-1) + ...), i terms.

Times are nanoseconds from now on.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Sequence
from dataclasses import dataclass

NEVER = math.inf
OVERDUE = 0.5  # a job that runs beyond its time goes on for so much of the time that it has run
LEAST_LEFT = 0.05  # what is left of a job is never less than this part of its time
SLACK = 1e-6  # guards against sums of floating-point shares of memory that miss by a rounding


@dataclass(frozen=True, slots=True)
class Running:
    """A job that runs, and how much longer it is expected to."""

    left_ns: float
    slots: float
    memory: float = 0.0


@dataclass(frozen=True, slots=True)
class Waiting:
    """A job that waits at the worker for its turn, and how long it is expected to run."""

    run_ns: float
    slots: float
    memory: float = 0.0


def others(slots: int, mean_ns: float, memory: float = 0.0) -> list[Running]:
    """What is to be expected of slots that other dispatchers' jobs hold; memory: of each."""
    told, at_ns = list[Running](), 0.0
    for left in range(slots, 0, -1):
        at_ns += mean_ns / left
        told.append(Running(at_ns, 1.0, memory))
    return told


@dataclass(frozen=True, slots=True)
class Start:
    """The expected start of a job: when, and how much slot time lies idle before it, for others to fill."""

    at_ns: float
    idle_ns: float


class Timetable:
    """One worker's slots and memory from now on, its queue served in order."""

    def __init__(
        self,
        slots: float,
        memory: float,
        running: Sequence[Running],
        waiting: Sequence[Waiting] = (),
    ) -> None:
        self.slots, self.memory = slots, memory
        self.running, self.waiting = running, waiting

    def start(self, slots: float, memory: float = 0.0, extra: Sequence[Waiting] = ()) -> Start:
        """When a job would start that came behind all that waits, and behind `extra`.

        NEVER where the worker is too small for it.
        """
        if slots > self.slots + SLACK or memory > self.memory + SLACK:
            return Start(NEVER, 0.0)
        free = self.slots - sum(each.slots for each in self.running)
        free_memory = self.memory - sum(each.memory for each in self.running)
        ends = [(each.left_ns, number, each.slots, each.memory) for number, each in enumerate(self.running)]
        heapq.heapify(ends)
        number, now_ns, idle_ns = len(ends), 0.0, 0.0
        for job in (*self.waiting, *extra, Waiting(0.0, slots, memory)):
            need, need_memory = min(job.slots, self.slots), min(job.memory, self.memory)
            while ends and (free + SLACK < need or free_memory + SLACK < need_memory):
                at_ns, _, freed, freed_memory = heapq.heappop(ends)
                idle_ns += max(0.0, free) * max(0.0, at_ns - now_ns)
                now_ns = max(now_ns, at_ns)
                free, free_memory = free + freed, free_memory + freed_memory
            free, free_memory, number = free - job.slots, free_memory - job.memory, number + 1
            heapq.heappush(ends, (now_ns + job.run_ns, number, job.slots, job.memory))
        return Start(now_ns, idle_ns)


@dataclass(frozen=True, slots=True)
class Own:
    """An own attempt at a worker: its expected running time there, and its age; -1: not begun."""

    run_ns: float
    age_ns: float
    slots: float
    memory: float = 0.0


def left_ns(run_ns: float, age_ns: float) -> float:
    """How much longer a job runs that has run for age_ns and was expected to for run_ns.

    Beyond that its hint is known to be wrong: the longer it has run, the longer it is likely to go on.
    """
    return max(run_ns - age_ns, OVERDUE * age_ns if age_ns > run_ns else 0.0, LEAST_LEFT * run_ns)


def seen(
    slots: float,
    own: Sequence[Own],
    used: float,
    used_memory: float,
    mean_ns: float,
) -> Timetable:
    """A worker's timetable from what its dispatcher sees.

    used, used_memory: what all jobs hold by the worker's own figures and what was sent since, those that wait
    included; mean_ns: the usual running time there.  What is not the own attempts' is others'.
    """
    running = [
        Running(left_ns(each.run_ns, each.age_ns), each.slots, each.memory)
        for each in own
        if each.age_ns >= 0
    ]
    waiting = [Waiting(each.run_ns, each.slots, each.memory) for each in own if each.age_ns < 0]
    theirs = max(0, round(used - sum(each.slots for each in own)))
    their_memory = max(0.0, used_memory - sum(each.memory for each in own)) / max(1, theirs)
    fit = min(theirs, max(0, round(slots - sum(each.slots for each in running))))
    running += others(fit, mean_ns, their_memory)
    return Timetable(
        slots, slots, running, [*[Waiting(mean_ns, 1.0, their_memory)] * (theirs - fit), *waiting]
    )
