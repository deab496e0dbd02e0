"""The water-fill: the example of the paper, properties of the shares, and different rates."""

from __future__ import annotations

import itertools

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from weldquay.policy.water_fill import water_fill

PAPER_LOADS = [1.0, 3.0, 4.0, 7.0, 11.0, 12.0, 16.0, 24.0, 32.0]
LOADS = st.lists(st.floats(-30, 60), min_size=1, max_size=20)
ARRIVALS = st.floats(2, 200)


def test_example_of_the_paper() -> None:
    """Section 4: m = 20, n = 9 gives k = 6 and these shares."""
    shares = water_fill(PAPER_LOADS, 20)
    assert shares[:6] == pytest.approx([0.307, 0.254, 0.228, 0.149, 0.0438, 0.0175], abs=6e-4)
    assert shares[6:] == [0.0, 0.0, 0.0]


def test_ties_and_edge_cases() -> None:
    """One worker gets everything, equal loads get equal shares, and at least 2 arrivals are assumed."""
    assert water_fill([5.0], 1) == [1.0]
    assert water_fill([], 5) == []
    assert water_fill([-2.0, -2.0, -2.0], 9) == pytest.approx([1 / 3] * 3)
    assert water_fill([0.0, 1.0], 0.1) == water_fill([0.0, 1.0], 2)


@settings(derandomize=True)
@given(LOADS, ARRIVALS, st.floats(-20, 20))
def test_shares(loads: list[float], m: float, shift: float) -> None:
    """Shares sum to 1, are not negative, fall with the load, fill workers to one level and ignore a shift."""
    shares = water_fill(loads, m)
    assert sum(shares) == pytest.approx(1.0)
    assert min(shares) >= 0.0
    ordered = [share for _, share in sorted(zip(loads, shares, strict=True), key=lambda pair: pair[0])]
    assert all(a >= b - 1e-9 for a, b in itertools.pairwise(ordered))
    levels = [load / 2 + (m - 1) * share for load, share in zip(loads, shares, strict=True) if share > 1e-9]
    assert max(levels) - min(levels) < 1e-6
    assert water_fill([load + shift for load in loads], m) == pytest.approx(shares, abs=1e-6)


def test_equal_rates_change_nothing() -> None:
    """With equal rates the result is that of Theorem 4, also if all loads are shifted."""
    loads = [0.0, 1.0, 2.5, 4.0]
    shares_without_rates = water_fill(loads, 6.0)
    assert water_fill([load + 3 for load in loads], 6.0, [1.0] * 4) == pytest.approx(shares_without_rates)


def test_shares_follow_rates_with_many_arrivals() -> None:
    """A worker that is twice as fast gets twice the requests; one whose queue is too long gets none."""
    assert water_fill([0.0, 0.0], 100.0, [1.5, 0.75]) == pytest.approx([2 / 3, 1 / 3])
    shares = water_fill([0.0, 3.0], 2.0, [1.2, 0.8])
    assert shares == pytest.approx([1.0, 0.0]) and sum(shares) == pytest.approx(1.0)
