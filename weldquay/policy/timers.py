"""The timers that the decision logic sets."""

from __future__ import annotations

from enum import IntEnum
from typing import Final

NOT_SCHEDULED: Final = -1  # the due time of a timer that is not set


class TimerToken(IntEnum):
    """The purpose of a `SetTimer` action.

    A due timer only causes a step. Each step finds the work that is due by its time, whatever the token.
    """

    PERIODIC_CHECK = 1  # queued requests are placed again, and unresponsive workers are ejected
    REQUEST_DEADLINE = 2  # a request has reached its deadline
    DISCOVERY_POLL = 3  # the endpoint list is polled
    PROBE_WAIT = 4  # requests that wait for probe results are placed again
