"""Calls (clients' requests), their attempts and answers; what the exchange needs of both network sides."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from weldquay import interface as api
from weldquay.net.messages import Figures, MemberList


@dataclass(frozen=True, slots=True)
class Served:
    """The call was done; result: what the worker returned."""

    result: str


@dataclass(frozen=True, slots=True)
class Overload:
    """The call was not done; the client may repeat it after retry_after_ns (0: not said)."""

    retry_after_ns: int = 0


@dataclass(frozen=True, slots=True)
class Failed:
    """The call failed; the job may have run or not."""


Answer = Served | Overload | Failed


@dataclass(slots=True, eq=False)
class Call:
    """A client's request that has no answer yet, or attempts that have not ended.

    Times are in nanoseconds of the monotonic clock.  on_answer is called exactly once, or never if the client
    leaves first.
    """

    id: str
    number: int
    payload: object
    deadline_ns: int
    on_answer: Callable[[Answer], None]
    figures: Figures
    job_class: int
    rules: api.JobClass
    opened_ns: int
    most: int  # the limit of attempts
    open: bool = True  # it has no answer yet, and its client is there
    sends: int = 0  # attempts so far
    ran: bool = False  # an attempt that has ended may have run
    live: dict[int, Attempt] = field(default_factory=dict)  # attempts that have not ended, by number
    overdue: asyncio.TimerHandle | None = None  # fails the call after its deadline

    @property
    def safe(self) -> bool:
        """True where the job may run again."""
        return self.rules.effect is api.Effect.SAFE


@dataclass(slots=True, eq=False)
class Attempt:
    """One send of a call to a worker; it ends once.  Times are in nanoseconds of the monotonic clock."""

    call: Call
    number: int
    worker: int
    worker_id: str
    sent_ns: int
    deadline_ns: int
    begin_by_ns: int = 0  # no byte of it may be written after that; 0: no limit
    timer: asyncio.TimerHandle | None = None  # ends it at its deadline
    begun_ns: int = 0  # when its worker reported that it runs; 0: not reported
    written: bool = False  # bytes of it may have gone to the worker
    ended: bool = False


@dataclass(frozen=True, slots=True)
class AdoptedCall:
    """A call taken over from an older process; answers: those that come before its connection is set up."""

    call: Call
    answers: list[Answer]


class WorkerSide(Protocol):
    """What the exchange needs of the client for the workers."""

    def follow(self, told: MemberList) -> None:
        """Apply a whole list of workers, or changes of it."""

    def send(self, attempt: Attempt) -> None:
        """Start an attempt; `Exchange.attempt_ended` reports its end."""

    def give_up(self, attempt: Attempt) -> None:
        """Cancel an attempt at its worker, which is sent a DELETE if it may have the job."""

    def ban(self, worker_id: str, on: bool) -> None:
        """Ban a worker from new jobs, or (on False) lift the ban."""

    def forget(self, worker_id: str) -> None:
        """Remove the state of a worker that is no longer listed."""

    def is_telling(self, call: Call) -> bool:
        """True while a request with the call, or a DELETE of it, is under way to a worker."""

    def probe(self, worker_id: str) -> None:
        """Probe a worker; `Exchange.probe_ended` reports the result."""

    def close_idle(self, worker_id: str) -> None:
        """Close the idle connections to a worker."""


class DiscoverySide(Protocol):
    """What the exchange needs of the client for discovery."""

    def watch(self) -> None:
        """Ask for changes of the list; `Exchange.follow` or `Exchange.list_failed` reports the result."""
