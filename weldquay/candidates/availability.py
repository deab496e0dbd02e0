"""Estimate a worker's timetable from the state that the dispatcher keeps of it."""

from __future__ import annotations

from collections.abc import Callable

from weldquay.candidates.inputs import CandidateInputs
from weldquay.reservations.timetable import OwnAttempt, Timetable, estimate_timetable
from weldquay.state.records import Job, Worker


def worker_timetable(
    worker: Worker, inputs: CandidateInputs, expected_run_ns: Callable[[Job, Worker], float]
) -> Timetable:
    """Return the expected use of the worker's slots and memory over time.

    If workers do not report the start of an attempt, the attempt counts as started when it was sent.

    Args:
        worker: the worker.
        inputs: the state that the index reads.
        expected_run_ns: returns the expected running time of a job at a worker, in nanoseconds.
    """
    slots = round(worker.estimated_slots if worker.estimated_slots >= 0.5 else inputs.mean_slots)
    runtimes = inputs.runtimes
    mean_run_ns = runtimes.relative_runtime(worker.entry.kind) * runtimes.mean_runtime_ns()
    reports_start = inputs.settings.reports_start
    own_attempts = []
    for attempt in worker.in_flight.values():
        started_ns = attempt.started_ns or (0 if reports_start else attempt.sent_ns)
        age_ns = inputs.now_ns - started_ns if started_ns else -1
        request = attempt.job.request
        run_ns = expected_run_ns(attempt.job, worker)
        own_attempts.append(OwnAttempt(run_ns, age_ns, request.slots, request.memory))
    free_slots = slots if worker.free_slots is None else worker.free_slots
    free_memory = slots if worker.free_memory is None else worker.free_memory
    used_slots = slots - free_slots + worker.unreported_slots
    used_memory = slots - free_memory + worker.unreported_memory
    return estimate_timetable(slots, own_attempts, used_slots, used_memory, mean_run_ns)
