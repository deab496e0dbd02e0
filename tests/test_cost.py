"""A decision costs no more than it did, counted in function calls of a fixed script: no times, no chance."""

from __future__ import annotations

import json
import subprocess
import sys

from benchmarks.cost import ROOT, rises


def test_no_phase_takes_a_tenth_more_calls() -> None:
    """Against benchmarks/calls.json, which the command that benchmarks/cost.py names writes anew."""
    before = json.loads((ROOT / "benchmarks" / "calls.json").read_text())
    command = [
        sys.executable,
        "-m",
        "benchmarks.cost",
        "--counts",
    ]  # alone: its caches are empty
    done = subprocess.run(command, cwd=ROOT, check=True, capture_output=True, text=True, timeout=120)
    assert rises(before, json.loads(done.stdout)) == []


def test_a_rise_names_its_phase() -> None:
    """The guard's own arithmetic: a tenth more passes, beyond that the phase is told."""
    before = {"10:1:0": {"calm": 100.0, "full": 100.0}}
    assert not rises(before, {"10:1:0": {"calm": 110.0, "full": 20.0}})
    told = rises(before, {"10:1:0": {"calm": 90.0, "full": 111.0}})
    assert told == ["10:1:0, phase full: 111 calls a request, 100 before"]
