"""The load of the clients: job classes, arrivals that are drawn from a seed, and results of requests."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass, replace
from enum import Enum
from typing import Any

import numpy as np

from weldquay.lab.model import MS, SECOND


@dataclass(frozen=True, slots=True)
class JobClass:
    """A class of jobs.

    fraction: the part of all jobs that belongs to the class.  mean_work_ns: mean running time at speed 1.
    runtime_allowance: a job is in time up to the latency objective plus this multiple of its running time.
    effect: a value of `effect` in the settings file.  slot_probabilities: that a job needs 1, 2 or 4 slots.
    runtime_variation: standard deviation of the running time over its mean.
    """

    name: str
    fraction: float
    mean_work_ns: float
    latency_objective_ns: int
    client_timeout_ns: int
    priority_weight: float = 1.0
    runtime_allowance: float = 2.0
    effect: str = "retryable"
    slot_probabilities: tuple[float, ...] = (1.0,)
    runtime_variation: float = 2.0


# The operators' job classes; each value is the middle of its published range.
JOB_CLASSES = (
    JobClass("exact-lookup", 0.39, 310 * MS, 250 * MS, 5 * SECOND),
    JobClass("fuzzy-match", 0.25, 610 * MS, 500 * MS, 7500 * MS, slot_probabilities=(0.6, 0.25, 0.15)),
    JobClass(
        "batch-import",
        0.23,
        1200 * MS,
        600 * MS,
        15 * SECOND,
        priority_weight=8.0,
        effect="fragile",
        slot_probabilities=(0.6, 0.25, 0.15),
    ),
    JobClass(
        "segment-commit",
        0.13,
        610 * MS,
        500 * MS,
        7500 * MS,
        priority_weight=2.0,
        runtime_allowance=1.75,
        effect="fragile",
        slot_probabilities=(0.6, 0.25, 0.15),
    ),
)


@dataclass(frozen=True, slots=True)
class Hints:
    """Errors of the clients' runtime hints.

    spread: standard deviation of the logarithm of a good hint over the running time.  wrong_factor: the
    factor by which wrong hints are too long or too short.
    """

    spread: float = 0.25
    wrong_fraction: float = 0.0
    wrong_factor: float = 4.0
    missing_fraction: float = 0.0


@dataclass(frozen=True, slots=True)
class Arrival:
    """A client's request; job_class: the index of its class."""

    number: int
    at_ns: int
    job_class: int
    dispatcher: int
    work_ns: float
    slots: int
    memory: float
    hint_ns: int | None
    retry: int = 0  # number of earlier sends by the client


def mean_slot_time_ns(job_classes: Sequence[JobClass]) -> float:
    """Return the mean slot time of a job at speed 1."""
    total = sum(job_class.fraction for job_class in job_classes)
    return math.fsum(
        job_class.fraction
        / total
        * job_class.mean_work_ns
        * sum(p * 2.0**i for i, p in enumerate(job_class.slot_probabilities))
        for job_class in job_classes
    )


class _ArrivalStreams:
    """Seeded random streams, one for each property of a job, so that a change to one leaves the others."""

    def __init__(self, seed: int, job_classes: Sequence[JobClass], hints: Hints) -> None:
        streams = np.random.SeedSequence(seed).spawn(5)
        self.times, self.classes, self.work, self.sizes, self.hint_errors = (
            np.random.Generator(np.random.PCG64(stream)) for stream in streams
        )
        self.job_classes = job_classes
        self.hints = hints
        fractions = np.array([job_class.fraction for job_class in job_classes])
        self.class_probabilities = fractions / fractions.sum()

    def draw_arrival(self, number: int, at_ns: float, dispatchers: int) -> Arrival:
        """Draw the properties of one job."""
        class_index = int(self.classes.choice(len(self.job_classes), p=self.class_probabilities))
        job_class = self.job_classes[class_index]
        probabilities = np.array(job_class.slot_probabilities) / sum(job_class.slot_probabilities)
        slots = 2 ** int(self.sizes.choice(len(probabilities), p=probabilities))
        variance = math.log(1 + job_class.runtime_variation**2)
        mean_log_ns = math.log(job_class.mean_work_ns) - variance / 2
        work_ns = float(self.work.lognormal(mean_log_ns, math.sqrt(variance)))
        hint_ns = self.draw_hint_ns(work_ns)
        memory = float(np.clip(self.sizes.lognormal(math.log(0.5 * slots), 0.4), 0.05, slots))
        dispatcher = int(self.classes.integers(dispatchers))
        return Arrival(number, int(at_ns), class_index, dispatcher, work_ns, slots, memory, hint_ns)

    def draw_hint_ns(self, work_ns: float) -> int | None:
        """Draw a client's hint; None if the client sends none."""
        hints = self.hints
        hint_ns = int(work_ns * float(self.hint_errors.lognormal(0.0, hints.spread)))
        chance = float(self.hint_errors.random())
        if chance < hints.missing_fraction:
            return None
        if chance < hints.missing_fraction + hints.wrong_fraction:
            factor = hints.wrong_factor if self.hint_errors.random() < 0.5 else 1 / hints.wrong_factor
            return int(hint_ns * factor)
        return hint_ns


