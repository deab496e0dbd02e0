"""Clients' requests, their attempts and answers, and the interfaces of the coordinator's network sides."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from weldquay import interface as api
from weldquay.net.messages import EndpointList, RequestMetadata


@dataclass(frozen=True, slots=True)
class Completed:
    """The job was executed; result: what the worker returned."""

    result: str


@dataclass(frozen=True, slots=True)
class Rejected:
    """The job was not executed; the client may retry after retry_after_ns (0: not given)."""

    retry_after_ns: int = 0


@dataclass(frozen=True, slots=True)
class Failed:
    """The request failed; the job may have been executed or not."""


Answer = Completed | Rejected | Failed


@dataclass(slots=True, eq=False)
class ClientRequest:
    """A client's request that has no answer yet, or has attempts in flight.

    Times are in nanoseconds of the monotonic clock.  on_answer is called exactly once, or never if the client
    disconnects first.
    """

    id: str
    payload: object
    deadline_ns: int
    on_answer: Callable[[Answer], None]
    metadata: RequestMetadata
    job_class: int
    class_settings: api.JobClass
    received_ns: int
    max_attempts: int
    number: int = 0  # in the decision module; given by the request table
    is_open: bool = True  # without an answer, and its client is connected
    attempts_started: int = 0
    possibly_executed: bool = False  # an attempt that has ended may have executed the job
    in_flight: dict[int, Attempt] = field(default_factory=dict)  # attempts that have not ended, by number
    deadline_timer: asyncio.TimerHandle | None = None  # answers the request after its deadline

    @property
    def is_idempotent(self) -> bool:
        """True if the job may be executed more than once."""
        return self.class_settings.idempotency is api.Idempotency.IDEMPOTENT

    @property
    def may_have_been_executed(self) -> bool:
        """True if a worker may have executed the job, or may be executing it."""
        return self.possibly_executed or any(attempt.possibly_sent for attempt in self.in_flight.values())

    def received_event(self, time_left_ns: int) -> api.RequestReceived:
        """The event for the decision module; time_left_ns: until the deadline."""
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
    """One send of a request to a worker; it ends once.  Times are in nanoseconds of the monotonic clock."""

    request: ClientRequest
    number: int
    worker: int
    worker_id: str
    sent_ns: int
    deadline_ns: int
    send_before_ns: int = 0  # no byte of it may be written later; 0: no limit
    deadline_timer: asyncio.TimerHandle | None = None  # ends the attempt at its deadline
    started_ns: int = 0  # when the worker reported its start; 0: not reported
    possibly_sent: bool = False  # bytes of it may have reached the worker
    has_ended: bool = False


@dataclass(frozen=True, slots=True)
class AcceptedRequest:
    """A request of an older process; answers: those given before its connection is set up."""

    request: ClientRequest
    answers: list[Answer]


class WorkerClient(Protocol):
    """The workers' side, as the coordinator uses it."""

    def apply_endpoint_list(self, update: EndpointList) -> None:
        """Apply a complete list of workers, or changes of it."""

    def send(self, attempt: Attempt) -> None:
        """Start an attempt; `RequestCoordinator.attempt_ended` reports its end."""

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Cancel an attempt; its worker is sent a DELETE if it may have the job."""

    def set_worker_ban(self, worker_id: str, is_banned: bool) -> None:
        """Ban a worker from new attempts, or lift its ban."""

    def discard_worker(self, worker_id: str) -> None:
        """Remove the state of a worker that is no longer listed."""

    def has_pending_messages(self, request: ClientRequest) -> bool:
        """True while an attempt of the request, or a DELETE of it, is under way to a worker."""

    def probe(self, worker_id: str) -> None:
        """Start a health check of a worker; `RequestCoordinator.probe_ended` reports the result."""

    def close_idle(self, worker_id: str) -> None:
        """Close the idle connections to a worker."""


class DiscoveryWatcher(Protocol):
    """Discovery's client, as the coordinator uses it."""

    def watch(self) -> None:
        """Watch the endpoint list; `RequestCoordinator.endpoint_list` gets the updates and failures."""
