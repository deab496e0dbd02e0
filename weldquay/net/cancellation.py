"""Cancellation of jobs at their workers: a DELETE, retried while it fails and the request is open."""

from __future__ import annotations

import asyncio

from weldquay.net.connection_pool import ConnectionPool
from weldquay.net.counters import Counters
from weldquay.net.peer_timeout import PeerTimeout
from weldquay.net.requests import Attempt, ClientRequest
from weldquay.net.tasks import Tasks
from weldquay.net.worker_connection import WorkerRequestError
from weldquay.net.worker_endpoint import WorkerEndpoint

CANCEL_TIMEOUT_S = 2.0  # limit for one DELETE, from connecting to the response
CANCEL_RETRY_S = 0.1  # delay after the first failed DELETE; each further failure doubles it


class JobCancellation:
    """Sends DELETE requests and tracks the pending ones by request and worker."""

    def __init__(
        self, counters: Counters, workers: dict[str, WorkerEndpoint], connections: ConnectionPool
    ) -> None:
        self._counters = counters
        self._workers = workers
        self._connections = connections
        self._tasks = Tasks()
        self._by_request: dict[str, dict[WorkerEndpoint, asyncio.Task[None]]] = {}

    @property
    def has_pending(self) -> bool:
        """Whether any cancellation is pending."""
        return bool(self._by_request)

    def is_pending(self, request_id: str) -> bool:
        """Return whether a cancellation of the request is pending at any worker."""
        return request_id in self._by_request

    def pending(self, request_id: str, worker: WorkerEndpoint | None = None) -> list[asyncio.Task[None]]:
        """Return the tasks that cancel a request at a worker, or at all workers if none is given."""
        by_worker = self._by_request.get(request_id)
        if by_worker is None:
            return []
        return [task for other, task in by_worker.items() if worker is None or other is worker]

    def start(self, attempt: Attempt) -> None:
        """Start the cancellation of an attempt's job; ignored if its worker has been removed."""
        worker = self._workers.get(attempt.worker_id)
        if worker is None:
            return
        request_id = attempt.request.id
        by_worker = self._by_request.setdefault(request_id, {})
        task = self._tasks.start(self._cancel(worker, attempt.request), f"cancellation of {request_id}")
        by_worker[worker] = task

        def on_done(done: asyncio.Task[None]) -> None:
            if by_worker.get(worker) is done:
                del by_worker[worker]
            if not by_worker and self._by_request.get(request_id) is by_worker:
                del self._by_request[request_id]

        task.add_done_callback(on_done)

    async def stop(self) -> None:
        """Stop all cancellations."""
        await self._tasks.stop()

    async def _cancel(self, worker: WorkerEndpoint, request: ClientRequest) -> None:
        """Send DELETE until it succeeds or the request has ended.

        Until then the job may be running; a retry that must not overlap with it waits for this task.
        """
        backoff_s = CANCEL_RETRY_S
        while not await self._delete(worker, request.id) and request.is_open:
            await asyncio.sleep(backoff_s)
            backoff_s *= 2

    async def _delete(self, worker: WorkerEndpoint, request_id: str) -> bool:
        """Send one DELETE, and return whether the job has ended.

        A worker that refuses the connection is no longer running, so neither is its job.
        """
        try:
            async with PeerTimeout(CANCEL_TIMEOUT_S):
                await self._connections.request(worker, b"DELETE", f"/jobs/{request_id}".encode())
        except (WorkerRequestError, TimeoutError) as error:
            self._counters.add("cancellations_failed")
            return isinstance(error.__cause__, ConnectionRefusedError)
        self._counters.add("cancellations")
        return True
