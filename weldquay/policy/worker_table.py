"""The workers that a dispatcher keeps state about, and the sets of them that other components use."""

from __future__ import annotations

from dataclasses import dataclass, field

from weldquay.interface import WorkerSnapshot, WorkerState, WorkerStateRestored
from weldquay.state.records import Worker
from weldquay.state.worker_state import restore_snapshot, take_snapshot

MAX_REMOVED_WORKERS = 2048  # removed workers whose state is kept, in case a later list contains them again


@dataclass(slots=True, eq=False)
class WorkerTable:
    """All workers by number, and sets of them.

    Attributes:
        workers: all workers, in the order in which they were first listed.
        ready_workers: workers that are listed as ready and not banned; each change creates a new list.
        subset: the ready workers that this dispatcher prefers; replaced together with `ready_workers`.
        banned_workers: numbers of the workers that operators have banned.
        reinstated: numbers of the workers whose ban was lifted and that have got no request since.
        recently_reported: workers with a load report that is still used, oldest report first.
    """

    workers: dict[int, Worker] = field(default_factory=dict)
    ready_workers: list[Worker] = field(default_factory=list)
    subset: list[Worker] = field(default_factory=list)
    banned_workers: set[int] = field(default_factory=set)
    reinstated: set[int] = field(default_factory=set)
    recently_reported: dict[int, Worker] = field(default_factory=dict)

    def snapshots(self) -> dict[int, WorkerSnapshot]:
        """Return the state of each worker, by number, for the process that replaces this one."""
        return {worker_number: take_snapshot(worker) for worker_number, worker in self.workers.items()}

    def restore(self, event: WorkerStateRestored) -> None:
        """Restore the state that the older process had of a worker; an unknown worker is ignored."""
        if (worker := self.workers.get(event.worker)) is not None:
            restore_snapshot(worker, event.snapshot)

    def discard_removed(self) -> None:
        """Discard removed workers without attempts in flight, except for the last `MAX_REMOVED_WORKERS`."""
        removed = [
            worker_number
            for worker_number, worker in self.workers.items()
            if worker.entry.state is WorkerState.GONE and not worker.in_flight
        ]
        for worker_number in removed[:-MAX_REMOVED_WORKERS]:
            del self.workers[worker_number]

    def update_ready_workers(self) -> None:
        """Recompute `ready_workers`."""
        self.ready_workers = [
            worker
            for worker_number, worker in self.workers.items()
            if worker.entry.state is WorkerState.READY and worker_number not in self.banned_workers
        ]
