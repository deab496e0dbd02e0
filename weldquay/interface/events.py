"""Events: what the caller of the decision module reports to a step of it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from weldquay.interface.lease_state import NO_LEASE, LeaseState
from weldquay.interface.settings import JobClass, Settings
from weldquay.interface.worker_snapshot import WorkerSnapshot


class Outcome(Enum):
    """How an attempt or a probe ended.

    OK: with a result. ERROR: the worker failed. OVERLOADED: the worker was at capacity and rejected it.
    TIMEOUT: no answer in time. CONNECT_FAILED: no connection was established. RESET: the connection was lost.
    CANCELLED: it was cancelled. ABORTED_BEFORE_SEND: it was not sent. UNKNOWN: the outcome is not known.
    UNPROCESSABLE: the request itself is invalid, so no other worker could process it.
    """

    OK = "ok"
    ERROR = "error"
    OVERLOADED = "overloaded"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    ABORTED_BEFORE_SEND = "aborted_before_send"
    UNKNOWN = "unknown"
    UNPROCESSABLE = "unprocessable"

    @property
    def never_executed(self) -> bool:
        """Whether the outcome shows that the worker has not started the request."""
        return self in (Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.ABORTED_BEFORE_SEND)


class WorkerState(Enum):
    """A worker's state in the endpoint list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class EndpointListKind(Enum):
    """What an endpoint list update contains.

    DELTA: the entries that changed. FULL: all entries. CACHED: all entries, from a stored list of any age.
    The others contain no entries and leave the list as it was. UNCHANGED: discovery has no changes.
    ADDRESS_CHANGED: a reload of the configuration has changed discovery's address. FAILED: a poll or a watch
    failed.
    """

    DELTA = "delta"
    FULL = "full"
    CACHED = "cached"
    UNCHANGED = "unchanged"
    ADDRESS_CHANGED = "address_changed"
    FAILED = "failed"


