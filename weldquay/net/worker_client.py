"""The workers' side: connections to match workers, attempts, their giving up, and probes."""

from __future__ import annotations

import asyncio
import logging
import time
from collections import deque
from dataclasses import replace

from weldquay import interface as api
from weldquay.net.config import Config
from weldquay.net.counters import Counters
from weldquay.net.requests import Attempt, ClientRequest
from weldquay.net.request_coordinator import RequestCoordinator
from weldquay.net.worker_endpoint import WorkerEndpoint
from weldquay.net.messages import Body, JobPayload, Endpoint, EndpointList, job_headers, parse_load_report
from weldquay.net.worker_connection import (
    READ_SIZE,
    ConnectionLost,
    WorkerConnection,
    AttemptAborted,
    RequestNotSent,
    WorkerResponse,
)
from weldquay.net.streams import connect
from weldquay.net.tasks import Tasks

log = logging.getLogger(__name__)

PROBE_TIMEOUT_S = 1.0  # a worker that stands still must not keep its probe for ever
GIVE_UP_TIMEOUT_S = 2.0
GIVE_UP_AGAIN_S = 0.1  # after a DELETE that failed, doubling; while its request is open
ACCEPT_S = 0.6  # a job is taken or turned away within 50 ms, 250 where its worker pauses; connecting counts
LATE_ANSWER_S = 2.0  # after a call-back ended its attempt, the 202 may still take this long
IDLE_PART = 0.8  # a connection idle for this part of its limit is not used again
MAX_IDLE = 2  # idle connections kept to a worker, the last used
SLOT_S = 0.2  # a request waits so long for one of the connections; with connecting it fits in ACCEPT_S
STALL_S = 0.1  # a time-out that comes so late tells of a stall here, and nothing of the worker
SWEEP_S = 1.0


