"""The coordinator between the network code of one dispatcher and its decision module.

The client server, the worker client and the discovery client report events.  The coordinator queues them,
passes them to the decision module in batches, and executes the actions that the module returns.  Separate
components hold the open requests, the attempts in flight and the endpoint list, execute the actions, and
migrate requests to another process.  The coordinator contains no HTTP and does not read request payloads.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Callable

from weldquay import interface as api
from weldquay.net.action_executor import ActionExecutor
from weldquay.net.attempt_table import AttemptTable
from weldquay.net.callback_handler import CallbackHandler
from weldquay.net.config import Config
from weldquay.net.counter_names import PROBE_COUNTERS
from weldquay.net.counters import Counters
from weldquay.net.endpoint_list_adapter import EndpointListAdapter
from weldquay.net.event_queue import EventQueue
from weldquay.net.hot_restart_messages import MigratedRequest
from weldquay.net.messages import EndpointList, RequestMetadata
from weldquay.net.request_migration import RequestMigration
from weldquay.net.request_table import RequestTable
from weldquay.net.requests import Attempt, ClientRequest, DiscoveryWatcher, RequestResult, WorkerClient
from weldquay.policy.dispatcher import Dispatcher

log = logging.getLogger(__name__)


class RequestCoordinator:
    """Runs the decision module of one dispatcher.

    A request is accepted by `submit`.  Send actions start its attempts, each of which ends once: through
    `attempt_ended`, a callback, a cancellation or its deadline.  The request gets exactly one result.
    """

    workers: WorkerClient

    def __init__(self, config: Config, counters: Counters) -> None:
        self.config = config
        self.counters = counters
        self.dispatcher = Dispatcher(config.settings, config.seed)
        self.events = EventQueue(self._step)
        self.enqueue_event = self.events.enqueue
        self.requests = RequestTable(counters, self.events)
        self.attempts = AttemptTable(counters, self.events, self.requests, self._cancel_at_worker)
        self.attempt_ended = self.attempts.end
        self.handle_callback = CallbackHandler(counters, self.events, self.attempts).handle
        self.endpoint_list = EndpointListAdapter(config, counters, self.dispatcher, self.events)
        self.migration = RequestMigration(
            self.dispatcher, self.events, self.requests, self.attempts, self.endpoint_list
        )
        self.executor = ActionExecutor(
            counters, self.events, self.requests, self.attempts, self.endpoint_list
        )

    def start(self, workers: WorkerClient, discovery: DiscoveryWatcher) -> None:
        """Connect the worker and discovery clients, and apply the endpoint list of the configuration."""
        self.workers = workers
        self.endpoint_list.workers = workers
        self.migration.workers = workers
        self.executor.workers = workers
        self.executor.discovery = discovery
        self.apply_endpoint_list(self.config.known, api.EndpointListKind.CACHED, self.config.lease)

    def reconfigure(self, config: Config) -> None:
        """Apply new settings; open requests keep the settings that they were submitted with."""
        self.config = config
        self.endpoint_list.reconfigure(config)
        self.enqueue_event(api.SettingsChanged(config.settings))

    def begin_shutdown(self, time_left_s: float) -> None:
        """Start the shutdown in the decision module, which finishes all requests within time_left_s."""
        self.enqueue_event(api.ShutdownStarted(int(time_left_s * 1e9)))

    @property
    def has_pending_work(self) -> bool:
        """Whether a request is open or an attempt is in flight."""
        return bool(self.requests or self.attempts)

    # --- requests of clients ---

    def submit(
        self,
        job_class: int,
        metadata: RequestMetadata,
        payload: object,
        on_result: Callable[[RequestResult], None],
        waited_ns: int = 0,
    ) -> ClientRequest | None:
        """Accept a client's request; return None if the limit of open requests is reached.

        waited_ns: how long the request has waited in this process; its client's time has run meanwhile.
        """
        config = self.config
        if len(self.requests.by_number) >= config.max_open:
            self.counters.add("requests_over_limit")
            return None
        self.counters.add("requests")
        settings = config.settings
        class_settings = settings.classes[job_class]
        time_left_ns = metadata.time_left_ns
        if time_left_ns is None:
            time_left_ns = class_settings.client_timeout_ns
        time_left_ns = max(0, time_left_ns - waited_ns)
        now_ns = time.monotonic_ns()
        request = ClientRequest(
            metadata.id,
            payload,
            now_ns + time_left_ns,
            on_result,
            metadata,
            job_class,
            class_settings,
            now_ns,
            settings.max_attempts,
        )
        self.requests.add(request)
        self.enqueue_event(request.received_event(time_left_ns))
        return request

    def client_disconnected(self, request: ClientRequest) -> None:
        """End a request whose client disconnected before the result."""
        self.requests.disconnect(request)

    # --- attempts and probes ---

    def probe_ended(
        self,
        worker_id: str,
        outcome: api.Outcome,
        latency_ns: int,
        load_report: api.LoadReport | None = None,
    ) -> None:
        """Pass the result of a health check to the decision module."""
        self.counters.add(PROBE_COUNTERS[outcome])
        number = self.endpoint_list.worker_numbers.get(worker_id)
        if number is not None:
            self.enqueue_event(api.ProbeEnded(number, outcome, latency_ns, load_report))

    def _cancel_at_worker(self, attempt: Attempt) -> None:
        self.workers.cancel_attempt(attempt)

    # --- the endpoint list and bans ---

    def apply_endpoint_list(
        self, update: EndpointList, kind: api.EndpointListKind, lease: api.LeaseState = api.NO_LEASE
    ) -> None:
        """Apply a complete endpoint list, or changes to it; see `EndpointListAdapter.apply`."""
        self.endpoint_list.apply(update, kind, lease)

    @property
    def is_endpoint_list_confirmed(self) -> bool:
        """Whether discovery has confirmed the list to this process, or to the older one before it."""
        return self.dispatcher.lease.granted

    @property
    def banned_worker_ids(self) -> set[str]:
        """Ids of the workers that operators have banned."""
        return self.endpoint_list.banned_worker_ids

    def is_known_worker(self, worker_id: str) -> bool:
        """Return whether the worker is known from an endpoint list, an older process or a ban."""
        return self.endpoint_list.is_known_worker(worker_id)

    def set_worker_ban(self, worker_id: str, is_banned: bool) -> None:
        """Ban a worker from new attempts regardless of the endpoint list, or lift its ban."""
        self.endpoint_list.set_worker_ban(worker_id, is_banned)

    # --- migration to and from another process ---

    def worker_snapshots(self) -> dict[str, api.WorkerSnapshot]:
        """Return the state of each worker by its id."""
        return self.migration.worker_snapshots()

    def restore_worker(self, worker_id: str, snapshot: api.WorkerSnapshot) -> None:
        """Restore a worker's state from an older process."""
        self.migration.restore_worker(worker_id, snapshot)

    def can_migrate(self, request: ClientRequest) -> bool:
        """Return whether another process can continue the request; see `RequestMigration.can_migrate`."""
        return self.migration.can_migrate(request, self.config)

    def migrate_request(self, request: ClientRequest) -> MigratedRequest:
        """End a request without a result, and return the state that another process continues it from."""
        return self.migration.migrate_request(request, self.config)

    def accept_migrated(
        self,
        migrated: MigratedRequest,
        metadata: RequestMetadata,
        payload: object,
        on_result: Callable[[RequestResult], None],
    ) -> ClientRequest:
        """Continue a request of an older process."""
        self.counters.add("migrated_requests_accepted")
        return self.migration.accept_migrated(migrated, metadata, payload, on_result, self.config)

    def process_pending(self) -> None:
        """Run a decision step now if events are pending."""
        if self.events.pending:
            self._step()

    def _step(self) -> None:
        events = self.events.take_all()
        started_ns = time.monotonic_ns()
        try:
            actions = self.dispatcher.step(started_ns, events)
        except Exception:  # the requests in this batch fail at their deadlines; others are not affected
            log.exception("decision step failed on %r", events)
            self.counters.add("steps_failed")
            self.executor.schedule_deadline(self.dispatcher.next_deadline_ns())
            return
        handlers = self.executor.handlers
        for action in actions:
            handlers[type(action)](action)
        self.executor.schedule_deadline(self.dispatcher.next_deadline_ns())
        self.endpoint_list.log_lease_changes(started_ns, has_requests=bool(self.requests.by_number))
        self.counters.add("steps")
        self.counters.record_peak("longest_step_ms", (time.monotonic_ns() - started_ns) / 1e6)
