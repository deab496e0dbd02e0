"""Events: what the decision module is told in a step."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from weldquay.interface.settings import Settings
from weldquay.interface.worker_snapshot import WorkerSnapshot


class Outcome(Enum):
    """How an attempt or a probe ended.

    UNPROCESSABLE: the request itself is at fault, so that no other worker could serve it.
    """

    OK = "ok"
    ERROR = "error"
    OVERLOADED = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    ABORTED_BEFORE_SEND = "moot"
    UNKNOWN = "unknown"
    UNPROCESSABLE = "rejected"

    @property
    def never_executed(self) -> bool:
        """True where the outcome proves that the worker never began the job."""
        return self in (Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.ABORTED_BEFORE_SEND)


class WorkerState(Enum):
    """A worker's state in the endpoint list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class EndpointListKind(Enum):
    """What an endpoint list update holds.

    UNCHANGED, ADDRESS_CHANGED and FAILED hold no entries and leave the list as it was.  UNCHANGED: discovery
    has no changes.  ADDRESS_CHANGED: a reload of the configuration gave discovery another address.
    """

    DELTA = "delta"
    FULL = "full"
    CACHED = "cached"
    UNCHANGED = "current"
    ADDRESS_CHANGED = "moved"
    FAILED = "failed"


class DiscoveryFailure(Enum):
    """How a poll of discovery, or its watch, failed.

    REFUSED: at once, by a refused or reset connection or a 503: discovery is down.  CONNECT_TIMEOUT: no
    connection was established.  CLOSED: an open watch ended.  HEARTBEAT_TIMEOUT: an open watch sent nothing,
    not even an empty line.  RESPONSE_TIMEOUT: discovery accepted the request and sent no update, or an
    invalid one.  BUSY: it failed after a wait in discovery's queue; also where the cause is unknown.
    """

    REFUSED = "refused"
    CONNECT_TIMEOUT = "unreached"
    CLOSED = "closed"
    HEARTBEAT_TIMEOUT = "silent"
    RESPONSE_TIMEOUT = "unanswered"
    BUSY = "busy"


@dataclass(frozen=True, slots=True)
class LoadReport:
    """A worker's own figures, as far as it gives them."""

    free_slots: float | None = None
    free_memory: float | None = None
    busy_requests: float | None = None
    queued_requests: float | None = None
    cpu_utilization: float | None = None
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
    start_id: int = 0


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
class EndpointListUpdate:
    """News of the worker list.

    Of a call that failed: silent_ns since its last good news, or since it was made; and how it failed.  Of a
    cached list: the lease that an earlier process of this dispatcher had on it.
    """

    kind: EndpointListKind
    entries: tuple[WorkerEntry, ...] = ()
    since_update_ns: int = 0
    failure: DiscoveryFailure = DiscoveryFailure.BUSY
    lease: LeaseState = NO_LEASE


@dataclass(frozen=True, slots=True)
class RequestReceived:
    """A client's request: the dispatcher now owes one final answer within time_left_ns."""

    request_id: int
    job_class: int
    time_left_ns: int
    slots: float = 1.0
    memory: float = 0.0
    runtime_hint_ns: int | None = None
    key: int = 0
    is_retry: bool = False


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt's outcome; over says that the client has its answer."""

    request_id: int
    attempt: int
    worker: int
    outcome: Outcome
    latency_ns: int
    request_finished: bool
    report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """A probe's outcome."""

    worker: int
    outcome: Outcome
    latency_ns: int
    report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class AttemptProgress:
    """News of a running attempt: progress is the share done, or None when it has just started."""

    request_id: int
    attempt: int
    worker: int
    progress: float | None = None


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """The answer has begun to flow: the attempt is the client's from now on."""

    request_id: int
    attempt: int
    worker: int


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client has left; nothing is owed any more."""

    request_id: int


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
class ShutdownStarted:
    """The dispatcher ends after left_ns: by then all that is owed is answered."""

    time_left_ns: int


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """Other settings, for the jobs that come from now on; numbers of classes stay, new ones come last."""

    settings: Settings


@dataclass(frozen=True, slots=True)
class WorkerBanChanged:
    """Operators take a worker out, or (on False) put it back: it may have been restarted meanwhile."""

    worker: int
    is_banned: bool = True


@dataclass(frozen=True, slots=True)
class WorkerStateRestored:
    """The state of a worker in an earlier process of this dispatcher."""

    worker: int
    snapshot: WorkerSnapshot


@dataclass(frozen=True, slots=True)
class RequestMigrated:
    """A request that an earlier process of this dispatcher took; worker 0 means that no attempt is out."""

    request: RequestReceived
    first_received_ns: int
    attempts: int
    worker: int = 0
    sent_ns: int = 0
    started_ns: int = 0


Event = (
    EndpointListUpdate
    | RequestReceived
    | AttemptEnded
    | ProbeEnded
    | AttemptProgress
    | ResponseStarted
    | ClientDisconnected
    | TimerDue
    | PeerMessage
    | ShutdownStarted
    | SettingsChanged
    | WorkerBanChanged
    | WorkerStateRestored
    | RequestMigrated
)
