"""Learn how often workers refresh their load reports."""

from __future__ import annotations

INITIAL_INTERVAL_NS = 1_000_000_000
MIN_INTERVAL_NS = 300_000_000
MAX_INTERVAL_NS = 2_000_000_000
PRIOR_WEIGHT = 4.0  # the initial interval counts as this many new reports
DECAY_FACTOR = 0.99  # each report multiplies the weight of the earlier ones by this


class ReportIntervalEstimator:
    """Learns the refresh interval from the fraction of reports that contain new figures.

    Of two successive reports of a worker with a gap no longer than the interval, the second one is new with
    probability gap/interval. So the interval is estimated as the sum of these gaps over the number of new
    reports. A dispatcher that rarely gets reports of a worker has few short gaps, so a prior is added.

    Attributes:
        interval_ns: the estimated interval, in nanoseconds.
        gap_sum_ns: weighted sum of the gaps, in nanoseconds.
        new_report_count: weighted number of new reports.
    """

    def __init__(self) -> None:
        self.interval_ns = float(INITIAL_INTERVAL_NS)
        self.gap_sum_ns = 0.0
        self.new_report_count = 0.0

    def record_report(self, gap_ns: int, is_new: bool) -> None:
        """Learn from a load report.

        Args:
            gap_ns: time since the worker's previous report; ignored if longer than the interval.
            is_new: the figures differ from those of the previous report.
        """
        if gap_ns <= self.interval_ns:
            self.gap_sum_ns = DECAY_FACTOR * self.gap_sum_ns + gap_ns
            self.new_report_count = DECAY_FACTOR * self.new_report_count + is_new
            estimate_ns = (self.gap_sum_ns + PRIOR_WEIGHT * INITIAL_INTERVAL_NS) / (
                self.new_report_count + PRIOR_WEIGHT
            )
            self.interval_ns = min(max(estimate_ns, MIN_INTERVAL_NS), MAX_INTERVAL_NS)
