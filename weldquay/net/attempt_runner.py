"""Sending of attempts: each is one POST of a request to a worker, whose response or failure is its outcome.

Rules: a worker has at most one attempt of a request at a time, and no byte of an attempt is written after the
endpoint list's lease has expired, after the client has disconnected, or after the attempt's deadline.
"""

from __future__ import annotations

import asyncio
import time

import h11

from weldquay import interface as api
from weldquay.net.cancellation import JobCancellation
from weldquay.net.config import Config
from weldquay.net.connection_pool import ConnectionPool
from weldquay.net.messages import JobPayload, job_headers, parse_load_report
from weldquay.net.peer_timeout import PeerTimeout
from weldquay.net.request_coordinator import RequestCoordinator
from weldquay.net.requests import Attempt, ClientRequest
from weldquay.net.tasks import Tasks
from weldquay.net.worker_connection import (
    AttemptAborted,
    ConnectionLost,
    RequestNotSent,
    WorkerConnection,
    WorkerResponse,
)
from weldquay.net.worker_endpoint import WorkerEndpoint

# Limit from connecting to the response.  Workers accept or reject within 50 ms, or 250 ms if they pause.
ACCEPT_TIMEOUT_S = 0.6
LATE_RESPONSE_S = 2.0  # how long after the callback that ended the attempt its 202 may arrive
UNREAD_DATA_WAIT_S = 0.1
UNREAD_DATA_POLL_S = 0.002

ACCEPTED = 202


