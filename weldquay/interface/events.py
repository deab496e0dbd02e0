"""Events: what the decision module is told in a step."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from weldquay.interface.settings import Settings
from weldquay.interface.worker_snapshot import WorkerSnapshot


class Outcome(Enum):
    """How an attempt or a probe ended; REJECTED: the worker cannot use this job, and no other could."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"
    UNKNOWN = "unknown"
    REJECTED = "rejected"

    @property
    def never_ran(self) -> bool:
        """True where the outcome proves that the worker never began the job."""
        return self in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)


class WorkerState(Enum):
    """A worker's state in the membership list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """What a membership event holds.

    CURRENT, MOVED and FAILED hold no entries and leave the list as it was.  CURRENT: discovery has nothing
    new.  MOVED: a reload has given discovery another address.
    """

    DELTA = "delta"
    FULL = "full"
    CACHED = "cached"
    CURRENT = "current"
    MOVED = "moved"
    FAILED = "failed"


class ListFailure(Enum):
    """How a call to discovery failed.

    REFUSED: at once, by a refused or reset connection or a 503: discovery is down.  UNREACHED: no connection
    came up.  CLOSED: an open watch ended.  SILENT: an open watch told nothing, not even an empty line.
    UNANSWERED: discovery took the call and brought no news, or news that cannot be used.  BUSY, also where it
    is not told: after a wait in discovery's queue.
    """

    REFUSED = "refused"
    UNREACHED = "unreached"
    CLOSED = "closed"
    SILENT = "silent"
    UNANSWERED = "unanswered"
    BUSY = "busy"


@dataclass(frozen=True, slots=True)
class LoadReport:
    """A worker's own figures, as far as it gives them."""

    free_slots: float | None = None
    free_memory: float | None = None
    held: float | None = None
    queued: float | None = None
    busy_share: float | None = None
    service_ms: float | None = None  # its recent service time: the same news at every dispatcher


@dataclass(frozen=True, slots=True)
class WorkerEntry:
    """A line of the membership list.  started_ns is 0 where the start lies long ago.

    common: a number of this start of this worker that is the same at all dispatchers.
    """

    worker: int
    state: WorkerState
    cell: int = 0
    kind: int = 0
    zone: int = 0
    started_ns: int = 0
    weight: float = 1.0
    common: int = 0


class LeaseState(NamedTuple):
    """What a process passes on of its lease on the list (`weldquay/discovery/list_lease.py`).

    until_ns: no attempt begins by the list from then on; 0: the list may be of any age.  missed, silent: what
    came since the last news, and keeps a refused call from prolonging the lease.
    """

    until_ns: int = 0
    missed: bool = False
    silent: bool = False


NO_LEASE = LeaseState()


@dataclass(frozen=True, slots=True)
class Membership:
    """News of the worker list.

    Of a call that failed: silent_ns since its last good news, or since it was made; and how it failed.  Of a
    cached list: the lease that an earlier process of this dispatcher had on it.
    """

    kind: ListKind
    entries: tuple[WorkerEntry, ...] = ()
    silent_ns: int = 0
    failure: ListFailure = ListFailure.BUSY
    lease: LeaseState = NO_LEASE


@dataclass(frozen=True, slots=True)
class Request:
    """A client's request: the dispatcher now owes one final answer within time_left_ns."""

    request: int
    job_class: int
    time_left_ns: int
    slots: float = 1.0
    memory: float = 0.0
    hint_ns: int | None = None
    key: int = 0
    repeat: bool = False


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt's outcome; over says that the client has its answer."""

    request: int
    attempt: int
    worker: int
    outcome: Outcome
    latency_ns: int
    over: bool
    report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """A probe's outcome."""

    worker: int
    outcome: Outcome
    latency_ns: int
    report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class AttemptNote:
    """News of a running attempt: progress is the share done, or None when it has just started."""

    request: int
    attempt: int
    worker: int
    progress: float | None = None


@dataclass(frozen=True, slots=True)
class StreamBegun:
    """The answer has begun to flow: the attempt is the client's from now on."""

    request: int
    attempt: int
    worker: int


@dataclass(frozen=True, slots=True)
class ClientGone:
    """The client has left; nothing is owed any more."""

    request: int


@dataclass(frozen=True, slots=True)
class TimerDue:
    """A timer set by the dispatcher has come due."""

    token: int


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """Bytes from another dispatcher."""

    sender: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Ending:
    """The dispatcher ends after left_ns: by then all that is owed is answered."""

    left_ns: int


@dataclass(frozen=True, slots=True)
class Retuned:
    """Other settings, for the jobs that come from now on; numbers of classes stay, new ones come last."""

    settings: Settings


@dataclass(frozen=True, slots=True)
class Banned:
    """Operators take a worker out, or (on False) put it back: it may have been restarted meanwhile."""

    worker: int
    on: bool = True


@dataclass(frozen=True, slots=True)
class Recalled:
    """The state of a worker in an earlier process of this dispatcher."""

    worker: int
    snapshot: WorkerSnapshot


@dataclass(frozen=True, slots=True)
class Adopted:
    """A request that an earlier process of this dispatcher took; worker 0 means that no attempt is out."""

    request: Request
    born_ns: int
    attempts: int
    worker: int = 0
    sent_ns: int = 0
    started_ns: int = 0


Event = (
    Membership
    | Request
    | AttemptEnded
    | ProbeEnded
    | AttemptNote
    | StreamBegun
    | ClientGone
    | TimerDue
    | PeerMessage
    | Ending
    | Retuned
    | Banned
    | Recalled
    | Adopted
)
