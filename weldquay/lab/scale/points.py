"""The measured points of a run, grouped by axis, and the settings that every dispatcher gets."""

from __future__ import annotations

from typing import Any

import msgspec

from weldquay.lab import load as loads
from weldquay.lab.model import MS, SECOND

# One idempotent job class with short jobs, so that few of them are running when a point ends.
MEAN_WORK_NS = 20 * MS
CLIENT_TIMEOUT_NS = 2 * SECOND
JOB_CLASSES = (loads.JobClass("lookup", 1.0, MEAN_WORK_NS, 500 * MS, CLIENT_TIMEOUT_NS),)
USERS_DISPATCHERS = 410  # number of dispatchers of the users' fleet, for group_size in the settings


class Point(msgspec.Struct, frozen=True):
    """One fleet that is started, loaded and measured.

    group: the number of dispatchers in the settings, which sets subsets and backoff; 0: as many as there are.
    real_rate, hollow_rate: requests per second at each dispatcher.
    windows: how many times it is measured, `seconds` each, after a warm-up as long as one window.
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
        """Return the number of dispatchers, real and hollow."""
        return self.real + self.hollow

    @property
    def group_size(self) -> int:
        """Return the number of dispatchers in the settings."""
        return self.group or self.dispatchers


# Where there are many hollow dispatchers, each has a low request rate, so that the stand-ins need less than
# one core each.
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
    """Return the settings document of one dispatcher."""
    return loads.settings(dispatchers, JOB_CLASSES, dispatcher_index)


def job_body() -> str:
    """Return the body of a job for a stand-in worker."""
    return f'{{"work_ns": {MEAN_WORK_NS}, "slots": 1, "memory": 0.5}}'
