"""Estimate when a worker will have free slots and memory.

A dispatcher knows the expected running time of each of its own attempts, and the worker's load report.  The
report is delayed and does not tell which dispatchers' jobs use the slots.  Jobs of other dispatchers are
modelled as jobs of one slot with exponentially distributed running times: of n such jobs with a given mean,
the i-th is expected to end after mean * (1/n + 1/(n-1) + ...), i terms.

All times are in nanoseconds from now.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Sequence
from dataclasses import dataclass

NEVER = math.inf
OVERDUE_FRACTION = 0.5  # expected remaining time of an overdue job, as a fraction of its age
MIN_REMAINING_FRACTION = 0.05  # minimum remaining time, as a fraction of the expected running time
ROUNDING_TOLERANCE = 1e-6  # slots or units of memory; allows for rounding errors in sums


@dataclass(frozen=True, slots=True)
class RunningJob:
    """A job that is running at the worker, with its expected remaining time."""

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
    """An attempt of this dispatcher at the worker.

    Attributes:
        run_ns: expected running time at the worker.
        age_ns: time since the start; negative if the attempt has not started.
        slots: slots that the job needs.
        memory: units of memory that the job needs.
    """

    run_ns: float
    age_ns: float
    slots: float
    memory: float = 0.0


@dataclass(frozen=True, slots=True)
class ExpectedStart:
    """The expected start of a job.

    Attributes:
        wait_ns: time until the start; `NEVER` if the worker is too small.
        idle_slot_ns: idle slots, integrated over the time until the start.
    """

    wait_ns: float
    idle_slot_ns: float


class Timetable:
    """The expected use of one worker's slots and memory; its queue is served in order of arrival."""

    def __init__(
        self,
        slots: float,
        memory: float,
        running: Sequence[RunningJob],
        queued: Sequence[QueuedJob] = (),
    ) -> None:
        """Describe a worker.

        Args:
            slots: total slots.
            memory: total units of memory.
            running: the running jobs.
            queued: the queued jobs, in order of arrival.
        """
        self.slots = slots
        self.memory = memory
        self.running = running
        self.queued = queued

    def earliest_start(
        self, slots: float, memory: float = 0.0, extra: Sequence[QueuedJob] = ()
    ) -> ExpectedStart:
        """Return the expected start of a job that joins the end of the queue, after the jobs in `extra`."""
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

    Usage that is not due to own attempts is attributed to other dispatchers.

    Args:
        slots: capacity of the worker, in slots and also in units of memory.
        own_attempts: the attempts of this dispatcher.
        used_slots: slots that running and queued jobs need, by the last load report and later sends.
        used_memory: units of memory that these jobs need.
        mean_run_ns: mean running time at this worker.
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
    """Return the expected remaining time of a job.

    For an overdue job, which has run for longer than expected, the remaining time grows with its age.

    Args:
        run_ns: the expected running time.
        age_ns: time since the start.
    """
    overdue_ns = OVERDUE_FRACTION * age_ns if age_ns > run_ns else 0.0
    return max(run_ns - age_ns, overdue_ns, MIN_REMAINING_FRACTION * run_ns)


def _other_dispatchers_jobs(count: int, mean_run_ns: float, memory: float) -> list[RunningJob]:
    """Return the modelled running jobs of other dispatchers, each with one slot and this much memory."""
    jobs = list[RunningJob]()
    end_ns = 0.0
    for still_running in range(count, 0, -1):
        end_ns += mean_run_ns / still_running
        jobs.append(RunningJob(end_ns, 1.0, memory))
    return jobs
