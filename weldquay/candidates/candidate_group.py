"""Groups of candidate workers for one job."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from weldquay.state.records import Worker

MAX_SINGLE_CANDIDATES = 64  # up to which groups are split into single workers
_UNREPORTED_OFFSET = 1 << 62  # above any report's sequence number


@dataclass(slots=True, eq=False)
class CandidateGroup:
    """Candidates of equal load for one job; is_individual: one worker that belongs to no group."""

    members: list[Worker]
    load: float
    is_reported: bool = True
    is_fresh: bool = False
    in_subset: bool = False
    is_individual: bool = False

    @property
    def first(self) -> Worker:
        """A member, whose kind and zone are those of all members."""
        return self.members[0]


def has_memory(worker: Worker, memory: float) -> bool:
    """Return True where the worker has the memory, or its free memory is unknown."""
    return worker.free_memory is None or worker.free_memory - worker.unreported_memory >= memory


def worker_count(groups: Iterable[CandidateGroup]) -> int:
    """Return the number of workers in all groups."""
    return sum([len(group.members) for group in groups])


def split_small_groups(groups: list[CandidateGroup]) -> list[CandidateGroup]:
    """Split the groups into single workers, unless there are many.

    Workers with a load report come first, in the order of the reports, then the others in the order of the
    endpoint list.
    """
    if worker_count(groups) > MAX_SINGLE_CANDIDATES:
        return groups
    single = [
        group if len(group.members) == 1 else CandidateGroup([worker], group.load, group.is_reported)
        for group in groups
        for worker in group.members
    ]
    if len(single) > 1:
        single.sort(key=_sequence)
    return single


def _sequence(candidate: CandidateGroup) -> int:
    worker = candidate.members[0]
    return worker.report_sequence if candidate.is_reported else _UNREPORTED_OFFSET + worker.list_position
