"""Calls and attempts as both sides of the exchange know them, and what it asks of each side."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, Protocol

from weldquay import interface as api
from weldquay.net.messages import Figures, MemberList


@dataclass(frozen=True, slots=True)
class Served:
    """A worker's result."""

    result: str


@dataclass(frozen=True, slots=True)
class Overload:
    """Not done, and trying again is harmless, best after a wait."""

    retry_after_ns: int = 0


@dataclass(frozen=True, slots=True)
class Failed:
    """Failed; nothing is promised about the effect."""


Answer = Served | Overload | Failed


@dataclass(slots=True, eq=False)
class Call:
    """A call in hand.  on_answer is called exactly once, unless the client leaves first."""

    id: str
    number: int
    payload: object
    deadline_ns: int
    on_answer: Callable[[Answer], None]
    figures: Figures
    job_class: int
    rules: api.JobClass
    opened_ns: int
    most: int  # attempts
    open: bool = True
    sends: int = 0
    ran: bool = False  # an attempt that has ended may have run
    live: dict[int, Attempt] = field(default_factory=dict)
    overdue: asyncio.TimerHandle | None = None

    @property
    def safe(self) -> bool:
        """True where the job may run again."""
        return self.rules.effect is api.Effect.SAFE


@dataclass(slots=True, eq=False)
class Attempt:
    """One send of a call to a worker, until its one end has been told."""

    call: Call
    number: int
    worker: int
    worker_id: str
    sent_ns: int
    deadline_ns: int
    begin_by_ns: int = 0  # it must have begun by then, or not at all; 0: at any time
    timer: asyncio.TimerHandle | None = None
    begun_ns: int = 0  # when its worker told that it runs; 0: not told
    written: bool = False  # bytes of it may have gone to the worker
    ended: bool = False


@dataclass(frozen=True, slots=True)
class Passed:
    """A connection on its way to a newer process: what was read ahead, or its request and what it tells."""

    file: int
    ahead: bytes
    resting: bool
    since: float
    call: Mapping[str, Any] | None = None


@dataclass(frozen=True, slots=True)
class Expected:
    """An adopted call whose connection is on its way; an answer that comes before it waits here."""

    call: Call
    answers: list[Answer]


class WorkerSide(Protocol):
    """What the exchange asks of the workers' side."""

    def follow(self, told: MemberList) -> None:
        """Take in the list, or changes of it."""

    def send(self, attempt: Attempt) -> None:
        """Start an attempt; its end is told by `attempt_ended`."""

    def give_up(self, attempt: Attempt) -> None:
        """Tell the worker that nobody waits for an attempt any more."""

    def ban(self, worker_id: str, on: bool) -> None:
        """Send no new job to a worker any more, or do so again."""

    def forget(self, worker_id: str) -> None:
        """Drop what is known of a worker that has long gone."""

    def is_telling(self, call: Call) -> bool:
        """True while a worker is being sent a call, or told that nobody waits for it."""

    def probe(self, worker_id: str) -> None:
        """Probe a worker; the result is told by `probe_ended`."""

    def close_idle(self, worker_id: str) -> None:
        """Close the idle connections to a worker."""


class DiscoverySide(Protocol):
    """What the exchange asks of the registry's side."""

    def watch(self) -> None:
        """Ask for the changes of the list; `follow` or `list_failed` answers."""
