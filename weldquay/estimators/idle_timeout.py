"""Learn how long a connection to a worker may be idle and still be reused."""

from __future__ import annotations

EARLY_RESET_NS = 50_000_000  # a reset this soon after a send means that the connection was closed before it
DOUBLING_INTERVAL_NS = 10_000_000_000  # a learned limit doubles after each such interval without a reset


class IdleTimeoutEstimator:
    """Learns the idle time after which a worker or a middlebox silently drops a connection.

    An attempt that is sent on a dropped connection may be lost.

    Attributes:
        limit_ns: the learned idle limit, in nanoseconds.
        limit_set_ns: when it was set, in nanoseconds.
    """

    def __init__(self, limit_ns: int) -> None:
        """Start with an initial limit, in nanoseconds."""
        self.limit_ns = limit_ns
        self.limit_set_ns = 0

    def limit_at(self, now_ns: int, max_ns: int) -> int:
        """Return the limit at `now_ns`, which doubles over time up to `max_ns`."""
        return min(max_ns, self.limit_ns << min((now_ns - self.limit_set_ns) // DOUBLING_INTERVAL_NS, 30))

    def record_reset(self, now_ns: int, max_ns: int, idle_ns: int, latency_ns: int) -> None:
        """Learn from a connection that was reset after a send.

        A reset soon after the send sets the limit to half of the idle time, unless it is lower already.

        Args:
            now_ns: time of the reset, in nanoseconds.
            max_ns: maximum of the limit, in nanoseconds.
            idle_ns: how long the connection had been idle before the send; 0 if it was new or in use.
            latency_ns: time from the send to the reset, in nanoseconds.
        """
        half_ns = idle_ns // 2
        if latency_ns < EARLY_RESET_NS and 0 < half_ns < self.limit_at(now_ns, max_ns):
            self.limit_ns = half_ns
            self.limit_set_ns = now_ns
