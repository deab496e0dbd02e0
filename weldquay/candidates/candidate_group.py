"""A group of workers that no draw can tell apart, and what a draw needs to know of all of them."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

from weldquay.state.records import Worker

MAX_ROWS = 64  # candidates up to which each is a row of its own, in the order of their reports
_LAST = 1 << 62  # no report has such a number
MAX_MEMORY = 16  # units of free memory from which on workers are alike


class WorkerGroupKey(NamedTuple):
    """What the members of a group have in common.

    reported: lately; load: by that report, 0.0 where there is none: then the zone's mean and own tell;
    size: slots, -1 where unknown; memory: whole units free, None where that is not told.  fresh, home: the
    report is recent, and the worker is of this dispatcher's subset; both False where no draw asks for it.
    """

    is_reported: bool
    is_fresh: bool
    in_subset: bool
    kind: int
    zone: int
    load: float
    slots: int
    own_slots: float
    memory: int | None


@dataclass(slots=True, eq=False)
class CandidateGroup:
    """Candidates of one load for one job; alone: a single worker that was asked for everything itself."""

    members: list[Worker]
    load: float
    is_reported: bool = True
    is_fresh: bool = False
    in_subset: bool = False
    is_individual: bool = False

    @property
    def first(self) -> Worker:
        """The one that stands for all."""
        return self.members[0]


def free_memory(worker: Worker) -> int | None:
    """Whole units of free memory; None where it is not told."""
    if worker.free_memory is None:
        return None
    return min(MAX_MEMORY, math.floor(worker.free_memory - worker.unreported_memory))


def has_memory(worker: Worker, memory: float) -> bool:
    """True where nothing tells that the worker lacks the memory."""
    return worker.free_memory is None or worker.free_memory - worker.unreported_memory >= memory


def worker_count(groups: Iterable[CandidateGroup]) -> int:
    """Workers in all groups."""
    return sum([len(group.members) for group in groups])


def split_small_groups(groups: list[CandidateGroup]) -> list[CandidateGroup]:
    """The groups, cut into single workers where these are few: then the draw goes row by row.

    Workers that reported come first, in the order of their reports, then the others in the order of the list.
    """
    if worker_count(groups) > MAX_ROWS:
        return groups
    single = [
        group if len(group.members) == 1 else CandidateGroup([worker], group.load, group.is_reported)
        for group in groups
        for worker in group.members
    ]
    if len(single) > 1:
        single.sort(key=_order)
    return single


def _order(row: CandidateGroup) -> int:
    worker = row.members[0]
    return worker.report_sequence if row.is_reported else _LAST + worker.list_position
