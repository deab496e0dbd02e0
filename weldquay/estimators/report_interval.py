"""How often workers refresh their reports."""

from __future__ import annotations

FIRST_NS = 1_000_000_000  # until it is learnt
LEAST_NS, MOST_NS = 300_000_000, 2_000_000_000  # outside of these a figure is taken for chance
PRIOR = 4.0  # reports that the guess counts for
REMEMBER = 0.99  # weight of earlier reports at each new one


class ReportIntervalEstimator:
    """Learnt from how many of the reports that came soon after another were new.

    Within the interval a report is new with a chance of gap/interval, so the interval is the sum of the
    gaps over the number of new ones.  A dispatcher that meets a worker seldom has few such gaps, hence the
    prior.
    """

    def __init__(self) -> None:
        self.ns = float(FIRST_NS)
        self.gaps_ns = self.renewals = 0.0

    def learn(self, gap_ns: int, new: bool) -> None:
        """A worker reported gap_ns after its last report, anew or the same; longer gaps tell nothing."""
        if gap_ns <= self.ns:
            self.gaps_ns = REMEMBER * self.gaps_ns + gap_ns
            self.renewals = REMEMBER * self.renewals + new
            learnt_ns = (self.gaps_ns + PRIOR * FIRST_NS) / (self.renewals + PRIOR)
            self.ns = min(max(learnt_ns, LEAST_NS), MOST_NS)
