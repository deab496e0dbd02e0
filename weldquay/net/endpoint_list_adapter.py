"""Passes the endpoint list from the client of discovery to the decision module.

The adapter maps worker ids, zones and machine kinds to the numbers of the decision module, holds the
operators' bans, and logs when requests are held because the lease on the list has expired.
"""

from __future__ import annotations

import logging
import time
import zlib
from dataclasses import replace

from weldquay import interface as api
from weldquay.limits import MAX_ENDPOINTS
from weldquay.net.config import Config
from weldquay.net.counter_names import DISCOVERY_FAILURE_COUNTERS, LIST_COUNTERS
from weldquay.net.counters import Counters
from weldquay.net.event_queue import EventQueue
from weldquay.net.messages import Endpoint, EndpointList, encode_text
from weldquay.net.name_numbers import assign_numbers
from weldquay.net.requests import WorkerClient
from weldquay.policy.dispatcher import Dispatcher
from weldquay.policy.worker_table import MAX_REMOVED_WORKERS

log = logging.getLogger(__name__)

NS_PER_MS = 1_000_000
# Listed workers, those that the decision module keeps after their removal, and as many that it has dropped.
MAX_WORKER_NUMBERS = MAX_ENDPOINTS + 2 * MAX_REMOVED_WORKERS


