"""Soak rounds with fixed seeds; `python -m weldquay.lab.soak --seeds 50` runs more of them."""

from __future__ import annotations

import asyncio

import pytest

from weldquay.lab.soak.plan import (
    CONNECTION_FLOOD_FRACTION,
    DiscoveryFault,
    ProcessFault,
    WorkerFault,
    draw_plan,
)
from weldquay.lab.soak.round import run_plan

# In this order: a drain during a brief recovery of discovery, SIGTERM right after a start, a connection
# flood, repeated discovery outages, and silent watches.
SEEDS = [4, 5, 7, 17, 20]


@pytest.mark.parametrize("seed", SEEDS)
def test_soak_round_violates_no_rule(seed: int) -> None:
    """A failed round prints its plan and its violations."""
    plan = draw_plan(seed)
    result = asyncio.run(run_plan(plan))
    print(plan.describe(), result.summary(), *result.violations, sep="\n")
    assert not result.violations, f"python -m weldquay.lab.soak --seed {seed}"
    assert result.statuses[200] > 500


def test_plan_depends_only_on_the_seed() -> None:
    """A seed always gives the same plan, and the first fifty seeds cover all faults."""
    plans = [draw_plan(seed) for seed in range(1, 51)]
    assert plans == [draw_plan(seed) for seed in range(1, 51)]
    assert {fault.fault for plan in plans for fault in plan.process_faults} == set(ProcessFault)
    assert {fault.fault for plan in plans for fault in plan.worker_faults} == set(WorkerFault)
    assert {plan.discovery_fault for plan in plans} == set(DiscoveryFault)
    assert 0 < sum(plan.has_connection_flood for plan in plans) < 2 * CONNECTION_FLOOD_FRACTION * len(plans)
