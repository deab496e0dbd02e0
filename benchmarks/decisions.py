"""The cost of a decision by the number of workers, with 10,000 jobs in hand, holding room on and off.

    python -m benchmarks.decisions

Each line is the median CPU time of one step that takes in a one-slot job and places it, without and with
large jobs that wait and hold room meanwhile.  The arms take turns, so that the machine's drift hits all.
"""

from __future__ import annotations

import statistics
import sys
import time
import tracemalloc

from weldquay import interface as api
from weldquay.policy.dispatcher import Dispatcher
from weldquay.reservations.settings import ReservationSettings

MS, SECOND = 1_000_000, 1_000_000_000
JOBS = 10_000
LARGE = 20  # large jobs that wait


def settings(room: ReservationSettings | None) -> api.Settings:
    """One class that may run again, another of large jobs."""
    rules = api.JobClass(
        latency_objective_ns=10 * SECOND,
        client_timeout_ns=60 * SECOND,
        idempotency=api.Idempotency.IDEMPOTENT,
        runtime_allowance=2.0,
    )
    return api.Settings(
        classes=(rules, rules),
        reports_start=True,
        weights_per_work=True,
        max_attempts=5,
        may_cancel=True,
        reservations=room,
    )


class Bench:
    """A dispatcher with jobs in hand, and one call after another."""

    def __init__(self, workers: int, room: ReservationSettings | None, large: int = 0) -> None:
        self.dispatcher, self.now, self.number = Dispatcher(settings(room), 1), 1000 * SECOND, 0
        self.each = max(1, JOBS // workers)
        entries = tuple(api.WorkerEntry(n + 1, api.WorkerState.READY) for n in range(workers))
        self.dispatcher.step(self.now, [api.EndpointListUpdate(api.EndpointListKind.FULL, entries)])
        self.workers = workers
        for worker in range(1, workers + 1):
            for _ in range(self.each):  # as an earlier process hands them over, which needs no draw
                self.number += 1
                request = api.RequestReceived(self.number, 0, 60 * SECOND, runtime_hint_ns=5 * SECOND)
                self.dispatcher.step(
                    self.now, [api.RequestMigrated(request, self.now, 1, worker, self.now, self.now)]
                )
        self.fresh()
        for _ in range(large):
            self.number += 1
            self.dispatcher.step(
                self.now,
                [
                    api.RequestReceived(
                        self.number, 1, 60 * SECOND, slots=float(self.each + 4), runtime_hint_ns=SECOND
                    )
                ],
            )

    def fresh(self) -> None:
        """Each worker reports four free slots."""
        for worker in range(1, self.workers + 1):
            self.dispatcher.handlers[api.ProbeEnded](
                api.ProbeEnded(
                    worker, api.Outcome.OK, MS, api.LoadReport(4.0, 4.0, busy_requests=float(self.each))
                )
            )

    def call(self) -> float:
        """One call, placed and ended; the seconds that placing it took."""
        self.number, self.now = self.number + 1, self.now + 1000
        request = api.RequestReceived(self.number, 0, 60 * SECOND, runtime_hint_ns=10 * MS)
        begun = time.process_time()
        actions = self.dispatcher.step(self.now, [request])
        took = time.process_time() - begun
        for action in actions:
            if isinstance(action, api.Send):
                self.dispatcher.step(
                    self.now,
                    [api.AttemptEnded(action.request_id, 0, action.worker, api.Outcome.OK, 10 * MS, True)],
                )
        return took


def main() -> int:
    """Print the table."""
    print(
        "| workers | off, us a call | on | on by off | with large jobs held for | holds | scheduler, bytes |"
    )
    print("|" + " --- |" * 7)
    for workers, calls in ((10, 600), (100, 300), (1000, 60), (10000, 8)):
        arms = [
            Bench(workers, None),
            Bench(workers, ReservationSettings()),
            Bench(workers, ReservationSettings(), LARGE),
        ]
        times: list[list[float]] = [[], [], []]
        for number in range(calls):
            for offset in range(len(arms)):
                index = (number + offset) % len(arms)
                times[index].append(arms[index].call())
        off, on, holding = (statistics.median(each) * 1e6 for each in times)
        scheduler = arms[2].dispatcher.scheduler
        print(
            f"| {workers} | {off:.0f} | {on:.0f} | {on / off:.3f} | {holding:.0f} "
            f"| {len(scheduler.by_request)} "
            f"| {memory(workers)} |",
            flush=True,
        )
    return 0


def memory(workers: int) -> int:
    """What the scheduler's holds take at their most."""
    from weldquay.reservations.scheduler import WorkerOffer, BackfillScheduler, CapacityRequest
    from weldquay.reservations.timetable import RunningJob, Timetable

    scheduler = BackfillScheduler(ReservationSettings(max_reservations=256, max_reserved_fraction=0.5))
    told = Timetable(4.0, 4.0, [RunningJob(SECOND, 2.0)])
    tracemalloc.start()
    for number in range(JOBS):
        scheduler.request_capacity(
            0,
            CapacityRequest(number, 4.0, 1.0, 1e9, 1e10, 1.0),
            [WorkerOffer(number % workers, 1e9, lambda: told)],
            workers,
            0.1,
            1,
        )
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size


if __name__ == "__main__":
    sys.exit(main())
