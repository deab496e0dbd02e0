"""Actions: what the decision module asks for as the result of a step."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Send:
    """Start an attempt; timeout_ns 0 means until the client gives up.

    begin_by_ns: begun later on the steps' clock, it could repeat an effect and ends as moot; 0: no limit.
    """

    request_id: int
    worker: int
    timeout_ns: int = 0
    send_before_ns: int = 0


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: not done, and trying again is harmless."""

    request_id: int
    retry_after_ns: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed; nothing is promised about the effect."""

    request_id: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for one attempt."""

    request_id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a TimerDue event after delay_ns."""

    delay_ns: int
    token: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask a worker for its figures."""

    worker: int


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close this dispatcher's idle connections to a worker."""

    worker: int


@dataclass(frozen=True, slots=True)
class WatchEndpoints:
    """Subscribe to changes of the worker list."""


@dataclass(frozen=True, slots=True)
class SendToPeer:
    """Send bytes to one other dispatcher, or to all where peer is None."""

    data: bytes
    peer: int | None = None


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the staff."""

    text: str


@dataclass(frozen=True, slots=True)
class ReservationEnded:
    """Room held for a job is held no more: placed, queued at its worker, or given up for a reason.

    held_ns: for how long it was held; late_ns: how much later than expected at first that is.
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
