"""Regression tests for the cost of decisions.

The cost is the number of function calls in a fixed simulation, which is the same in each run.
"""

from __future__ import annotations

import json
import subprocess
import sys

from benchmarks.cost import ROOT, find_regressions


def test_calls_per_request_rise_by_a_tenth_at_most() -> None:
    """Compare with benchmarks/calls.json, which `python -m benchmarks.cost --counts` prints."""
    before = json.loads((ROOT / "benchmarks" / "calls.json").read_text())
    command = [sys.executable, "-m", "benchmarks.cost", "--counts"]  # a new process, so that caches are empty
    result = subprocess.run(command, cwd=ROOT, check=True, capture_output=True, text=True, timeout=120)
    assert find_regressions(before, json.loads(result.stdout)) == []


def test_rise_above_a_tenth_is_reported_with_its_phase() -> None:
    """A rise of exactly 10 % passes; a larger one is reported with its cell and phase."""
    before = {"10:1:0": {"calm": 100.0, "full": 100.0}}
    assert not find_regressions(before, {"10:1:0": {"calm": 110.0, "full": 20.0}})
    messages = find_regressions(before, {"10:1:0": {"calm": 90.0, "full": 111.0}})
    assert messages == ["10:1:0, phase full: 111 calls per request, 100 before"]
