"""The endpoint list: updates from discovery, polls with backoff, bans and the preferred subset."""

from __future__ import annotations

from dataclasses import dataclass, replace

from weldquay.discovery.backoff import Backoff
from weldquay.discovery.list_lease import ListLease
from weldquay.fleet.subset import subset
from weldquay.interface import (
    DiscoveryObservation,
    EndpointListKind,
    EndpointListUpdate,
    Probe,
    SetTimer,
    WatchEndpoints,
    WorkerBanChanged,
    WorkerEntry,
    WorkerState,
)
from weldquay.policy.retries import RetryRules
from weldquay.policy.step_context import StepContext
from weldquay.policy.timers import NOT_SCHEDULED, TimerToken
from weldquay.policy.worker_table import WorkerTable
from weldquay.state.records import Worker

UNCONFIRMED_KINDS = (EndpointListKind.CACHED, EndpointListKind.ADDRESS_CHANGED, EndpointListKind.FAILED)
KINDS_WITHOUT_ENTRIES = (
    EndpointListKind.UNCHANGED,
    EndpointListKind.ADDRESS_CHANGED,
    EndpointListKind.FAILED,
)
COMPLETE_KINDS = (EndpointListKind.FULL, EndpointListKind.CACHED)


@dataclass(eq=False)
class EndpointList:
    """Applies endpoint list updates and bans to the worker table, and schedules polls of discovery.

    Attributes:
        context: the state of the current step.
        table: the workers.
        retries: cancels attempts at workers that were removed or have restarted.
        lease: limits how long the list may be used.
        backoff: computes the delays of polls.
        next_poll_ns: when discovery is polled next; `NOT_SCHEDULED` if no poll is scheduled.
        has_changed: the list or a ban has changed since the table's ready workers were computed.
    """

    context: StepContext
    table: WorkerTable
    retries: RetryRules
    lease: ListLease
    backoff: Backoff
    next_poll_ns: int = NOT_SCHEDULED
    has_changed: bool = False

    def apply_update(self, event: EndpointListUpdate) -> None:
        """Apply an update of the list; a failed poll is retried after a backoff."""
        settings, now_ns = self.context.settings, self.context.now_ns
        self.lease.apply(now_ns, event)
        if event.kind is EndpointListKind.FAILED:
            delay_ns = self.backoff.retry_delay_ns(
                now_ns, settings.max_poll_delay_ns, event.since_update_ns, event.failure
            )
            self.schedule_poll(delay_ns)
        if event.kind not in UNCONFIRMED_KINDS:
            self.backoff.reset()
            self.next_poll_ns = NOT_SCHEDULED  # a poll would replace the working watch
        if event.kind in KINDS_WITHOUT_ENTRIES:
            return
        self.has_changed = True
        for entry in event.entries:
            self._apply_entry(entry)
        if event.kind in COMPLETE_KINDS:
            self._remove_unlisted({entry.worker for entry in event.entries})

    def apply_observation(self, event: DiscoveryObservation) -> None:
        """Update the lease by what connection attempts between two polls have shown."""
        self.lease.record_observation(event.from_ns, event.until_ns, event.is_reachable)

    def _apply_entry(self, entry: WorkerEntry) -> None:
        worker = self.table.workers.setdefault(entry.worker, Worker(entry))
        has_restarted = entry.started_ns > worker.entry.started_ns
        worker.entry = entry
        if has_restarted:
            worker.reset(self.context.now_ns)
        if has_restarted or entry.state is WorkerState.GONE:
            self.retries.cancel_retryable(worker)

    def _remove_unlisted(self, listed: set[int]) -> None:
        for worker_number, worker in self.table.workers.items():
            if worker_number not in listed and worker.entry.state is not WorkerState.GONE:
                worker.entry = replace(worker.entry, state=WorkerState.GONE)
                self.retries.cancel_retryable(worker)

    def schedule_poll(self, delay_ns: int) -> None:
        """Schedule a poll of discovery after `delay_ns`; 0 means in this step."""
        self.next_poll_ns = self.context.now_ns + delay_ns
        if delay_ns > 0:
            self.context.actions.append(SetTimer(delay_ns, TimerToken.DISCOVERY_POLL))

    def schedule_first_poll(self) -> None:
        """Schedule the first poll of the process: with a cached list after a random delay, else at once."""
        has_list = bool(self.table.ready_workers)
        self.schedule_poll(self.backoff.initial_delay_ns(self.context.now_ns) if has_list else 0)

    def poll_if_due(self, has_queued_requests: bool) -> None:
        """Poll discovery if a poll is due; queued requests cut short the random delay of the first poll."""
        now_ns = self.context.now_ns
        if (
            has_queued_requests
            and not self.lease.granted
            and not self.backoff.consecutive_failures
            and self.next_poll_ns > now_ns
        ):
            self.next_poll_ns = now_ns
        if self.context.settings.polls_endpoint_list and 0 <= self.next_poll_ns <= now_ns:
            self.next_poll_ns = NOT_SCHEDULED
            self.context.actions.append(WatchEndpoints())

    def refresh_ready_workers(self) -> None:
        """Recompute the ready workers and the preferred subset."""
        self.has_changed = False
        settings, table = self.context.settings, self.table
        table.discard_removed()
        table.update_ready_workers()
        positions = subset(
            [worker.entry.start_id for worker in table.ready_workers],
            settings.dispatcher_index,
            settings.dispatcher_count,
        )
        table.subset = [table.ready_workers[position] for position in positions]

    def apply_ban_change(self, event: WorkerBanChanged) -> None:
        """Ban a worker, whatever its state in the list, or lift its ban.

        A worker whose ban is lifted may have been restarted, so it warms up again. It is probed at once and
        gets the next eligible request.
        """
        self.has_changed = True
        if event.is_banned:
            self.table.banned_workers.add(event.worker)
            self.table.reinstated.discard(event.worker)
            return
        self.table.banned_workers.discard(event.worker)
        self.table.reinstated.add(event.worker)
        if (worker := self.table.workers.get(event.worker)) is not None:
            worker.reset(self.context.now_ns)
            worker.reinstated_ns = self.context.now_ns
            worker.probe_pending = self.context.settings.may_probe
            if worker.probe_pending:
                self.context.actions.append(Probe(event.worker))

    def reconfigure(self) -> None:
        """Apply the current settings."""
        settings = self.context.settings
        self.backoff.dispatcher_count = settings.dispatcher_count
        self.backoff.is_local_agent = settings.has_local_discovery_agent
        self.lease.is_local_agent = settings.has_local_discovery_agent
