"""The client for match workers: the known workers, and the components that send requests to them."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from weldquay import interface as api
from weldquay.net.attempt_runner import AttemptRunner
from weldquay.net.buffer_budget import BufferBudget
from weldquay.net.cancellation import JobCancellation
from weldquay.net.config import Config
from weldquay.net.connection_pool import ConnectionPool
from weldquay.net.counters import Counters
from weldquay.net.health_checks import HealthChecker
from weldquay.net.messages import Endpoint, EndpointList
from weldquay.net.request_coordinator import RequestCoordinator
from weldquay.net.requests import Attempt, ClientRequest
from weldquay.net.worker_endpoint import WorkerEndpoint


class HttpWorkerClient:
    """Sends attempts, cancellations and health checks to workers over HTTP; implements `WorkerClient`."""

    def __init__(
        self, config: Config, counters: Counters, coordinator: RequestCoordinator, buffers: BufferBudget
    ) -> None:
        """Create the client; buffers: what all connections of the process may hold."""
        self.coordinator = coordinator
        self.workers: dict[str, WorkerEndpoint] = {}
        self.connections = ConnectionPool(config, counters, buffers)
        self.cancellation = JobCancellation(counters, self.workers, self.connections)
        self.attempts = AttemptRunner(config, coordinator, self.workers, self.connections, self.cancellation)
        self.health_checks = HealthChecker(config, coordinator, self.connections)

    def reconfigure(self, config: Config) -> None:
        """Apply new settings to later requests."""
        self.connections.reconfigure(config)
        self.attempts.reconfigure(config)
        self.health_checks.reconfigure(config)

    def limit_connections(self, fraction: float) -> None:
        """Set the limit of connections to a fraction of its full value; another process uses the rest."""
        self.connections.set_limit_fraction(fraction)

    @property
    def has_pending_cancellations(self) -> bool:
        """Whether cancellations are being sent to workers."""
        return self.cancellation.has_pending

    def apply_endpoint_list(self, update: EndpointList) -> None:
        """Apply a complete endpoint list, or changes to it.

        Idle connections to workers that are gone or have a new address are closed.
        """
        for endpoint in update.endpoints:
            worker = self.workers.get(endpoint.id)
            if worker is None:
                worker = self._add_worker(endpoint)
            has_moved = (endpoint.host, endpoint.port) != (worker.endpoint.host, worker.endpoint.port)
            worker.endpoint = endpoint
            if has_moved or endpoint.state is api.WorkerState.GONE:
                self.connections.close_idle(worker)
        if update.is_complete:
            self._mark_unlisted_as_gone({endpoint.id for endpoint in update.endpoints})

    def _mark_unlisted_as_gone(self, listed_ids: set[str]) -> None:
        """Mark the workers that a complete list does not contain as gone."""
        for worker_id, worker in self.workers.items():
            if worker_id not in listed_ids and worker.endpoint.state is not api.WorkerState.GONE:
                worker.endpoint = replace(worker.endpoint, state=api.WorkerState.GONE)
                self.connections.close_idle(worker)

    def _add_worker(self, endpoint: Endpoint) -> WorkerEndpoint:
        worker = WorkerEndpoint(endpoint, is_banned=endpoint.id in self.coordinator.banned_worker_ids)
        self.workers[endpoint.id] = worker
        return worker

    def send(self, attempt: Attempt) -> None:
        """Start an attempt."""
        self.attempts.start(attempt)

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Cancel an attempt, with a DELETE request if the worker may have received the job."""
        self.attempts.cancel(attempt)

    def set_worker_ban(self, worker_id: str, is_banned: bool) -> None:
        """Ban a worker from new attempts, including one that is still connecting, or lift its ban."""
        worker = self.workers.get(worker_id)
        if worker is not None:
            worker.is_banned = is_banned
            self.connections.close_idle(worker)

    def discard_worker(self, worker_id: str) -> None:
        """Remove the state of a worker that is no longer listed."""
        worker = self.workers.pop(worker_id, None)
        if worker is not None:
            self.connections.close_idle(worker)

    def has_pending_messages(self, request: ClientRequest) -> bool:
        """Return whether an attempt or a DELETE of the request is being sent to a worker."""
        return self.cancellation.is_pending(request.id) or self.attempts.is_sending(request)

    def listed_endpoints(self) -> list[Endpoint]:
        """Return the endpoints of the workers in the current list."""
        return [
            worker.endpoint
            for worker in self.workers.values()
            if worker.endpoint.state is not api.WorkerState.GONE
        ]

    def address(self, worker_id: str) -> tuple[str, int]:
        """Return the host and port of a worker."""
        endpoint = self.workers[worker_id].endpoint
        return endpoint.host, endpoint.port

    def add_unlisted_worker(self, worker_id: str, host: str, port: int) -> None:
        """Add a worker of an older process; it may run jobs even if the endpoint list lacks it."""
        if worker_id not in self.workers:
            self._add_worker(Endpoint(worker_id, host, port, "", "", 0, api.WorkerState.GONE, 1.0, 0))

    def probe(self, worker_id: str) -> None:
        """Start a health check of a worker."""
        self.health_checks.start(self.workers[worker_id])

    def close_idle(self, worker_id: str) -> None:
        """Close the idle connections to a worker."""
        self.connections.close_idle(self.workers[worker_id])

    async def stop(self) -> None:
        """Stop attempts, health checks and cancellations, and close the idle connections."""
        await asyncio.gather(self.attempts.stop(), self.health_checks.stop(), self.cancellation.stop())
        await self.connections.stop()
