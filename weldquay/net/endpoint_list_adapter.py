"""The list of workers on its way to the decisions: what the exchange takes in from discovery's client.

It maps ids on the sockets to the numbers of the decision module, and tells operators when requests wait for
discovery because the list may be out of date.
"""

from __future__ import annotations

import logging
import zlib
from abc import ABC, abstractmethod

from weldquay import interface as api
from weldquay.policy.dispatcher import Dispatcher
from weldquay.policy.worker_table import MAX_DEPARTED
from weldquay.net.requests import ClientRequest, WorkerClient
from weldquay.net.counter_names import LIST_COUNTERS
from weldquay.net.counters import Counters
from weldquay.net.messages import Endpoint, EndpointList

log = logging.getLogger(__name__)

MS = 1_000_000


class EndpointListAdapter(ABC):
    """The base of `Exchange` that takes in the list; `Exchange` has the events and the calls."""

    counters: Counters
    workers: WorkerClient
    dispatcher: Dispatcher
    events: list[api.Event]
    calls: dict[int, ClientRequest]
    bans: set[str]
    zones: dict[str, int]
    kinds: dict[str, int]
    epoch_ns: int
    last_worker: int
    worker_numbers: dict[str, int]
    worker_names: dict[int, str]
    waits_for_list: bool

    @abstractmethod
    def _tell(self, event: api.Event) -> None: ...

    def apply_endpoint_list(
        self, told: EndpointList, kind: api.EndpointListKind, lease: api.LeaseState = api.NO_LEASE
    ) -> None:
        """Take in the list, or changes of it; lease: an earlier process's, of a cached list."""
        self.counters.add(LIST_COUNTERS[kind])
        self._discard_departed()
        for member in told.endpoints:
            self._number(member.id)
        self.workers.apply_endpoint_list(told)
        entries = tuple(self._entry(member) for member in told.endpoints)
        self._tell(api.EndpointListUpdate(kind, entries, lease=lease))

    def _discard_departed(self) -> None:
        """Guard against ids that change for years: what the decisions have forgotten goes here too."""
        most = len(self.dispatcher.workers) + MAX_DEPARTED  # a handover tells of departed ones too
        if len(self.worker_numbers) > most and not self.events:
            for worker_id, number in list(self.worker_numbers.items()):
                if number not in self.dispatcher.workers and worker_id not in self.bans:
                    del self.worker_numbers[worker_id], self.worker_names[number]
                    self.workers.discard_worker(worker_id)

    def _number(self, worker_id: str) -> int:
        """The number of a worker, a new one where it has none."""
        if worker_id not in self.worker_numbers:
            self.last_worker += 1
            number = self.last_worker
            self.worker_numbers[worker_id], self.worker_names[number] = number, worker_id
        return self.worker_numbers[worker_id]

    def endpoint_list_unchanged(self) -> None:
        """Discovery tells that nothing has changed."""
        self._tell(api.EndpointListUpdate(api.EndpointListKind.UNCHANGED))

    def discovery_address_changed(self) -> None:
        """A reload has given discovery another address."""
        self._tell(api.EndpointListUpdate(api.EndpointListKind.ADDRESS_CHANGED))

    @property
    def is_endpoint_list_confirmed(self) -> bool:
        """True once discovery has told this process, or the one before it, which workers there are."""
        return self.dispatcher.lease.granted

    @property
    def endpoint_list_expires_ns(self) -> int:
        """Until when attempts may begin by the list that is known, on the monotonic clock; 0: not at all."""
        return self.dispatcher.lease.until_ns

    def discovery_failed(self, silent_ns: int, failure: api.DiscoveryFailure) -> None:
        """A call to discovery failed, or its watch has ended, so long after its last good news."""
        self.counters.add(LIST_COUNTERS[api.EndpointListKind.FAILED])
        self._tell(
            api.EndpointListUpdate(api.EndpointListKind.FAILED, since_update_ns=silent_ns, failure=failure)
        )

    def _entry(self, member: Endpoint) -> api.WorkerEntry:
        """A member in the module's numbers and on its clock; a start before the clock's is long ago."""
        started_ns = member.up_since_ms * MS - self.epoch_ns if member.up_since_ms else 0
        return api.WorkerEntry(
            self.worker_numbers[member.id],
            member.state,
            member.cell,
            self.kinds[member.kind],
            self.zones[member.zone],
            max(0, started_ns),
            member.weight,
            zlib.crc32(f"{member.id} {member.up_since_ms}".encode()),
        )

    def _log_lease_changes(self, now_ns: int) -> None:
        """Tell operators when requests begin to wait for discovery, and when that is over."""
        has_expired = now_ns >= self.endpoint_list_expires_ns
        if has_expired and self.calls and not self.waits_for_list:
            self.waits_for_list = True
            self.counters.add("list_leases_expired")
            log.warning("requests wait: the list of workers may be out of date until discovery answers")
        elif self.waits_for_list and not has_expired:
            self.waits_for_list = False
            log.info("the list of workers is up to date again")
