"""A group of workers that no draw can tell apart, and what a draw needs to know of all of them."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

from weldquay.ledger.records import Worker

MAX_ROWS = 64  # candidates up to which each is a row of its own, in the order of their reports
_LAST = 1 << 62  # no report has such a number
MAX_MEMORY = 16  # units of free memory from which on workers are alike


class Key(NamedTuple):
    """What the members of a group have in common.

    reported: lately; load: by that report, 0.0 where there is none: then the zone's mean and own tell;
    size: slots, -1 where unknown; memory: whole units free, None where that is not told.  fresh, home: the
    report is recent, and the worker is of this dispatcher's subset; both False where no draw asks for it.
    """

    reported: bool
    fresh: bool
    home: bool
    kind: int
    zone: int
    load: float
    size: int
    own: float
    memory: int | None


@dataclass(slots=True, eq=False)
class Group:
    """Candidates of one load for one job; alone: a single worker that was asked for everything itself."""

    members: list[Worker]
    load: float
    reported: bool = True
    fresh: bool = False
    home: bool = False
    alone: bool = False

    @property
    def first(self) -> Worker:
        """The one that stands for all."""
        return self.members[0]


def free_memory(worker: Worker) -> int | None:
    """Whole units of free memory; None where it is not told."""
    if worker.free_memory is None:
        return None
    return min(MAX_MEMORY, math.floor(worker.free_memory - worker.changed_memory))


def holds(worker: Worker, memory: float) -> bool:
    """True where nothing tells that the worker lacks the memory."""
    return worker.free_memory is None or worker.free_memory - worker.changed_memory >= memory


def count(groups: Iterable[Group]) -> int:
    """Workers in all groups."""
    return sum([len(group.members) for group in groups])


def rows(groups: list[Group]) -> list[Group]:
    """The groups, cut into single workers where these are few: then the draw goes row by row.

    Workers that reported come first, in the order of their reports, then the others in the order of the list.
    """
    if count(groups) > MAX_ROWS:
        return groups
    single = [
        group if len(group.members) == 1 else Group([worker], group.load, group.reported)
        for group in groups
        for worker in group.members
    ]
    if len(single) > 1:
        single.sort(key=_order)
    return single


def _order(row: Group) -> int:
    worker = row.members[0]
    return worker.heard if row.reported else _LAST + worker.place
