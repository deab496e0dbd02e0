"""Requests that were rejected because their dispatcher held no valid lease on the endpoint list.

A dispatcher that cannot know whether its list is out of date sends no jobs: it holds requests, and rejects
them shortly before they time out. It does so in an outage of discovery in which discovery could be reached
for a moment between two polls.
"""

from __future__ import annotations

import time
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime

from weldquay.lab.soak.clients import SentRequest

REJECTED_STATUS = 503
MAX_RECOVERY_S = 6.2  # from the end of an outage until the lease is valid again; includes 0.2 s for delays
LEASE_EXPIRED_TEXT = "no valid lease on the endpoint list"
LEASE_VALID_TEXT = "the lease on the endpoint list is valid again"
LOG_TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"
LOG_TIME_LENGTH = len("2026-12-03 12:00:00,000")


@dataclass(frozen=True, slots=True)
class Interval:
    """A period of time; monotonic (s)."""

    started_at: float
    ended_at: float

    def overlaps(self, started_at: float, ended_at: float) -> bool:
        """Return whether a part of the interval lies between the two times."""
        return self.started_at <= ended_at and started_at <= self.ended_at


def intervals_without_lease(log_lines: Iterable[str]) -> list[Interval]:
    """Return when a process held no valid lease, according to its log.

    An interval that the log does not end lasts until its last line.
    """
    monotonic_offset_s = time.monotonic() - time.time()
    intervals: list[Interval] = []
    expired_at: float | None = None
    logged_at = 0.0
    for line in log_lines:
        try:
            logged_time = datetime.strptime(line[:LOG_TIME_LENGTH], LOG_TIME_FORMAT)
        except ValueError:  # not the first line of a record
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
    """Return whether a request was rejected for want of a valid lease, in or soon after a discovery outage.

    without_lease: the intervals of the request's dispatcher; outages: of discovery.
    """
    return (
        request.status == REJECTED_STATUS
        and any(interval.overlaps(request.sent_at, request.ended_at) for interval in without_lease)
        and any(outage.overlaps(request.sent_at - MAX_RECOVERY_S, request.ended_at) for outage in outages)
    )


def held_time_fraction(requests: list[SentRequest], held: list[SentRequest], clients: int) -> float:
    """Return the fraction of the clients' time, from first to last request, spent on held requests."""
    if not requests:
        return 0.0
    round_s = max(each.ended_at for each in requests) - min(each.sent_at for each in requests)
    return sum(each.ended_at - each.sent_at for each in held) / (clients * round_s)
