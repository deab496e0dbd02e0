"""What is measured: the points of a run, its axes, and the settings that all dispatchers are given."""

from __future__ import annotations

from typing import Any

import msgspec

from weldquay.lab import load as loads
from weldquay.lab.model import MS, SECOND

# One idempotent class.  Its jobs are short, so that few of them run when a point ends.
MEAN_WORK_NS = 20 * MS
CLIENT_TIMEOUT_NS = 2 * SECOND
JOB_CLASSES = (loads.JobClass("lookup", 1.0, MEAN_WORK_NS, 500 * MS, CLIENT_TIMEOUT_NS),)
USERS_DISPATCHERS = 410  # the users' count, for the settings' group_size


class Point(msgspec.Struct, frozen=True):
    """One fleet that is built, loaded and measured.

    group: how many dispatchers the settings name (they set subsets and waits); 0: as many as there are.
    real_rate, hollow_rate: requests a second at each dispatcher.
    windows: how often it is measured, seconds each, after a warm-up of as many seconds as one window.
    """

    axis: str
    real: int = 1
    hollow: int = 39
    workers: int = 100
    changes: float = 1.0
    real_rate: float = 5.0
    hollow_rate: float = 2.0
    group: int = 0
    windows: int = 3
    seconds: float = 2.0
    seed: int = 1

    @property
    def dispatchers(self) -> int:
        """Real and hollow ones."""
        return self.real + self.hollow

    @property
    def group_size(self) -> int:
        """The dispatchers that the settings name."""
        return self.group or self.dispatchers


# Hollow ones are slow where there are many, so that the stand-ins stay under a core each.
SWEEPS: tuple[Point, ...] = (
    *(Point("dispatchers", hollow=n - 1, hollow_rate=1.0, group=410) for n in (10, 100, 200, 410)),
    *(Point("workers", real=2, hollow=8, workers=n, real_rate=20.0, group=410) for n in (10, 100, 400, 1400)),
    *(Point("changes", real=2, hollow=38, workers=400, changes=n, group=410) for n in (0.0, 2.0, 10.0)),
    Point("whole", real=2, hollow=408, workers=1400, real_rate=20.0, hollow_rate=1.0),
    *(Point("requests", real=2, hollow=8, real_rate=n, group=410) for n in (0.0, 5.0, 20.0, 40.0)),
)
CHECK = Point(
    "check",
    real=2,
    hollow=6,
    workers=8,
    changes=2.0,
    real_rate=10.0,
    hollow_rate=10.0,
    windows=3,
    seconds=4.0,
)


def settings(dispatchers: int, dispatcher_index: int) -> dict[str, Any]:
    """Return the settings' document of one dispatcher."""
    return loads.settings(dispatchers, JOB_CLASSES, dispatcher_index)


def job_body() -> str:
    """Return the body of a job for a stand-in worker."""
    return f'{{"work_ns": {MEAN_WORK_NS}, "slots": 1, "memory": 0.5}}'
