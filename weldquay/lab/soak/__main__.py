"""Command line of the soak test; the exit status is 1 if a round violated a rule."""

from __future__ import annotations

import argparse
import asyncio
import sys
from collections.abc import Callable

from weldquay.lab.soak.misuse import draw_misuse_plan
from weldquay.lab.soak.plan import Plan, draw_plan
from weldquay.lab.soak.round import RoundResult, run_plan

PARALLEL_ROUNDS = 3
MAX_VIOLATIONS_PRINTED = 12


def report(seed: int, result: RoundResult) -> None:
    """Print a round's summary, and its violations with the command that repeats it."""
    print(f"seed {seed}: {result.summary()}", flush=True)
    if result.violations:
        command = f"python -m weldquay.lab.soak --seed {seed}"
        print(f"seed {seed}: FAILED, {len(result.violations)} violations; {command}")
        for violation in result.violations[:MAX_VIOLATIONS_PRINTED]:
            print(f"    {violation}", flush=True)


async def run_rounds(seeds: list[int], parallel: int, draw: Callable[[int], Plan]) -> list[int]:
    """Run the rounds, up to `parallel` at a time; return the seeds of those that violated a rule."""
    semaphore = asyncio.Semaphore(parallel)
    failed = []

    async def run_round(seed: int) -> None:
        async with semaphore:
            result = await run_plan(draw(seed))
        report(seed, result)
        if result.violations:
            failed.append(seed)

    await asyncio.gather(*map(run_round, seeds))
    return sorted(failed)


def main() -> int:
    """Parse the command line and run the rounds."""
    parser = argparse.ArgumentParser(
        "python -m weldquay.lab.soak", description="Seeded soak test of dispatcher processes."
    )
    which = parser.add_mutually_exclusive_group(required=True)
    which.add_argument("--seed", type=int, help="run the round of this seed and print its plan")
    which.add_argument("--seeds", type=int, help="run the rounds of the seeds from 1 to this one")
    parser.add_argument(
        "--parallel", type=int, default=PARALLEL_ROUNDS, help="maximum number of concurrent rounds"
    )
    parser.add_argument(
        "--misuse", action="store_true", help="rounds with misbehaving clients and failing system calls"
    )
    options = parser.parse_args()
    draw = draw_misuse_plan if options.misuse else draw_plan
    if options.seed is not None:
        print(draw(options.seed).describe(), flush=True)
    seeds = [options.seed] if options.seed is not None else list(range(1, options.seeds + 1))
    failed = asyncio.run(run_rounds(seeds, options.parallel, draw))
    print(f"{len(seeds)} rounds, {len(failed)} violated a rule", *failed)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
