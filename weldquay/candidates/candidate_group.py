"""Groups of equivalent candidate workers for one job."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from weldquay.state.records import Worker

MAX_SINGLE_CANDIDATES = 64  # up to this many candidates, groups are split into single workers
_UNREPORTED_SEQUENCE_OFFSET = 1 << 62  # greater than every report's sequence number


@dataclass(slots=True, eq=False)
class CandidateGroup:
    """Candidates of equal load for one job.

    Attributes:
        members: the workers.
        load: the load of each, in slots; negative while slots are free.
        is_reported: the workers have a recent load report.
        is_fresh: the report is recent enough to be used without a health check.
        in_subset: the workers belong to the dispatcher's preferred subset.
        is_individual: a single worker that the index keeps outside all groups.
    """

    members: list[Worker]
    load: float
    is_reported: bool = True
    is_fresh: bool = False
    in_subset: bool = False
    is_individual: bool = False

    @property
    def first(self) -> Worker:
        """The first member; all members have its kind and zone."""
        return self.members[0]


def has_memory(worker: Worker, memory: float) -> bool:
    """Return True if the worker has this much free memory, or its free memory is unknown."""
    return worker.free_memory is None or worker.free_memory - worker.unreported_memory >= memory


def worker_count(groups: Iterable[CandidateGroup]) -> int:
    """Return the total number of workers in the groups."""
    return sum([len(group.members) for group in groups])


def split_small_groups(groups: list[CandidateGroup]) -> list[CandidateGroup]:
    """Split the groups into single workers if there are at most `MAX_SINGLE_CANDIDATES`.

    Workers with a recent load report come first, in the order of the reports. The others follow in the order
    of the endpoint list.
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
    """Return the sort key of a single worker."""
    worker = candidate.members[0]
    return (
        worker.report_sequence
        if candidate.is_reported
        else _UNREPORTED_SEQUENCE_OFFSET + worker.list_position
    )
