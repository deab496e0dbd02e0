"""Limit the work that all dispatchers together send to a worker that is warming up.

A warming worker is overloaded where it gets more than its budget of work within any window of time.  A few
dispatchers get an equal part of the budget each.  Of many dispatchers each part would be too small for a job.
There the time since the worker's start is divided into slices, and each slice has a few send slots, which go
to the dispatchers that a hash of worker, slice and dispatcher ranks first (rendezvous hashing, Thaler and
Ravishankar 1998).  So all dispatchers agree on the holders without communication.  A window overlaps one
slice more than it contains, which the size of the send slots takes into account.

Send slots that are not used in their slice are lost, so more are handed out than the budget covers.  Where a
dispatcher expects requests for w slots within a slice, holds v covered slots on average, and the slots are
overcommitted by a factor o, it uses the fraction w / (1 + v o) of each.  The expected sum stays within the
budget as long as o w / (1 + v o) <= 1, which is o <= 1 / (w - v).  A dispatcher with more requests than slots
gets only covered ones.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass
from functools import lru_cache
from itertools import islice

from weldquay.fleet.hashing import MASK, mix64

SLICES_PER_WINDOW = 2
MIN_SHARE_JOBS = 0.9  # jobs of mean work, from which on an equal part of the budget is useful
SLOT_JOBS = 2.3  # jobs of mean work in a send slot, where the budget allows: jobs well above the mean fit
MIN_SLOT_JOBS = 1.25  # jobs of mean work in a send slot at least
BUDGET_FRACTION = 0.6  # of the budget that equal parts use, since capacities are estimates
SLOT_FRACTION = 0.48  # of the overload threshold that send slots use
MAX_OVERCOMMIT = 6.0  # the expected requests lag behind a burst by a slice
_FRACTION_SALT = 0xA0761D6478BD642F  # makes the hash of a fraction independent of the ranks


@dataclass(frozen=True, slots=True)
class SlowStartPolicy:
    """When a worker that is warming up is overloaded.

    initial_capacity_fraction: of its capacity at its start, rising linearly to 1 within slow_start_ns;
    overload_multiple: of what it can do at a moment, sent within window_ns, is its budget.
    """

    initial_capacity_fraction: float
    slow_start_ns: int
    overload_multiple: float
    window_ns: int

    @property
    def slice_ns(self) -> int:
        """Length of a slice."""
        return max(1, self.window_ns // SLICES_PER_WINDOW)

    def capacity_fraction(self, age_ns: float) -> float:
        """Return the fraction of its capacity that a worker of this age has at least."""
        progress = min(1.0, max(0.0, age_ns) / self.slow_start_ns) if self.slow_start_ns > 0 else 1.0
        return self.initial_capacity_fraction + (1 - self.initial_capacity_fraction) * progress

    def budget_ns(self, age_ns: float, capacity: float) -> float:
        """Return the work in ns that a worker of this age may get within a window.

        capacity: once warmed up, in ns of work a ns.
        """
        return self.overload_multiple * self.capacity_fraction(age_ns) * capacity * max(1, self.window_ns)

    def overload_threshold_ns(self, age_ns: float, capacity: float, mean_work_ns: float) -> float:
        """Return the work in ns that overloads a worker: N + 2 sqrt(N) + 2 jobs of mean work.

        N is the budget in jobs; the rest allows for requests that arrive by a Poisson process.
        """
        job_ns = max(1.0, mean_work_ns)
        jobs = self.budget_ns(age_ns, capacity) / job_ns
        return (jobs + 2 * math.sqrt(jobs) + 2) * job_ns


@dataclass(frozen=True, slots=True)
class WarmingWorker:
    """A worker that is warming up, as one dispatcher sees it.

    start_id: the same at all dispatchers for this start of the worker, None where they learn of it at
    different times; age_ns: since its start; capacity: once warmed up, in ns of work a ns; known_ns: age from
    which on this process has a record of all that the dispatcher sent; uncertainty: how many times slower the
    worker may be; mean_work_ns: of a request; expected_requests: of this dispatcher within a slice, queued
    ones included; warming_count: workers that are warming up, this one included.
    """

    start_id: int | None
    age_ns: int
    capacity: float
    dispatcher_index: int
    dispatcher_count: int
    known_ns: int = 0
    uncertainty: float = 1.0
    mean_work_ns: float = 0.0
    expected_requests: float = 0.0
    warming_count: int = 1


def remaining_budget_ns(
    policy: SlowStartPolicy, worker: WarmingWorker, sent: deque[tuple[int, float]]
) -> float:
    """Return the work in ns that the dispatcher may still send to the worker.

    sent: (age of the worker, work in ns) of what the dispatcher sent; entries that have left the window or
    the slice are removed.
    """
    budget_ns = policy.budget_ns(worker.age_ns, worker.capacity)
    allowed_ns = BUDGET_FRACTION * budget_ns / worker.dispatcher_count
    since_ns = worker.age_ns - max(1, policy.window_ns) + 1
    if worker.known_ns > max(0, since_ns):
        # An earlier process may have used its part in this window; the reserve covers a second part.
        allowed_ns *= (1 - BUDGET_FRACTION) / BUDGET_FRACTION
    share_holds_job = allowed_ns >= MIN_SHARE_JOBS * worker.mean_work_ns
    if worker.start_id is not None and worker.dispatcher_count > 1 and not share_holds_job:
        allowed_ns, since_ns = _slot_budget(policy, worker, worker.start_id)
    while sent and sent[0][0] < since_ns:
        sent.popleft()
    return allowed_ns - sum(work_ns for _, work_ns in sent)


def _slot_budget(policy: SlowStartPolicy, worker: WarmingWorker, start_id: int) -> tuple[float, int]:
    """Return the work in ns that the dispatcher may send in this slice, and the slice's begin as an age."""
    slice_number = max(0, worker.age_ns) // policy.slice_ns
    begin_ns = slice_number * policy.slice_ns
    if begin_ns < worker.known_ns:  # an earlier process may have used the slot
        return 0.0, begin_ns
    lowest_capacity = worker.capacity / worker.uncertainty
    threshold_ns = policy.overload_threshold_ns(begin_ns, lowest_capacity, worker.mean_work_ns)
    max_slice_ns = threshold_ns / (SLICES_PER_WINDOW + 1)
    slice_budget_ns = SLOT_FRACTION * max_slice_ns
    mean_work_ns = max(1.0, worker.mean_work_ns)
    whole_slots = max(1, int(slice_budget_ns / (SLOT_JOBS * mean_work_ns)))
    # A slot has to hold a job; where it does not, there are fewer slots, and none in some slices.
    slot_ns = max(slice_budget_ns / whole_slots, min(max_slice_ns, MIN_SLOT_JOBS * mean_work_ns))
    send_slots = slice_budget_ns / slot_ns
    overcommit = _overcommit(worker, slot_ns, send_slots)
    # A fraction of a slot is a whole one with that probability, the same throughout the slice.
    fraction_hash = mix64(
        mix64(start_id ^ _FRACTION_SALT) ^ mix64(slice_number << 32 | worker.dispatcher_index)
    )
    limit = math.ceil(send_slots * MAX_OVERCOMMIT)
    position = rank(start_id, slice_number, worker.dispatcher_index, worker.dispatcher_count, limit)
    has_slot = position + fraction_hash / (MASK + 1) < send_slots * overcommit
    return slot_ns if has_slot else 0.0, begin_ns


def _overcommit(worker: WarmingWorker, slot_ns: float, send_slots: float) -> float:
    """Return by which factor more slots are handed out than the budget covers."""
    wanted_slots = worker.expected_requests * worker.mean_work_ns / slot_ns
    unmet_slots = wanted_slots - worker.warming_count * send_slots / worker.dispatcher_count
    return max(1.0, min(MAX_OVERCOMMIT, 1 / max(unmet_slots, 1 / MAX_OVERCOMMIT)))


@lru_cache(maxsize=16384)  # the same for all decisions of a slice: warming workers times dispatchers
def rank(
    start_id: int,
    slice_number: int,
    dispatcher_index: int,
    dispatcher_count: int,
    limit: int | None = None,
) -> int:
    """Return the rank of a dispatcher in a slice, from 0, by rendezvous hashing.

    limit: ranks from it on are returned as it, which needs fewer hashes.
    """
    salt = mix64(start_id * 0x9E3779B97F4A7C15 + slice_number)
    own = (mix64(salt ^ dispatcher_index), dispatcher_index)
    ahead = (other for other in range(dispatcher_count) if (mix64(salt ^ other), other) < own)
    return sum(1 for _ in islice(ahead, limit))
