"""The state that all components share within a step: time, settings, random generator and actions."""

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
        random: source of all random choices; its draws depend only on the seed and on the events.
        now_ns: time of the step, in nanoseconds of the caller's monotonic clock.
        started_ns: time of the first step; 0 before the first step.
        shutdown_ns: when the dispatcher stops; infinite unless a shutdown has started.
        actions: the actions that the step returns, in order; a new list for each step.
    """

    settings: Settings
    random: random.Random
    now_ns: int = 0
    started_ns: int = 0
    shutdown_ns: float = math.inf
    actions: list[Action] = field(default_factory=list)
