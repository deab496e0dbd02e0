"""CPU time, steps, timers and function calls per request, for one commit or for two in comparison.

    python -m benchmarks.cost                                   # this tree
    python -m benchmarks.cost --before COMMIT                   # compared with this tree
    python -m benchmarks.cost --before COMMIT --after COMMIT
    python -m benchmarks.cost --counts > benchmarks/calls.json  # the baseline of tests/test_cost.py

The results are listed by phase of the simulation in benchmarks/script.py.  A cell is a configuration of
workers:dispatchers:queued jobs; `--cells` selects other cells, `--rounds` the number of measurements of each.

The two commits are measured alternately, each in a process of its own, so that slow changes in the speed of
the machine affect both.  A commit is measured with its own benchmarks package, which matches the names in its
code.  Both commits receive the same events as long as their simulations are equal and they take the same
decisions.  CPU times are medians over the rounds.

The command `python -m benchmarks.cost --one CELL [--counted]` prints one JSON object, by phase: `us` or
`calls`, `steps` and `timers` per request.  This format must not change, because commits are compared by it.
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
# Workers, dispatchers, whether workers are probed, queued jobs.
REGRESSION_CELLS = ((10, 1, False, 10), (10, 3, True, 10), (100, 40, True, 30), (300, 410, True, 30))
REQUESTS_PER_PHASE = 20
COMPREHENSION_FRAMES = ("<listcomp>", "<dictcomp>", "<setcomp>")  # only Python before 3.12 has these

PhaseCosts = dict[str, dict[str, float]]  # by phase: "us" or "calls", "steps", "timers" per request


class CallCounter:
    """Counts the calls of Python and built-in functions in the code of one package."""

    def __init__(self, package_path: str) -> None:
        self.package_path = package_path
        self.call_count = 0

    def __call__(self, frame: FrameType, event: str, _: object) -> None:
        """Count one event; the profiling hook of `sys.setprofile`."""
        if event in ("call", "c_call") and self.package_path in frame.f_code.co_filename:
            self.call_count += event == "c_call" or frame.f_code.co_name not in COMPREHENSION_FRAMES


class StepMeter:
    """Runs and measures the steps of a dispatcher; a replacement for `Simulation.run_step`."""

    def __init__(self, counts_calls: bool) -> None:
        import weldquay
        from weldquay import interface as api

        self.timer_type = api.SetTimer
        self.counter = CallCounter(str(Path(weldquay.__path__[0])))
        self.profiler = self.counter if counts_calls else None
        self.cpu_s = 0.0
        self.steps = 0
        self.timers = 0

    def __call__(self, dispatcher: Any, now_ns: int, events: list[Any]) -> list[Any]:
        """Run one step and add its cost to the totals."""
        start_s = time.process_time()
        if self.profiler is not None:
            sys.setprofile(self.profiler)
        actions: list[Any] = dispatcher.step(now_ns, events)
        sys.setprofile(None)
        self.cpu_s += time.process_time() - start_s
        self.steps += 1
        self.timers += sum(isinstance(action, self.timer_type) for action in actions)
        return actions

    def costs_per_request(self, request_count: int) -> dict[str, float]:
        """Return the mean costs per request, with the CPU time in microseconds."""
        cost = (
            {"calls": self.counter.call_count / request_count}
            if self.profiler
            else {"us": self.cpu_s * 1e6 / request_count}
        )
        return {**cost, "steps": self.steps / request_count, "timers": self.timers / request_count}


def measure_cell(
    workers: int, dispatchers: int, with_probes: bool, queued: int, counts_calls: bool
) -> PhaseCosts:
    """Run all phases of one cell and return the costs per request of each."""
    from benchmarks.script import PHASES, Simulation

    costs: PhaseCosts = {}
    simulation = Simulation(workers, dispatchers, with_probes, queued_jobs=queued)
    simulation.run_phase("calm", REQUESTS_PER_PHASE)
    for phase in PHASES:
        if phase == "held" and not queued:
            continue
        simulation.run_step = meter = StepMeter(counts_calls)
        simulation.run_phase(phase, REQUESTS_PER_PHASE)
        costs[phase] = meter.costs_per_request(REQUESTS_PER_PHASE)
    return costs


def count_calls_by_cell() -> dict[str, dict[str, float]]:
    """Return the function calls per request in the regression cells, by cell and phase."""
    return {
        f"{workers}:{dispatchers}:{queued}": {
            phase: costs["calls"]
            for phase, costs in measure_cell(workers, dispatchers, with_probes, queued, True).items()
        }
        for workers, dispatchers, with_probes, queued in REGRESSION_CELLS
    }


def find_regressions(before: dict[str, dict[str, float]], after: dict[str, dict[str, float]]) -> list[str]:
    """Return a message for each phase whose number of calls has risen by more than 10 %."""
    return [
        f"{cell}, phase {phase}: {call_count:.0f} calls per request, {before[cell][phase]:.0f} before"
        for cell, phases in after.items()
        for phase, call_count in phases.items()
        if call_count > 1.1 * before[cell][phase]
    ]


def extract_commit(commit: str, folder: Path) -> Path:
    """Extract the packages that the benchmark needs from a commit, and return the path of their folder.

    Raises:
        subprocess.CalledProcessError: the commit does not exist, or it lacks one of the packages.
    """
    command = ["git", "archive", commit, "weldquay", "benchmarks"]
    archive = subprocess.run(command, cwd=ROOT, check=True, capture_output=True).stdout
    path = folder / commit.replace("/", "_")
    with tarfile.open(fileobj=BytesIO(archive)) as files:
        files.extractall(path, filter="data")
    return path


def measure_in_subprocess(path: Path, cell: str, counts_calls: bool) -> PhaseCosts:
    """Measure one cell with the code under a path, in a subprocess."""
    command = [sys.executable, "-m", "benchmarks.cost", "--one", cell]
    if counts_calls:
        command.append("--counted")
    environment = {**os.environ, "PYTHONPATH": str(path), "PYTHONHASHSEED": "0"}
    result = subprocess.run(command, cwd=path, env=environment, check=True, stdout=subprocess.PIPE, text=True)
    costs: PhaseCosts = json.loads(result.stdout)
    return costs


def measure_rounds(paths: list[Path], cell: str, rounds: int) -> list[list[PhaseCosts]]:
    """Return the costs with CPU times of each path, one for each round.

    The path that is measured first changes from round to round.
    """
    costs: list[list[PhaseCosts]] = [[] for _ in paths]
    for number in range(rounds):
        for offset in range(len(paths)):
            index = (number + offset) % len(paths)
            costs[index].append(measure_in_subprocess(paths[index], cell, False))
    return costs


def compare(paths: list[Path], cells: list[str], rounds: int) -> None:
    """Print a table with one row for each cell and phase."""
    version_columns = [
        f"{unit} {version}" for unit in ("us", "calls") for version in ("before", "after")[-len(paths) :]
    ]
    print("| workers:dispatchers:queued | phase | " + " | ".join(version_columns) + " | steps | timers |")
    print("|" + " --- |" * (len(version_columns) + 4))
    for cell in cells:
        counted_costs = [measure_in_subprocess(path, cell, True) for path in paths]
        timed_rounds = measure_rounds(paths, cell, rounds)
        for phase, last in counted_costs[-1].items():
            median_times = [
                statistics.median(costs[phase]["us"] for costs in path_rounds) for path_rounds in timed_rounds
            ]
            call_counts = [costs[phase]["calls"] for costs in counted_costs]
            columns = [*median_times, *call_counts, last["steps"], last["timers"]]
            print(
                f"| {cell} | {phase} | " + " | ".join(f"{value:.0f}" for value in columns) + " |", flush=True
            )


def create_parser() -> argparse.ArgumentParser:
    """Return the parser of the command-line arguments."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0] if __doc__ else None)
    parser.add_argument("--before", help="commit to compare with")
    parser.add_argument("--after", help="commit to measure instead of this tree")
    parser.add_argument("--cells", default=DEFAULT_CELLS)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument(
        "--counts", action="store_true", help="print the call counts that tests/test_cost.py compares with"
    )
    parser.add_argument("--one", help=argparse.SUPPRESS)
    parser.add_argument("--counted", action="store_true", help=argparse.SUPPRESS)
    return parser


def main() -> int:
    """Run the command line and return the exit status."""
    arguments = create_parser().parse_args()
    if arguments.counts:
        print(json.dumps(count_calls_by_cell(), indent=1))
    elif arguments.one:
        workers, dispatchers, queued = map(int, arguments.one.split(":"))
        print(json.dumps(measure_cell(workers, dispatchers, True, queued, arguments.counted)))
    else:
        with tempfile.TemporaryDirectory() as folder:
            commits = [arguments.before, arguments.after] if arguments.before else [arguments.after]
            paths = [extract_commit(commit, Path(folder)) if commit else ROOT for commit in commits]
            compare(paths, arguments.cells.split(","), arguments.rounds)
    return 0


if __name__ == "__main__":
    sys.exit(main())
