"""The list of workers: following it, asking for it, bans, and what an earlier process knew."""

from __future__ import annotations

from dataclasses import replace

from weldquay.fleet.subset import subset
from weldquay.interface import (
    Banned,
    ListKind,
    Membership,
    Probe,
    Recalled,
    SetTimer,
    WorkerSnapshot,
    WorkerState,
)
from weldquay.ledger.records import Worker
from weldquay.policy.health import Health

MAX_DEPARTED = 2048  # workers kept beside the listed: a list that vanishes and returns loses nothing


class Members(Health):
    """Which workers there are, and which of them this dispatcher turns to first."""

    def _follow(self, event: Membership) -> None:
        """Follow the worker list; a failed call is made again with backoff, well within ask_within."""
        self.lease.apply(self.now_ns, event)
        if event.kind is ListKind.FAILED:
            self._ask_in(
                self.backoff.retry_delay_ns(
                    self.now_ns, self.settings.ask_within_ns, event.silent_ns, event.failure
                )
            )
        if event.kind not in (ListKind.CACHED, ListKind.MOVED, ListKind.FAILED):
            self.backoff.reset()
            self.ask_ns = -1  # an ask that is still due would replace a watch that is well
        if event.kind in (ListKind.CURRENT, ListKind.MOVED, ListKind.FAILED):
            return
        self.unsorted = True
        for entry in event.entries:
            worker = self.workers.setdefault(entry.worker, Worker(entry))
            restarted, worker.entry = entry.started_ns > worker.entry.started_ns, entry
            if restarted:
                worker.renew(self.now_ns)
            if restarted or entry.state is WorkerState.GONE:
                self._rescue(worker)
        if event.kind in (ListKind.FULL, ListKind.CACHED):
            named = {entry.worker for entry in event.entries}
            for worker in self.workers.values():
                if worker.entry.worker not in named and worker.entry.state is not WorkerState.GONE:
                    worker.entry = replace(worker.entry, state=WorkerState.GONE)
                    self._rescue(worker)

    def _ask_in(self, wait_ns: int) -> None:
        self.ask_ns = self.now_ns + wait_ns
        self.out += [SetTimer(wait_ns, 3)] * (wait_ns > 0)

    def _sort(self) -> None:
        self.unsorted = False
        departed = [
            number
            for number, worker in self.workers.items()
            if worker.entry.state is WorkerState.GONE and not worker.live
        ]
        for number in departed[:-MAX_DEPARTED]:  # ids that change for days must not add up
            del self.workers[number]
        self.ready = [
            worker
            for number, worker in self.workers.items()
            if worker.entry.state is WorkerState.READY and number not in self.banned
        ]
        at = subset([each.entry.common for each in self.ready], self.settings.me, self.settings.dispatchers)
        self.home = [self.ready[place] for place in at]

    def _ban(self, event: Banned) -> None:
        """Operators take a worker out, whatever the list says, or put it back: cold, and tried soon."""
        worker, self.unsorted = self.workers.get(event.worker), True
        (self.banned.add if event.on else self.banned.discard)(event.worker)
        (self.back.discard if event.on else self.back.add)(event.worker)
        if worker is not None and not event.on:
            worker.renew(self.now_ns)
            worker.back_ns, worker.probe_out = self.now_ns, self.settings.may_probe
            self.out += [Probe(event.worker)] * worker.probe_out

    def snapshots(self) -> dict[int, WorkerSnapshot]:
        """The state of each worker, for the process that replaces this one."""
        return {number: worker.snapshot() for number, worker in self.workers.items()}

    def _restore(self, event: Recalled) -> None:
        if (worker := self.workers.get(event.worker)) is not None:
            worker.restore(event.snapshot)
