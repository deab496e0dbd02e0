"""What the index of candidates reads of the decision module, and the module's figures for it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from weldquay.estimators.runtime import RuntimeEstimator
from weldquay.interface import Settings
from weldquay.state.records import Job, Worker
from weldquay.reservations.scheduler import BackfillScheduler


class CandidateInputs(Protocol):
    """What the index reads of the decision module's tables."""

    now_ns: int
    settings: Settings
    queued: dict[int, Job]
    workers: dict[int, Worker]
    ready_workers: list[Worker]
    subset: list[Worker]
    reinstated: set[int]
    recently_reported: dict[int, Worker]
    scheduler: BackfillScheduler
    runtimes: RuntimeEstimator
    mean_slots: float


@dataclass(frozen=True, slots=True)
class CandidateLimits:
    """Figures of the decision module.

    fresh_ns: age up to which a report is fresh; start_ns: an attempt that has not told its start by then
    tells of a queue; cover_ns: added on both sides where running times are compared; slow: logarithm of how
    many times slower than its kind leaves a worker out; doubt: errors above it make a worker unfit for some
    jobs.
    """

    fresh_ns: int
    start_ns: int
    cover_ns: int
    slow: float
    doubt: float
