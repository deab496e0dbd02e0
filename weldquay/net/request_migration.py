"""How a call goes from one process of a dispatcher to the next: the part of the exchange that hands over.

The older process ends the call without an answer, and returns what the newer one needs to go on with it.
"""

from __future__ import annotations

import time
from abc import ABC, abstractmethod
from collections.abc import Callable

from weldquay import interface as api
from weldquay.policy.dispatcher import Dispatcher
from weldquay.net.requests import Answer, Attempt, ClientRequest, WorkerClient
from weldquay.net.config import Config
from weldquay.net.counters import Counters
from weldquay.net.hot_restart_messages import MigratedAttempt, MigratedRequest
from weldquay.net.messages import RequestMetadata


class RequestMigration(ABC):
    """The base of `Exchange` that passes calls on and adopts them; `Exchange` has the tables of calls."""

    config: Config
    counters: Counters
    workers: WorkerClient
    dispatcher: Dispatcher
    worker_names: dict[int, str]

    @abstractmethod
    def _tell(self, event: api.Event) -> None: ...

    @abstractmethod
    def _number(self, worker_id: str) -> int: ...

    @abstractmethod
    def _enter(
        self,
        figures: RequestMetadata,
        job_class: int,
        payload: object,
        opened_ns: int,
        deadline_ns: int,
        on_answer: Callable[[Answer], None],
    ) -> ClientRequest: ...

    @abstractmethod
    def _request(self, call: ClientRequest, left_ns: int) -> api.RequestReceived: ...

    @abstractmethod
    def _close(self, call: ClientRequest) -> None: ...

    @abstractmethod
    def _register(self, attempt: Attempt) -> None: ...

    @abstractmethod
    def _remove(self, attempt: Attempt) -> None: ...

    def worker_snapshots(self) -> dict[str, api.WorkerSnapshot]:
        """The state of each worker, by its id."""
        snapshots = self.dispatcher.snapshots()
        return {self.worker_names[number]: snapshot for number, snapshot in snapshots.items()}

    def restore_worker(self, worker_id: str, snapshot: api.WorkerSnapshot) -> None:
        """Restore the state that an earlier process had of a worker."""
        self._tell(api.WorkerStateRestored(self._number(worker_id), snapshot))

    def can_migrate(self, call: ClientRequest) -> bool:
        """True where a later process can go on with the call: nothing of it is half done here.

        That process knows today's rules, and of an attempt that has ended only that it has.
        """
        settings = self.config.settings
        return call.is_open and (
            call.class_settings == settings.classes[call.job_class]
            and call.max_attempts == settings.max_attempts
            and (call.is_idempotent or not call.possibly_executed)
            and not self.workers.is_notifying(call)
        )

    def migrate_request(self, call: ClientRequest) -> MigratedRequest:
        """End a call here without an answer: a later process goes on with what this tells."""
        attempts = tuple(
            MigratedAttempt(
                number=attempt.number,
                worker_id=attempt.worker_id,
                sent_ns=attempt.sent_ns,
                deadline_ns=attempt.deadline_ns,
                started_ns=attempt.started_ns,
            )
            for attempt in call.in_flight.values()
        )
        migrated = MigratedRequest(
            class_name=self.config.class_names[call.job_class],
            opened_ns=call.received_ns,
            deadline_ns=call.deadline_ns,
            attempts_sent=call.attempts_started,
            attempts=attempts,
        )
        for attempt in list(call.in_flight.values()):
            self._remove(attempt)
            self._tell(
                api.AttemptEnded(call.number, attempt.number, attempt.worker, api.Outcome.CANCELLED, 0, True)
            )
        self._close(call)
        self._tell(api.ClientDisconnected(call.number))
        return migrated

    def accept_migrated(
        self,
        migrated: MigratedRequest,
        figures: RequestMetadata,
        payload: object,
        on_answer: Callable[[Answer], None],
    ) -> ClientRequest:
        """Go on with a call as an earlier process told of it."""
        self.counters.add("calls_adopted")
        call = self._enter(
            figures,
            self.config.class_names.index(migrated.class_name),
            payload,
            migrated.opened_ns,
            migrated.deadline_ns,
            on_answer,
        )
        call.attempts_started, now_ns = migrated.attempts_sent, time.monotonic_ns()
        worker = sent_ns = begun_ns = 0
        for each in migrated.attempts:
            worker, sent_ns, begun_ns = self._number(each.worker_id), each.sent_ns, each.started_ns
            attempt = Attempt(
                call,
                each.number,
                worker,
                each.worker_id,
                sent_ns,
                each.deadline_ns,
                started_ns=begun_ns,
                possibly_sent=True,
            )
            self._register(attempt)
        self._tell(
            api.RequestMigrated(
                self._request(call, call.deadline_ns - now_ns),
                call.received_ns,
                call.attempts_started,
                worker,
                sent_ns,
                begun_ns,
            )
        )
        return call
