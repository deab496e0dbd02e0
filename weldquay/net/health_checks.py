"""Health checks of workers: one GET request each, and the mapping of its result to an outcome."""

from __future__ import annotations

import time

from weldquay import interface as api
from weldquay.net.config import Config
from weldquay.net.connection_pool import ConnectionPool
from weldquay.net.messages import parse_load_report
from weldquay.net.peer_timeout import PeerTimeout
from weldquay.net.request_coordinator import RequestCoordinator
from weldquay.net.tasks import Tasks
from weldquay.net.worker_connection import AttemptAborted, ConnectionLost, RequestNotSent
from weldquay.net.worker_endpoint import WorkerEndpoint

HEALTH_CHECK_TIMEOUT_S = 1.0  # limit from connecting to the response
LOAD_REPORT_TARGET = b"/_load"
PING_TARGET = b"/ping"

_OUTCOMES_BY_STATUS = {200: api.Outcome.OK, 503: api.Outcome.OVERLOADED}  # any other status is an ERROR


class HealthChecker:
    """Runs health checks and reports their results to the coordinator."""

    def __init__(self, config: Config, coordinator: RequestCoordinator, connections: ConnectionPool) -> None:
        self._coordinator = coordinator
        self._connections = connections
        self._tasks = Tasks()
        self.reconfigure(config)

    def reconfigure(self, config: Config) -> None:
        """Apply new settings to later checks."""
        self._report_fields = config.report_fields
        self._target = LOAD_REPORT_TARGET if config.settings.reports_in_probes else PING_TARGET

    def start(self, worker: WorkerEndpoint) -> None:
        """Start a health check of a worker."""
        self._tasks.start(self._check(worker), f"health check of {worker.endpoint.id}")

    async def stop(self) -> None:
        """Cancel the running checks."""
        await self._tasks.stop()

    async def _check(self, worker: WorkerEndpoint) -> None:
        started_ns = time.monotonic_ns()
        load_report = None
        timeout = PeerTimeout(HEALTH_CHECK_TIMEOUT_S)
        try:
            async with timeout:
                response = await self._connections.request(worker, b"GET", self._target)
            load_report = parse_load_report(response.body, self._report_fields)
            outcome = _OUTCOMES_BY_STATUS.get(response.status, api.Outcome.ERROR)
        except AttemptAborted:
            # This process lacks a resource.  The worker is checked less often, but not ejected.
            outcome = api.Outcome.OVERLOADED
        except RequestNotSent:
            outcome = api.Outcome.CONNECT_FAILED
        except ConnectionLost:
            outcome = api.Outcome.RESET
        except TimeoutError:
            # A timeout after a stall of this process is no evidence of a fault of the worker.
            has_stalled = self._connections.has_stalled(timeout)
            outcome = api.Outcome.OVERLOADED if has_stalled else api.Outcome.TIMEOUT
        latency_ns = time.monotonic_ns() - started_ns
        self._coordinator.probe_ended(worker.endpoint.id, outcome, latency_ns, load_report)
