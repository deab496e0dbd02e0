"""Estimate a worker's timetable from the state that its dispatcher keeps."""

from __future__ import annotations

from collections.abc import Callable

from weldquay.candidates.inputs import CandidateInputs
from weldquay.reservations.timetable import OwnAttempt, Timetable, estimate_timetable
from weldquay.state.records import Job, Worker


def worker_timetable(
    worker: Worker, tables: CandidateInputs, expected_run_ns: Callable[[Job, Worker], float]
) -> Timetable:
    """Return the expected use of the worker's slots and memory over time.

    expected_run_ns: of a job at a worker.  Where workers do not report the start of an attempt, it is taken
    to start when it is sent.
    """
    slots = round(worker.estimated_slots if worker.estimated_slots >= 0.5 else tables.mean_slots)
    runtimes = tables.runtimes
    mean_run_ns = runtimes.relative_runtime(worker.entry.kind) * runtimes.mean_runtime_ns()
    reports_start = tables.settings.reports_start
    own_attempts = []
    for attempt in worker.in_flight.values():
        started_ns = attempt.started_ns or (0 if reports_start else attempt.sent_ns)
        age_ns = tables.now_ns - started_ns if started_ns else -1
        request = attempt.job.request
        run_ns = expected_run_ns(attempt.job, worker)
        own_attempts.append(OwnAttempt(run_ns, age_ns, request.slots, request.memory))
    free_slots = slots if worker.free_slots is None else worker.free_slots
    free_memory = slots if worker.free_memory is None else worker.free_memory
    used_slots = slots - free_slots + worker.unreported_slots
    used_memory = slots - free_memory + worker.unreported_memory
    return estimate_timetable(slots, own_attempts, used_slots, used_memory, mean_run_ns)
