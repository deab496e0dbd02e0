"""How often workers refresh their load reports."""

from __future__ import annotations

INITIAL_INTERVAL_NS = 1_000_000_000
MIN_INTERVAL_NS = 300_000_000
MAX_INTERVAL_NS = 2_000_000_000
PRIOR_WEIGHT = 4.0  # new reports that the initial interval counts for
RETENTION = 0.99  # weight that earlier reports keep at each further one


class ReportIntervalEstimator:
    """Learns the interval from the fraction of reports that are new when they follow another one soon.

    A report that follows the last one of the same worker after a gap within the interval is new with
    probability gap/interval. So the interval is the sum of the gaps over the number of new reports. A
    dispatcher that sees a worker rarely has few such gaps, hence the prior.

    Attributes:
        ns: the interval, in nanoseconds.
        gaps_ns: weighted sum of the gaps, in nanoseconds.
        renewals: weighted number of new reports.
    """

    def __init__(self) -> None:
        self.ns = float(INITIAL_INTERVAL_NS)
        self.gaps_ns = 0.0
        self.renewals = 0.0

    def record_report(self, gap_ns: int, is_new: bool) -> None:
        """Learn from a report that came `gap_ns` after the worker's last one, with new figures or the same.

        Gaps longer than the interval are ignored.
        """
        if gap_ns <= self.ns:
            self.gaps_ns = RETENTION * self.gaps_ns + gap_ns
            self.renewals = RETENTION * self.renewals + is_new
            interval_ns = (self.gaps_ns + PRIOR_WEIGHT * INITIAL_INTERVAL_NS) / (self.renewals + PRIOR_WEIGHT)
            self.ns = min(max(interval_ns, MIN_INTERVAL_NS), MAX_INTERVAL_NS)
