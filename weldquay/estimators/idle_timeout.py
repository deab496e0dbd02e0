"""How long an idle connection to a worker may be reused."""

from __future__ import annotations

EARLY_RESET_NS = 50_000_000  # a connection reset this soon after a send was closed before the send
DOUBLING_NS = 10_000_000_000  # a learned limit doubles at each such interval without a failure


class IdleTimeoutEstimator:
    """Learns the idle time after which workers, or what lies between, drop a connection without notice.

    An attempt sent on a dropped connection may be lost.
    """

    def __init__(self, limit_ns: int) -> None:
        """Start with this limit, in nanoseconds."""
        self.limit_ns = limit_ns
        self.limit_set_ns = 0

    def limit_at(self, now_ns: int, max_ns: int) -> int:
        """Return the limit at `now_ns`: it doubles after failures, up to `max_ns`."""
        return min(max_ns, self.limit_ns << min((now_ns - self.limit_set_ns) // DOUBLING_NS, 30))

    def record_reset(self, now_ns: int, max_ns: int, idle_ns: int, latency_ns: int) -> None:
        """Learn from a connection that was reset after a send.

        Args:
            now_ns: time of the reset.
            max_ns: maximum of the limit.
            idle_ns: how long the connection had been idle before the send; 0: it was new or busy.
            latency_ns: time from the send to the reset.
        """
        half_ns = idle_ns // 2
        if latency_ns < EARLY_RESET_NS and 0 < half_ns < self.limit_at(now_ns, max_ns):
            self.limit_ns = half_ns
            self.limit_set_ns = now_ns
