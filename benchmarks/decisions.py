"""CPU time of a placement decision, by number of workers, with 10,000 jobs running.

    python -m benchmarks.decisions

Each row has the median CPU time of a step that receives and places a job of one slot: without reservations,
with reservations, and while large queued jobs hold reservations.  The three configurations are measured
alternately, so that slow changes in the speed of the machine affect all of them.
"""

from __future__ import annotations

import statistics
import sys
import time
import tracemalloc

from weldquay import interface as api
from weldquay.policy.dispatcher import Dispatcher
from weldquay.reservations.scheduler import BackfillScheduler, CapacityRequest, FleetLoad, WorkerOffer
from weldquay.reservations.settings import ReservationSettings
from weldquay.reservations.timetable import RunningJob, Timetable

MS, SECOND = 1_000_000, 1_000_000_000  # nanoseconds
RUNNING_JOBS = 10_000
LARGE_JOBS = 20  # queued jobs that need more slots than are free
FREE_SLOTS = 4.0  # number of free slots in the load report of each worker


def create_settings(reservations: ReservationSettings | None) -> api.Settings:
    """Return settings with two equal idempotent job classes, the second of which is for the large jobs."""
    job_class = api.JobClass(
        latency_objective_ns=10 * SECOND,
        client_timeout_ns=60 * SECOND,
        idempotency=api.Idempotency.IDEMPOTENT,
        runtime_allowance=2.0,
    )
    return api.Settings(
        classes=(job_class, job_class),
        reports_start=True,
        weights_per_work=True,
        max_attempts=5,
        may_cancel=True,
        reservations=reservations,
    )


class PlacementBenchmark:
    """A dispatcher with many running jobs, which receives and completes one request at a time."""

    def __init__(
        self, worker_count: int, reservations: ReservationSettings | None, large_jobs: int = 0
    ) -> None:
        self.dispatcher = Dispatcher(create_settings(reservations), 1)
        self.now_ns = 1000 * SECOND
        self.last_request = 0
        self.worker_count = worker_count
        self.jobs_per_worker = max(1, RUNNING_JOBS // worker_count)
        entries = tuple(api.WorkerEntry(number + 1, api.WorkerState.READY) for number in range(worker_count))
        self.dispatcher.step(self.now_ns, [api.EndpointListUpdate(api.EndpointListKind.FULL, entries)])
        self.add_running_jobs()
        self.send_load_reports()
        self.add_large_jobs(large_jobs)

    def next_request(self, job_class: int, runtime_hint_ns: int, slots: float = 1.0) -> api.RequestReceived:
        """Return the event of the next client request."""
        self.last_request += 1
        return api.RequestReceived(
            self.last_request, job_class, 60 * SECOND, slots=slots, runtime_hint_ns=runtime_hint_ns
        )

    def add_running_jobs(self) -> None:
        """Add running jobs to each worker as jobs migrated from an older process, which need no decision."""
        for worker in range(1, self.worker_count + 1):
            for _ in range(self.jobs_per_worker):
                request = self.next_request(0, 5 * SECOND)
                migrated = api.RequestMigrated(request, self.now_ns, 1, worker, self.now_ns, self.now_ns)
                self.dispatcher.step(self.now_ns, [migrated])

    def send_load_reports(self) -> None:
        """Pass a load report of each worker with FREE_SLOTS free slots to the dispatcher."""
        report = api.LoadReport(FREE_SLOTS, FREE_SLOTS, busy_requests=float(self.jobs_per_worker))
        for worker in range(1, self.worker_count + 1):
            self.dispatcher.handlers[api.ProbeEnded](api.ProbeEnded(worker, api.Outcome.OK, MS, report))

    def add_large_jobs(self, job_count: int) -> None:
        """Add jobs that need more slots than any worker has free, so that they are queued."""
        for _ in range(job_count):
            request = self.next_request(1, SECOND, slots=self.jobs_per_worker + FREE_SLOTS)
            self.dispatcher.step(self.now_ns, [request])

    def measure_placement(self) -> float:
        """Place and complete one request; return the CPU time in seconds of the step that placed it."""
        request = self.next_request(0, 10 * MS)
        self.now_ns += 1000
        start_s = time.process_time()
        actions = self.dispatcher.step(self.now_ns, [request])
        elapsed_s = time.process_time() - start_s
        for action in actions:
            if isinstance(action, api.Send):
                ended = api.AttemptEnded(action.request_id, 0, action.worker, api.Outcome.OK, 10 * MS, True)
                self.dispatcher.step(self.now_ns, [ended])
        return elapsed_s


def main() -> int:
    """Print the table, one row for each number of workers."""
    print("| workers | off, us per job | on | on/off | with large jobs | reservations | scheduler, bytes |")
    print("|" + " --- |" * 7)
    for worker_count, request_count in ((10, 600), (100, 300), (1000, 60), (10000, 8)):
        variants = [
            PlacementBenchmark(worker_count, None),
            PlacementBenchmark(worker_count, ReservationSettings()),
            PlacementBenchmark(worker_count, ReservationSettings(), LARGE_JOBS),
        ]
        cpu_times_s: list[list[float]] = [[], [], []]
        for number in range(request_count):
            for offset in range(len(variants)):
                variant = (number + offset) % len(variants)
                cpu_times_s[variant].append(variants[variant].measure_placement())
        off_us, on_us, large_us = (statistics.median(cpu_times) * 1e6 for cpu_times in cpu_times_s)
        reservation_count = len(variants[2].dispatcher.scheduler.by_request)
        print(
            f"| {worker_count} | {off_us:.0f} | {on_us:.0f} | {on_us / off_us:.3f} | {large_us:.0f} "
            f"| {reservation_count} | {measure_scheduler_bytes(worker_count)} |",
            flush=True,
        )
    return 0


def measure_scheduler_bytes(worker_count: int) -> int:
    """Return the bytes that a scheduler allocates for its maximum number of reservations."""
    scheduler = BackfillScheduler(ReservationSettings(max_reservations=256, max_reserved_fraction=0.5))
    timetable = Timetable(4.0, 4.0, [RunningJob(SECOND, 2.0)])
    tracemalloc.start()
    for number in range(RUNNING_JOBS):
        scheduler.request_capacity(
            0,
            CapacityRequest(number, 4.0, 1.0, 1e9, 1e10, 1.0),
            [WorkerOffer(number % worker_count, 1e9, lambda: timetable)],
            FleetLoad(worker_count, 0.1, 1),
        )
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size


if __name__ == "__main__":
    sys.exit(main())