class EndpointListAdapter:
    """Converts endpoint lists to events; `workers` must be set before the first list."""

    workers: WorkerClient

    def __init__(
        self, config: Config, counters: Counters, dispatcher: Dispatcher, events: EventQueue
    ) -> None:
        self._counters = counters
        self._dispatcher = dispatcher
        self._events = events
        # Computed once, so that the decision module always sees the same start time of a worker.
        self._clock_offset_ns = time.time_ns() - time.monotonic_ns()
        self._zone_numbers = assign_numbers(config.zones)
        self._kind_numbers = assign_numbers(config.kinds)
        self._last_number = 0
        self._has_logged_expiry = False
        self.worker_numbers: dict[str, int] = {}
        self.worker_ids: dict[int, str] = {}
        self.banned_worker_ids: set[str] = set()  # ids of workers that operators have banned

    def reconfigure(self, config: Config) -> None:
        """Number the new zones and machine kinds."""
        for zone in config.zones:
            self._zone_numbers[zone]
        for kind in config.kinds:
            self._kind_numbers[kind]

    def apply(
        self, update: EndpointList, kind: api.EndpointListKind, lease: api.LeaseState = api.NO_LEASE
    ) -> None:
        """Apply a list or changes to it; lease: for a cached list, that of an earlier process."""
        self._counters.add(LIST_COUNTERS[kind])
        self._discard_departed()
        update = self._number_endpoints(update)
        self.workers.apply_endpoint_list(update)
        entries = tuple(self._worker_entry(endpoint) for endpoint in update.endpoints)
        self._events.enqueue(api.EndpointListUpdate(kind, entries, lease=lease))

    def _number_endpoints(self, update: EndpointList) -> EndpointList:
        """Number the workers of an update; return it without new workers beyond MAX_WORKER_NUMBERS."""
        accepted = []
        for endpoint in update.endpoints:
            if endpoint.id in self.worker_numbers or len(self.worker_numbers) < MAX_WORKER_NUMBERS:
                self.worker_number(endpoint.id)
                accepted.append(endpoint)
        if excess := len(update.endpoints) - len(accepted):
            self._counters.add("endpoint_lists_over_limit")
            log.warning("%d workers of the endpoint list ignored: there are too many", excess)
            return replace(update, endpoints=tuple(accepted))
        return update

    def on_unchanged(self) -> None:
        """Report that discovery has no changes."""
        self._events.enqueue(api.EndpointListUpdate(api.EndpointListKind.UNCHANGED))

    def on_address_changed(self) -> None:
        """Report that a reload has changed discovery's address."""
        self._events.enqueue(api.EndpointListUpdate(api.EndpointListKind.ADDRESS_CHANGED))

    def on_failure(self, since_update_ns: int, failure: api.DiscoveryFailure) -> None:
        """Report a failed poll of discovery, or the end of its watch.

        since_update_ns: time since the last complete value from discovery, or since the start of the poll.
        """
        self._counters.add(LIST_COUNTERS[api.EndpointListKind.FAILED])
        self._counters.add(DISCOVERY_FAILURE_COUNTERS[failure])
        self._events.enqueue(
            api.EndpointListUpdate(
                api.EndpointListKind.FAILED, since_update_ns=since_update_ns, failure=failure
            )
        )

    def on_observation(self, observation: api.DiscoveryObservation) -> None:
        """Report what connection attempts to discovery have shown since the last poll."""
        self._events.enqueue(observation)

    @property
    def send_deadline_ns(self) -> int:
        """The time on the monotonic clock from which on no attempt may be sent, since the list may be stale.

        0: the list has no lease, so no attempt may be sent.
        """
        return self._dispatcher.lease.send_deadline_ns

    def worker_number(self, worker_id: str) -> int:
        """Return the number of a worker; a new worker gets the next number."""
        number = self.worker_numbers.get(worker_id)
        if number is None:
            self._last_number += 1
            number = self._last_number
            self.worker_numbers[worker_id] = number
            self.worker_ids[number] = worker_id
        return number

    def is_known_worker(self, worker_id: str) -> bool:
        """Return whether the worker has a number or is banned."""
        return worker_id in self.worker_numbers or worker_id in self.banned_worker_ids

    def set_worker_ban(self, worker_id: str, is_banned: bool) -> None:
        """Exclude a worker from new attempts, whatever the list says, or (is_banned False) lift its ban."""
        if is_banned == (worker_id in self.banned_worker_ids):
            return
        if is_banned:
            self.banned_worker_ids.add(worker_id)
        else:
            self.banned_worker_ids.discard(worker_id)
        self.workers.set_worker_ban(worker_id, is_banned)
        self._events.enqueue(api.WorkerBanChanged(self.worker_number(worker_id), is_banned))

    def log_lease_changes(self, now_ns: int, has_requests: bool) -> None:
        """Log when requests are first held because there is no valid lease, and when there is one again."""
        has_expired = now_ns >= self._dispatcher.lease.send_deadline_ns
        if has_expired and has_requests and not self._has_logged_expiry:
            self._has_logged_expiry = True
            self._counters.add("endpoint_list_leases_expired")
            log.warning("no valid lease on the endpoint list: requests are held until discovery responds")
        elif self._has_logged_expiry and not has_expired:
            self._has_logged_expiry = False
            log.info("the lease on the endpoint list is valid again: requests are no longer held")

    def _discard_departed(self) -> None:
        """Discard the numbers of workers that the decision module has discarded.

        Pending events may still refer to a number, so nothing is discarded while there are any.
        """
        # A hot restart may also add numbers of departed workers, which the decision module does not have.
        max_numbers = len(self._dispatcher.workers) + MAX_REMOVED_WORKERS
        if len(self.worker_numbers) <= max_numbers or self._events.pending:
            return
        for worker_id, number in list(self.worker_numbers.items()):
            if number not in self._dispatcher.workers and worker_id not in self.banned_worker_ids:
                del self.worker_numbers[worker_id]
                del self.worker_ids[number]
                self.workers.discard_worker(worker_id)

    def _worker_entry(self, endpoint: Endpoint) -> api.WorkerEntry:
        """Convert an endpoint to the numbers and the clock of the decision module.

        A start before the clock's zero becomes 0, which means long ago.
        """
        started_ns = endpoint.up_since_ms * NS_PER_MS - self._clock_offset_ns if endpoint.up_since_ms else 0
        return api.WorkerEntry(
            self.worker_numbers[endpoint.id],
            endpoint.state,
            endpoint.cell,
            self._kind_numbers[endpoint.kind],
            self._zone_numbers[endpoint.zone],
            max(0, started_ns),
            endpoint.weight,
            zlib.crc32(encode_text(f"{endpoint.id} {endpoint.up_since_ms}")),
        )
