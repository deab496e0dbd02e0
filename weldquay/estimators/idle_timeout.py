"""How long an idle connection to a worker can be trusted."""

from __future__ import annotations

QUICK_NS = 50_000_000  # one that breaks this soon after a push broke before the push
BACK_NS = 10_000_000_000  # a learnt limit doubles after this long without a failure


class IdleTimeoutEstimator:
    """Guards against connections that are dropped unseen while idle: each job sent on one may be lost."""

    def __init__(self, limit_ns: int) -> None:
        self.limit_ns, self.learnt_ns = limit_ns, 0

    def now(self, now_ns: int, most_ns: int) -> int:
        """The limit, doubling back to the settings' figure after failures."""
        return min(most_ns, self.limit_ns << min((now_ns - self.learnt_ns) // BACK_NS, 30))

    def broke(self, now_ns: int, most_ns: int, idle_ns: int, latency_ns: int) -> None:
        """A connection that had been idle for so long (0: it was not) broke so soon after a push."""
        if latency_ns < QUICK_NS and 0 < idle_ns // 2 < self.now(now_ns, most_ns):
            self.limit_ns, self.learnt_ns = idle_ns // 2, now_ns
