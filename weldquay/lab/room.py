"""What holding room does: the same load on loopback with and without it, over several seeds.

    python -m weldquay.lab.room                       # 1 and 3 dispatchers, 0.75 and 0.9 of capacity, 5 seeds
    python -m weldquay.lab.room --virtual --seeds 24  # the same in virtual time, in seconds

Each run has dispatcher processes of its own, six match workers that serve in order, discovery, and clients
that ask on time whatever becomes of earlier jobs.  The runs of a pair have the same jobs at the same moments.
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
import json
import statistics
import sys
from collections.abc import Iterable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from weldquay.lab import load as loads
from weldquay.lab import model
from weldquay.lab.direct import Run
from weldquay.lab.site import site
from weldquay.reservations import settings as figures
from weldquay.settings import FlatSettings, decode_settings

FLEET = (("fast", 1.6), ("standard", 1.0), ("standard", 0.95), ("old", 0.6), ("old", 0.55), ("old", 0.65))
RETRIES = 2
ROOM = Path(__file__).parents[2] / "deploy" / "room.json"
ARMS = ("off", "on")
WAITS = ("p50", "p90", "p99")


@dataclass(frozen=True, slots=True)
class Plan:
    """One run."""

    seed: int
    dispatchers: int
    load: float
    arm: str
    length_s: float
    virtual: bool
    room: str
    wrong: float = 0.0
    missing: float = 0.0
    report_delay_s: float = 0.35
    order: str = "fifo"


@dataclass(frozen=True, slots=True)
class Outcome:
    """What a run came to; cells: by class and width, the parts of worth and the waiting times."""

    plan: Plan
    cells: dict[str, dict[str, float]]
    busy: float
    counters: dict[str, float]
    unanswered: int
    twice: int  # jobs that must not run twice and did


def fleet(plan: Plan) -> list[model.Spec]:
    """Six match workers of three speeds."""
    return [
        model.Spec(
            f"s-{n}",
            speed=speed,
            kind=kind,
            order=model.Order(plan.order),
            report_delay_ns=int(plan.report_delay_s * 1e9),
        )
        for n, (kind, speed) in enumerate(FLEET)
    ]


def arrivals(plan: Plan) -> list[loads.Arrival]:
    """The jobs of a plan; both arms have the same."""
    capacity = sum(spec.speed * spec.cores for spec in fleet(plan))
    return loads.draw(
        plan.seed,
        int(plan.length_s * 1e9),
        capacity,
        plan.load,
        plan.dispatchers,
        hints=loads.Hints(wrong=plan.wrong, missing=plan.missing),
    )


def play(plan: Plan) -> Outcome:
    """Play one run."""
    return _virtual(plan) if plan.virtual else asyncio.run(_real(plan))


def _virtual(plan: Plan) -> Outcome:
    room = figures.read(Path(plan.room)) if plan.arm == "on" else None
    told = [
        decode_settings(FlatSettings.from_nested(loads.settings(plan.dispatchers, me=me)))[0]
        for me in range(plan.dispatchers)
    ]
    run = Run(
        arrivals(plan),
        fleet(plan),
        [replace(each, reservations=room) for each in told],
        seed=plan.seed,
        retries=RETRIES,
    )
    result = run.go()
    return _outcome(
        plan,
        result.records,
        result.busy,
        dict(result.counts),
        {str(job): times for job, times in result.runs.items()},
    )


async def _real(plan: Plan) -> Outcome:
    arguments = ("--room", plan.room) if plan.arm == "on" else ()
    async with site(fleet(plan), plan.dispatchers, arguments=arguments) as here:
        begun = asyncio.get_running_loop().time()
        await here.play(arrivals(plan), plan.seed, RETRIES)
        busy = here.busy(int((asyncio.get_running_loop().time() - begun) * 1e9))
        runs = {str(int(job, 16)): times for job, times in here.runs().items()}
    return _outcome(plan, here.records, busy, here.counters, runs)


def _outcome(
    plan: Plan,
    records: Sequence[loads.Record],
    busy: float,
    counters: dict[str, float],
    runs: dict[str, int],
) -> Outcome:
    cells = {}
    for row in loads.summary(records):
        parts = {fate.value: part for fate, part in row.parts.items()}
        p50, p90, p99 = row.wait_ms
        cells[f"{row.name} {row.slots or 'all'}"] = {
            **parts,
            "refusals": row.refusals,
            "jobs": row.jobs,
            "p50": p50,
            "p90": p90,
            "p99": p99,
        }
    unsafe = {
        str(record.arrival.number)
        for record in records
        if loads.KINDS[record.arrival.kind].effect == "fragile"
    }
    return Outcome(
        plan,
        cells,
        busy,
        counters,
        sum(record.answers != 1 for record in records),
        sum(times > 1 for job, times in runs.items() if job in unsafe),
    )


def _middle(values: Iterable[float]) -> str:
    found = sorted(values)
    return f"{statistics.median(found):.3f} ({found[0]:.3f} to {found[-1]:.3f})"


def table(outcomes: Sequence[Outcome]) -> str:
    """A table for each number of dispatchers and load: medians and ranges over the seeds."""
    lines = []
    groups = itertools.groupby(
        sorted(outcomes, key=lambda each: (each.plan.dispatchers, each.plan.load)),
        key=lambda each: (each.plan.dispatchers, each.plan.load),
    )
    for (dispatchers, load), members in groups:
        rows = list(members)
        rows.sort(key=lambda row: row.plan.seed)
        arms = {arm: [row for row in rows if row.plan.arm == arm] for arm in ARMS}
        seeds = len(arms["on"])
        lines += [
            f"### {dispatchers} dispatcher(s), {load:g} of capacity, {seeds} seeds",
            "",
            "| class, slots | in time, off | in time, on | difference by seed | refused off, on "
            "| late off, on | failed off, on | wait p50, p90, p99 ms off | on |",
            "|" + " --- |" * 9,
        ]
        for cell in sorted({name for row in rows for name in row.cells}):
            off, on = ([r.cells[cell] for r in arms[arm] if cell in r.cells] for arm in ARMS)
            if len(off) != len(on) or not on:
                continue  # a class too rare for some seed
            both = [b["in time"] - a["in time"] for a, b in zip(off, on, strict=True)]
            pairs = [
                ", ".join(f"{statistics.median(r[key] for r in side):.3f}" for side in (off, on))
                for key in ("refused", "late", "failed")
            ]
            waits = [
                ", ".join(f"{statistics.median(r[key] for r in side):.0f}" for key in WAITS)
                for side in (off, on)
            ]
            lines.append(
                f"| {cell} | "
                + " | ".join(
                    [
                        _middle(r["in time"] for r in off),
                        _middle(r["in time"] for r in on),
                        _middle(both),
                        *pairs,
                        *waits,
                    ]
                )
                + " |"
            )
        lines += [
            "",
            *(
                f"- {arm}: workers' slots used {_middle(r.busy for r in arms[arm])}; "
                f"answers missing or doubled {sum(r.unanswered for r in arms[arm])}; "
                f"runs repeated against the class {sum(r.twice for r in arms[arm])}; " + _holds(arms[arm])
                for arm in ARMS
            ),
            "",
        ]
    return "\n".join(lines)


def _holds(outcomes: Sequence[Outcome]) -> str:
    total: dict[str, float] = {}
    for outcome in outcomes:
        for name, value in outcome.counters.items():
            if name.startswith("holds_"):
                total[name] = total.get(name, 0) + value
    return "holds: " + (", ".join(f"{name[6:]} {value:g}" for name, value in sorted(total.items())) or "none")


def options() -> argparse.ArgumentParser:
    """The command line."""
    parser = argparse.ArgumentParser("weldquay.lab.room", description="Room held for large jobs, on and off.")
    parser.add_argument("--seeds", type=int, default=5, help="how many (default 5)")
    parser.add_argument("--first", type=int, default=1, help="the first seed (default 1)")
    parser.add_argument("--length", type=float, default=40.0, help="seconds of load in a run (default 40)")
    parser.add_argument("--dispatchers", default="1,3", help="default 1,3")
    parser.add_argument("--loads", default="0.75,0.9", help="parts of capacity (default 0.75,0.9)")
    parser.add_argument("--room", default=str(ROOM), help="the figures (default deploy/room.json)")
    parser.add_argument("--virtual", action="store_true", help="virtual time, without sockets")
    parser.add_argument("--at-once", type=int, default=4, help="runs side by side (default 4)")
    parser.add_argument("--wrong", type=float, default=0.0, help="part of hints that are 4 times off")
    parser.add_argument("--missing", type=float, default=0.0, help="part of jobs without a hint")
    parser.add_argument("--report-delay", type=float, default=0.35, help="seconds that reports are late")
    parser.add_argument("--order", choices=[each.value for each in model.Order], default="fifo")
    parser.add_argument("--json", type=Path, help="write all outcomes there")
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Play all runs and print the table."""
    told = options().parse_args(arguments)
    plans = [
        Plan(
            seed,
            int(dispatchers),
            float(load),
            arm,
            told.length,
            told.virtual,
            told.room,
            told.wrong,
            told.missing,
            told.report_delay,
            told.order,
        )
        for dispatchers in told.dispatchers.split(",")
        for load in told.loads.split(",")
        for seed in range(told.first, told.first + told.seeds)
        for arm in ARMS
    ]
    outcomes = []
    with ProcessPoolExecutor(told.at_once) as pool:
        for outcome in pool.map(play, plans):
            outcomes.append(outcome)
            print(f"{len(outcomes)} of {len(plans)} runs", end="\r", file=sys.stderr, flush=True)
    print(file=sys.stderr)
    print(table(outcomes))
    if told.json:
        told.json.write_text(json.dumps([_plain(each) for each in outcomes], indent=1))
    return 0


def _plain(outcome: Outcome) -> dict[str, Any]:
    plan = {name: getattr(outcome.plan, name) for name in Plan.__slots__}
    return {"plan": plan, "cells": outcome.cells, "busy": outcome.busy, "counters": outcome.counters}


if __name__ == "__main__":
    sys.exit(main())
