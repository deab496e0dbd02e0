"""The dispatcher: events in, actions out."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from weldquay.candidates.index import CandidateIndex
from weldquay.candidates.inputs import CandidateInputs
from weldquay.candidates.queue_order import QueueOrder
from weldquay.discovery.backoff import Backoff
from weldquay.discovery.list_lease import EndlessLease, ListLease
from weldquay.estimators.idle_timeout import IdleTimeoutEstimator
from weldquay.estimators.report_interval import ReportIntervalEstimator
from weldquay.estimators.runtime import RuntimeEstimator
from weldquay.interface import (
    Action,
    AttemptEnded,
    AttemptProgress,
    ClientDisconnected,
    EndpointListUpdate,
    Event,
    ProbeEnded,
    RequestMigrated,
    RequestReceived,
    ReservationEnded,
    ResponseStarted,
    Settings,
    SettingsChanged,
    ShutdownStarted,
    WorkerBanChanged,
    WorkerSnapshot,
    WorkerStateRestored,
)
from weldquay.policy.capacity_reservation import CapacityReservation
from weldquay.policy.eligibility import Eligibility
from weldquay.policy.endpoint_list import NOT_SCHEDULED, EndpointList
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
from weldquay.state.records import Worker


class Dispatcher:
    """One dispatcher: `step` takes events and returns the actions to carry out.

    It does no I/O and reads no clock. Events about unknown requests, attempts and workers are ignored.

    Attributes:
        context: the step.
        table: the workers and the sets of them.
        requests: the requests and the attempts in flight.
        workers: the workers by number.
        jobs: the requests without a final answer, by request id.
        attempts: the attempts in flight, by request id and attempt number.
        handlers: the method that handles each type of event; other events only cause a step.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        """Start with no workers and no requests.

        Args:
            settings: the settings, until a `SettingsChanged` event.
            seed: of the random generator.
        """
        self.context = StepContext(settings, random.Random(seed))
        self.table = WorkerTable()
        self.requests = RequestTable()
        self.workers = self.table.workers
        self.jobs = self.requests.jobs
        self.attempts = self.requests.attempts
        self._build_estimates(settings)
        self._build_health(settings)
        self._build_placement()
        self._build_queue()
        self.handlers: dict[type, Callable[[Any], object]] = {
            RequestReceived: self.open_requests.accept,
            AttemptEnded: self.outcomes.apply,
            AttemptProgress: self.outcomes.record_progress,
            ShutdownStarted: self.open_requests.start_shutdown,
            ProbeEnded: self.probe_results.apply,
            EndpointListUpdate: self.endpoint_list.apply_update,
            SettingsChanged: self.reconfigure,
            WorkerBanChanged: self.endpoint_list.change_ban,
            WorkerStateRestored: self.table.restore,
            RequestMigrated: self.open_requests.adopt,
            ResponseStarted: self.open_requests.begin_response,
            ClientDisconnected: self.open_requests.disconnect,
        }

    def _build_estimates(self, settings: Settings) -> None:
        """Build what is learnt, and the index of candidates, which reads it."""
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

    def _build_health(self, settings: Settings) -> None:
        """Build what follows workers: the endpoint list, their reports and their health."""
        context, table = self.context, self.table
        self.lease = (
            ListLease(settings.has_local_discovery_agent)
            if settings.endpoint_list_expires
            else EndlessLease()
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
        """Build what selects a worker for a request and sends it."""
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
        """Build what follows requests from their arrival to their final answer."""
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
            self.table,
            requests,
            self.lease,
            self.candidate_inputs,
            self.index,
            QueueOrder(context, self.runtimes, requests.queued, self.priorities.queue_priority),
            self.load_estimates,
            self.slow_start,
            self.open_requests,
            self.retries,
            self.placement,
            self.scheduler,
            self.reservation,
            self.sender,
        )

    @property
    def settings(self) -> Settings:
        """The settings in force."""
        return self.context.settings

    @property
    def ready_workers(self) -> list[Worker]:
        """The workers that are listed as ready and not banned."""
        return self.table.ready_workers

    def snapshots(self) -> dict[int, WorkerSnapshot]:
        """Return the state of each worker, for the process that replaces this one."""
        return self.table.snapshots()

    def step(self, now_ns: int, events: list[Event]) -> list[Action]:
        """Handle the events of a step and return the actions that follow, in order.

        Args:
            now_ns: time of the step, in nanoseconds of a monotonic clock.
            events: what came since the last step, in order; may be empty.

        Raises:
            IndexError: a request names an unknown class.
        """
        context, endpoint_list = self.context, self.endpoint_list
        is_first = not context.started_ns
        context.started_ns = context.started_ns or now_ns
        context.now_ns = now_ns
        context.actions = []
        for event in events:
            self.index.changed[getattr(event, "worker", 0)] = None
            if (handle := self.handlers.get(type(event))) is not None:
                handle(event)
        if endpoint_list.has_changed:  # once for all changes of a step
            endpoint_list.refresh_ready_workers()
        if is_first and context.settings.polls_endpoint_list:
            endpoint_list.schedule_first_poll()
        self.run_due_work(any(not isinstance(event, AttemptProgress) for event in events))
        return context.actions

    def reconfigure(self, event: SettingsChanged) -> None:
        """Apply other settings; requests keep the class settings with which they were accepted."""
        settings = self.context.settings = event.settings
        self.scheduler.reconfigure(
            self.context.now_ns,
            settings.reservations,
            settings.dispatcher_count,
            settings.workers_queue_in_order,
        )
        self.runtimes.configure_classes(
            (rules.latency_objective_ns for rules in settings.classes),
            (rules.is_offered for rules in settings.classes),
        )
        self.slow_start.reconfigure()
        self.endpoint_list.reconfigure()

    def run_due_work(self, may_place: bool) -> None:
        """Do what is due at this time.

        Args:
            may_place: whether queued requests are placed; False where the step had only progress notes.
        """
        context, queued, scheduler = self.context, self.requests.queued, self.scheduler
        if self.endpoint_list.next_poll_ns != NOT_SCHEDULED:
            self.endpoint_list.poll_if_due(bool(queued))
        self.open_requests.answer_due()
        if 0 <= self.periodic_check.next_check_ns <= context.now_ns:
            self.periodic_check.run()
        if scheduler.by_request:
            scheduler.expire(
                context.now_ns, lambda number: self.ejection.is_healthy(self.table.workers[number])
            )
        if queued and may_place:
            self.queue.place_queued()
        if scheduler.results:
            context.actions += [
                ReservationEnded(
                    result.request, result.worker, result.reason, result.reserved_ns, result.delay_ns
                )
                for result in scheduler.take_results()
            ]
        self.periodic_check.schedule()
