"""The list of workers: following it, asking for it, bans, and what an earlier process knew."""

from __future__ import annotations

from dataclasses import replace

from weldquay.fleet.subset import subset
from weldquay.interface import (
    WorkerBanChanged,
    EndpointListKind,
    EndpointListUpdate,
    Probe,
    WorkerStateRestored,
    SetTimer,
    WorkerSnapshot,
    WorkerState,
)
from weldquay.state.records import Worker
from weldquay.policy.health import Health

MAX_DEPARTED = 2048  # workers kept beside the listed: a list that vanishes and returns loses nothing


class Members(Health):
    """Which workers there are, and which of them this dispatcher turns to first."""

    def _follow(self, event: EndpointListUpdate) -> None:
        """Follow the worker list; a failed call is made again with backoff, well within ask_within."""
        self.lease.apply(self.now_ns, event)
        if event.kind is EndpointListKind.FAILED:
            self._ask_in(
                self.backoff.retry_delay_ns(
                    self.now_ns, self.settings.max_poll_delay_ns, event.since_update_ns, event.failure
                )
            )
        if event.kind not in (
            EndpointListKind.CACHED,
            EndpointListKind.ADDRESS_CHANGED,
            EndpointListKind.FAILED,
        ):
            self.backoff.reset()
            self.next_poll_ns = -1  # an ask that is still due would replace a watch that is well
        if event.kind in (
            EndpointListKind.UNCHANGED,
            EndpointListKind.ADDRESS_CHANGED,
            EndpointListKind.FAILED,
        ):
            return
        self.endpoints_changed = True
        for entry in event.entries:
            worker = self.workers.setdefault(entry.worker, Worker(entry))
            restarted, worker.entry = entry.started_ns > worker.entry.started_ns, entry
            if restarted:
                worker.reset(self.now_ns)
            if restarted or entry.state is WorkerState.GONE:
                self._rescue(worker)
        if event.kind in (EndpointListKind.FULL, EndpointListKind.CACHED):
            named = {entry.worker for entry in event.entries}
            for worker in self.workers.values():
                if worker.entry.worker not in named and worker.entry.state is not WorkerState.GONE:
                    worker.entry = replace(worker.entry, state=WorkerState.GONE)
                    self._rescue(worker)

    def _ask_in(self, wait_ns: int) -> None:
        self.next_poll_ns = self.now_ns + wait_ns
        self.actions += [SetTimer(wait_ns, 3)] * (wait_ns > 0)

    def _sort(self) -> None:
        self.endpoints_changed = False
        departed = [
            number
            for number, worker in self.workers.items()
            if worker.entry.state is WorkerState.GONE and not worker.in_flight
        ]
        for number in departed[:-MAX_DEPARTED]:  # ids that change for days must not add up
            del self.workers[number]
        self.ready_workers = [
            worker
            for number, worker in self.workers.items()
            if worker.entry.state is WorkerState.READY and number not in self.banned_workers
        ]
        at = subset(
            [each.entry.start_id for each in self.ready_workers],
            self.settings.dispatcher_index,
            self.settings.dispatcher_count,
        )
        self.subset = [self.ready_workers[place] for place in at]

    def _ban(self, event: WorkerBanChanged) -> None:
        """Operators take a worker out, whatever the list says, or put it back: cold, and tried soon."""
        worker, self.endpoints_changed = self.workers.get(event.worker), True
        (self.banned_workers.add if event.is_banned else self.banned_workers.discard)(event.worker)
        (self.reinstated.discard if event.is_banned else self.reinstated.add)(event.worker)
        if worker is not None and not event.is_banned:
            worker.reset(self.now_ns)
            worker.reinstated_ns, worker.probe_pending = self.now_ns, self.settings.may_probe
            self.actions += [Probe(event.worker)] * worker.probe_pending

    def snapshots(self) -> dict[int, WorkerSnapshot]:
        """The state of each worker, for the process that replaces this one."""
        return {number: worker.snapshot() for number, worker in self.workers.items()}

    def _restore(self, event: WorkerStateRestored) -> None:
        if (worker := self.workers.get(event.worker)) is not None:
            worker.restore(event.snapshot)
