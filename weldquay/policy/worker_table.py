"""The workers that a dispatcher has state of, and the sets of them that the other parts select from."""

from __future__ import annotations

from dataclasses import dataclass, field

from weldquay.interface import WorkerSnapshot, WorkerState, WorkerStateRestored
from weldquay.state.records import Worker
from weldquay.state.worker_state import restore_snapshot, take_snapshot

MAX_REMOVED_WORKERS = 2048  # workers kept after they left the list, in case it lists them again


@dataclass(slots=True, eq=False)
class WorkerTable:
    """The workers by number.

    Attributes:
        workers: every worker with state, in the order in which they were first listed.
        ready_workers: listed as ready and not banned; replaced by a new list at each change.
        subset: the ready workers that this dispatcher prefers; replaced together with `ready_workers`.
        banned_workers: numbers of those that operators have banned.
        reinstated: numbers of those whose ban was lifted and that have got no request since.
        recently_reported: workers whose load report counts, oldest report first.
    """

    workers: dict[int, Worker] = field(default_factory=dict)
    ready_workers: list[Worker] = field(default_factory=list)
    subset: list[Worker] = field(default_factory=list)
    banned_workers: set[int] = field(default_factory=set)
    reinstated: set[int] = field(default_factory=set)
    recently_reported: dict[int, Worker] = field(default_factory=dict)

    def snapshots(self) -> dict[int, WorkerSnapshot]:
        """Return the state of each worker, for the process that replaces this one."""
        return {number: take_snapshot(worker) for number, worker in self.workers.items()}

    def restore(self, event: WorkerStateRestored) -> None:
        """Restore the state that an earlier process had of a worker."""
        if (worker := self.workers.get(event.worker)) is not None:
            restore_snapshot(worker, event.snapshot)

    def discard_removed(self) -> None:
        """Drop the oldest workers that left the list and have no attempt in flight, beyond the limit."""
        removed = [
            number
            for number, worker in self.workers.items()
            if worker.entry.state is WorkerState.GONE and not worker.in_flight
        ]
        for number in removed[:-MAX_REMOVED_WORKERS]:
            del self.workers[number]

    def update_ready_workers(self) -> None:
        """Compute `ready_workers` anew."""
        self.ready_workers = [
            worker
            for number, worker in self.workers.items()
            if worker.entry.state is WorkerState.READY and number not in self.banned_workers
        ]
