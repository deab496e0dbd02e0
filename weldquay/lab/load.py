"""What clients ask for: classes of jobs, arrivals drawn ahead from a seed, and what became of each job."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass, replace
from enum import Enum
from typing import Any

import numpy as np

from weldquay.lab.model import MS, SECOND


@dataclass(frozen=True, slots=True)
class Kind:
    """A class of jobs.  work_ns: mean running time at speed 1; widths: the chances of 1, 2, 4 slots."""

    name: str
    part: float
    work_ns: float
    aim_ns: int
    give_up_ns: int
    worth: float = 1.0
    stretch: float = 2.0
    effect: str = "retryable"
    widths: tuple[float, ...] = (1.0,)
    spread: float = 2.0  # standard deviation of the running time over its mean


# The operators' classes, each figure in the midst of its published range.
KINDS = (
    Kind("exact-lookup", 0.39, 310 * MS, 250 * MS, 5 * SECOND),
    Kind("fuzzy-match", 0.25, 610 * MS, 500 * MS, 7500 * MS, widths=(0.6, 0.25, 0.15)),
    Kind(
        "batch-import",
        0.23,
        1200 * MS,
        600 * MS,
        15 * SECOND,
        worth=8.0,
        effect="fragile",
        widths=(0.6, 0.25, 0.15),
    ),
    Kind(
        "segment-commit",
        0.13,
        610 * MS,
        500 * MS,
        7500 * MS,
        worth=2.0,
        stretch=1.75,
        effect="fragile",
        widths=(0.6, 0.25, 0.15),
    ),
)


@dataclass(frozen=True, slots=True)
class Hints:
    """How clients guess the work: the spread of good guesses, the parts of wrong and of missing ones."""

    spread: float = 0.25
    wrong: float = 0.0
    factor: float = 4.0  # wrong ones are so many times too long or too short
    missing: float = 0.0


@dataclass(frozen=True, slots=True)
class Arrival:
    """A job that a client brings at a moment, at one of the dispatchers."""

    number: int
    at_ns: int
    kind: int
    dispatcher: int
    work_ns: float
    slots: int
    memory: float
    hint_ns: int | None
    attempt: int = 0  # the client's retries so far


def mean_area_ns(kinds: Sequence[Kind]) -> float:
    """Mean slot time of a job at speed 1."""
    parts = sum(kind.part for kind in kinds)
    return math.fsum(
        kind.part / parts * kind.work_ns * sum(p * 2.0**i for i, p in enumerate(kind.widths))
        for kind in kinds
    )


def draw(
    seed: int,
    length_ns: int,
    capacity: float,
    load: float,
    dispatchers: int = 1,
    kinds: Sequence[Kind] = KINDS,
    hints: Hints | None = None,
) -> list[Arrival]:
    """Poisson arrivals that ask for `load` of a fleet's capacity (work in a unit of time, all slots)."""
    hints = hints or Hints()
    streams = np.random.SeedSequence(seed).spawn(5)
    when, what, work, wide, guess = (np.random.Generator(np.random.PCG64(each)) for each in streams)
    parts = np.array([kind.part for kind in kinds])
    gap_ns = mean_area_ns(kinds) / (load * capacity)
    arrivals: list[Arrival] = []
    at_ns = float(when.exponential(gap_ns))
    while at_ns < length_ns:
        number = int(what.choice(len(kinds), p=parts / parts.sum()))
        kind = kinds[number]
        slots = 2 ** int(wide.choice(len(kind.widths), p=np.array(kind.widths) / sum(kind.widths)))
        sigma2 = math.log(1 + kind.spread**2)
        work_ns = float(work.lognormal(math.log(kind.work_ns) - sigma2 / 2, math.sqrt(sigma2)))
        hint_ns: int | None = int(work_ns * float(guess.lognormal(0.0, hints.spread)))
        odd = float(guess.random())
        if odd < hints.missing:
            hint_ns = None
        elif odd < hints.missing + hints.wrong and hint_ns is not None:
            hint_ns = int(hint_ns * (hints.factor if guess.random() < 0.5 else 1 / hints.factor))
        memory = float(np.clip(wide.lognormal(math.log(0.5 * slots), 0.4), 0.05, slots))
        arrivals.append(
            Arrival(
                len(arrivals),
                int(at_ns),
                number,
                int(what.integers(dispatchers)),
                work_ns,
                slots,
                memory,
                hint_ns,
            )
        )
        at_ns += float(when.exponential(gap_ns))
    return arrivals


