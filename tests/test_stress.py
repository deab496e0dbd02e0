"""Misbehaving clients beside ordinary ones, against a real process at the limits of a deployment.

`python -m weldquay.lab.stress all` plays all behaviours, at any limits.
"""

from __future__ import annotations

import asyncio

import pytest

from weldquay.lab.soak.clients import RequestOutcome
from weldquay.lab.stress.crowds import CrowdBehaviour
from weldquay.lab.stress.fast_peer import FastBehaviour
from weldquay.lab.stress.leavers import LeaverBehaviour
from weldquay.lab.stress.play import Behaviour, PlaySettings, play

SCORED_DAY = PlaySettings(memory_mb=192, sockets=1024, clients=400, duration_s=3.0)
SMALL = PlaySettings(memory_mb=64, sockets=512, clients=300, duration_s=3.0)
MIN_ANSWERED_FRACTION = 0.5  # of the usual requests; others find all connections in use


@pytest.mark.parametrize(
    ("behaviour", "settings"),
    [
        (CrowdBehaviour.MANY_FIELDS, SCORED_DAY),
        (CrowdBehaviour.PIPELINED_BODIES, SCORED_DAY),
        (CrowdBehaviour.HALF_BODY, SMALL),
        (CrowdBehaviour.PIPELINED_BODIES, SMALL),
        (CrowdBehaviour.SLOW_BODY, SMALL),
        (FastBehaviour.CALLBACKS, SCORED_DAY),
        (FastBehaviour.LONG_CHUNK_EXTENSIONS, SCORED_DAY),
        (FastBehaviour.LONG_JOBS, SMALL),
        (FastBehaviour.SHORT_JOBS, PlaySettings(memory_mb=48, sockets=256, duration_s=4.0)),
        (LeaverBehaviour.RESET, SCORED_DAY),
        (LeaverBehaviour.SAME_ID, SCORED_DAY),
    ],
    ids=lambda value: f"{value.memory_mb} MB" if isinstance(value, PlaySettings) else value.name.lower(),
)
def test_misbehaving_clients_neither_end_the_process_nor_delay_others(
    behaviour: Behaviour, settings: PlaySettings
) -> None:
    """Peak memory, the process living on, usual answers in time, repeated ids, attempts after a close."""
    result = asyncio.run(play(behaviour, settings))
    print(result.summary())
    assert not result.violations()
    answered = sum(each.outcome is RequestOutcome.ANSWERED for each in result.requests)
    assert answered > MIN_ANSWERED_FRACTION * len(result.requests) > 0
