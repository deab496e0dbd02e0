"""Actions: what a step of the decision module tells its caller to do, in this order."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Send:
    """Send a request to a worker.

    Attributes:
        request_id: the request.
        worker: number of the worker.
        timeout_ns: maximum duration of the attempt; 0: until the client's deadline.
        send_before_ns: an attempt that has not been sent by then ends with `Outcome.ABORTED_BEFORE_SEND`,
            since a later one could execute the request twice; 0: no limit.
    """

    request_id: int
    worker: int
    timeout_ns: int = 0
    send_before_ns: int = 0


@dataclass(frozen=True, slots=True)
class Reject:
    """Answer a request finally: it was not executed, and the client may safely send it again.

    Attributes:
        request_id: the request.
        retry_after_ns: delay after which the client may send it again; 0: not given.
    """

    request_id: int
    retry_after_ns: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """Answer a request finally: it failed, and may have been executed.

    Attributes:
        request_id: the request.
    """

    request_id: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel an attempt.

    Attributes:
        request_id: the request.
        attempt: number of the attempt, from 0.
    """

    request_id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Schedule a `TimerDue` event.

    Attributes:
        delay_ns: delay from now.
        token: the event's token; one of `weldquay.policy.timers.TimerToken`.
    """

    delay_ns: int
    token: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Send a health check to a worker; it may return a load report.

    Attributes:
        worker: number of the worker.
    """

    worker: int


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close this dispatcher's idle connections to a worker.

    Attributes:
        worker: number of the worker.
    """

    worker: int


@dataclass(frozen=True, slots=True)
class WatchEndpoints:
    """Poll discovery for the endpoint list, and watch it for changes."""


@dataclass(frozen=True, slots=True)
class SendToPeer:
    """Send a message to other dispatchers.

    Attributes:
        data: the message.
        peer: the dispatcher; None: all.
    """

    data: bytes
    peer: int | None = None


@dataclass(frozen=True, slots=True)
class Log:
    """Write a log line.

    Attributes:
        text: the line.
    """

    text: str


@dataclass(frozen=True, slots=True)
class ReservationEnded:
    """Report that capacity is no longer reserved for a request.

    Attributes:
        request_id: the request.
        worker: the worker whose capacity was reserved.
        reason: why the reservation ended: placed, queued at the worker, or the reason for giving it up.
        reserved_ns: how long the capacity was reserved.
        delay_ns: how much later than first expected it ended; negative: earlier.
    """

    request_id: int
    worker: int
    reason: str
    reserved_ns: int
    delay_ns: int


Action = (
    Send
    | Reject
    | Fail
    | Cancel
    | SetTimer
    | Probe
    | CloseIdleConnections
    | WatchEndpoints
    | SendToPeer
    | Log
    | ReservationEnded
)
