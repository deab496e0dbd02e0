"""Cost of a decision by the number of workers, with 10,000 jobs running, reservations off and on.

    python -m benchmarks.decisions

Each row has the median CPU time of one step that receives a one-slot job and places it: without reservations,
with them, and with large queued jobs that hold reservations meanwhile.  The arms take turns, so that drift of
the machine affects all of them.
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

MS, SECOND = 1_000_000, 1_000_000_000
RUNNING_JOBS = 10_000
LARGE_JOBS = 20  # queued jobs that need more slots than are free
FREE_SLOTS = 4.0  # of each worker


def settings(reservations: ReservationSettings | None) -> api.Settings:
    """Return settings with two equal idempotent classes, the second for large jobs."""
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


class Bench:
    """A dispatcher with running jobs, which receives one request after another."""

    def __init__(self, workers: int, reservations: ReservationSettings | None, large_jobs: int = 0) -> None:
        self.dispatcher = Dispatcher(settings(reservations), 1)
        self.now_ns = 1000 * SECOND
        self.last_request = 0
        self.workers = workers
        self.jobs_per_worker = max(1, RUNNING_JOBS // workers)
        entries = tuple(api.WorkerEntry(number + 1, api.WorkerState.READY) for number in range(workers))
        self.dispatcher.step(self.now_ns, [api.EndpointListUpdate(api.EndpointListKind.FULL, entries)])
        self.add_running_jobs()
        self.send_load_reports()
        self.add_large_jobs(large_jobs)

    def next_request(self, job_class: int, runtime_hint_ns: int, slots: float = 1.0) -> api.RequestReceived:
        """Return the event of a new request."""
        self.last_request += 1
        return api.RequestReceived(
            self.last_request, job_class, 60 * SECOND, slots=slots, runtime_hint_ns=runtime_hint_ns
        )

    def add_running_jobs(self) -> None:
        """Fill each worker with jobs of an older process, which are placed without a decision."""
        for worker in range(1, self.workers + 1):
            for _ in range(self.jobs_per_worker):
                request = self.next_request(0, 5 * SECOND)
                migrated = api.RequestMigrated(request, self.now_ns, 1, worker, self.now_ns, self.now_ns)
                self.dispatcher.step(self.now_ns, [migrated])

    def send_load_reports(self) -> None:
        """Report FREE_SLOTS free slots of each worker."""
        report = api.LoadReport(FREE_SLOTS, FREE_SLOTS, busy_requests=float(self.jobs_per_worker))
        for worker in range(1, self.workers + 1):
            self.dispatcher.handlers[api.ProbeEnded](api.ProbeEnded(worker, api.Outcome.OK, MS, report))

    def add_large_jobs(self, count: int) -> None:
        """Queue jobs that no worker has enough free slots for."""
        for _ in range(count):
            request = self.next_request(1, SECOND, slots=self.jobs_per_worker + FREE_SLOTS)
            self.dispatcher.step(self.now_ns, [request])

    def measure_request(self) -> float:
        """Place and end one request; return the CPU seconds of the step that placed it."""
        request = self.next_request(0, 10 * MS)
        self.now_ns += 1000
        begun_s = time.process_time()
        actions = self.dispatcher.step(self.now_ns, [request])
        elapsed_s = time.process_time() - begun_s
        for action in actions:
            if isinstance(action, api.Send):
                ended = api.AttemptEnded(action.request_id, 0, action.worker, api.Outcome.OK, 10 * MS, True)
                self.dispatcher.step(self.now_ns, [ended])
        return elapsed_s


def main() -> int:
    """Print the table."""
    print(
        "| workers | off, us a request | on | on by off | with large jobs | reservations | scheduler, bytes |"
    )
    print("|" + " --- |" * 7)
    for workers, requests in ((10, 600), (100, 300), (1000, 60), (10000, 8)):
        arms = [
            Bench(workers, None),
            Bench(workers, ReservationSettings()),
            Bench(workers, ReservationSettings(), LARGE_JOBS),
        ]
        times_s: list[list[float]] = [[], [], []]
        for number in range(requests):
            for offset in range(len(arms)):
                arm = (number + offset) % len(arms)
                times_s[arm].append(arms[arm].measure_request())
        off_us, on_us, large_us = (statistics.median(arm_times) * 1e6 for arm_times in times_s)
        reservations = len(arms[2].dispatcher.scheduler.by_request)
        print(
            f"| {workers} | {off_us:.0f} | {on_us:.0f} | {on_us / off_us:.3f} | {large_us:.0f} "
            f"| {reservations} | {scheduler_bytes(workers)} |",
            flush=True,
        )
    return 0


def scheduler_bytes(workers: int) -> int:
    """Return the memory of a scheduler's reservations at their maximum number."""
    scheduler = BackfillScheduler(ReservationSettings(max_reservations=256, max_reserved_fraction=0.5))
    timetable = Timetable(4.0, 4.0, [RunningJob(SECOND, 2.0)])
    tracemalloc.start()
    for number in range(RUNNING_JOBS):
        scheduler.request_capacity(
            0,
            CapacityRequest(number, 4.0, 1.0, 1e9, 1e10, 1.0),
            [WorkerOffer(number % workers, 1e9, lambda: timetable)],
            FleetLoad(workers, 0.1, 1),
        )
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size


if __name__ == "__main__":
    sys.exit(main())
