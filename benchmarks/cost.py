"""What a request costs by phase: CPU, steps, timers, function calls; of one commit or of two in pairs.

    python -m benchmarks.cost                                   # this tree
    python -m benchmarks.cost --before COMMIT                   # in pairs with this tree
    python -m benchmarks.cost --before COMMIT --after COMMIT
    python -m benchmarks.cost --counts > benchmarks/calls.json  # what tests/test_cost.py compares with

A cell is workers:dispatchers:held jobs; `--cells` names others, `--rounds` how often each is played.  The
arms take turns, each in a process of its own, so that the machine's drift hits both.  Both are fed the same
events by benchmarks/script.py as long as they decide alike.  CPU times are medians over the rounds.
"""

from __future__ import annotations

import argparse
import json
import os
import statistics
import subprocess
import sys
import tarfile
import tempfile
import time
from collections import Counter
from io import BytesIO
from pathlib import Path
from types import FrameType
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
CELLS = "10:1:0,10:410:0,100:1:0,100:200:100,1400:1:0,1400:410:0,1400:410:100,10000:410:0"
GUARDED = ((10, 1, False, 10), (10, 3, True, 10), (100, 40, True, 30), (300, 410, True, 30))
CALLS = 20  # of a phase
INLINED = ("<listcomp>", "<dictcomp>", "<setcomp>")  # frames of their own in some versions of Python only


class Calls:
    """Counts calls of Python and built-in functions by the package's own code; the same each time."""

    def __init__(self, package: str) -> None:
        self.package, self.count = package, 0

    def __call__(self, frame: FrameType, event: str, _: object) -> None:
        """The hook of `sys.setprofile`."""
        if event in ("call", "c_call") and self.package in frame.f_code.co_filename:
            self.count += event == "c_call" or frame.f_code.co_name not in INLINED


def play(
    workers: int, dispatchers: int, probes: bool, held: int, counted: bool
) -> dict[str, dict[str, float]]:
    """Figures a request for each phase: us of CPU, or calls where these are counted; steps and timers."""
    import weldquay
    from benchmarks.script import PHASES, Script
    from weldquay import interface as api

    package = str(Path(weldquay.__path__[0]))
    figures: dict[str, dict[str, float]] = {}
    script = Script(workers, dispatchers, probes, held=held)
    script.play("calm", CALLS)
    for phase in PHASES:
        if phase == "held" and not held:
            continue
        spent, calls, totals = [0.0], Calls(package), Counter[str]()

        def around(dispatcher: Any, now: int, events: list[api.Event]) -> list[api.Action]:
            begun = time.process_time()
            if counted:
                sys.setprofile(calls)  # noqa: B023
            actions: list[api.Action] = dispatcher.step(now, events)
            sys.setprofile(None)
            spent[0] += time.process_time() - begun  # noqa: B023
            totals["steps"] += 1  # noqa: B023
            totals["timers"] += sum(isinstance(action, api.SetTimer) for action in actions)  # noqa: B023
            return actions

        script.around = around
        script.play(phase, CALLS)
        figures[phase] = {
            "calls" if counted else "us": calls.count / CALLS if counted else spent[0] * 1e6 / CALLS,
            "steps": totals["steps"] / CALLS,
            "timers": totals["timers"] / CALLS,
        }
    return figures


def counts() -> dict[str, dict[str, float]]:
    """Function calls a request of the guarded cells."""
    return {
        f"{workers}:{dispatchers}:{held}": {
            phase: figures["calls"]
            for phase, figures in play(workers, dispatchers, probes, held, True).items()
        }
        for workers, dispatchers, probes, held in GUARDED
    }


def rises(before: dict[str, dict[str, float]], after: dict[str, dict[str, float]]) -> list[str]:
    """The phases whose calls rose by more than a tenth, with their figures."""
    return [
        f"{cell}, phase {phase}: {count:.0f} calls a request, {before[cell][phase]:.0f} before"
        for cell, phases in after.items()
        for phase, count in phases.items()
        if count > 1.1 * before[cell][phase]
    ]


def tree(commit: str | None, folder: Path) -> Path:
    """The files of a commit, or this tree."""
    if commit is None:
        return ROOT
    data = subprocess.run(
        ["git", "archive", commit, "weldquay"], cwd=ROOT, check=True, capture_output=True
    ).stdout
    path = folder / commit
    with tarfile.open(fileobj=BytesIO(data)) as files:
        files.extractall(path, filter="data")
    (path / "benchmarks").symlink_to(ROOT / "benchmarks")
    return path


def run(path: Path, cell: str, counted: bool) -> dict[str, dict[str, float]]:
    """One cell in a process of its own."""
    command = [sys.executable, "-m", "benchmarks.cost", "--one", cell, *(["--counted"] if counted else [])]
    environment = {**os.environ, "PYTHONPATH": str(path), "PYTHONHASHSEED": "0"}
    done = subprocess.run(command, cwd=path, env=environment, check=True, capture_output=True, text=True)
    figures: dict[str, dict[str, float]] = json.loads(done.stdout)
    return figures


def compare(paths: list[Path], cells: list[str], rounds: int) -> None:
    """Print one line for each cell and phase."""
    arms = [f"{what} {arm}" for what in ("us", "calls") for arm in ("before", "after")[-len(paths) :]]
    print("| workers:dispatchers:held | phase | " + " | ".join(arms) + " | steps | timers |")
    print("|" + " --- |" * (len(arms) + 4))
    for cell in cells:
        counted = [run(path, cell, True) for path in paths]
        timed: list[list[dict[str, dict[str, float]]]] = [[] for _ in paths]
        for number in range(rounds):
            for offset in range(len(paths)):
                index = (number + offset) % len(paths)
                timed[index].append(run(paths[index], cell, False))
        for phase in counted[-1]:
            us = [statistics.median(each[phase]["us"] for each in arm) for arm in timed]
            row = [*us, *(each[phase]["calls"] for each in counted)]
            last = counted[-1][phase]
            told = " | ".join(f"{each:.0f}" for each in row)
            print(f"| {cell} | {phase} | {told} | {last['steps']:.0f} | {last['timers']:.0f} |", flush=True)


def main() -> int:
    """Run the command line."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0] if __doc__ else None)
    parser.add_argument("--before", help="a commit to compare with")
    parser.add_argument("--after", help="a commit in place of this tree")
    parser.add_argument("--cells", default=CELLS)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--counts", action="store_true", help="print the counts of the guard")
    parser.add_argument("--one", help=argparse.SUPPRESS)
    parser.add_argument("--counted", action="store_true", help=argparse.SUPPRESS)
    given = parser.parse_args()
    if given.counts:
        print(json.dumps(counts(), indent=1))
    elif given.one:
        workers, dispatchers, held = map(int, given.one.split(":"))
        print(json.dumps(play(workers, dispatchers, True, held, given.counted)))
    else:
        with tempfile.TemporaryDirectory() as folder:
            arms = [given.before] if given.before else []
            paths = [tree(commit, Path(folder)) for commit in (*arms, given.after)]
            compare(paths, given.cells.split(","), given.rounds)
    return 0


if __name__ == "__main__":
    sys.exit(main())
