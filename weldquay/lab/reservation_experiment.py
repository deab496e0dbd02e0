"""Measures the effect of reservations for large jobs: the same load with and without them, by seed.

    python -m weldquay.lab.reservation_experiment                       # on loopback, 5 seeds
    python -m weldquay.lab.reservation_experiment --virtual --seeds 24  # in virtual time, in seconds

By default, it runs 1 and 3 dispatchers at 0.75 and 0.9 of capacity.  Each run has its own dispatcher
processes, six match workers with FIFO queues, discovery, and open-loop clients.  The two runs of a pair have
the same jobs at the same times.
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
from dataclasses import asdict, dataclass, replace
from pathlib import Path
from typing import Any

from weldquay.lab import load as loads
from weldquay.lab import model
from weldquay.lab.site import site
from weldquay.lab.virtual_time import Scenario, Simulation
from weldquay.net.counter_names import RESERVATION_COUNTERS
from weldquay.reservations import settings as reservation_settings
from weldquay.settings import FlatSettings, decode_settings

FLEET = (("fast", 1.6), ("standard", 1.0), ("standard", 0.95), ("old", 0.6), ("old", 0.55), ("old", 0.65))
RETRIES = 2
SETTINGS_PATH = Path(__file__).parents[2] / "deploy" / "room.json"
ARMS = ("off", "on")
PERCENTILES = ("p50", "p90", "p99")


@dataclass(frozen=True, slots=True)
class Plan:
    """The parameters of one run."""

    seed: int
    dispatchers: int
    load: float
    arm: str
    length_s: float
    is_virtual: bool
    settings_path: str
    wrong_hints: float = 0.0
    missing_hints: float = 0.0
    report_delay_s: float = 0.35
    order: str = "fifo"


@dataclass(frozen=True, slots=True)
class RunResult:
    """The output of a run.

    cells: fractions of the total job value, and waiting times, by class and number of slots.
    """

    plan: Plan
    cells: dict[str, dict[str, float]]
    busy_fraction: float  # used fraction of all slot time
    counters: dict[str, float]
    unanswered: int  # requests that did not get exactly one response
    repeated: int  # non-idempotent jobs that ran more than once


def fleet(plan: Plan) -> list[model.WorkerSpec]:
    """Return the specs of six match workers, of three kinds."""
    return [
        model.WorkerSpec(
            f"s-{number}",
            speed=speed,
            kind=kind,
            order=model.QueueOrder(plan.order),
            report_delay_ns=int(plan.report_delay_s * 1e9),
        )
        for number, (kind, speed) in enumerate(FLEET)
    ]


def arrivals(plan: Plan) -> list[loads.Arrival]:
    """Return the jobs of a plan, which are the same for both arms."""
    capacity = sum(spec.speed * spec.cores for spec in fleet(plan))
    traffic = loads.Traffic(
        plan.seed,
        int(plan.length_s * 1e9),
        capacity,
        plan.load,
        plan.dispatchers,
        hints=loads.Hints(wrong_fraction=plan.wrong_hints, missing_fraction=plan.missing_hints),
    )
    return traffic.draw_arrivals()


def run(plan: Plan) -> RunResult:
    """Run one plan."""
    return _run_virtual(plan) if plan.is_virtual else asyncio.run(_run_on_loopback(plan))


def _run_virtual(plan: Plan) -> RunResult:
    reservations = reservation_settings.read_settings(Path(plan.settings_path)) if plan.arm == "on" else None
    documents = [
        loads.settings(plan.dispatchers, dispatcher_index=index) for index in range(plan.dispatchers)
    ]
    settings = [decode_settings(FlatSettings.from_nested(document))[0] for document in documents]
    scenario = Scenario(
        arrivals(plan),
        fleet(plan),
        [replace(values, reservations=reservations) for values in settings],
        seed=plan.seed,
        retries=RETRIES,
    )
    result = Simulation(scenario).run()
    return _summarize(
        plan,
        result.records,
        result.busy_fraction,
        dict(result.counts),
        {str(job): times for job, times in result.starts_by_job.items()},
    )


async def _run_on_loopback(plan: Plan) -> RunResult:
    arguments = ("--room", plan.settings_path) if plan.arm == "on" else ()
    async with site(fleet(plan), plan.dispatchers, arguments=arguments) as running:
        start_s = asyncio.get_running_loop().time()
        await running.send_arrivals(arrivals(plan), plan.seed, RETRIES)
        busy_fraction = running.busy_fraction(int((asyncio.get_running_loop().time() - start_s) * 1e9))
        starts = {str(int(job, 16)): times for job, times in running.starts_by_job().items()}
    return _summarize(plan, running.records, busy_fraction, running.counters, starts)


def _summarize(
    plan: Plan,
    records: Sequence[loads.RequestRecord],
    busy_fraction: float,
    counters: dict[str, float],
    starts_by_job: dict[str, int],
) -> RunResult:
    cells = {}
    for row in loads.summary(records):
        fractions = {result.value: fraction for result, fraction in row.fractions.items()}
        p50, p90, p99 = row.wait_ms
        cells[f"{row.name} {row.slots or 'all'}"] = {
            **fractions,
            "rejections": row.rejections,
            "jobs": row.jobs,
            "p50": p50,
            "p90": p90,
            "p99": p99,
        }
    non_idempotent = {
        str(record.arrival.number)
        for record in records
        if loads.JOB_CLASSES[record.arrival.job_class].effect == "fragile"
    }
    return RunResult(
        plan,
        cells,
        busy_fraction,
        counters,
        sum(record.answers != 1 for record in records),
        sum(times > 1 for job, times in starts_by_job.items() if job in non_idempotent),
    )


def _median_and_range(values: Iterable[float]) -> str:
    ordered = sorted(values)
    return f"{statistics.median(ordered):.3f} ({ordered[0]:.3f} to {ordered[-1]:.3f})"


def format_table(results: Sequence[RunResult]) -> str:
    """Return one table per number of dispatchers and load, with medians and ranges over the seeds."""

    def group_key(result: RunResult) -> tuple[int, float]:
        return result.plan.dispatchers, result.plan.load

    lines: list[str] = []
    for (dispatchers, load), group in itertools.groupby(sorted(results, key=group_key), key=group_key):
        members = sorted(group, key=lambda result: result.plan.seed)
        arms = {arm: [result for result in members if result.plan.arm == arm] for arm in ARMS}
        lines += [
            f"### {dispatchers} dispatcher(s), {load:g} of capacity, {len(arms['on'])} seeds",
            "",
            "| class, slots | in time, off | in time, on | difference by seed | rejected off, on "
            "| late off, on | failed off, on | wait p50, p90, p99 ms off | on |",
            "|" + " --- |" * 9,
            *_cell_rows(arms),
            "",
            *(_arm_line(arm, arms[arm]) for arm in ARMS),
            "",
        ]
    return "\n".join(lines)


def _cell_rows(arms: dict[str, list[RunResult]]) -> list[str]:
    """Return one row for each combination of class and slots that occurs with every seed."""
    rows = []
    for cell in sorted({name for results in arms.values() for result in results for name in result.cells}):
        off, on = ([result.cells[cell] for result in arms[arm] if cell in result.cells] for arm in ARMS)
        if len(off) == len(on) and on:
            rows.append("| " + " | ".join([cell, *_cell_columns(off, on)]) + " |")
    return rows


def _cell_columns(off: list[dict[str, float]], on: list[dict[str, float]]) -> list[str]:
    differences = [after["in time"] - before["in time"] for before, after in zip(off, on, strict=True)]

    def median(arm: list[dict[str, float]], key: str) -> float:
        return statistics.median(cell[key] for cell in arm)

    pairs = [f"{median(off, key):.3f}, {median(on, key):.3f}" for key in ("rejected", "late", "failed")]
    waits = [", ".join(f"{median(arm, key):.0f}" for key in PERCENTILES) for arm in (off, on)]
    return [
        _median_and_range(cell["in time"] for cell in off),
        _median_and_range(cell["in time"] for cell in on),
        _median_and_range(differences),
        *pairs,
        *waits,
    ]


def _arm_line(arm: str, results: Sequence[RunResult]) -> str:
    return (
        f"- {arm}: workers' slots used {_median_and_range(result.busy_fraction for result in results)}; "
        f"requests without exactly one response {sum(result.unanswered for result in results)}; "
        f"non-idempotent jobs run more than once {sum(result.repeated for result in results)}; "
        f"{_reservation_counts(results)}"
    )


def _reservation_counts(results: Sequence[RunResult]) -> str:
    totals: dict[str, float] = {}
    for result in results:
        for name, value in result.counters.items():
            if name in RESERVATION_COUNTERS.values():
                totals[name] = totals.get(name, 0) + value
    counts = ", ".join(f"{name} {value:g}" for name, value in sorted(totals.items()))
    return f"reservations: {counts or 'none'}"


def build_parser() -> argparse.ArgumentParser:
    """Return the command line parser."""
    parser = argparse.ArgumentParser(
        "weldquay.lab.reservation_experiment", description="Compare large jobs with and without reservations."
    )
    parser.add_argument("--seeds", type=int, default=5, help="number of seeds (default 5)")
    parser.add_argument("--first", type=int, default=1, help="first seed (default 1)")
    parser.add_argument(
        "--length", type=float, default=40.0, help="duration of the load of a run in seconds (default 40)"
    )
    parser.add_argument("--dispatchers", default="1,3", help="numbers of dispatchers (default 1,3)")
    parser.add_argument(
        "--loads", default="0.75,0.9", help="loads as fractions of capacity (default 0.75,0.9)"
    )
    parser.add_argument(
        "--room", default=str(SETTINGS_PATH), help="reservation settings file (default deploy/room.json)"
    )
    parser.add_argument("--virtual", action="store_true", help="simulate in virtual time, without sockets")
    parser.add_argument("--at-once", type=int, default=4, help="number of concurrent runs (default 4)")
    parser.add_argument("--wrong", type=float, default=0.0, help="fraction of hints that are 4 times off")
    parser.add_argument("--missing", type=float, default=0.0, help="fraction of jobs without a hint")
    parser.add_argument("--report-delay", type=float, default=0.35, help="delay of load reports in seconds")
    parser.add_argument("--order", choices=[order.value for order in model.QueueOrder], default="fifo")
    parser.add_argument("--json", type=Path, help="write all results to this file")
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Run all plans and print the table."""
    options = build_parser().parse_args(arguments)
    plans = [
        Plan(
            seed,
            int(dispatchers),
            float(load),
            arm,
            options.length,
            options.virtual,
            options.room,
            options.wrong,
            options.missing,
            options.report_delay,
            options.order,
        )
        for dispatchers in options.dispatchers.split(",")
        for load in options.loads.split(",")
        for seed in range(options.first, options.first + options.seeds)
        for arm in ARMS
    ]
    results = []
    with ProcessPoolExecutor(options.at_once) as pool:
        for result in pool.map(run, plans):
            results.append(result)
            print(f"{len(results)} of {len(plans)} runs", end="\r", file=sys.stderr, flush=True)
    print(file=sys.stderr)
    print(format_table(results))
    if options.json:
        options.json.write_text(json.dumps([_to_json(result) for result in results], indent=1))
    return 0


def _to_json(result: RunResult) -> dict[str, Any]:
    return {
        "plan": asdict(result.plan),
        "cells": result.cells,
        "busy": result.busy_fraction,
        "counters": result.counters,
    }


if __name__ == "__main__":
    sys.exit(main())