@dataclass(frozen=True, slots=True)
class Traffic:
    """The traffic of a run.

    capacity: the work that the fleet can do in a unit of time.  load: the requested work as a fraction of it.
    """

    seed: int
    length_ns: int
    capacity: float
    load: float
    dispatchers: int = 1
    job_classes: Sequence[JobClass] = JOB_CLASSES
    hints: Hints = Hints()

    def draw_arrivals(self) -> list[Arrival]:
        """Return Poisson arrivals; equal seeds give equal arrivals."""
        streams = _ArrivalStreams(self.seed, self.job_classes, self.hints)
        mean_gap_ns = mean_slot_time_ns(self.job_classes) / (self.load * self.capacity)
        arrivals: list[Arrival] = []
        at_ns = float(streams.times.exponential(mean_gap_ns))
        while at_ns < self.length_ns:
            arrivals.append(streams.draw_arrival(len(arrivals), at_ns, self.dispatchers))
            at_ns += float(streams.times.exponential(mean_gap_ns))
        return arrivals


def retry_of(arrival: Arrival, at_ns: int) -> Arrival:
    """Return a client's retry of a request."""
    return replace(arrival, at_ns=at_ns, retry=arrival.retry + 1)


class RequestResult(Enum):
    """The result of a request."""

    IN_TIME = "in time"
    LATE = "late"
    REJECTED = "rejected"
    FAILED = "failed"
    LOST = "lost"  # no response


@dataclass(slots=True)
class RequestRecord:
    """A request and its last response; wait_ns is the response time without the job's running time."""

    arrival: Arrival
    result: RequestResult = RequestResult.LOST
    answered_ns: int = 0
    wait_ns: int = 0
    answers: int = 0
    rejections: int = 0


def classify_served(job_class: JobClass, work_ns: float, elapsed_ns: int) -> RequestResult:
    """Return whether a served request met its latency objective."""
    limit_ns = job_class.latency_objective_ns + job_class.runtime_allowance * work_ns
    return RequestResult.IN_TIME if elapsed_ns <= limit_ns else RequestResult.LATE


@dataclass(frozen=True, slots=True)
class SummaryRow:
    """The results of the jobs of one class and number of slots."""

    name: str
    slots: int
    jobs: int
    fractions: dict[RequestResult, float]  # parts of the total job value, by result
    rejections: float  # mean number per job
    wait_ms: tuple[float, float, float]  # waiting times of served jobs: 50th, 90th and 99th percentile


def summary(
    records: Sequence[RequestRecord], job_classes: Sequence[JobClass] = JOB_CLASSES
) -> list[SummaryRow]:
    """Return the results by class and slots, by slots alone ("any"), and of all jobs (0 slots)."""
    groups: dict[tuple[str, int], list[RequestRecord]] = {}
    for record in records:
        slots = record.arrival.slots
        for key in ((job_classes[record.arrival.job_class].name, slots), ("any", slots), ("any", 0)):
            groups.setdefault(key, []).append(record)
    return [_summary_row(name, slots, group, job_classes) for (name, slots), group in sorted(groups.items())]


def _summary_row(
    name: str, slots: int, records: Sequence[RequestRecord], job_classes: Sequence[JobClass]
) -> SummaryRow:
    values = np.array([job_value(record.arrival, job_classes) for record in records])
    fractions = {
        result: float(
            sum(value for value, record in zip(values, records, strict=True) if record.result is result)
            / values.sum()
        )
        for result in RequestResult
    }
    served = (RequestResult.IN_TIME, RequestResult.LATE)
    waits_ms = [record.wait_ns / MS for record in records if record.result in served] or [math.nan]
    p50, p90, p99 = (float(np.percentile(waits_ms, percent)) for percent in (50, 90, 99))
    rejections = sum(record.rejections for record in records) / len(records)
    return SummaryRow(name, slots, len(records), fractions, rejections, (p50, p90, p99))


def job_value(arrival: Arrival, job_classes: Sequence[JobClass] = JOB_CLASSES) -> float:
    """Return the value of a job: its slot time times the priority weight of its class."""
    return job_classes[arrival.job_class].priority_weight * arrival.work_ns * arrival.slots


_CAPABILITIES = {
    "cancel": True,
    "probes": True,
    "may_duplicate": True,
    "max_attempts": 5,
    "max_open": 10_000,
    "retry_after": True,
    "max_retry_after_ns": 2 * SECOND,
    "connect_timeout_ns": 250 * MS,
    "conn_idle_ns": 60 * SECOND,
}
_SAFETY = {
    "ask_within_ns": 10 * SECOND,
    "cold_share": 0.34,
    "warm_after_ns": 8900 * MS,
    "fall_multiple": 2.5,
    "overload_for_ns": 2 * SECOND,
}


def settings(
    dispatchers: int = 1,
    job_classes: Sequence[JobClass] = JOB_CLASSES,
    dispatcher_index: int = 0,
    **extra: Any,
) -> dict[str, Any]:
    """Return the settings document for these classes; extra: groups to add or replace."""
    return {
        "group_size": dispatchers,
        "me": dispatcher_index,
        "zone": 0,
        "zones": ["here"],
        "shapes": ["fast", "standard", "old"],
        "granularity_ns": 5 * MS,
        "discovery": "ask",
        "worth_by": "work",
        "services": [
            {
                "name": job_class.name,
                "aim_ns": job_class.latency_objective_ns,
                "give_up_ns": job_class.client_timeout_ns,
                "effect": job_class.effect,
                "worth": job_class.priority_weight,
            }
            for job_class in job_classes
        ],
        "family_info": {
            "class_stretch": [job_class.runtime_allowance for job_class in job_classes],
            "tells_start": True,
            "queue_order": "fifo",
            "report_x0": "free slots",
            "report_x1": "free memory",
        },
        "load_info": {"fields": ["svc_ms", "pending", "x0", "x1"], "via": "inline"},
        "caps": dict(_CAPABILITIES),
        "safety": dict(_SAFETY),
        "tariffs": {"probe": 0.002, "waste": 0.3, "late_fail": 0.054},
        **extra,
    }
