"""Builds the components of a dispatcher and wires them together."""

from __future__ import annotations

import random

from weldquay.candidates.index import CandidateIndex
from weldquay.candidates.inputs import CandidateInputs
from weldquay.candidates.queue_order import QueueOrder
from weldquay.discovery.backoff import Backoff
from weldquay.discovery.list_lease import ListLease, NonExpiringLease
from weldquay.estimators.idle_timeout import IdleTimeoutEstimator
from weldquay.estimators.report_interval import ReportIntervalEstimator
from weldquay.estimators.runtime import RuntimeEstimator
from weldquay.interface import (
    Settings,
)
from weldquay.policy.capacity_reservation import CapacityReservation
from weldquay.policy.eligibility import Eligibility
from weldquay.policy.endpoint_list import EndpointList
from weldquay.policy.index_refresh import IndexRefresh
from weldquay.policy.limits import CANDIDATE_LIMITS
from weldquay.policy.load import LoadEstimates
from weldquay.policy.load_reports import LoadReports
from weldquay.policy.open_requests import OpenRequests
from weldquay.policy.outcomes import AttemptOutcomes
from weldquay.policy.outlier_ejection import OutlierEjection
from weldquay.policy.periodic_check import PeriodicCheck
from weldquay.policy.placement import Placement
from weldquay.policy.priorities import RequestPriorities
from weldquay.policy.probe_results import ProbeResults
from weldquay.policy.probing import Probing
from weldquay.policy.request_queue import RequestQueue
from weldquay.policy.request_table import RequestTable
from weldquay.policy.retries import RetryRules
from weldquay.policy.runtime_model import RuntimeModel
from weldquay.policy.send_rate import SendRate
from weldquay.policy.sending import AttemptSender
from weldquay.policy.slow_start import SlowStart
from weldquay.policy.step_context import StepContext
from weldquay.policy.worker_table import WorkerTable
from weldquay.reservations.scheduler import BackfillScheduler


class PolicyComponents:
    """Holds the components of one dispatcher. It has no behaviour, and no component refers to it.

    Attributes:
        context: the state of the current step.
        table: all workers, and which of them are ready, banned or reinstated.
        requests: the requests without a final answer, and the attempts in flight.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        """Build the components, without workers and requests.

        Args:
            settings: the initial settings.
            seed: seed of the random generator.
        """
        self.context = StepContext(settings, random.Random(seed))
        self.table = WorkerTable()
        self.requests = RequestTable()
        self._build_estimates(settings)
        self._build_health(settings)
        self._build_placement()
        self._build_queue()

    def _build_estimates(self, settings: Settings) -> None:
        """Build the estimators, and the candidate index, which reads them."""
        context = self.context
        self.runtimes = RuntimeEstimator(rules.latency_objective_ns for rules in settings.classes)
        self.report_interval = ReportIntervalEstimator()
        self.idle_timeout = IdleTimeoutEstimator(settings.connection_idle_timeout_ns)
        self.scheduler = BackfillScheduler(
            settings.reservations, settings.dispatcher_count, settings.workers_queue_in_order
        )
        self.runtime_model = RuntimeModel(context, self.runtimes, self.scheduler)
        self.priorities = RequestPriorities(context, self.runtime_model)
        self.load_estimates = LoadEstimates(context)
        self.send_rate = SendRate(context)
        self.slow_start = SlowStart(
            context, self.requests, self.runtimes, self.load_estimates, self.send_rate
        )
        self.candidate_inputs = CandidateInputs(
            settings=settings,
            queued=self.requests.queued,
            workers=self.table.workers,
            reinstated=self.table.reinstated,
            recently_reported=self.table.recently_reported,
            scheduler=self.scheduler,
            runtimes=self.runtimes,
            mean_slots=self.load_estimates.mean_slots,
        )
        self.index = CandidateIndex(
            self.candidate_inputs,
            CANDIDATE_LIMITS,
            self.load_estimates.load,
            self.runtime_model.worker_slowness,
            self.runtime_model.expected_at_worker_ns,
        )
        self.index_refresh = IndexRefresh(
            context, self.table, self.candidate_inputs, self.index, self.load_estimates, self.slow_start
        )

    def _build_health(self, settings: Settings) -> None:
        """Build what tracks workers: the endpoint list, load reports and worker health."""
        context, table = self.context, self.table
        self.lease = (
            ListLease(settings.has_local_discovery_agent)
            if settings.endpoint_list_expires
            else NonExpiringLease()
        )
        self.backoff = Backoff(context.random, settings.dispatcher_count, settings.has_local_discovery_agent)
        self.retries = RetryRules(context, self.requests)
        self.endpoint_list = EndpointList(context, table, self.retries, self.lease, self.backoff)
        self.ejection = OutlierEjection(context, table, self.index, self.retries)
        self.load_reports = LoadReports(
            context,
            table,
            self.index,
            self.report_interval,
            self.load_estimates,
            self.runtime_model,
            self.slow_start,
        )
        self.probe_results = ProbeResults(
            context, table, self.load_estimates, self.load_reports, self.ejection
        )
        self.periodic_check = PeriodicCheck(context, self.requests, self.ejection)

    def _build_placement(self) -> None:
        """Build what selects a worker for a request and sends the attempt."""
        context, table, index = self.context, self.table, self.index
        self.eligibility = Eligibility(context, self.runtime_model, self.slow_start, self.scheduler, index)
        self.probing = Probing(context, table, index, self.eligibility)
        self.placement = Placement(
            context,
            table,
            index,
            self.eligibility,
            self.probing,
            self.load_estimates,
            self.runtimes,
            self.send_rate,
            self.report_interval,
        )
        self.reservation = CapacityReservation(
            context,
            table,
            self.requests,
            index,
            self.eligibility,
            self.load_estimates,
            self.runtime_model,
            self.priorities,
            self.scheduler,
        )
        self.sender = AttemptSender(
            context,
            table,
            self.requests,
            index,
            self.idle_timeout,
            self.scheduler,
            self.runtime_model,
            self.priorities,
            self.slow_start,
            self.send_rate,
            self.retries,
        )

    def _build_queue(self) -> None:
        """Build what tracks requests from their arrival to their final answer."""
        context, requests = self.context, self.requests
        self.open_requests = OpenRequests(
            context,
            self.table,
            requests,
            self.retries,
            self.runtime_model,
            self.scheduler,
            self.report_interval,
            self.probing,
        )
        self.outcomes = AttemptOutcomes(
            context,
            requests,
            self.open_requests,
            self.retries,
            self.ejection,
            self.load_estimates,
            self.load_reports,
            self.runtime_model,
            self.idle_timeout,
        )
        self.queue = RequestQueue(
            context,
            requests,
            self.lease,
            self.index_refresh,
            QueueOrder(context, self.runtimes, requests.queued, self.priorities.queue_priority),
            self.open_requests,
            self.retries,
            self.placement,
            self.scheduler,
            self.reservation,
            self.sender,
        )
