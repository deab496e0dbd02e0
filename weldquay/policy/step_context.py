"""What every part of the decisions shares within a step: clock, settings, random generator and actions."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field

from weldquay.interface import Action, Settings


@dataclass(slots=True, eq=False)
class StepContext:
    """The state of the current step.

    Attributes:
        settings: the settings in force.
        random: source of all random choices; its draws depend on the seed and on the events alone.
        now_ns: time of the step, in nanoseconds of the caller's monotonic clock.
        started_ns: time of the first step; 0 before it.
        shutdown_ns: when the dispatcher stops; infinite until a shutdown starts.
        actions: what the step returns, in order; a new list for each step.
    """

    settings: Settings
    random: random.Random
    now_ns: int = 0
    started_ns: int = 0
    shutdown_ns: float = math.inf
    actions: list[Action] = field(default_factory=list)
