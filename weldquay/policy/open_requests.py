"""Lifecycle of requests, from their arrival to their final answer."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field

from weldquay.discovery.backoff import jittered_delay_ns
from weldquay.estimators.report_interval import ReportIntervalEstimator
from weldquay.interface import (
    ClientDisconnected,
    Fail,
    Idempotency,
    Reject,
    RequestMigrated,
    RequestReceived,
    ResponseStarted,
    SetTimer,
    ShutdownStarted,
    WorkerEntry,
    WorkerState,
)
from weldquay.policy.probing import Probing
from weldquay.policy.request_table import RequestTable
from weldquay.policy.retries import RetryRules
from weldquay.policy.runtime_model import RuntimeModel
from weldquay.policy.step_context import StepContext
from weldquay.policy.timers import TimerToken
from weldquay.policy.worker_table import WorkerTable
from weldquay.reservations.scheduler import BackfillScheduler
from weldquay.state.records import Attempt, Job, Worker

MAX_REMEMBERED_REJECTIONS = 4096  # rejected requests that are recognised when their client retries them
MIN_COMPACTED_DEADLINES = 1024  # that many deadlines of finished requests may remain
Fingerprint = tuple[int, int, int | None, float, float]


def request_fingerprint(request: RequestReceived) -> Fingerprint | None:
    """Return the values by which a client's retry of the request is recognised.

    None if the request has neither an idempotency key nor a runtime hint to tell it from other requests.
    """
    if not request.key and not request.runtime_hint_ns:
        return None
    return (request.job_class, request.key, request.runtime_hint_ns, request.slots, request.memory)


@dataclass(slots=True, eq=False)
class OpenRequests:
    """Accepts requests and gives their final answers.

    Attributes:
        context: the state of the current step.
        table: the workers, for attempts of an older process.
        requests: the requests without a final answer.
        retries: cancels attempts of finished requests.
        runtime_model: expected running times.
        scheduler: the capacity reservations; one ends with its request.
        report_interval: the mean of the retry delays in rejections.
        probing: its budget grows with each request.
        deadlines: heap of (deadline, request id).
        rejected_first_received_ns: when a rejected request was first received, by fingerprint, oldest first.
    """

    context: StepContext
    table: WorkerTable
    requests: RequestTable
    retries: RetryRules
    runtime_model: RuntimeModel
    scheduler: BackfillScheduler
    report_interval: ReportIntervalEstimator
    probing: Probing
    deadlines: list[tuple[int, int]] = field(default_factory=list)
    rejected_first_received_ns: dict[Fingerprint, int] = field(default_factory=dict)

    def accept(self, request: RequestReceived) -> None:
        """Queue a request and set its deadline; a retry of a rejected request keeps the age of that request.

        Raises:
            IndexError: the request has an unknown class.
        """
        context = self.context
        now_ns, settings = context.now_ns, context.settings
        first_received_ns = now_ns
        if fingerprint := request_fingerprint(request):
            first_received_ns = self.rejected_first_received_ns.pop(fingerprint, now_ns)
        job = Job(request, settings.classes[request.job_class], first_received_ns, settings.max_attempts)
        self.requests.jobs[request.request_id] = self.requests.queued[request.request_id] = job
        self.runtime_model.estimator.record_request(request.slots * self.runtime_model.expected_ns(job))
        # The deadline is one clock tick before the client's timeout.
        time_left_ns = request.time_left_ns - settings.clock_resolution_ns
        time_left_ns = int(max(0, min(time_left_ns, context.shutdown_ns - now_ns)))
        job.deadline_ns = now_ns + time_left_ns
        heapq.heappush(self.deadlines, (job.deadline_ns, request.request_id))
        if len(self.deadlines) > 2 * len(self.requests.jobs) + MIN_COMPACTED_DEADLINES:
            self._drop_finished_deadlines()
        context.actions.append(SetTimer(time_left_ns, TimerToken.REQUEST_DEADLINE))
        self.probing.add_budget()

    def _drop_finished_deadlines(self) -> None:
        """Drop the deadlines of finished requests, which may be a day away."""
        jobs = self.requests.jobs
        self.deadlines = [entry for entry in self.deadlines if entry[1] in jobs]
        heapq.heapify(self.deadlines)

    def next_deadline_ns(self) -> int | None:
        """Return the earliest deadline, possibly that of a finished request; None if there is none."""
        return self.deadlines[0][0] if self.deadlines else None

    def resume_migrated(self, event: RequestMigrated) -> None:
        """Take over a request of an older process, with its attempt in flight, if any.

        The load of that attempt is part of the restored worker state.
        """
        request = event.request
        self.accept(request)
        job = self.requests.jobs[request.request_id]
        job.first_received_ns = event.first_received_ns
        job.attempts = event.attempts
        job.class_settings = event.class_settings or job.class_settings
        job.max_attempts = event.max_attempts or job.max_attempts
        if event.worker:
            del self.requests.queued[request.request_id]
            unlisted = Worker(WorkerEntry(event.worker, WorkerState.GONE))
            worker = self.table.workers.setdefault(event.worker, unlisted)
            attempt = Attempt(job, job.attempts - 1, worker, event.sent_ns, started_ns=event.started_ns)
            self.requests.add_attempt(attempt)
            worker.in_flight_slots += request.slots

    def record_response_start(self, event: ResponseStarted) -> None:
        """Record that the client receives a response, so that the request gets no further attempt."""
        if event.request_id in self.requests.jobs:
            self.requests.jobs[event.request_id].response_started = True

    def handle_disconnect(self, event: ClientDisconnected) -> None:
        """Drop a request whose client has disconnected."""
        self.finish(event.request_id)

    def finish(self, request_id: int) -> None:
        """Remove a request that needs no answer any more, and cancel its attempts."""
        job = self.requests.jobs.pop(request_id, None)
        self.requests.queued.pop(request_id, None)
        self.scheduler.cancel(self.context.now_ns, request_id, "job_over")
        if job is not None:
            for attempt in job.in_flight.values():
                self.retries.cancel(attempt)

    def give_final_answer(self, job: Job) -> None:
        """Give the final answer to a request that no worker has answered.

        It is rejected if the client can safely retry it, with a retry delay after which there will be new
        load reports. Otherwise it fails.
        """
        request = job.request
        may_client_retry = not job.unprocessable and (
            job.class_settings.idempotency is Idempotency.IDEMPOTENT
            or not (job.possibly_executed or job.in_flight)
        )
        self.finish(request.request_id)
        if (fingerprint := request_fingerprint(request)) is not None:
            self.rejected_first_received_ns[fingerprint] = job.first_received_ns
        if len(self.rejected_first_received_ns) > MAX_REMEMBERED_REJECTIONS:
            del self.rejected_first_received_ns[next(iter(self.rejected_first_received_ns))]
        delay_ns = jittered_delay_ns(self.context.random, self.report_interval.interval_ns)
        delay_ns = min(delay_ns, self.context.settings.max_retry_after_ns)
        self.context.actions.append(
            Reject(request.request_id, delay_ns) if may_client_retry else Fail(request.request_id)
        )

    def answer_expired(self) -> None:
        """Answer the requests whose deadline has passed, except for those whose response has started."""
        now_ns, deadlines = self.context.now_ns, self.deadlines
        while deadlines and deadlines[0][0] <= now_ns:
            job = self.requests.jobs.get(heapq.heappop(deadlines)[1])
            if job is not None and not job.response_started:
                self.give_final_answer(job)

    def start_shutdown(self, event: ShutdownStarted) -> None:
        """Limit the deadlines of all requests to the end of the shutdown."""
        self.context.shutdown_ns = shutdown_ns = self.context.now_ns + event.time_left_ns
        self.deadlines += [(shutdown_ns, request_id) for request_id in self.requests.jobs]
        heapq.heapify(self.deadlines)
        self.context.actions.append(SetTimer(event.time_left_ns, TimerToken.REQUEST_DEADLINE))
