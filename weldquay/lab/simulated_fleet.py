"""Model workers in virtual time, and their endpoint list."""

from __future__ import annotations

import heapq
import itertools
from collections import Counter
from collections.abc import Callable, Sequence
from functools import partial

from weldquay import interface as api
from weldquay.lab import model

START_NS = 1000 * model.SECOND
KIND_NUMBERS = {"fast": 0, "standard": 1, "old": 2}


class Timeline:
    """The virtual clock and the scheduled actions."""

    def __init__(self) -> None:
        self.now_ns = START_NS
        self._actions: list[tuple[int, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def schedule_at(self, due_ns: int, action: Callable[[], None]) -> None:
        """Schedule an action at a time, or now if that time has passed."""
        heapq.heappush(self._actions, (max(due_ns, self.now_ns), next(self._order), action))

    def schedule(self, delay_ns: int, action: Callable[[], None]) -> None:
        """Schedule an action after a delay."""
        self.schedule_at(self.now_ns + delay_ns, action)

    def has_action_until(self, end_ns: int | None) -> bool:
        """Return whether an action is scheduled until a time; None: at any time."""
        return bool(self._actions) and (end_ns is None or self._actions[0][0] <= end_ns)

    def run_next(self) -> None:
        """Move the clock to the next action and run it."""
        self.now_ns, _, action = heapq.heappop(self._actions)
        action()


class Fleet:
    """The model workers and their endpoint list; worker numbers start at 1."""

    def __init__(
        self,
        specs: Sequence[model.WorkerSpec],
        timeline: Timeline,
        on_event: Callable[[model.WorkerEvent], None],
    ) -> None:
        self.specs = list(specs)
        self.workers = [model.Worker(spec, timeline.now_ns) for spec in specs]
        self._timeline = timeline
        self._on_event = on_event
        self._next_checks_ns = [-1] * len(specs)
        self._states = [api.WorkerState.READY] * len(specs)
        self._started_ns = [0] * len(specs)

    def entries(self) -> tuple[api.WorkerEntry, ...]:
        """Return the endpoint list."""
        return tuple(
            api.WorkerEntry(
                index + 1,
                self._states[index],
                kind=KIND_NUMBERS.get(spec.kind, 1),
                started_ns=self._started_ns[index],
                start_id=index + 1,
            )
            for index, spec in enumerate(self.specs)
        )

    def offer(self, worker: int, job: model.Job) -> bool:
        """Send a job to a worker; return False if it is rejected."""
        is_accepted = self.workers[worker - 1].offer(self._timeline.now_ns, job)
        if is_accepted:
            self.process_events(worker)
        return is_accepted

    def cancel(self, worker: int, job_id: str) -> None:
        """Cancel a job at a worker."""
        self.workers[worker - 1].cancel(self._timeline.now_ns, job_id)
        self.process_events(worker)

    def report(self, worker: int) -> api.LoadReport:
        """Return a worker's load report."""
        report = self.workers[worker - 1].report(self._timeline.now_ns)
        return api.LoadReport(
            float(report.free_slots), report.free_memory, queued_requests=float(report.queued)
        )

    def probe(self, worker: int) -> tuple[api.Outcome, api.LoadReport | None]:
        """Return the outcome of a probe and its load report, if any."""
        if self._states[worker - 1] is api.WorkerState.GONE:
            return api.Outcome.CONNECT_FAILED, None
        return api.Outcome.OK, self.report(worker)

    def process_events(self, worker: int) -> None:
        """Emit a worker's events up to now, and schedule the next check."""
        index = worker - 1
        now_ns = self._timeline.now_ns
        for event in self.workers[index].advance(now_ns):
            self._on_event(event)
        next_ns = self.workers[index].next_event_ns()
        planned_ns = self._next_checks_ns[index]
        if next_ns >= 0 and (planned_ns <= now_ns or next_ns < planned_ns):
            self._next_checks_ns[index] = next_ns
            self._timeline.schedule_at(next_ns, partial(self._check, worker, next_ns))

    def _check(self, worker: int, due_ns: int) -> None:
        if self._next_checks_ns[worker - 1] == due_ns:  # otherwise an earlier check has replaced it
            self._next_checks_ns[worker - 1] = -1
            self.process_events(worker)

    def drain(self, worker: int) -> None:
        """Start draining a worker."""
        self.workers[worker - 1].drain(self._timeline.now_ns)
        self._states[worker - 1] = api.WorkerState.DRAINING

    def restart(self, worker: int) -> list[model.Job]:
        """Restart a worker and return its lost jobs."""
        self._states[worker - 1] = api.WorkerState.READY
        self._started_ns[worker - 1] = self._timeline.now_ns
        return self.workers[worker - 1].restart(self._timeline.now_ns)

    def mark_gone(self, worker: int) -> None:
        """List a worker as gone."""
        self._states[worker - 1] = api.WorkerState.GONE

    def busy_fraction(self, start_ns: int) -> float:
        """Return the used fraction of all slot time since a time."""
        now_ns = self._timeline.now_ns
        for worker in self.workers:
            worker.advance(now_ns)
        slots = sum(spec.slots for spec in self.specs)
        return sum(worker.busy_ns for worker in self.workers) / (slots * max(1, now_ns - start_ns))

    def starts_by_job(self) -> dict[int, int]:
        """Return how often the job of each arrival was started, including retries."""
        starts: Counter[int] = Counter()
        for worker in self.workers:
            for job_id, times in worker.starts_by_job.items():
                starts[int(job_id.split("-")[0])] += times
        return dict(starts)
