"""Reserves future capacity for a request of several slots that no worker can take now."""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from functools import partial

from weldquay.candidates.index import CandidateIndex
from weldquay.policy.eligibility import Eligibility
from weldquay.policy.load import LoadEstimates
from weldquay.policy.priorities import RequestPriorities
from weldquay.policy.request_table import RequestTable
from weldquay.policy.runtime_model import RuntimeModel
from weldquay.policy.step_context import StepContext
from weldquay.policy.worker_table import WorkerTable
from weldquay.reservations.scheduler import BackfillScheduler, CapacityRequest, FleetLoad, WorkerOffer
from weldquay.state.records import Job, Worker

RESERVATION_RETRY_INTERVAL_NS = 10_000_000  # minimum time between two tries for one request
MAX_OFFERS = 16  # number of least loaded workers that are considered


@dataclass(slots=True, eq=False)
class CapacityReservation:
    """Requests capacity for queued requests from the reservation scheduler.

    Attributes:
        context: the state of the current step.
        table: the workers.
        requests: provides the queue, whose length limits reservations.
        index: provides the workers with a current report, and their timetables.
        eligibility: decides which workers may take a request.
        load_estimates: loads of workers.
        runtime_model: expected running times.
        priorities: weights of requests.
        scheduler: the capacity reservations.
    """

    context: StepContext
    table: WorkerTable
    requests: RequestTable
    index: CandidateIndex
    eligibility: Eligibility
    load_estimates: LoadEstimates
    runtime_model: RuntimeModel
    priorities: RequestPriorities
    scheduler: BackfillScheduler

    def reserve_capacity(self, job: Job) -> Worker | None:
        """Reserve capacity for a request; return the worker that it should be sent to now, if any."""
        now_ns = self.context.now_ns
        if now_ns < job.reservation_tried_ns + RESERVATION_RETRY_INTERVAL_NS:
            return None
        job.reservation_tried_ns = now_ns
        workers = self.index.all_healthy_reported()
        load = FleetLoad(len(workers), self.index.utilization(workers), len(self.requests.queued))
        capacity_request = self._capacity_request(job)
        offers = [
            WorkerOffer(
                worker.entry.worker,
                self.runtime_model.expected_at_worker_ns(job, worker),
                partial(self.index.timetable, worker),
            )
            for worker in heapq.nsmallest(MAX_OFFERS, workers, key=self.load_estimates.load)
            if self.eligibility.is_eligible(job, worker)
        ]
        worker_number = self.scheduler.request_capacity(now_ns, capacity_request, offers, load)
        return None if worker_number is None else self.table.workers[worker_number]

    def _capacity_request(self, job: Job) -> CapacityRequest:
        request, rules = job.request, job.class_settings
        run_ns = self.runtime_model.expected_ns(job)
        objective_ns = rules.latency_objective_ns + rules.runtime_allowance * run_ns
        end_ns = min(job.first_received_ns + objective_ns, job.deadline_ns, self.context.shutdown_ns)
        return CapacityRequest(
            request.request_id,
            request.slots,
            request.memory,
            run_ns,
            end_ns - self.context.now_ns,
            self.priorities.weight_per_work(job),
            bool(request.runtime_hint_ns),
        )
