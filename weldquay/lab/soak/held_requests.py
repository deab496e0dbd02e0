"""Requests that were rejected because their dispatcher had no valid lease on the endpoint list.

Without a valid lease, a dispatcher cannot know whether its list is out of date, so it sends no jobs: it holds
requests, and rejects them shortly before they time out.  This happens when discovery is down and could be
reached for a moment between two polls.
"""

from __future__ import annotations

import time
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime

from weldquay.lab.soak.clients import SentRequest

REJECTED_STATUS = 503
MAX_RECOVERY_S = 6.2  # longest time from the end of an outage to a valid lease: 6 s, and 0.2 s for delays
# Parts of the messages that `net.endpoint_list_adapter` logs when it starts and stops holding requests.
LEASE_EXPIRED_TEXT = "no valid lease on the endpoint list"
LEASE_VALID_TEXT = "the lease on the endpoint list is valid again"
LOG_TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"
LOG_TIME_LENGTH = len("2026-12-03 12:00:00,000")


@dataclass(frozen=True, slots=True)
class Interval:
    """A time interval; its bounds are monotonic times in seconds."""

    started_at: float
    ended_at: float

    def overlaps(self, started_at: float, ended_at: float) -> bool:
        """Return whether a part of the interval lies between the two times."""
        return self.started_at <= ended_at and started_at <= self.ended_at


def intervals_without_lease(log_lines: Iterable[str]) -> list[Interval]:
    """Return the intervals in which a process had no valid lease, read from its log.

    An interval whose end is not logged lasts until the last record of the log.
    """
    monotonic_offset_s = time.monotonic() - time.time()
    intervals: list[Interval] = []
    expired_at: float | None = None
    logged_at = 0.0
    for line in log_lines:
        try:
            logged_time = datetime.strptime(line[:LOG_TIME_LENGTH], LOG_TIME_FORMAT)
        except ValueError:  # a further line of a record, such as a traceback
            continue
        logged_at = logged_time.timestamp() + monotonic_offset_s
        if LEASE_EXPIRED_TEXT in line:
            expired_at = logged_at
        elif LEASE_VALID_TEXT in line and expired_at is not None:
            intervals.append(Interval(expired_at, logged_at))
            expired_at = None
    if expired_at is not None:
        intervals.append(Interval(expired_at, logged_at))
    return intervals


def is_held_request(request: SentRequest, without_lease: list[Interval], outages: list[Interval]) -> bool:
    """Return whether a request was rejected without a valid lease, in a discovery outage or soon after it.

    without_lease: the intervals in which its dispatcher had no valid lease.
    outages: the intervals in which discovery was down; each has an effect for up to MAX_RECOVERY_S more.
    """
    return (
        request.status == REJECTED_STATUS
        and any(interval.overlaps(request.sent_at, request.ended_at) for interval in without_lease)
        and any(outage.overlaps(request.sent_at - MAX_RECOVERY_S, request.ended_at) for outage in outages)
    )


def held_time_fraction(requests: list[SentRequest], held: list[SentRequest], clients: int) -> float:
    """Return the fraction of the clients' total time that they waited for held requests.

    The time counts from the first request to the end of the last one, for each of the `clients` clients.
    """
    if not requests:
        return 0.0
    duration_s = max(each.ended_at for each in requests) - min(each.sent_at for each in requests)
    return sum(each.ended_at - each.sent_at for each in held) / (clients * duration_s)
