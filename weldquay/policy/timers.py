"""The timers that the decisions set."""

from __future__ import annotations

from enum import IntEnum
from typing import Final

NOT_SCHEDULED: Final = -1  # time of a timer that is not set


class TimerToken(IntEnum):
    """What a `SetTimer` action is for.

    A due timer only causes a step: what is due is found by time in each step, whatever the token.
    """

    PERIODIC_CHECK = 1  # queued requests are placed again, and silent workers are ejected
    REQUEST_DEADLINE = 2  # a final answer is due
    DISCOVERY_POLL = 3  # the endpoint list is polled
    PROBE_WAIT = 4  # requests that wait for probe results are placed again
