"""The rate at which this dispatcher sends attempts."""

from __future__ import annotations

import math
from dataclasses import dataclass

from weldquay.policy.step_context import StepContext

SEND_RATE_DECAY_NS = 5_000_000_000  # time constant of the mean: long compared with the onset of a burst


@dataclass(slots=True, eq=False)
class SendRate:
    """An exponentially decaying mean of the number of attempts sent per nanosecond.

    Attributes:
        context: the state of the current step.
        rate: attempts per nanosecond at `updated_ns`.
        updated_ns: time of the last send.
    """

    context: StepContext
    rate: float = 0.0
    updated_ns: int = 0

    def per_ns(self) -> float:
        """Return the current rate, in attempts per nanosecond."""
        return self.rate * math.exp((self.updated_ns - self.context.now_ns) / SEND_RATE_DECAY_NS)

    def record_send(self) -> None:
        """Count an attempt that is sent in this step."""
        self.rate = self.per_ns() + 1 / SEND_RATE_DECAY_NS
        self.updated_ns = self.context.now_ns