class AttemptRunner:
    """Sends attempts and handles their responses; `sending` has those without a response yet."""

    def __init__(
        self,
        config: Config,
        coordinator: RequestCoordinator,
        workers: dict[str, WorkerEndpoint],
        connections: ConnectionPool,
        cancellation: JobCancellation,
    ) -> None:
        self._coordinator = coordinator
        self._counters = coordinator.counters
        self._workers = workers
        self._connections = connections
        self._cancellation = cancellation
        self._tasks = Tasks()
        self.sending: dict[Attempt, asyncio.Task[None]] = {}
        self.reconfigure(config)

    def reconfigure(self, config: Config) -> None:
        """Use the settings of a new configuration for later attempts."""
        self._report_fields = config.report_fields
        self._may_hedge = config.settings.may_hedge

    def start(self, attempt: Attempt) -> None:
        """Start an attempt."""
        task = self._tasks.start(self._run(attempt), f"attempt {attempt.number} of {attempt.request.id}")
        self.sending[attempt] = task
        task.add_done_callback(lambda _: self.sending.pop(attempt, None))

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt: close its connection if there is no response yet, and send a DELETE.

        The DELETE is sent even if the connection is closed: the worker may already have accepted the job,
        with its 202 still in transit.
        """
        task = self.sending.get(attempt)
        if task is not None:
            task.cancel()
        if attempt.possibly_sent:
            self._cancellation.start(attempt)

    def is_sending(self, request: ClientRequest) -> bool:
        """Return whether an attempt of the request is waiting for its response."""
        return any(attempt.request is request for attempt in self.sending)

    async def stop(self) -> None:
        """Stop all attempts."""
        await self._tasks.stop()

    async def _run(self, attempt: Attempt) -> None:
        worker = self._workers[attempt.worker_id]
        request = attempt.request
        # Earlier attempts must be cancelled first: at this worker, or at all workers if hedging is not
        # allowed.  A reset may have discarded a 202, in which case the job runs until the DELETE arrives.
        cancellations = self._cancellation.pending(request.id, worker if self._may_hedge else None)
        if cancellations:
            await asyncio.wait(cancellations)
        remaining_ns = attempt.deadline_ns - time.monotonic_ns()
        timeout_s = ACCEPT_TIMEOUT_S if request.is_idempotent else remaining_ns / 1e9 + LATE_RESPONSE_S
        timeout = PeerTimeout(timeout_s)
        try:
            async with timeout:
                await self._wait_for_unread_data(request)
                connection = await self._acquire_connection(worker, attempt)
                response = await self._send(worker, connection, attempt)
        except AttemptAborted:
            self._counters.add("attempts_not_started")
            self._coordinator.attempt_ended(attempt, api.Outcome.ABORTED_BEFORE_SEND)
        except RequestNotSent:
            self._coordinator.attempt_ended(attempt, api.Outcome.CONNECT_FAILED)
        except ConnectionLost:
            self._on_reset(attempt)
        except TimeoutError:
            self._on_timeout(attempt, timeout)
        else:
            if response.status != ACCEPTED:  # after a 202 the worker's callbacks end the attempt
                self._on_rejection(attempt, response)

    async def _wait_for_unread_data(self, request: ClientRequest) -> None:
        """Wait until the bytes that the client has sent behind its request are read.

        A client that closes its connection with much unread has left, although the end of its stream can
        arrive only once there is room for it.
        Raises AttemptAborted if the client sends more than can be read in UNREAD_DATA_WAIT_S.
        """
        give_up_at = time.monotonic() + UNREAD_DATA_WAIT_S
        while self._is_wanted(request) and request.has_unread_data():
            if time.monotonic() >= give_up_at:
                raise AttemptAborted("the client has sent more than could be read")
            await asyncio.sleep(UNREAD_DATA_POLL_S)

    def _is_wanted(self, request: ClientRequest) -> bool:
        """Return whether the request is open; end it if the system knows that its client has left."""
        if request.is_open and request.has_client_left():
            self._coordinator.client_disconnected(request)
        return request.is_open

    async def _send(
        self, worker: WorkerEndpoint, connection: WorkerConnection, attempt: Attempt
    ) -> WorkerResponse:
        """Send the job with the time that remains now, after any wait for the connection."""
        job = attempt.request.payload
        assert isinstance(job, JobPayload)
        remaining_ns = attempt.deadline_ns - time.monotonic_ns()
        headers = job_headers(attempt.request.id, job, remaining_ns, worker.host_header)
        message = h11.Request(method=job.method, target=job.target, headers=headers)
        return await self._connections.send(worker, connection, message, job.body)

    async def _acquire_connection(self, worker: WorkerEndpoint, attempt: Attempt) -> WorkerConnection:
        """Return a connection on which the attempt can be sent at once.

        A job that must not run twice gets a new connection.  The peer of an idle one may be gone without
        notice; if the request then causes a reset, whether the job ran is unknown.
        Raises RequestNotSent, and AttemptAborted if the attempt may no longer start.
        """
        connection = self._connections.take_idle(worker) if attempt.request.is_idempotent else None
        if connection is None:
            connection = await self._connections.connect(worker)
        if not self._may_send(worker, attempt):
            connection.abort()
            raise AttemptAborted("the attempt may no longer start")
        attempt.possibly_sent = True
        return connection

    def _may_send(self, worker: WorkerEndpoint, attempt: Attempt) -> bool:
        """Return whether the attempt may still be sent.

        While it waited for cancellations and a connection, the worker may have begun to drain or been banned,
        the endpoint list's lease may have expired, the client may have disconnected, or the latest time for a
        safe retry may have passed.
        """
        now_ns = time.monotonic_ns()
        return (
            now_ns < self._coordinator.endpoint_list.send_deadline_ns
            and self._is_wanted(attempt.request)
            and not attempt.has_ended
            and not worker.is_banned
            and worker.endpoint.state is api.WorkerState.READY
            and not 0 < attempt.send_before_ns < now_ns
        )

    def _on_reset(self, attempt: Attempt) -> None:
        """End an attempt whose response was lost, and cancel its job: the worker may have accepted it."""
        if not attempt.has_ended:
            self._coordinator.attempt_ended(attempt, api.Outcome.RESET)
            self._cancellation.start(attempt)

    def _on_timeout(self, attempt: Attempt, timeout: PeerTimeout) -> None:
        """Handle an attempt whose connection or response timed out."""
        if not attempt.possibly_sent:  # the timeout expired while connecting
            has_stalled = self._connections.has_stalled(timeout)
            self._coordinator.attempt_ended(
                attempt, api.Outcome.ABORTED_BEFORE_SEND if has_stalled else api.Outcome.CONNECT_FAILED
            )
            return
        self._counters.add("worker_responses_missing")
        # A connection may fail silently, so an idempotent request is retried well before its deadline.
        if attempt.request.is_idempotent and not attempt.started_ns:
            self._on_reset(attempt)

    def _on_rejection(self, attempt: Attempt, response: WorkerResponse) -> None:
        """End an attempt that got a response other than 202."""
        load_report = parse_load_report(response.headers.get(b"x-backend-load"), self._report_fields)
        outcome = api.Outcome.ERROR
        if response.status in (503, 504) and response.headers.get(b"x-unprocessed") == b"1":
            outcome = api.Outcome.OVERLOADED
        elif 400 <= response.status < 500:  # the request is at fault, not the worker
            outcome = api.Outcome.UNPROCESSABLE
        self._coordinator.attempt_ended(attempt, outcome, load_report)
