"""Soak rounds with misbehaving clients: crowds, a fast peer, clients that leave, kills and failing calls.

They have all faults of the other rounds besides, at the limits of a deployment.  A plan depends only on its
seed.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from functools import partial

from weldquay.lab.soak import shim
from weldquay.lab.soak.plan import DISPATCHERS, FAULT_PHASE_S, MisusePlan, Plan, TimedMisuse, draw_plan
from weldquay.lab.soak.stand_ins import JobLog
from weldquay.lab.stress.crowds import Crowd, CrowdBehaviour, CrowdOutcome
from weldquay.lab.stress.fast_peer import FastBehaviour, FastPeer
from weldquay.lab.stress.leavers import LeaverBehaviour, Leavers

LIMITS = ((192, 1024), (64, 512), (48, 256))  # memory (MB) and descriptors
CROWD_SIZES = (60, 150, 250)
KILL_FRACTION = 0.4  # of the rounds have a SIGKILL
MAX_START_AFTER_LEAVING_S = 0.1
START_MARGIN_S = 0.15  # tolerated delay of this process, which also runs the clients and workers


def draw_misuse_plan(seed: int) -> Plan:
    """Return the plan of a seed: that of the other rounds, with misbehaving clients."""
    rng = random.Random(f"misuse {seed}")
    kinds = [*CrowdBehaviour, *FastBehaviour, *LeaverBehaviour]
    behaviours = rng.sample(kinds, rng.randint(1, 3))
    misuses = tuple(
        TimedMisuse(
            rng.uniform(0, FAULT_PHASE_S / 2),
            rng.randrange(DISPATCHERS),
            behaviour,
            rng.uniform(1.5, 4.0),
            rng.choice(CROWD_SIZES),
        )
        for behaviour in behaviours
    )
    memory_mb, sockets = rng.choice(LIMITS)
    kill_at_s = rng.uniform(0, FAULT_PHASE_S) if rng.random() < KILL_FRACTION else None
    faults = tuple(shim.draw_faults(rng) if rng.random() < 0.5 else () for _ in range(DISPATCHERS))
    misuse = MisusePlan(misuses, memory_mb, sockets, kill_at_s, rng.randrange(DISPATCHERS), faults)
    return replace(draw_plan(seed), misuse=misuse)


@dataclass
class MisuseRecords:
    """What the misbehaving clients of a round have done."""

    crowds: list[Crowd] = field(default_factory=list)
    leavers: list[Leavers] = field(default_factory=list)

    async def run(self, misuse: TimedMisuse, address: str) -> None:
        """Let the clients misbehave at a dispatcher."""
        await asyncio.sleep(misuse.start_s)
        match misuse.behaviour:
            case CrowdBehaviour():
                crowd = Crowd(address, misuse.behaviour, misuse.clients)
                self.crowds.append(crowd)
                await crowd.run(misuse.duration_s)
            case FastBehaviour():
                peer = FastPeer(address, misuse.behaviour)
                await asyncio.get_running_loop().run_in_executor(None, partial(peer.run, misuse.duration_s))
            case LeaverBehaviour():
                prefix = f"m{len(self.leavers)}-"
                leavers = Leavers(address, misuse.behaviour, prefix=prefix)
                self.leavers.append(leavers)
                await asyncio.get_running_loop().run_in_executor(
                    None, partial(leavers.run, misuse.duration_s)
                )

    def check(self, jobs: JobLog, excused: Iterable[tuple[float, float]]) -> list[str]:
        """Return the violations; excused: intervals (monotonic, s) in which processes were killed."""
        intervals = list(excused)
        violations = [
            f"crowd {crowd.behaviour.name.lower()}: {held} connections neither answered nor closed in time"
            for crowd in self.crowds
            if (held := crowd.outcomes[CrowdOutcome.HELD.value])
        ]
        for leavers in self.leavers:
            violations += _check_leavers(leavers, jobs, intervals)
        return violations


def _check_leavers(leavers: Leavers, jobs: JobLog, excused: list[tuple[float, float]]) -> list[str]:
    """Check that ids run once, and that nothing is sent on after its client has left."""
    received = [job for job in jobs.received if job.request_id in leavers.left_at]
    if leavers.behaviour is LeaverBehaviour.SAME_ID:
        counts = Counter(job.request_id for job in received)
        return [
            f"{request_id}: ran {count} times"
            for request_id, count in counts.items()
            if count > 1 and not any(start <= leavers.left_at[request_id] <= end for start, end in excused)
        ]
    latest_s = MAX_START_AFTER_LEAVING_S + START_MARGIN_S
    return [
        f"{job.request_id}: sent {job.received_at - left_at:.2f} s after its client had left"
        for job in received
        if job.received_at > (left_at := leavers.left_at[job.request_id]) + latest_s
    ]
