"""Estimate when a worker will have free slots and memory.

A dispatcher has an expected running time for each of its own attempts, and the worker's load report, which is
late and does not name the dispatchers whose jobs use the slots.  Jobs of other dispatchers are modelled as
jobs of one slot with exponentially distributed running times: of n such jobs with a given mean, the i-th is
expected to end after mean * (1/n + 1/(n-1) + ...), i terms.

All times are nanoseconds from now.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Sequence
from dataclasses import dataclass

NEVER = math.inf
OVERDUE_FRACTION = 0.5  # an overdue job is expected to run on for this fraction of its age
MIN_REMAINING_FRACTION = 0.05  # of the expected running time: lower bound of what remains of a job
ROUNDING_TOLERANCE = 1e-6  # slots or units of memory lost in floating-point sums


@dataclass(frozen=True, slots=True)
class RunningJob:
    """A job that runs at the worker, with its expected remaining time."""

    remaining_ns: float
    slots: float
    memory: float = 0.0


@dataclass(frozen=True, slots=True)
class QueuedJob:
    """A job in the worker's queue, with its expected running time."""

    run_ns: float
    slots: float
    memory: float = 0.0


@dataclass(frozen=True, slots=True)
class OwnAttempt:
    """An attempt of this dispatcher: its expected running time at the worker, and its age.

    age_ns is negative where the attempt has not started.
    """

    run_ns: float
    age_ns: float
    slots: float
    memory: float = 0.0


@dataclass(frozen=True, slots=True)
class ExpectedStart:
    """The expected start of a job.

    wait_ns: time until the start, NEVER where the worker is too small; idle_slot_ns: slots times the time for
    which they are idle until then.
    """

    wait_ns: float
    idle_slot_ns: float


class Timetable:
    """Slots and memory of one worker from now on; its queue is served in order of arrival."""

    def __init__(
        self,
        slots: float,
        memory: float,
        running: Sequence[RunningJob],
        queued: Sequence[QueuedJob] = (),
    ) -> None:
        """slots, memory: the worker's total capacity."""
        self.slots = slots
        self.memory = memory
        self.running = running
        self.queued = queued

    def earliest_start(
        self, slots: float, memory: float = 0.0, extra: Sequence[QueuedJob] = ()
    ) -> ExpectedStart:
        """Return when a job would start that joins the queue behind all others and behind `extra`."""
        if slots > self.slots + ROUNDING_TOLERANCE or memory > self.memory + ROUNDING_TOLERANCE:
            return ExpectedStart(NEVER, 0.0)
        free_slots = self.slots - sum(job.slots for job in self.running)
        free_memory = self.memory - sum(job.memory for job in self.running)
        # Heap of (end, sequence number, slots, memory).
        ends = [(job.remaining_ns, number, job.slots, job.memory) for number, job in enumerate(self.running)]
        heapq.heapify(ends)
        sequence = len(ends)
        elapsed_ns = 0.0
        idle_slot_ns = 0.0
        for queued_job in (*self.queued, *extra, QueuedJob(0.0, slots, memory)):
            needed_slots = min(queued_job.slots, self.slots)
            needed_memory = min(queued_job.memory, self.memory)
            while ends and (
                free_slots + ROUNDING_TOLERANCE < needed_slots
                or free_memory + ROUNDING_TOLERANCE < needed_memory
            ):
                end_ns, _, released_slots, released_memory = heapq.heappop(ends)
                idle_slot_ns += max(0.0, free_slots) * max(0.0, end_ns - elapsed_ns)
                elapsed_ns = max(elapsed_ns, end_ns)
                free_slots += released_slots
                free_memory += released_memory
            free_slots -= queued_job.slots
            free_memory -= queued_job.memory
            sequence += 1
            heapq.heappush(
                ends, (elapsed_ns + queued_job.run_ns, sequence, queued_job.slots, queued_job.memory)
            )
        return ExpectedStart(elapsed_ns, idle_slot_ns)


def estimate_timetable(
    slots: float,
    own_attempts: Sequence[OwnAttempt],
    used_slots: float,
    used_memory: float,
    mean_run_ns: float,
) -> Timetable:
    """Estimate a worker's timetable from its load report and this dispatcher's attempts.

    used_slots, used_memory: needs of all its jobs, queued ones included, by the last load report and what was
    sent since; mean_run_ns: mean running time at this worker.  What the own attempts do not need is
    attributed to other dispatchers.
    """
    running = [
        RunningJob(remaining_ns(attempt.run_ns, attempt.age_ns), attempt.slots, attempt.memory)
        for attempt in own_attempts
        if attempt.age_ns >= 0
    ]
    own_queued = [
        QueuedJob(attempt.run_ns, attempt.slots, attempt.memory)
        for attempt in own_attempts
        if attempt.age_ns < 0
    ]
    other_count = max(0, round(used_slots - sum(attempt.slots for attempt in own_attempts)))
    other_memory = max(0.0, used_memory - sum(attempt.memory for attempt in own_attempts))
    memory_each = other_memory / max(1, other_count)
    other_running = min(other_count, max(0, round(slots - sum(job.slots for job in running))))
    running += _other_dispatchers_jobs(other_running, mean_run_ns, memory_each)
    other_queued = [QueuedJob(mean_run_ns, 1.0, memory_each)] * (other_count - other_running)
    return Timetable(slots, slots, running, [*other_queued, *own_queued])


def remaining_ns(run_ns: float, age_ns: float) -> float:
    """Return the expected remaining time of a job of this age.

    run_ns: its expected running time.  Once the job has run for longer, what remains grows with its age.
    """
    overdue_ns = OVERDUE_FRACTION * age_ns if age_ns > run_ns else 0.0
    return max(run_ns - age_ns, overdue_ns, MIN_REMAINING_FRACTION * run_ns)


def _other_dispatchers_jobs(count: int, mean_run_ns: float, memory: float) -> list[RunningJob]:
    """Return the expected jobs of other dispatchers, of one slot each; memory: of each."""
    jobs = list[RunningJob]()
    end_ns = 0.0
    for still_running in range(count, 0, -1):
        end_ns += mean_run_ns / still_running
        jobs.append(RunningJob(end_ns, 1.0, memory))
    return jobs
