"""Limit the work that all dispatchers together send to a worker that is warming up.

A warming worker is overloaded if it gets more than its budget of work within any time window.  A small number
of dispatchers share the budget equally.  With many dispatchers an equal share would be too small for a job.
Then the time since the worker's start is divided into slices, and each slice has a few send slots.  They are
assigned to the dispatchers that rank first by a hash of worker, slice and dispatcher (rendezvous hashing,
Thaler and Ravishankar 1998), so that all dispatchers agree on the assignment without communication.  A
window overlaps one slice more than it contains, which the size of the send slots takes into account.

Send slots that are not used within their slice are lost, so the slots are overcommitted: more are assigned
than the budget covers.  If a dispatcher expects requests for w slots within a slice and holds v covered slots
on average, and the overcommit factor is o, it uses the fraction w / (1 + v o) of each slot.  The expected sum
stays within the budget if o w / (1 + v o) <= 1, which is o <= 1 / (w - v).  For a dispatcher with more
requests than slots the factor is 1.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass
from functools import lru_cache
from itertools import islice

from weldquay.fleet.hashing import MASK_64, mix64

SLICES_PER_WINDOW = 2
MIN_SHARE_JOBS = 0.9  # jobs of mean work; a smaller equal share of the budget is replaced by send slots
TARGET_SLOT_JOBS = 2.3  # jobs of mean work in a send slot if the budget allows; jobs well above the mean fit
MIN_SLOT_JOBS = 1.25  # minimum jobs of mean work in a send slot
SHARED_BUDGET_FRACTION = 0.6  # equal shares use this part of the budget, since capacities are estimates
SLOT_THRESHOLD_FRACTION = 0.48  # send slots use this part of the overload threshold
MAX_OVERCOMMIT = 6.0  # limited because the expected number of requests lags behind a burst by a slice
_FRACTION_SALT = 0xA0761D6478BD642F  # makes the hash for fractional slots independent of the ranks


@dataclass(frozen=True, slots=True)
class SlowStartPolicy:
    """The load at which a worker that is warming up is overloaded.

    Attributes:
        initial_capacity_fraction: fraction of its capacity that a worker has at its start; it rises linearly
            to 1 within slow_start_ns.
        slow_start_ns: duration of the slow start, in nanoseconds.
        overload_multiple: the budget of a window, as a multiple of the work that the worker can do in it.
        window_ns: length of a window, in nanoseconds.
    """

    initial_capacity_fraction: float
    slow_start_ns: int
    overload_multiple: float
    window_ns: int

    @property
    def slice_ns(self) -> int:
        """Length of a slice, in nanoseconds."""
        return max(1, self.window_ns // SLICES_PER_WINDOW)

    def capacity_fraction(self, age_ns: float) -> float:
        """Return the minimum fraction of its capacity that a worker of this age has."""
        progress = min(1.0, max(0.0, age_ns) / self.slow_start_ns) if self.slow_start_ns > 0 else 1.0
        return self.initial_capacity_fraction + (1 - self.initial_capacity_fraction) * progress

    def budget_ns(self, age_ns: float, capacity: float) -> float:
        """Return the work in ns that a worker of this age may get within a window.

        Args:
            age_ns: time since the worker's start, in nanoseconds.
            capacity: capacity of the warm worker, in nanoseconds of work per nanosecond.
        """
        return self.overload_multiple * self.capacity_fraction(age_ns) * capacity * max(1, self.window_ns)

    def overload_threshold_ns(self, age_ns: float, capacity: float, mean_work_ns: float) -> float:
        """Return the work in ns that overloads a worker: N + 2 sqrt(N) + 2 jobs of mean work.

        N is the budget in jobs. The other terms allow for the variance of Poisson arrivals.

        Args:
            age_ns: time since the worker's start, in nanoseconds.
            capacity: capacity of the warm worker, in nanoseconds of work per nanosecond.
            mean_work_ns: mean work of a request, in nanoseconds.
        """
        job_ns = max(1.0, mean_work_ns)
        jobs = self.budget_ns(age_ns, capacity) / job_ns
        return (jobs + 2 * math.sqrt(jobs) + 2) * job_ns


@dataclass(frozen=True, slots=True)
class WarmingWorker:
    """A worker that is warming up, as seen by one dispatcher.

    Attributes:
        start_id: identifies this start of the worker at all dispatchers; None if they learn of the start at
            different times.
        age_ns: time since the start, in nanoseconds.
        capacity: capacity of the warm worker, in nanoseconds of work per nanosecond.
        dispatcher_index: number of this dispatcher, from 0.
        dispatcher_count: number of dispatchers.
        recorded_since_ns: age since which this process has a record of everything that the dispatcher sent.
        uncertainty: factor by which the worker may be slower than estimated.
        mean_work_ns: mean work of a request, in nanoseconds.
        expected_requests: requests that this dispatcher expects within a slice, including queued ones.
        warming_count: workers that are warming up, including this one.
    """

    start_id: int | None
    age_ns: int
    capacity: float
    dispatcher_index: int
    dispatcher_count: int
    recorded_since_ns: int = 0
    uncertainty: float = 1.0
    mean_work_ns: float = 0.0
    expected_requests: float = 0.0
    warming_count: int = 1


def remaining_budget_ns(
    policy: SlowStartPolicy, worker: WarmingWorker, sent: deque[tuple[int, float]]
) -> float:
    """Return the work in ns that the dispatcher may still send to the worker.

    Args:
        policy: when a worker is overloaded.
        worker: the worker.
        sent: (age of the worker, work in ns) of each attempt that the dispatcher sent, oldest first. Entries
            outside the current window or slice are removed.
    """
    budget_ns = policy.budget_ns(worker.age_ns, worker.capacity)
    allowed_ns = SHARED_BUDGET_FRACTION * budget_ns / worker.dispatcher_count
    since_ns = worker.age_ns - max(1, policy.window_ns) + 1
    if worker.recorded_since_ns > max(0, since_ns):
        # An earlier process may have used its share in this window; the unshared rest of the budget covers a
        # second one.
        allowed_ns *= (1 - SHARED_BUDGET_FRACTION) / SHARED_BUDGET_FRACTION
    share_fits_job = allowed_ns >= MIN_SHARE_JOBS * worker.mean_work_ns
    if worker.start_id is not None and worker.dispatcher_count > 1 and not share_fits_job:
        allowed_ns, since_ns = _slot_budget(policy, worker, worker.start_id)
    while sent and sent[0][0] < since_ns:
        sent.popleft()
    return allowed_ns - sum(work_ns for _, work_ns in sent)


def _slot_budget(policy: SlowStartPolicy, worker: WarmingWorker, start_id: int) -> tuple[float, int]:
    """Return the work in ns that the dispatcher may send in this slice, and the age at its start."""
    slice_number = max(0, worker.age_ns) // policy.slice_ns
    begin_ns = slice_number * policy.slice_ns
    if begin_ns < worker.recorded_since_ns:  # an earlier process may have used the slot
        return 0.0, begin_ns
    lowest_capacity = worker.capacity / worker.uncertainty
    threshold_ns = policy.overload_threshold_ns(begin_ns, lowest_capacity, worker.mean_work_ns)
    max_slice_ns = threshold_ns / (SLICES_PER_WINDOW + 1)
    slice_budget_ns = SLOT_THRESHOLD_FRACTION * max_slice_ns
    mean_work_ns = max(1.0, worker.mean_work_ns)
    whole_slots = max(1, int(slice_budget_ns / (TARGET_SLOT_JOBS * mean_work_ns)))
    # A slot must be large enough for a job; if the budget is too small, some slices have no slot.
    slot_ns = max(slice_budget_ns / whole_slots, min(max_slice_ns, MIN_SLOT_JOBS * mean_work_ns))
    send_slots = slice_budget_ns / slot_ns
    overcommit = _overcommit(worker, slot_ns, send_slots)
    # A fractional slot is assigned with that probability; the hash keeps the result for the whole slice.
    fraction_hash = mix64(
        mix64(start_id ^ _FRACTION_SALT) ^ mix64(slice_number << 32 | worker.dispatcher_index)
    )
    limit = math.ceil(send_slots * MAX_OVERCOMMIT)
    position = rendezvous_rank(
        start_id, slice_number, worker.dispatcher_index, worker.dispatcher_count, limit
    )
    has_slot = position + fraction_hash / (MASK_64 + 1) < send_slots * overcommit
    return slot_ns if has_slot else 0.0, begin_ns


def _overcommit(worker: WarmingWorker, slot_ns: float, send_slots: float) -> float:
    """Return the ratio of assigned slots to the slots that the budget covers."""
    wanted_slots = worker.expected_requests * worker.mean_work_ns / slot_ns
    unmet_slots = wanted_slots - worker.warming_count * send_slots / worker.dispatcher_count
    return max(1.0, min(MAX_OVERCOMMIT, 1 / max(unmet_slots, 1 / MAX_OVERCOMMIT)))


@lru_cache(maxsize=16384)  # results are valid for a whole slice; one entry per worker and dispatcher
def rendezvous_rank(
    start_id: int,
    slice_number: int,
    dispatcher_index: int,
    dispatcher_count: int,
    limit: int | None = None,
) -> int:
    """Return the rank of a dispatcher in a slice, from 0, by rendezvous hashing.

    Args:
        start_id: identifies the start of the worker.
        slice_number: number of the slice, from 0.
        dispatcher_index: number of the dispatcher, from 0.
        dispatcher_count: number of dispatchers.
        limit: maximum returned rank, which bounds the work; None: no maximum.
    """
    salt = mix64(start_id * 0x9E3779B97F4A7C15 + slice_number)
    own = (mix64(salt ^ dispatcher_index), dispatcher_index)
    ahead = (other for other in range(dispatcher_count) if (mix64(salt ^ other), other) < own)
    return sum(1 for _ in islice(ahead, limit))
