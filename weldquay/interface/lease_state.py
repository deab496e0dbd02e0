"""The state of a lease on the endpoint list, as it passes between two processes of one dispatcher."""

from __future__ import annotations

from typing import NamedTuple


class LeaseState(NamedTuple):
    """The state of a lease on the endpoint list (`weldquay/discovery/list_lease.py`).

    Attributes:
        send_deadline_ns: from then on the list may not be used to send attempts; 0: it may be of any age.
        may_have_missed_change: discovery was reachable since the last update and sent none.
        watch_timed_out: the watch has timed out since the last update.
    """

    send_deadline_ns: int = 0
    may_have_missed_change: bool = False
    watch_timed_out: bool = False


NO_LEASE = LeaseState()
