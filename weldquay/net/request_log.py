"""Log lines about single requests: why one was refused, retried, failed or given up.

A client or worker that misbehaves causes thousands of them a second, so only some are written; each line says
how many of its kind were left out before it.
"""

from __future__ import annotations

import logging
import time
from enum import Enum

log = logging.getLogger(__name__)

MAX_LINES_PER_INTERVAL = 5  # of each kind
INTERVAL_S = 1.0


class RequestEvent(Enum):
    """The kinds of lines.  The values are part of the log format."""

    REFUSED = "refused"  # answered without an attempt being considered: limits, repeated ids, bad requests
    REJECTED = "rejected"  # answered 503 by the decision module
    FAILED = "failed"  # answered 502
    ATTEMPT_ENDED = "attempt ended"  # with another outcome than a result
    RETRIED = "retried"
    CLIENT_LEFT = "client left"
    CONNECTION_CLOSED = "connection closed"  # with a partial request


class _Interval:
    """The lines of one kind in the current interval."""

    __slots__ = ("lines", "omitted", "started_at")

    def __init__(self) -> None:
        self.started_at = 0.0  # on the monotonic clock (s)
        self.lines = 0
        self.omitted = 0  # since the last line that was written


class RequestLog:
    """Writes some of the lines of each kind."""

    def __init__(self) -> None:
        self._intervals = {event: _Interval() for event in RequestEvent}

    def write(self, event: RequestEvent, request_id: str, reason: str) -> None:
        """Write a line, unless there are too many of its kind; request_id: empty if it is not known."""
        interval = self._intervals[event]
        now = time.monotonic()
        if now - interval.started_at >= INTERVAL_S:
            interval.started_at = now
            interval.lines = 0
        if interval.lines == MAX_LINES_PER_INTERVAL:
            interval.omitted += 1
            return
        interval.lines += 1
        omitted = f" ({interval.omitted} more before, not logged)" if interval.omitted else ""
        interval.omitted = 0
        log.info("request %s %s: %s%s", request_id or "-", event.value, reason, omitted)
