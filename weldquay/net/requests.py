"""Calls (clients' requests), their attempts and answers; what the exchange needs of both network sides."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from weldquay import interface as api
from weldquay.net.messages import RequestMetadata, EndpointList


@dataclass(frozen=True, slots=True)
class Completed:
    """The call was done; result: what the worker returned."""

    result: str


@dataclass(frozen=True, slots=True)
class Rejected:
    """The call was not done; the client may repeat it after retry_after_ns (0: not said)."""

    retry_after_ns: int = 0


@dataclass(frozen=True, slots=True)
class Failed:
    """The call failed; the job may have run or not."""


Answer = Completed | Rejected | Failed


@dataclass(slots=True, eq=False)
class ClientRequest:
    """A client's request that has no answer yet, or attempts that have not ended.

    Times are in nanoseconds of the monotonic clock.  on_answer is called exactly once, or never if the client
    leaves first.
    """

    id: str
    number: int
    payload: object
    deadline_ns: int
    on_answer: Callable[[Answer], None]
    metadata: RequestMetadata
    job_class: int
    class_settings: api.JobClass
    received_ns: int
    max_attempts: int  # the limit of attempts
    is_open: bool = True  # it has no answer yet, and its client is there
    attempts_started: int = 0  # attempts so far
    possibly_executed: bool = False  # an attempt that has ended may have run
    in_flight: dict[int, Attempt] = field(default_factory=dict)  # attempts that have not ended, by number
    deadline_timer: asyncio.TimerHandle | None = None  # fails the call after its deadline

    @property
    def is_idempotent(self) -> bool:
        """True where the job may run again."""
        return self.class_settings.idempotency is api.Idempotency.IDEMPOTENT


@dataclass(slots=True, eq=False)
class Attempt:
    """One send of a call to a worker; it ends once.  Times are in nanoseconds of the monotonic clock."""

    request: ClientRequest
    number: int
    worker: int
    worker_id: str
    sent_ns: int
    deadline_ns: int
    send_before_ns: int = 0  # no byte of it may be written after that; 0: no limit
    deadline_timer: asyncio.TimerHandle | None = None  # ends it at its deadline
    started_ns: int = 0  # when its worker reported that it runs; 0: not reported
    possibly_sent: bool = False  # bytes of it may have gone to the worker
    ended: bool = False


@dataclass(frozen=True, slots=True)
class AcceptedRequest:
    """A call taken over from an older process; answers: those that come before its connection is set up."""

    request: ClientRequest
    answers: list[Answer]


class WorkerClient(Protocol):
    """What the exchange needs of the client for the workers."""

    def apply_endpoint_list(self, told: EndpointList) -> None:
        """Apply a whole list of workers, or changes of it."""

    def send(self, attempt: Attempt) -> None:
        """Start an attempt; `Exchange.attempt_ended` reports its end."""

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Cancel an attempt at its worker, which is sent a DELETE if it may have the job."""

    def set_banned(self, worker_id: str, on: bool) -> None:
        """Ban a worker from new jobs, or (on False) lift the ban."""

    def discard_worker(self, worker_id: str) -> None:
        """Remove the state of a worker that is no longer listed."""

    def is_notifying(self, call: ClientRequest) -> bool:
        """True while a request with the call, or a DELETE of it, is under way to a worker."""

    def probe(self, worker_id: str) -> None:
        """Probe a worker; `Exchange.probe_ended` reports the result."""

    def close_idle(self, worker_id: str) -> None:
        """Close the idle connections to a worker."""


class DiscoveryWatcher(Protocol):
    """What the exchange needs of the client for discovery."""

    def watch(self) -> None:
        """Ask for changes of the list; `Exchange.follow` or `Exchange.list_failed` reports the result."""
