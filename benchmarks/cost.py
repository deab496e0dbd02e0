"""CPU time, steps, timers and function calls of a request by phase, of one commit or of two in pairs.

    python -m benchmarks.cost                                   # this tree
    python -m benchmarks.cost --before COMMIT                   # in pairs with this tree
    python -m benchmarks.cost --before COMMIT --after COMMIT
    python -m benchmarks.cost --counts > benchmarks/calls.json  # what tests/test_cost.py compares with

A cell is workers:dispatchers:queued jobs; `--cells` names others, `--rounds` how often each is measured.  The
arms take turns, each in a process of its own, so that drift of the machine affects both.  Each arm runs the
benchmarks package of its own commit, since it has to fit that commit's names; both are fed the same events as
long as their scripts are alike and they decide alike.  CPU times are medians over the rounds.

The command `python -m benchmarks.cost --one CELL [--counted]` prints one JSON object, by phase: `us` or
`calls`, `steps` and `timers` of a request.  Its form must not change: commits are compared by it.
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
from io import BytesIO
from pathlib import Path
from types import FrameType
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
DEFAULT_CELLS = "10:1:0,10:410:0,100:1:0,100:200:100,1400:1:0,1400:410:0,1400:410:100,10000:410:0"
GUARDED_CELLS = ((10, 1, False, 10), (10, 3, True, 10), (100, 40, True, 30), (300, 410, True, 30))
REQUESTS_PER_PHASE = 20
INLINED_FRAMES = ("<listcomp>", "<dictcomp>", "<setcomp>")  # frames in some versions of Python only

PhaseFigures = dict[str, dict[str, float]]  # by phase: "us" or "calls", "steps", "timers" of a request


class CallCounter:
    """Counts calls of Python and built-in functions by the code of one package."""

    def __init__(self, package_path: str) -> None:
        self.package_path = package_path
        self.count = 0

    def __call__(self, frame: FrameType, event: str, _: object) -> None:
        """Count one event, as the hook of `sys.setprofile`."""
        if event in ("call", "c_call") and self.package_path in frame.f_code.co_filename:
            self.count += event == "c_call" or frame.f_code.co_name not in INLINED_FRAMES


class Meter:
    """Measures each step of a dispatcher; a replacement for `Simulation.run_step`."""

    def __init__(self, count_calls: bool) -> None:
        import weldquay
        from weldquay import interface as api

        self.timer_type = api.SetTimer
        self.counter = CallCounter(str(Path(weldquay.__path__[0])))
        self.profiler = self.counter if count_calls else None
        self.cpu_s = 0.0
        self.steps = 0
        self.timers = 0

    def __call__(self, dispatcher: Any, now_ns: int, events: list[Any]) -> list[Any]:
        """Run one step and add its cost."""
        begun_s = time.process_time()
        if self.profiler is not None:
            sys.setprofile(self.profiler)
        actions: list[Any] = dispatcher.step(now_ns, events)
        sys.setprofile(None)
        self.cpu_s += time.process_time() - begun_s
        self.steps += 1
        self.timers += sum(isinstance(action, self.timer_type) for action in actions)
        return actions

    def figures(self, requests: int) -> dict[str, float]:
        """Return the cost of one request, CPU time in microseconds."""
        cost = (
            {"calls": self.counter.count / requests} if self.profiler else {"us": self.cpu_s * 1e6 / requests}
        )
        return {**cost, "steps": self.steps / requests, "timers": self.timers / requests}


def measure(workers: int, dispatchers: int, probes: bool, queued: int, count_calls: bool) -> PhaseFigures:
    """Run all phases of one cell and return the figures of a request for each."""
    from benchmarks.script import PHASES, Simulation

    figures: PhaseFigures = {}
    script = Simulation(workers, dispatchers, probes, queued_jobs=queued)
    script.run_phase("calm", REQUESTS_PER_PHASE)
    for phase in PHASES:
        if phase == "held" and not queued:
            continue
        script.run_step = meter = Meter(count_calls)
        script.run_phase(phase, REQUESTS_PER_PHASE)
        figures[phase] = meter.figures(REQUESTS_PER_PHASE)
    return figures


def counts() -> dict[str, dict[str, float]]:
    """Return the function calls a request of the guarded cells, by cell and phase."""
    return {
        f"{workers}:{dispatchers}:{queued}": {
            phase: figures["calls"]
            for phase, figures in measure(workers, dispatchers, probes, queued, True).items()
        }
        for workers, dispatchers, probes, queued in GUARDED_CELLS
    }


def rises(before: dict[str, dict[str, float]], after: dict[str, dict[str, float]]) -> list[str]:
    """Return the phases whose calls rose by more than a tenth, with their figures."""
    return [
        f"{cell}, phase {phase}: {count:.0f} calls a request, {before[cell][phase]:.0f} before"
        for cell, phases in after.items()
        for phase, count in phases.items()
        if count > 1.1 * before[cell][phase]
    ]


def extract(commit: str, folder: Path) -> Path:
    """Extract the packages that the benchmark needs from a commit, and return their folder.

    Raises:
        subprocess.CalledProcessError: there is no such commit, or it lacks one of the packages.
    """
    command = ["git", "archive", commit, "weldquay", "benchmarks"]
    archive = subprocess.run(command, cwd=ROOT, check=True, capture_output=True).stdout
    path = folder / commit.replace("/", "_")
    with tarfile.open(fileobj=BytesIO(archive)) as files:
        files.extractall(path, filter="data")
    return path


def run_cell(path: Path, cell: str, count_calls: bool) -> PhaseFigures:
    """Measure one cell with the code under a path, in a process of its own."""
    command = [sys.executable, "-m", "benchmarks.cost", "--one", cell]
    if count_calls:
        command.append("--counted")
    environment = {**os.environ, "PYTHONPATH": str(path), "PYTHONHASHSEED": "0"}
    result = subprocess.run(command, cwd=path, env=environment, check=True, stdout=subprocess.PIPE, text=True)
    figures: PhaseFigures = json.loads(result.stdout)
    return figures


def run_rounds(paths: list[Path], cell: str, rounds: int) -> list[list[PhaseFigures]]:
    """Return the timed figures of each arm; the arm that runs first changes from round to round."""
    figures: list[list[PhaseFigures]] = [[] for _ in paths]
    for number in range(rounds):
        for offset in range(len(paths)):
            arm = (number + offset) % len(paths)
            figures[arm].append(run_cell(paths[arm], cell, False))
    return figures


def compare(paths: list[Path], cells: list[str], rounds: int) -> None:
    """Print a table with one row for each cell and phase."""
    arms = [f"{unit} {arm}" for unit in ("us", "calls") for arm in ("before", "after")[-len(paths) :]]
    print("| workers:dispatchers:queued | phase | " + " | ".join(arms) + " | steps | timers |")
    print("|" + " --- |" * (len(arms) + 4))
    for cell in cells:
        counted = [run_cell(path, cell, True) for path in paths]
        timed = run_rounds(paths, cell, rounds)
        for phase, last in counted[-1].items():
            times = [statistics.median(figures[phase]["us"] for figures in arm) for arm in timed]
            calls = [figures[phase]["calls"] for figures in counted]
            columns = [*times, *calls, last["steps"], last["timers"]]
            print(
                f"| {cell} | {phase} | " + " | ".join(f"{value:.0f}" for value in columns) + " |", flush=True
            )


def options() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0] if __doc__ else None)
    parser.add_argument("--before", help="a commit to compare with")
    parser.add_argument("--after", help="a commit in place of this tree")
    parser.add_argument("--cells", default=DEFAULT_CELLS)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--counts", action="store_true", help="print the counts of the guard")
    parser.add_argument("--one", help=argparse.SUPPRESS)
    parser.add_argument("--counted", action="store_true", help=argparse.SUPPRESS)
    return parser


def main() -> int:
    """Run the command line and return the exit status."""
    arguments = options().parse_args()
    if arguments.counts:
        print(json.dumps(counts(), indent=1))
    elif arguments.one:
        workers, dispatchers, queued = map(int, arguments.one.split(":"))
        print(json.dumps(measure(workers, dispatchers, True, queued, arguments.counted)))
    else:
        with tempfile.TemporaryDirectory() as folder:
            commits = [arguments.before, arguments.after] if arguments.before else [arguments.after]
            paths = [extract(commit, Path(folder)) if commit else ROOT for commit in commits]
            compare(paths, arguments.cells.split(","), arguments.rounds)
    return 0


if __name__ == "__main__":
    sys.exit(main())