class DiscoveryFailure(Enum):
    """How a poll of discovery, or its watch, failed.

    REFUSED: no connection was established, and the attempt failed at once. CONNECT_TIMEOUT: no connection was
    established in time. UNAVAILABLE: a connection was established, and at once reset or answered with a 5xx
    status. CLOSED: an open watch ended. HEARTBEAT_TIMEOUT: an open watch sent nothing, not even an empty
    line. RESPONSE_TIMEOUT: discovery accepted the request and sent no update, or an invalid one. BUSY: the
    poll failed after a wait in discovery's queue; also used if the cause is unknown.
    """

    REFUSED = "refused"
    UNAVAILABLE = "unavailable"
    CONNECT_TIMEOUT = "connect_timeout"
    CLOSED = "closed"
    HEARTBEAT_TIMEOUT = "heartbeat_timeout"
    RESPONSE_TIMEOUT = "response_timeout"
    BUSY = "busy"


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The load that a worker reports; None stands for a value that it does not report.

    Attributes:
        free_slots: free slots.
        free_memory: free memory, in the units of `RequestReceived.memory`.
        busy_requests: number of running requests.
        queued_requests: number of requests in the worker's queue.
        cpu_utilization: fraction of its processors in use.
        service_ms: recent service time, in milliseconds; every dispatcher gets the same value.
    """

    free_slots: float | None = None
    free_memory: float | None = None
    busy_requests: float | None = None
    queued_requests: float | None = None
    cpu_utilization: float | None = None
    service_ms: float | None = None


@dataclass(frozen=True, slots=True)
class WorkerEntry:
    """An entry of the endpoint list.

    Attributes:
        worker: number of the worker.
        state: its state.
        cell: number of its cell.
        kind: number of its machine kind.
        zone: number of its zone.
        started_ns: when it started; 0: long ago or unknown.
        weight: its weight in the list.
        start_id: identifies this start of the worker; the same at all dispatchers.
    """

    worker: int
    state: WorkerState
    cell: int = 0
    kind: int = 0
    zone: int = 0
    started_ns: int = 0
    weight: float = 1.0
    start_id: int = 0


@dataclass(frozen=True, slots=True)
class EndpointListUpdate:
    """An update of the endpoint list, or a failure to get one.

    Attributes:
        kind: what it contains.
        entries: the entries, in the order of the list.
        since_update_ns: for FAILED: time since the last update of the watch, or since the start of the poll.
        failure: for FAILED: how the poll or the watch failed.
        lease: for CACHED: the lease that an earlier process of this dispatcher had on the list.
    """

    kind: EndpointListKind
    entries: tuple[WorkerEntry, ...] = ()
    since_update_ns: int = 0
    failure: DiscoveryFailure = DiscoveryFailure.BUSY
    lease: LeaseState = NO_LEASE


@dataclass(frozen=True, slots=True)
class DiscoveryObservation:
    """The result of connection attempts to discovery since the last poll of it.

    Attributes:
        from_ns: start of the observed interval, on the clock of the steps.
        until_ns: end of the interval.
        is_reachable: True: discovery was reachable in the interval, or may have been. False: it was
            unreachable throughout.
    """

    from_ns: int
    until_ns: int
    is_reachable: bool = False


@dataclass(frozen=True, slots=True)
class RequestReceived:
    """A client's request; the dispatcher has to give it one final answer.

    Attributes:
        request_id: the request.
        job_class: number of its class.
        time_left_ns: time from now until its deadline.
        slots: number of slots that it occupies at a worker.
        memory: memory that it occupies at a worker.
        runtime_hint_ns: the client's estimate of its running time on an average machine.
        key: its idempotency key as a number; 0: none.
        is_retry: the client has marked it as a retry.
    """

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
    """The outcome of an attempt.

    Attributes:
        request_id: the request.
        attempt: number of the attempt, from 0.
        worker: number of the worker.
        outcome: how it ended.
        latency_ns: time from the send to the outcome.
        request_finished: the client has got its answer.
        report: the load report in the answer.
    """

    request_id: int
    attempt: int
    worker: int
    outcome: Outcome
    latency_ns: int
    request_finished: bool
    report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """The outcome of a probe.

    Attributes:
        worker: number of the worker.
        outcome: how it ended.
        latency_ns: time from the send to the outcome.
        report: the load report in the answer.
    """

    worker: int
    outcome: Outcome
    latency_ns: int
    report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class AttemptProgress:
    """A worker's report that an attempt has started or made progress.

    Attributes:
        request_id: the request.
        attempt: number of the attempt, from 0.
        worker: number of the worker.
        progress: completed fraction; None: the attempt has just started.
    """

    request_id: int
    attempt: int
    worker: int
    progress: float | None = None


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """The client has received the beginning of a response, so the request gets no further attempt.

    Attributes:
        request_id: the request.
        attempt: number of the attempt, from 0.
        worker: number of the worker.
    """

    request_id: int
    attempt: int
    worker: int


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """A client has disconnected; its request needs no answer.

    Attributes:
        request_id: the request.
    """

    request_id: int


@dataclass(frozen=True, slots=True)
class TimerDue:
    """The timer of a `SetTimer` action is due.

    Attributes:
        token: the token of that action.
    """

    token: int


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message from another dispatcher.

    Attributes:
        sender: the other dispatcher.
        data: the message.
    """

    sender: int
    data: bytes


@dataclass(frozen=True, slots=True)
class ShutdownStarted:
    """The dispatcher shuts down; it answers all requests before it exits.

    Attributes:
        time_left_ns: time from now until it exits.
    """

    time_left_ns: int


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """A reload has changed the settings, which apply to requests that are received from now on.

    Attributes:
        settings: the new settings; existing classes keep their numbers, new classes come last.
    """

    settings: Settings


@dataclass(frozen=True, slots=True)
class WorkerBanChanged:
    """Operators have banned a worker or lifted its ban.

    Attributes:
        worker: number of the worker.
        is_banned: False: the ban was lifted; the worker may have been restarted meanwhile.
    """

    worker: int
    is_banned: bool = True


@dataclass(frozen=True, slots=True)
class WorkerStateRestored:
    """The state that an earlier process of this dispatcher had of a worker.

    Attributes:
        worker: number of the worker.
        snapshot: the state.
    """

    worker: int
    snapshot: WorkerSnapshot


@dataclass(frozen=True, slots=True)
class RequestMigrated:
    """A request that an earlier process of this dispatcher received.

    Attributes:
        request: the request.
        first_received_ns: when it was received.
        attempts: number of attempts sent so far.
        worker: worker of the attempt in flight; 0: none is in flight.
        sent_ns: when that attempt was sent.
        started_ns: when the worker reported its start; 0: not reported.
        class_settings: the settings of its class when it was received; None: the current ones.
        max_attempts: its maximum number of attempts; 0: the current one.
    """

    request: RequestReceived
    first_received_ns: int
    attempts: int
    worker: int = 0
    sent_ns: int = 0
    started_ns: int = 0
    class_settings: JobClass | None = None
    max_attempts: int = 0


Event = (
    EndpointListUpdate
    | DiscoveryObservation
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
