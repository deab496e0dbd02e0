"""The dispatcher: takes events and returns actions."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from weldquay.interface import (
    Action,
    AttemptEnded,
    AttemptProgress,
    ClientDisconnected,
    DiscoveryObservation,
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
from weldquay.policy.assembly import PolicyComponents
from weldquay.policy.timers import NOT_SCHEDULED
from weldquay.state.records import Worker


class Dispatcher:
    """Makes the decisions of one dispatcher: `step` takes events and returns the actions to execute.

    It does no I/O and reads no clock. Events about unknown requests, attempts and workers are ignored.

    Attributes:
        components: the objects that make the decisions.
        context: the state of the current step.
        table: all workers, and which of them are ready, banned or reinstated.
        scheduler: the capacity reservations.
        lease: limits how long the endpoint list may be used.
        workers: the workers by number.
        jobs: the requests without a final answer, by request id.
        attempts: the attempts in flight, by request id and attempt number.
        handlers: the method that handles each type of event; events of other types only cause a step.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        """Start with no workers and no requests.

        Args:
            settings: the settings, until a `SettingsChanged` event replaces them.
            seed: seed of the random generator.
        """
        components = self.components = PolicyComponents(settings, seed)
        self.context = components.context
        self.table = components.table
        self.scheduler = components.scheduler
        self.lease = components.lease
        self.workers = components.table.workers
        self.jobs = components.requests.jobs
        self.attempts = components.requests.attempts
        self.handlers: dict[type, Callable[[Any], object]] = {
            RequestReceived: components.open_requests.accept,
            AttemptEnded: components.outcomes.apply,
            AttemptProgress: components.outcomes.record_progress,
            ShutdownStarted: components.open_requests.start_shutdown,
            ProbeEnded: components.probe_results.apply,
            EndpointListUpdate: components.endpoint_list.apply_update,
            DiscoveryObservation: components.endpoint_list.apply_observation,
            SettingsChanged: self.reconfigure,
            WorkerBanChanged: components.endpoint_list.apply_ban_change,
            WorkerStateRestored: components.table.restore,
            RequestMigrated: components.open_requests.resume_migrated,
            ResponseStarted: components.open_requests.record_response_start,
            ClientDisconnected: components.open_requests.handle_disconnect,
        }

    @property
    def settings(self) -> Settings:
        """The settings in force."""
        return self.context.settings

    @property
    def ready_workers(self) -> list[Worker]:
        """The workers that are listed as ready and not banned."""
        return self.table.ready_workers

    def snapshots(self) -> dict[int, WorkerSnapshot]:
        """Return the state of each worker, by number, for the process that replaces this one."""
        return self.table.snapshots()

    def step(self, now_ns: int, events: list[Event]) -> list[Action]:
        """Handle the events of a step and return the resulting actions, in order.

        Args:
            now_ns: time of the step, in nanoseconds of a monotonic clock.
            events: the events since the last step, in order; may be empty.

        Raises:
            IndexError: a request names an unknown class.
        """
        context, endpoint_list, index = self.context, self.components.endpoint_list, self.components.index
        is_first_step = not context.started_ns
        context.started_ns = context.started_ns or now_ns
        context.now_ns = now_ns
        context.actions = []
        for event in events:
            index.changed[getattr(event, "worker", 0)] = None
            if (handle := self.handlers.get(type(event))) is not None:
                handle(event)
        if endpoint_list.has_changed:  # computed once for all changes of a step
            endpoint_list.refresh_ready_workers()
        if is_first_step and context.settings.polls_endpoint_list:
            endpoint_list.schedule_first_poll()
        self.run_due_work(any(not isinstance(event, AttemptProgress) for event in events))
        return context.actions

    def next_deadline_ns(self) -> int | None:
        """Return the earliest deadline of a request, at which a step is due; None if there is none."""
        return self.components.open_requests.next_deadline_ns()

    def reconfigure(self, event: SettingsChanged) -> None:
        """Apply changed settings; open requests keep the class settings they were accepted with."""
        settings = self.context.settings = event.settings
        self.scheduler.reconfigure(
            self.context.now_ns,
            settings.reservations,
            settings.dispatcher_count,
            settings.workers_queue_in_order,
        )
        self.components.runtimes.configure_classes(
            (rules.latency_objective_ns for rules in settings.classes),
            (rules.is_offered for rules in settings.classes),
        )
        self.components.slow_start.reconfigure()
        self.components.endpoint_list.reconfigure()

    def run_due_work(self, may_place: bool) -> None:
        """Run the work that is due, place queued requests and report ended reservations.

        Args:
            may_place: whether queued requests are placed; False for a step with progress events only.
        """
        components, context, scheduler = self.components, self.context, self.scheduler
        queued = components.requests.queued
        if components.endpoint_list.next_poll_ns != NOT_SCHEDULED:
            components.endpoint_list.poll_if_due(bool(queued))
        components.open_requests.answer_expired()
        if 0 <= components.periodic_check.next_check_ns <= context.now_ns:
            components.periodic_check.run()
        if scheduler.by_request:
            scheduler.expire(
                context.now_ns,
                lambda worker_number: components.ejection.is_healthy(self.workers[worker_number]),
            )
        if queued and may_place:
            components.queue.place_queued()
        if scheduler.results:
            context.actions += [
                ReservationEnded(
                    result.request, result.worker, result.reason, result.reserved_ns, result.delay_ns
                )
                for result in scheduler.take_results()
            ]
        components.periodic_check.schedule()
