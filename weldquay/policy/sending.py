"""Sends attempts and records them in the state of request, worker and estimates."""

from __future__ import annotations

import math
from dataclasses import dataclass

from weldquay.candidates.index import CandidateIndex
from weldquay.estimators.idle_timeout import IdleTimeoutEstimator
from weldquay.interface import CloseIdleConnections, Send
from weldquay.policy.priorities import RequestPriorities
from weldquay.policy.request_table import RequestTable
from weldquay.policy.retries import RetryRules
from weldquay.policy.runtime_model import RuntimeModel
from weldquay.policy.send_rate import SendRate
from weldquay.policy.slow_start import SlowStart
from weldquay.policy.step_context import StepContext
from weldquay.policy.worker_table import WorkerTable
from weldquay.reservations.scheduler import BackfillScheduler
from weldquay.state.records import Attempt, Job, Worker


@dataclass(slots=True, eq=False)
class AttemptSender:
    """Sends attempts to workers.

    Attributes:
        context: the state of the current step.
        table: provides the reinstated workers.
        requests: the attempts in flight.
        index: the candidate index.
        idle_timeout: estimates how long an idle connection may be reused.
        scheduler: the capacity reservations; one ends when its request is sent.
        runtime_model: expected running times.
        priorities: weights of requests.
        slow_start: charges the budgets of workers that are warming up.
        send_rate: the rate of sends.
        retries: gives the deadline by which a retry must be sent.
    """

    context: StepContext
    table: WorkerTable
    requests: RequestTable
    index: CandidateIndex
    idle_timeout: IdleTimeoutEstimator
    scheduler: BackfillScheduler
    runtime_model: RuntimeModel
    priorities: RequestPriorities
    slow_start: SlowStart
    send_rate: SendRate
    retries: RetryRules

    def send(self, job: Job, worker: Worker) -> None:
        """Send a request to a worker and record the attempt."""
        now_ns, request, worker_number = self.context.now_ns, job.request, worker.entry.worker
        idle_ns = self._usable_idle_ns(worker)
        self.requests.add_attempt(Attempt(job, job.attempts, worker, now_ns, idle_ns))
        self.table.reinstated.discard(worker_number)
        self.index.mark_changed(worker_number)
        worker.record_load_change(now_ns, request.slots, request.memory)
        work_ns = request.slots * self.runtime_model.expected_ns(job)
        self.scheduler.cancel(now_ns, request.request_id, "placed")
        self.scheduler.record_send(self.priorities.weight_per_work(job), work_ns)
        self.slow_start.record_send(worker, work_ns)
        self.send_rate.record_send()
        send_before_ns = math.inf
        if job.possibly_executed is not None:
            send_before_ns = self.retries.retry_deadline_ns(job, job.possibly_executed)
        limit_ns = 0 if send_before_ns == math.inf else int(send_before_ns)
        self.context.actions.append(Send(request.request_id, worker_number, 0, limit_ns))

    def _usable_idle_ns(self, worker: Worker) -> int:
        """Return how long the connection that the attempt will use has been idle, in ns; 0 if new or busy.

        Connections to the worker that have been idle for too long to be reused are closed.
        """
        if not worker.connection_idle_since_ns or worker.in_flight:
            idle_ns = 0
        else:
            idle_ns = self.context.now_ns - worker.connection_idle_since_ns
        max_idle_ns = self.context.settings.connection_idle_timeout_ns
        if idle_ns >= self.idle_timeout.limit_at(self.context.now_ns, max_idle_ns):
            self.context.actions.append(CloseIdleConnections(worker.entry.worker))
            return 0
        return idle_ns
