"""The state shared by all client connections of one process."""

from __future__ import annotations

from collections.abc import Callable

from weldquay.net.config import Config
from weldquay.net.counters import Counters
from weldquay.net.hot_restart_messages import MigratedConnection, MigratedRequest
from weldquay.net.http_channel import parse_request
from weldquay.net.messages import encode_text, job_payload, parse_request_metadata
from weldquay.net.read_ahead import ConnectionBudgets
from weldquay.net.read_scheduler import ReadScheduler
from weldquay.net.recent_ids import RECENT_ID_LIFETIME_S, RecentIds
from weldquay.net.request_coordinator import RequestCoordinator
from weldquay.net.requests import AcceptedRequest, ClientRequest, RequestResult
from weldquay.net.tasks import Tasks


def _drop_callback(_body: bytes) -> bool:
    """Drop a callback that matches no attempt, since there is no other process to forward it to."""
    return True


def _drop_id(_request_id: str) -> None:
    """Drop the id of a new request, since there is no other process to report it to."""


class ClientContext:
    """The configuration, modes and open request ids shared by all client connections."""

    def __init__(
        self,
        config: Config,
        counters: Counters,
        coordinator: RequestCoordinator,
        is_serving: Callable[[], bool],
        budgets: ConnectionBudgets,
    ) -> None:
        """Create the context; is_serving: returns the result for health checks."""
        self.counters = counters
        self.coordinator = coordinator
        self.is_serving = is_serving
        self.buffer_budget = budgets.buffers
        self.read_ahead_budget = budgets.read_ahead
        self.tasks = Tasks()
        self.read_scheduler = ReadScheduler()
        self.is_closing = False  # each connection closes after its next response
        self.is_rejecting = False  # new job requests are rejected
        self.open_request_ids: set[str] = set()
        # Ids of requests that have ended and that a worker may have run, or may still be running.
        self.recent_request_ids = RecentIds(RECENT_ID_LIFETIME_S)
        # During a hot restart: ids of the requests that the other process has, or had.
        self.peer_request_ids = RecentIds()
        # During a hot restart: reports the id of a new request to the other process.
        self.report_open_id: Callable[[str], None] = _drop_id
        # During a hot restart: sends a connection to the newer process.
        self.migrate_connection: Callable[[MigratedConnection], None] | None = None
        # During a hot restart: forwards the body of a callback that matches no attempt to the other process.
        # It returns False if the callback has to come again.
        self.forward_callback: Callable[[bytes], bool] = _drop_callback
        self.reconfigure(config)

    def reconfigure(self, config: Config) -> None:
        """Use a new configuration for later requests."""
        self.config = config
        # Offered classes: name to number.
        self.classes = {
            encode_text(name): number
            for number, name in enumerate(config.class_names)
            if name in config.offered
        }

    def has_request(self, request_id: str) -> bool:
        """Return whether a request with this id is open, or a worker may have run one."""
        return (
            request_id in self.open_request_ids
            or request_id in self.peer_request_ids
            or request_id in self.recent_request_ids
        )

    def add_open_id(self, request_id: str) -> None:
        """Record the id of a request that has been accepted, also at the other process of a hot restart."""
        self.open_request_ids.add(request_id)
        self.report_open_id(request_id)

    def end_request(self, request: ClientRequest) -> None:
        """Record that a request has its result.  Its id may not come again if its job must not run twice."""
        self.open_request_ids.discard(request.id)
        if request.may_be_running or (request.possibly_executed and not request.is_idempotent):
            self.recent_request_ids.add(request.id)

    def disconnect(self, request: ClientRequest) -> None:
        """End an open request whose client has disconnected; its job may still be running."""
        self.open_request_ids.discard(request.id)
        if request.may_have_been_executed:
            self.recent_request_ids.add(request.id)
        self.coordinator.client_disconnected(request)

    def migrate_request(self, request: ClientRequest) -> MigratedRequest:
        """End an open request without a result, for the other process to continue it."""
        self.open_request_ids.discard(request.id)
        self.peer_request_ids.add(request.id)
        return self.coordinator.migrate_request(request)

    def peer_lost(self) -> None:
        """Refuse the ids of the other process for a while; its jobs may have run."""
        self.recent_request_ids.update(self.peer_request_ids)
        self.peer_request_ids.clear()
        self.report_open_id = _drop_id

    def accept_migrated_request(self, unparsed: bytes, migrated: MigratedRequest) -> AcceptedRequest:
        """Continue an open request of the older process; `unparsed` starts with its bytes."""
        request, body = parse_request(unparsed)
        metadata = parse_request_metadata(request.headers)
        results: list[RequestResult] = []
        payload = job_payload(request, body)
        self.peer_request_ids.discard(metadata.id)
        self.open_request_ids.add(metadata.id)
        client_request = self.coordinator.accept_migrated(migrated, metadata, payload, results.append)
        return AcceptedRequest(client_request, results)
