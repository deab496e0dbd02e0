"""The users' fleet, the budget for a dispatcher's control work, and a result's values at that fleet size."""

from __future__ import annotations

from typing import NamedTuple

from weldquay.lab.scale.decisions import Cost
from weldquay.lab.scale.fleet import Measurement
from weldquay.lab.scale.results import SLOPES, Result

DISPATCHERS = 410
WORKERS = 1400
FLEET_REQUESTS_PER_S = 8100.0
REQUESTS_PER_S = FLEET_REQUESTS_PER_S / DISPATCHERS  # at each dispatcher
# Failures and restarts of workers per day; each is a change when the worker leaves and one when it is back.
LIST_CHANGES_PER_S = 2 * (16 + 520) / 86400

# The budget of one dispatcher for its control work.
CONTROL_CORES = 0.016  # fraction of one core
MEMORY_MB = 256.0  # resident memory of the whole process
CONTROL_BYTES_PER_S = 2000.0  # sent and received

TENANTS = 2000
MODELS = 23
SESSIONS = 1_300_000
PREFIXES = 15_000
SETTINGS_CHANGES_PER_DAY = 700
SETTINGS_DEADLINE_S = 5.0  # time limit from a change of the settings to its effect at every dispatcher
MIN_ENTRY_BYTES = 16  # smallest size of an entry of a planned mechanism: an id and a figure
LIST_DEADLINE_S = 6.0  # time limit from a change of the list until all dispatchers have it

TableRow = list[str]


class Line(NamedTuple):
    """A straight line through measured points, `base + slope * x`, by the medians of the repeats."""

    slope: float
    base: float


def find_cost(result: Result, workers: int = WORKERS) -> Cost | None:
    """Return the measured cost of decisions with the dispatchers of the users' fleet, or None."""
    size = (workers, DISPATCHERS)
    return next((cost for cost in result.decisions if (cost.workers, cost.dispatchers) == size), None)


def find_point(result: Result, axis: str, field: str, value: float) -> Measurement | None:
    """Return the measurement of an axis whose point has this value in a field, or None."""
    on_axis = (measured for measured in result.points if measured.point.axis == axis)
    return next((measured for measured in on_axis if getattr(measured.point, field) == value), None)


def find_line(result: Result, name_prefix: str) -> Line | None:
    """Return the line of the first slope whose name starts with a prefix, or None if it was not measured."""
    found = next(slope for slope in SLOPES if slope.name.startswith(name_prefix)).fit(result)
    return None if found is None else Line(found[0].median, found[1].median)
