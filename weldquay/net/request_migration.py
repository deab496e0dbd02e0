"""The migration of requests and worker states between two processes during a hot restart.

The older process ends a request without a result and exports its state; the newer process continues it.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import replace

from weldquay import interface as api
from weldquay.net.attempt_table import AttemptTable
from weldquay.net.config import Config
from weldquay.net.endpoint_list_adapter import EndpointListAdapter
from weldquay.net.event_queue import EventQueue
from weldquay.net.hot_restart_messages import MigratedAttempt, MigratedRequest
from weldquay.net.late_outcomes import migrated_late_outcomes
from weldquay.net.messages import RequestMetadata
from weldquay.net.request_table import RequestTable
from weldquay.net.requests import Attempt, ClientRequest, RequestResult, WorkerClient
from weldquay.policy.dispatcher import Dispatcher


class RequestMigration:
    """Exports the state of requests and workers to another process, and imports it from an older one.

    `workers` has to be set before a request migrates.
    """

    workers: WorkerClient
    peer_reads_class_settings = False  # whether the newer process keeps the settings of migrated requests

    def __init__(
        self,
        dispatcher: Dispatcher,
        events: EventQueue,
        requests: RequestTable,
        attempts: AttemptTable,
        endpoint_list: EndpointListAdapter,
    ) -> None:
        self._dispatcher = dispatcher
        self._enqueue_event = events.enqueue
        self._requests = requests
        self._attempts = attempts
        self._endpoint_list = endpoint_list

    def worker_snapshots(self) -> dict[str, api.WorkerSnapshot]:
        """Return the state of each worker by its id."""
        worker_ids = self._endpoint_list.worker_ids
        snapshots = self._dispatcher.snapshots()
        return {worker_ids[number]: snapshot for number, snapshot in snapshots.items()}

    def restore_worker(self, worker_id: str, snapshot: api.WorkerSnapshot) -> None:
        """Restore a worker's state from an older process."""
        number = self._endpoint_list.worker_number(worker_id)
        self._enqueue_event(api.WorkerStateRestored(number, snapshot))

    def can_migrate(self, request: ClientRequest, config: Config) -> bool:
        """Return whether another process can continue the request.

        The other process does not get the outcomes of attempts that have ended.  So no message about the
        request may be in transit to a worker, and no attempt that has ended may have executed a
        non-idempotent job.  A process of an earlier release applies the class settings of its own file, so it
        gets only idempotent jobs with the current settings.
        """
        return (
            request.is_open
            and (self.peer_reads_class_settings or _has_current_settings(request, config))
            and (request.is_idempotent or not request.possibly_executed)
            and not self.workers.has_pending_messages(request)
        )

    def migrate_request(self, request: ClientRequest, config: Config) -> MigratedRequest:
        """End a request without a result, and return the state that another process continues it from."""
        in_flight = list(request.in_flight.values())
        migrated = MigratedRequest(
            class_name=config.class_names[request.job_class],
            opened_ns=request.received_ns,
            deadline_ns=request.deadline_ns,
            attempts_sent=request.attempts_started,
            attempts=tuple(
                MigratedAttempt(
                    number=attempt.number,
                    worker_id=attempt.worker_id,
                    sent_ns=attempt.sent_ns,
                    deadline_ns=attempt.deadline_ns,
                    started_ns=attempt.started_ns,
                )
                for attempt in in_flight
            ),
            late_outcomes=request.late_outcomes.reported(),
            class_settings=request.class_settings,
            max_attempts=request.max_attempts,
        )
        for attempt in in_flight:
            self._attempts.remove(attempt)
            self._enqueue_event(
                api.AttemptEnded(
                    request.number, attempt.number, attempt.worker_number, api.Outcome.CANCELLED, 0, True
                )
            )
        self._requests.close(request)
        self._enqueue_event(api.ClientDisconnected(request.number))
        return migrated

    def accept_migrated(
        self,
        migrated: MigratedRequest,
        metadata: RequestMetadata,
        payload: object,
        on_result: Callable[[RequestResult], None],
        config: Config,
    ) -> ClientRequest:
        """Continue a request of an older process, with its attempts in flight."""
        settings = config.settings
        job_class = config.class_names.index(migrated.class_name)
        class_settings = _migrated_class_settings(migrated, settings.classes[job_class])
        request = ClientRequest(
            metadata.id,
            payload,
            migrated.deadline_ns,
            on_result,
            metadata,
            job_class,
            class_settings,
            migrated.opened_ns,
            migrated.max_attempts or settings.max_attempts,
            attempts_started=migrated.attempts_sent,
        )
        request.possibly_executed = request.is_idempotent and migrated.attempts_sent > 0
        request.late_outcomes = migrated_late_outcomes(
            migrated.late_outcomes, migrated.attempts_sent > len(migrated.attempts), request.is_idempotent
        )
        self._requests.add(request)
        attempts = [self._accept_attempt(request, attempt) for attempt in migrated.attempts]
        last_attempt = attempts[-1] if attempts else None
        self._enqueue_event(
            api.RequestMigrated(
                request.received_event(request.deadline_ns - time.monotonic_ns()),
                request.received_ns,
                request.attempts_started,
                last_attempt.worker_number if last_attempt is not None else 0,
                last_attempt.sent_ns if last_attempt is not None else 0,
                last_attempt.started_ns if last_attempt is not None else 0,
                class_settings,
                request.max_attempts,
            )
        )
        return request

    def _accept_attempt(self, request: ClientRequest, migrated: MigratedAttempt) -> Attempt:
        attempt = Attempt(
            request,
            migrated.number,
            self._endpoint_list.worker_number(migrated.worker_id),
            migrated.worker_id,
            migrated.sent_ns,
            migrated.deadline_ns,
            started_ns=migrated.started_ns,
            possibly_sent=True,
        )
        self._attempts.add(attempt)
        return attempt


def _has_current_settings(request: ClientRequest, config: Config) -> bool:
    """Return whether an idempotent request has the settings that the newer process probably has."""
    settings = config.settings
    return (
        request.is_idempotent
        and request.class_settings == settings.classes[request.job_class]
        and request.max_attempts == settings.max_attempts
    )


def _migrated_class_settings(migrated: MigratedRequest, current: api.JobClass) -> api.JobClass:
    """Return the class settings of a migrated request.

    Args:
        migrated: the request.
        current: the settings of its class in this process.  If an earlier release has not sent its own, their
            effect may differ, so that the job counts as one that must not run twice.
    """
    if migrated.class_settings is None:
        return replace(current, idempotency=api.Idempotency.NON_IDEMPOTENT)
    return replace(migrated.class_settings, machine_kind=current.machine_kind)
