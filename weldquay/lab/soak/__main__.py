"""Play rounds by their seeds; the exit status is 1 if one broke a rule."""

from __future__ import annotations

import argparse
import asyncio
import sys

from weldquay.lab.soak.plan import draw_plan
from weldquay.lab.soak.round import RoundResult, play

PARALLEL_ROUNDS = 3
MAX_VIOLATIONS_SHOWN = 12


def report(seed: int, result: RoundResult) -> None:
    """Print a round's figures, and its violations with the command that plays it again."""
    print(f"seed {seed}: {result.line()}", flush=True)
    if result.violations:
        command = f"python -m weldquay.lab.soak --seed {seed}"
        print(f"seed {seed}: FAILED, {len(result.violations)} violations; {command}")
        for violation in result.violations[:MAX_VIOLATIONS_SHOWN]:
            print(f"    {violation}", flush=True)


async def play_all(seeds: list[int], parallel: int) -> list[int]:
    """Play the rounds, some at a time; return the seeds that broke a rule."""
    turns = asyncio.Semaphore(parallel)
    failed = []

    async def play_one(seed: int) -> None:
        async with turns:
            result = await play(draw_plan(seed))
        report(seed, result)
        if result.violations:
            failed.append(seed)

    await asyncio.gather(*map(play_one, seeds))
    return sorted(failed)


def main() -> int:
    """Read the command line and play."""
    parser = argparse.ArgumentParser("python -m weldquay.lab.soak", description="A seeded soak.")
    which = parser.add_mutually_exclusive_group(required=True)
    which.add_argument("--seed", type=int, help="one round; its plan is printed")
    which.add_argument("--seeds", type=int, help="the rounds from 1 up to this seed")
    parser.add_argument("--parallel", type=int, default=PARALLEL_ROUNDS, help="rounds at a time")
    options = parser.parse_args()
    if options.seed is not None:
        print(draw_plan(options.seed).describe(), flush=True)
    seeds = [options.seed] if options.seed is not None else list(range(1, options.seeds + 1))
    failed = asyncio.run(play_all(seeds, options.parallel))
    print(f"{len(seeds)} rounds, {len(failed)} broke a rule", *failed)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
