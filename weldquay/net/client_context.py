"""What the client connections of one process share."""

from __future__ import annotations

from collections.abc import Callable

from weldquay.net.config import Config
from weldquay.net.counters import Counters
from weldquay.net.hot_restart_messages import MigratedConnection, MigratedRequest
from weldquay.net.http_channel import parse_request
from weldquay.net.messages import job_payload, parse_request_metadata
from weldquay.net.read_ahead import ReadAheadBudget
from weldquay.net.request_coordinator import RequestCoordinator
from weldquay.net.requests import AcceptedRequest, Answer, ClientRequest
from weldquay.net.tasks import Tasks


def _ignore_callback(_body: bytes) -> None:
    """Drop a callback that matches no attempt: there is no other process."""


class ClientContext:
    """The configuration, modes and request ids that all client connections use."""

    def __init__(
        self,
        config: Config,
        counters: Counters,
        coordinator: RequestCoordinator,
        is_serving: Callable[[], bool],
        read_ahead_budget: ReadAheadBudget,
    ) -> None:
        """Share these; is_serving: the result of a health check."""
        self.counters = counters
        self.coordinator = coordinator
        self.is_serving = is_serving
        self.read_ahead_budget = read_ahead_budget
        self.tasks = Tasks()
        self.is_closing = False  # every connection closes after its answer
        self.is_rejecting = False  # new job requests are rejected
        self.open_request_ids: set[str] = set()
        # During a hot restart: ids of the requests that are open at the older process.
        self.peer_request_ids: set[str] = set()
        # During a hot restart: hands a connection to the newer process.
        self.migrate_connection: Callable[[MigratedConnection], None] | None = None
        # Forwards the body of a callback that matches no attempt here to the older process.
        self.forward_callback: Callable[[bytes], None] = _ignore_callback
        self.reconfigure(config)

    def reconfigure(self, config: Config) -> None:
        """Use another configuration for the requests from now on."""
        self.config = config
        # The number of each offered class, by its name.
        self.classes = {
            name.encode(): number for number, name in enumerate(config.class_names) if name in config.offered
        }

    def has_request(self, request_id: str) -> bool:
        """True where a request with this id is open here or at the older process."""
        return request_id in self.open_request_ids or request_id in self.peer_request_ids

    def disconnect(self, request: ClientRequest) -> None:
        """End an open request whose client has disconnected."""
        self.open_request_ids.discard(request.id)
        self.coordinator.client_disconnected(request)

    def accept_migrated_request(self, unparsed: bytes, migrated: MigratedRequest) -> AcceptedRequest:
        """Continue an open request of the older process; unparsed begins with its bytes."""
        request, body = parse_request(unparsed)
        metadata = parse_request_metadata(request.headers)
        answers: list[Answer] = []
        payload = job_payload(request, body)
        self.peer_request_ids.discard(metadata.id)
        self.open_request_ids.add(metadata.id)
        client_request = self.coordinator.accept_migrated(migrated, metadata, payload, answers.append)
        return AcceptedRequest(client_request, answers)
