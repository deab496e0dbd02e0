"""The cost of decisions, in function calls of a fixed script, so that it is the same in each run."""

from __future__ import annotations

import json
import subprocess
import sys

from benchmarks.cost import ROOT, rises


def test_no_phase_takes_a_tenth_more_calls() -> None:
    """Compare with benchmarks/calls.json, which the command in benchmarks/cost.py writes."""
    before = json.loads((ROOT / "benchmarks" / "calls.json").read_text())
    command = [
        sys.executable,
        "-m",
        "benchmarks.cost",
        "--counts",
    ]  # in a process of its own, so that caches are empty
    done = subprocess.run(command, cwd=ROOT, check=True, capture_output=True, text=True, timeout=120)
    assert rises(before, json.loads(done.stdout)) == []


def test_rise_above_a_tenth_names_its_phase() -> None:
    """A rise of a tenth passes; one above it is reported with its phase."""
    before = {"10:1:0": {"calm": 100.0, "full": 100.0}}
    assert not rises(before, {"10:1:0": {"calm": 110.0, "full": 20.0}})
    reported = rises(before, {"10:1:0": {"calm": 90.0, "full": 111.0}})
    assert reported == ["10:1:0, phase full: 111 calls a request, 100 before"]
