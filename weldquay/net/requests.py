"""Client requests, their attempts and results, and the network interfaces that the coordinator uses."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from weldquay import interface as api
from weldquay.net.late_outcomes import LateOutcomes
from weldquay.net.messages import EndpointList, RequestMetadata


@dataclass(frozen=True, slots=True)
class Completed:
    """The job was executed, with the result that the worker returned."""

    result: str


@dataclass(frozen=True, slots=True)
class Rejected:
    """The job was not executed; the client may retry after retry_after_ns (0: unspecified)."""

    retry_after_ns: int = 0


@dataclass(frozen=True, slots=True)
class Failed:
    """The request failed; the job may or may not have been executed."""


RequestResult = Completed | Rejected | Failed


def _never() -> bool:
    """Return False; used for a request whose connection is not set up yet."""
    return False


@dataclass(slots=True, eq=False)
class ClientRequest:
    """A client request that has no result yet or has attempts in flight.

    Times are in nanoseconds of the monotonic clock.  on_result is called exactly once, or never if the client
    disconnects first.
    """

    id: str
    payload: object
    deadline_ns: int
    on_result: Callable[[RequestResult], None]
    metadata: RequestMetadata
    job_class: int
    class_settings: api.JobClass
    received_ns: int
    max_attempts: int
    number: int = 0  # id in the decision module, assigned by the request table
    is_open: bool = True  # it has no result and its client is connected
    attempts_started: int = 0
    possibly_executed: bool = False  # an attempt that has ended may have executed the job
    in_flight: dict[int, Attempt] = field(default_factory=dict)  # the attempts in flight by number
    late_outcomes: LateOutcomes = field(default_factory=LateOutcomes)  # of the attempts that have ended
    deadline_timer: asyncio.TimerHandle | None = None  # finishes the request after its deadline
    has_client_left: Callable[[], bool] = _never  # asks the system, which knows before the bytes are read
    has_unread_data: Callable[[], bool] = (
        _never  # whether the client has sent more, behind which it may leave
    )

    @property
    def is_idempotent(self) -> bool:
        """Whether the job may be executed more than once."""
        return self.class_settings.idempotency is api.Idempotency.IDEMPOTENT

    @property
    def is_non_idempotent(self) -> bool:
        """Whether the job must not be executed more than once, even with an idempotency key."""
        return self.class_settings.idempotency is api.Idempotency.NON_IDEMPOTENT

    @property
    def may_have_been_executed(self) -> bool:
        """Whether a worker may have executed the job or may be executing it."""
        return self.possibly_executed or self.may_be_running

    @property
    def may_be_running(self) -> bool:
        """Whether a worker may have an attempt that has not ended."""
        return any(attempt.possibly_sent for attempt in self.in_flight.values())

    def received_event(self, time_left_ns: int) -> api.RequestReceived:
        """Return the event for the decision module; time_left_ns is the time until the deadline."""
        metadata = self.metadata
        return api.RequestReceived(
            self.number,
            self.job_class,
            time_left_ns,
            metadata.slots,
            metadata.memory,
            metadata.runtime_hint_ns,
            metadata.object_key,
            metadata.is_retry,
        )


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt to have a worker execute a request.  It ends exactly once.

    Times are in nanoseconds of the monotonic clock.
    """

    request: ClientRequest
    number: int
    worker_number: int
    worker_id: str
    sent_ns: int
    deadline_ns: int
    send_before_ns: int = 0  # no byte of the attempt may be written after this time; 0: no limit
    deadline_timer: asyncio.TimerHandle | None = None  # ends the attempt at its deadline
    started_ns: int = 0  # when the worker reported that the job had started; 0: not reported
    possibly_sent: bool = False  # bytes of the attempt may have reached the worker
    has_ended: bool = False


@dataclass(frozen=True, slots=True)
class AcceptedRequest:
    """A migrated request; results holds the results that were reported before its connection is set up."""

    request: ClientRequest
    results: list[RequestResult]


class WorkerClient(Protocol):
    """The client for workers, as the coordinator uses it."""

    def apply_endpoint_list(self, update: EndpointList) -> None:
        """Apply a complete endpoint list, or changes to it."""

    def send(self, attempt: Attempt) -> None:
        """Start an attempt; its end is reported with `RequestCoordinator.attempt_ended`."""

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Cancel an attempt, with a DELETE request if the worker may have received the job."""

    def set_worker_ban(self, worker_id: str, is_banned: bool) -> None:
        """Ban a worker from new attempts or lift its ban."""

    def discard_worker(self, worker_id: str) -> None:
        """Remove the state of a worker that is no longer listed."""

    def has_pending_messages(self, request: ClientRequest) -> bool:
        """Return whether an attempt or a DELETE of the request is being sent to a worker."""

    def probe(self, worker_id: str) -> None:
        """Start a health check of a worker; `RequestCoordinator.probe_ended` receives the result."""

    def close_idle(self, worker_id: str) -> None:
        """Close the idle connections to a worker."""


class DiscoveryWatcher(Protocol):
    """The discovery client, as the coordinator uses it."""

    def watch(self) -> None:
        """Watch the endpoint list; `RequestCoordinator.endpoint_list` receives the updates and failures."""
