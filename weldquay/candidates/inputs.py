"""The state and the limits that the candidate index reads from the decision module."""

from __future__ import annotations

from dataclasses import dataclass, field

from weldquay.estimators.runtime import RuntimeEstimator
from weldquay.interface import Settings
from weldquay.reservations.scheduler import BackfillScheduler
from weldquay.state.records import Job, Worker


@dataclass(slots=True, eq=False, kw_only=True)
class CandidateInputs:
    """The state that the candidate index reads from the decision module.

    The decision module updates `now_ns`, `settings`, `ready_workers`, `subset` and `mean_slots` before each
    call of `CandidateIndex.begin_step`. The other fields are containers that it shares with the index.

    Attributes:
        settings: the settings in force.
        queued: requests without a worker, by request id.
        workers: all known workers, by number.
        reinstated: numbers of the workers whose ban was lifted and that have not been sent a request since.
        recently_reported: workers with a valid load report, by number, oldest report first.
        scheduler: the reservations.
        runtimes: learned running times.
        mean_slots: mean capacity of a worker, in slots.
        now_ns: time of the step, in nanoseconds.
        ready_workers: usable workers in the order of the endpoint list; a new list object at each change.
        subset: the ready workers that this dispatcher prefers.
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
    """Limits of the decision module that the candidate index applies.

    Attributes:
        fresh_max_age_ns: maximum age of a load report that is used without a health check.
        queued_after_ns: an attempt without a reported start counts as queued this long after it was sent.
        runtime_tolerance_ns: added to both running times when they are compared.
        slow_log_ratio: logarithm of the running time relative to the kind's, from which a worker is slow.
        max_failure_score: above it a worker is sent only requests that may be executed twice.
    """

    fresh_max_age_ns: int
    queued_after_ns: int
    runtime_tolerance_ns: int
    slow_log_ratio: float
    max_failure_score: float
