"""What the index of candidates reads of the decisions, and their limits for it."""

from __future__ import annotations

from dataclasses import dataclass, field

from weldquay.estimators.runtime import RuntimeEstimator
from weldquay.interface import Settings
from weldquay.reservations.scheduler import BackfillScheduler
from weldquay.state.records import Job, Worker


@dataclass(slots=True, eq=False, kw_only=True)
class CandidateInputs:
    """What the index reads of the decisions.

    The decisions renew `now_ns`, `settings`, `ready_workers`, `subset` and `mean_slots` before each
    `CandidateIndex.begin_step`. The other fields are the decisions' own containers.

    Attributes:
        settings: the settings in force.
        queued: requests that wait for a worker, by request id.
        workers: the workers by number.
        reinstated: numbers of workers whose ban was lifted and that have got no request since.
        recently_reported: workers whose load report counts, oldest report first.
        scheduler: the reservations.
        runtimes: learned running times.
        mean_slots: mean capacity of a worker, in slots.
        now_ns: time of the step, in nanoseconds.
        ready_workers: workers that may be used, in the order of the list; a new list at each change.
        subset: those of them that this dispatcher prefers.
    """

    settings: Settings
    queued: dict[int, Job]
    workers: dict[int, Worker]
    reinstated: set[int]
    recently_reported: dict[int, Worker]
    scheduler: BackfillScheduler
    runtimes: RuntimeEstimator
    mean_slots: float
    now_ns: int = 0
    ready_workers: list[Worker] = field(default_factory=list)
    subset: list[Worker] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class CandidateLimits:
    """Limits of the decisions that the index applies.

    Attributes:
        fresh_ns: maximum age of a fresh load report.
        start_ns: an attempt that has not started this long after it was sent waits in a queue.
        cover_ns: added on both sides where running times are compared.
        slow: logarithm of how many times slower than its kind a worker is left out.
        doubt: failure score above which a worker gets only requests that may run twice.
    """

    fresh_ns: int
    start_ns: int
    cover_ns: int
    slow: float
    doubt: float