def again(arrival: Arrival, at_ns: int, number: int) -> Arrival:
    """A client's retry of a job."""
    return replace(arrival, at_ns=at_ns, number=number, attempt=arrival.attempt + 1)


class Fate(Enum):
    """What became of a job."""

    IN_TIME = "in time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"
    LOST = "lost"  # no answer


@dataclass(slots=True)
class Record:
    """A job and its last answer; wait_ns is the time that it did not run."""

    arrival: Arrival
    fate: Fate = Fate.LOST
    answered_ns: int = 0
    wait_ns: int = 0
    answers: int = 0
    refusals: int = 0


def judge(kind: Kind, work_ns: float, took_ns: int) -> Fate:
    """Whether a served job came within its wanted time."""
    return Fate.IN_TIME if took_ns <= kind.aim_ns + kind.stretch * work_ns else Fate.LATE


@dataclass(frozen=True, slots=True)
class Row:
    """One line of the table: a class and a width."""

    name: str
    slots: int
    jobs: int
    parts: dict[Fate, float]  # by worth
    refusals: float  # a job
    wait_ms: tuple[float, float, float]  # 50th, 90th and 99th percentile of served jobs


def summary(records: Sequence[Record], kinds: Sequence[Kind] = KINDS) -> list[Row]:
    """The table of a run: by class and width, by width alone, and all."""
    groups: dict[tuple[str, int], list[Record]] = {}
    for record in records:
        slots = record.arrival.slots
        for key in ((kinds[record.arrival.kind].name, slots), ("any", slots), ("any", 0)):
            groups.setdefault(key, []).append(record)
    rows = []
    for (name, slots), group in sorted(groups.items()):
        worths = np.array([worth(each.arrival, kinds) for each in group])
        parts = {
            fate: float(
                sum(w for w, each in zip(worths, group, strict=True) if each.fate is fate) / worths.sum()
            )
            for fate in Fate
        }
        waits = [each.wait_ns / MS for each in group if each.fate in (Fate.IN_TIME, Fate.LATE)] or [math.nan]
        p50, p90, p99 = (float(np.percentile(waits, p)) for p in (50, 90, 99))
        refusals = sum(each.refusals for each in group) / len(group)
        rows.append(Row(name, slots, len(group), parts, refusals, (p50, p90, p99)))
    return rows


def worth(arrival: Arrival, kinds: Sequence[Kind] = KINDS) -> float:
    """What a job is worth, by its work."""
    return kinds[arrival.kind].worth * arrival.work_ns * arrival.slots


def settings(dispatchers: int = 1, kinds: Sequence[Kind] = KINDS, me: int = 0, **more: Any) -> dict[str, Any]:
    """Settings for these classes, as the operators write them."""
    return {
        "group_size": dispatchers,
        "me": me,
        "zone": 0,
        "zones": ["here"],
        "shapes": ["fast", "standard", "old"],
        "granularity_ns": 5 * MS,
        "discovery": "ask",
        "worth_by": "work",
        "services": [
            {
                "name": kind.name,
                "aim_ns": kind.aim_ns,
                "give_up_ns": kind.give_up_ns,
                "effect": kind.effect,
                "worth": kind.worth,
            }
            for kind in kinds
        ],
        "family_info": {
            "class_stretch": [kind.stretch for kind in kinds],
            "tells_start": True,
            "queue_order": "fifo",
            "report_x0": "free slots",
            "report_x1": "free memory",
        },
        "load_info": {"fields": ["svc_ms", "pending", "x0", "x1"], "via": "inline"},
        "caps": {
            "cancel": True,
            "probes": True,
            "may_duplicate": True,
            "max_attempts": 5,
            "max_open": 10_000,
            "retry_after": True,
            "max_retry_after_ns": 2 * SECOND,
            "connect_timeout_ns": 250 * MS,
            "conn_idle_ns": 60 * SECOND,
        },
        "safety": {
            "ask_within_ns": 10 * SECOND,
            "cold_share": 0.34,
            "warm_after_ns": 8900 * MS,
            "fall_multiple": 2.5,
            "overload_for_ns": 2 * SECOND,
        },
        "tariffs": {"probe": 0.002, "waste": 0.3, "late_fail": 0.054},
        **more,
    }