class HttpWorkerClient:
    """The match workers; the exchange's WorkerSide."""

    def __init__(self, config: Config, counters: Counters, exchange: RequestCoordinator) -> None:
        self.counters, self.coordinator = counters, exchange
        self.reconfigure(config)
        self.workers: dict[str, WorkerEndpoint] = {}
        self.tasks = Tasks()
        self.sending: dict[Attempt, asyncio.Task[None]] = {}
        self.giving_up: dict[str, dict[WorkerEndpoint, asyncio.Task[None]]] = {}  # by the call's id
        self.idle: dict[WorkerConnection, WorkerEndpoint] = {}  # to all workers, the longest idle first
        self.waiting: deque[asyncio.Future[None]] = deque()  # requests that wait for a connection to be free
        self.open_connections = 0
        self.most_connections = self.full = config.sockets * 3 // 10
        self.tasks.start(self._sweep(), "closing of idle connections")

    def reconfigure(self, config: Config) -> None:
        """Take in other settings."""
        self.config = config
        self.idle_limit_s = config.settings.connection_idle_timeout_ns / 1e9 * IDLE_PART

    def limit_connections(self, part: float) -> None:
        """Hold no more than a part of the connections: another process has the others."""
        self.most_connections = int(self.full * part)
        for connection in list(self.idle)[: max(0, self.open_connections - self.most_connections)]:
            self._drop(connection)
        for _ in range(len(self.waiting)):
            self._freed()

    @property
    def busy(self) -> bool:
        """True while workers are still to be told of something."""
        return bool(self.giving_up)

    def apply_endpoint_list(self, told: EndpointList) -> None:
        """Take in what discovery says; a worker that is gone or has moved keeps no connections."""
        for member in told.endpoints:
            worker = self.workers.setdefault(
                member.id, WorkerEndpoint(member, member.id in self.coordinator.bans)
            )
            moved = (member.host, member.port) != (worker.endpoint.host, worker.endpoint.port)
            worker.endpoint = member
            if moved or member.state is api.WorkerState.GONE:
                self.close_idle(member.id)
        if told.is_complete:  # what a whole list does not name is gone
            named = {member.id for member in told.endpoints}
            for worker_id, worker in self.workers.items():
                if worker_id not in named and worker.endpoint.state is not api.WorkerState.GONE:
                    worker.endpoint = replace(worker.endpoint, state=api.WorkerState.GONE)
                    self.close_idle(worker_id)

    def send(self, attempt: Attempt) -> None:
        """Start an attempt."""
        task = self.tasks.start(self._attempt(attempt), f"attempt {attempt.number} of {attempt.request.id}")
        self.sending[attempt] = task
        task.add_done_callback(lambda _: self.sending.pop(attempt, None))

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Give an attempt up: by closing its connection before the 202, and by DELETE.

        DELETE in any case: a 202 may be on its way, and after that the closing alone gives nothing up.
        """
        if (task := self.sending.get(attempt)) is not None:
            task.cancel()
        if attempt.possibly_sent:  # else there is nothing to give up
            self._tell_given_up(attempt)

    def _tell_given_up(self, attempt: Attempt) -> None:
        if (worker := self.workers.get(attempt.worker_id)) is None:
            return  # forgotten: it has long gone
        call = attempt.request.id
        told = self.giving_up.setdefault(call, {})
        told[worker] = task = self.tasks.start(self._delete(worker, attempt.request), f"giving up of {call}")

        def done(ended: asyncio.Task[None]) -> None:
            if told.get(worker) is ended:
                del told[worker]
            if not told and self.giving_up.get(call) is told:
                del self.giving_up[call]

        task.add_done_callback(done)

    def set_banned(self, worker_id: str, on: bool) -> None:
        """Send no new job to a worker, not even one whose connection is coming up, or do so again."""
        if (worker := self.workers.get(worker_id)) is not None:
            worker.is_banned = on
            self.close_idle(worker_id)

    def discard_worker(self, worker_id: str) -> None:
        """Drop what is known of a worker that has long gone."""
        if worker_id in self.workers:
            self.close_idle(worker_id)
            del self.workers[worker_id]

    def is_notifying(self, call: ClientRequest) -> bool:
        """True while a worker is being sent a call, or told that nobody waits for it."""
        return call.id in self.giving_up or any(each.request is call for each in self.sending)

    def listed_endpoints(self) -> list[Endpoint]:
        """The workers that the list names."""
        return [
            each.endpoint for each in self.workers.values() if each.endpoint.state is not api.WorkerState.GONE
        ]

    def address(self, worker_id: str) -> tuple[str, int]:
        """Where a worker listens."""
        return self.workers[worker_id].endpoint.host, self.workers[worker_id].endpoint.port

    def add_departed_worker(self, worker_id: str, host: str, port: int) -> None:
        """Know a worker of an earlier process, which the list may not name any more: jobs may be there."""
        gone = Endpoint(worker_id, host, port, "", "", 0, api.WorkerState.GONE, 1.0, 0)
        self.workers.setdefault(worker_id, WorkerEndpoint(gone, worker_id in self.coordinator.bans))

    def probe(self, worker_id: str) -> None:
        """Probe a worker."""
        self.tasks.start(self._probe(self.workers[worker_id]), f"probe of {worker_id}")

    def close_idle(self, worker_id: str) -> None:
        """Close the idle connections to a worker."""
        for connection in list(self.workers[worker_id].idle_connections):
            self._drop(connection)

    def _drop(self, connection: WorkerConnection) -> None:
        """Close an idle connection."""
        self.idle.pop(connection).idle_connections.remove(connection)
        connection.abort()

    async def stop(self) -> None:
        """End all that is still under way."""
        await self.tasks.stop()
        for connection in list(self.idle):
            self._drop(connection)

    async def _attempt(self, attempt: Attempt) -> None:
        worker = self.workers[attempt.worker_id]
        # A worker has one attempt of a call at a time: an earlier one must have been given up before.  Where
        # the settings allow no second copy that holds for all workers: a reset may have taken back a 202, and
        # the job runs on until the DELETE has come.
        several = self.config.settings.may_hedge
        told = self.giving_up.get(attempt.request.id, {})
        if earlier := {task for each, task in told.items() if each is worker or not several}:
            await asyncio.wait(earlier)
        job = attempt.request.payload
        assert isinstance(job, JobPayload)
        left_ns = attempt.deadline_ns - time.monotonic_ns()
        headers = job_headers(attempt.request.id, job, left_ns, worker.host)
        wait_s = ACCEPT_S if attempt.request.is_idempotent else left_ns / 1e9 + LATE_ANSWER_S
        due = time.monotonic() + wait_s
        try:
            async with asyncio.timeout(wait_s):
                reply = await self._ask(worker, job.method, job.target, headers, job.body, attempt)
        except AttemptAborted:
            self.counters.add("attempts_not_begun")
            self.coordinator.attempt_ended(attempt, api.Outcome.ABORTED_BEFORE_SEND)
        except RequestNotSent:
            self.coordinator.attempt_ended(attempt, api.Outcome.CONNECT_FAILED)
        except ConnectionLost:
            ended = attempt.ended
            self.coordinator.attempt_ended(attempt, api.Outcome.RESET)
            if not ended:  # the worker may have taken it all the same: nobody waits for it any more
                self._tell_given_up(attempt)
        except TimeoutError:
            if not attempt.possibly_sent:  # it waited for its connection all the time
                outcome = (
                    api.Outcome.ABORTED_BEFORE_SEND if self._stalled(due) else api.Outcome.CONNECT_FAILED
                )
                self.coordinator.attempt_ended(attempt, outcome)
                return
            self.counters.add("answers_missing")
            # Guards against connections that fall silent: what may run again must not wait for its deadline.
            if attempt.request.is_idempotent and not attempt.started_ns and not attempt.ended:
                self.coordinator.attempt_ended(attempt, api.Outcome.RESET)
                self._tell_given_up(attempt)
        else:
            self._replied(attempt, reply)

    def _replied(self, attempt: Attempt, reply: WorkerResponse) -> None:
        """What a worker's answer to a job means; a 202 leaves the end to its call-backs."""
        if reply.status == 202:
            return
        load = parse_load_report(reply.headers.get(b"x-backend-load"), self.config.report_fields)
        outcome = api.Outcome.ERROR
        if reply.status in (503, 504) and reply.headers.get(b"x-unprocessed") == b"1":
            outcome = api.Outcome.OVERLOADED
        elif 400 <= reply.status < 500:  # the job's fault: it tells nothing against the worker
            outcome = api.Outcome.UNPROCESSABLE
        self.coordinator.attempt_ended(attempt, outcome, load)

    async def _delete(self, worker: WorkerEndpoint, call: ClientRequest) -> None:
        """Tell a worker that nobody waits for its job.

        Guards against a second copy: until the worker has it, the job may be running, so that a repeat which
        has to wait for this waits on.  A worker that refuses the connection has ended, and its job with it.
        """
        wait_s = GIVE_UP_AGAIN_S
        while not await self._deleted(worker, call.id) and call.is_open:
            await asyncio.sleep(wait_s)
            wait_s *= 2

    async def _deleted(self, worker: WorkerEndpoint, call: str) -> bool:
        """One DELETE; True where the job is at an end."""
        target, headers = f"/jobs/{call}".encode(), [(b"Host", worker.host.encode())]
        try:
            async with asyncio.timeout(GIVE_UP_TIMEOUT_S):
                await self._ask(worker, b"DELETE", target, headers)
        except (RequestNotSent, ConnectionLost, AttemptAborted, TimeoutError) as error:
            self.counters.add("give_ups_failed")
            return isinstance(error.__cause__, ConnectionRefusedError)
        self.counters.add("given_up")
        return True

    async def _probe(self, worker: WorkerEndpoint) -> None:
        started_ns, load = time.monotonic_ns(), None
        target = b"/_load" if self.config.settings.reports_in_probes else b"/ping"
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                reply = await self._ask(worker, b"GET", target, [(b"Host", worker.host.encode())])
            load = parse_load_report(reply.body, self.config.report_fields)
            outcome = {200: api.Outcome.OK, 503: api.Outcome.OVERLOADED}.get(reply.status, api.Outcome.ERROR)
        except (
            AttemptAborted
        ):  # too few connections here, or no time: it is asked less, and nothing tells against it
            outcome = api.Outcome.OVERLOADED
        except RequestNotSent:
            outcome = api.Outcome.CONNECT_FAILED
        except ConnectionLost:
            outcome = api.Outcome.RESET
        except TimeoutError:
            outcome = api.Outcome.TIMEOUT
        self.coordinator.probe_ended(worker.endpoint.id, outcome, time.monotonic_ns() - started_ns, load)

    async def _ask(
        self,
        worker: WorkerEndpoint,
        method: bytes,
        target: bytes,
        headers: list[tuple[bytes, bytes]],
        body: Body = b"",
        attempt: Attempt | None = None,
    ) -> WorkerResponse:
        """One request on an idle connection, or on a new one.

        A job that may not run again goes on a new one.  Guards against idle connections that are dropped
        unseen and reset by the next request: whether that ran nobody can tell then.
        """
        connection = self._idle(worker) if attempt is None or attempt.request.is_idempotent else None
        if connection is None:
            connection = await self._connect(worker)
        reused = False
        try:
            if attempt is not None and not self._may_begin(worker, attempt):
                raise AttemptAborted
            if attempt is not None:
                attempt.possibly_sent = True
            reply = await connection.ask(method, target, headers, body)
            reused = connection.rest()
            if reused:
                worker.idle_connections.append(connection)
                self.idle[connection] = worker
                if len(worker.idle_connections) > MAX_IDLE:
                    self._drop(worker.idle_connections[0])
                self._freed()
            return reply
        finally:
            if not reused:
                connection.abort()

    def _may_begin(self, worker: WorkerEndpoint, attempt: Attempt) -> bool:
        """True where an attempt may begin now, after all that it had to wait for.

        Guards against what happened meanwhile: the worker was told of as leaving or taken out, or may have
        been, as the list's lease has run out; the client has gone, the time for a repeat is over.
        """
        now_ns = time.monotonic_ns()
        return (
            now_ns < self.coordinator.endpoint_list.expires_ns
            and attempt.request.is_open
            and not attempt.ended
            and not worker.is_banned
            and worker.endpoint.state is api.WorkerState.READY
            and not 0 < attempt.send_before_ns < now_ns
        )

    def _idle(self, worker: WorkerEndpoint) -> WorkerConnection | None:
        """An idle connection that may be used again, the last used first."""
        while worker.idle_connections:
            connection = worker.idle_connections[-1]
            if time.monotonic() - connection.idle_since < self.idle_limit_s and connection.usable():
                del self.idle[worker.idle_connections.pop()]
                connection.wake()
                return connection
            self._drop(connection)
        return None

    async def _slot(self) -> None:
        """Wait until one more connection may be opened; the longest idle one makes room.

        Guards against more workers than connections: idle ones to some would keep all others from jobs.  Moot
        where none comes free: the lack is this process's own, and tells nothing against the worker.
        """
        try:
            async with asyncio.timeout(SLOT_S):
                while self.open_connections >= self.most_connections:
                    if self.idle:
                        self.counters.add("connections_evicted")
                        self._drop(next(iter(self.idle)))
                    free = asyncio.get_running_loop().create_future()
                    self.waiting.append(free)
                    try:
                        await free
                    except asyncio.CancelledError:
                        if free.done() and not free.cancelled():
                            self._freed()  # it was this one's turn: the next has it
                        raise
        except TimeoutError:
            self.counters.add("connections_over_limit")
            raise AttemptAborted from None

    def _freed(self) -> None:
        """Wake the request that has waited longest: a connection has been closed, or is idle."""
        while self.waiting:
            if not (free := self.waiting.popleft()).done():
                free.set_result(None)
                return

    async def _connect(self, worker: WorkerEndpoint) -> WorkerConnection:
        if self.open_connections >= self.most_connections:
            await self._slot()
        self.open_connections += 1
        due = time.monotonic() + self.config.connect_timeout_ns / 1e9
        try:
            async with asyncio.timeout(self.config.connect_timeout_ns / 1e9):
                reader, writer = await connect(worker.endpoint.host, worker.endpoint.port, READ_SIZE)
        except OSError as error:  # a TimeoutError is one
            self._closed()
            if isinstance(error, TimeoutError) and self._stalled(due):
                raise AttemptAborted from error
            self.counters.add("connections_failed")
            raise RequestNotSent from error
        except BaseException:
            self._closed()
            raise
        self.counters.add("connections")
        self.tasks.start(self._count_out(writer), "a connection's end")
        return WorkerConnection(reader, writer)

    def _stalled(self, due: float) -> bool:
        """True where a time-out comes so late that this process stood still, whatever the worker did."""
        if late := time.monotonic() > due + STALL_S:
            self.counters.add("connections_stalled")
        return late

    async def _count_out(self, writer: asyncio.StreamWriter) -> None:
        try:
            await writer.wait_closed()
        except OSError:
            pass
        finally:
            self._closed()

    def _closed(self) -> None:
        self.open_connections -= 1
        self._freed()

    async def _sweep(self) -> None:
        """Close idle connections that the peer has closed or that are near their limit."""
        while True:
            await asyncio.sleep(SWEEP_S)
            before = time.monotonic() - self.idle_limit_s
            for connection in list(self.idle):
                if connection.idle_since <= before or not connection.usable():
                    self._drop(connection)
