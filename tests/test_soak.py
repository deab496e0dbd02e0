"""Rounds of the soak with fixed seeds; `python -m weldquay.lab.soak --seeds 50` plays many."""

from __future__ import annotations

import asyncio

import pytest

from weldquay.lab.soak.plan import CROWD_FRACTION, DiscoveryFault, ProcessFault, WorkerFault, draw_plan
from weldquay.lab.soak.round import play

# A drain while discovery is back for a moment; SIGTERM right after a start; a crowd; flaps; a silent watch.
SEEDS = [4, 5, 7, 17, 20]


@pytest.mark.parametrize("seed", SEEDS)
def test_round_of_the_soak_keeps_the_rules(seed: int) -> None:
    """A failed round prints its plan and its violations."""
    plan = draw_plan(seed)
    result = asyncio.run(play(plan))
    print(plan.describe(), result.line(), *result.violations, sep="\n")
    assert not result.violations, f"python -m weldquay.lab.soak --seed {seed}"
    assert result.statuses[200] > 500


def test_a_seed_alone_gives_the_plan() -> None:
    """Again and again the same; fifty seeds have all faults."""
    plans = [draw_plan(seed) for seed in range(1, 51)]
    assert plans == [draw_plan(seed) for seed in range(1, 51)]
    assert {fault.fault for plan in plans for fault in plan.process_faults} == set(ProcessFault)
    assert {fault.fault for plan in plans for fault in plan.worker_faults} == set(WorkerFault)
    assert {plan.discovery_fault for plan in plans} == set(DiscoveryFault)
    assert 0 < sum(plan.has_crowd for plan in plans) < 2 * CROWD_FRACTION * len(plans)
