"""Turns at cold workers: who may send one work, and how much, without a word between dispatchers.

A cold worker falls over where all dispatchers together send it more than its budget within any window.  A
few dispatchers have each their part of that.  Of many a part would hold no job, so they take turns: time
since the worker's start is cut into slices, and in each slice only those may send that a hash of worker,
slice and dispatcher ranks first (rendezvous hashing, Thaler and Ravishankar 1998).  So each knows its own
turns and nobody has to be told.  A window overlaps one slice more than it holds, and the parts are cut
accordingly.

A turn that is not used lapses, and most were: their holder had no call that fits in that slice.  So more
turns are dealt than the budget pays for, by as much as a dispatcher will not use of them.  Where calls for w
turns come to it within a slice and it holds v of the paid ones on the mean, it uses w / (1 + v o) of each if
it takes o times as many: o w / (1 + v o) <= 1 as long as o <= 1 / (w - v).  So the expected sum stays within
the paid part wherever the traffic is, and a dispatcher with more calls than turns takes only paid ones.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass
from functools import lru_cache
from itertools import islice

SLICES = 2  # slices in a window: more leave turns too small for a job, fewer waste half of the budget
MIN_SHARE_JOBS = 0.9  # of the mean work: a part of the budget is of use to each from this on
SLOT_JOBS = 2.3  # of the mean work is in a turn, where there is so much: large jobs hold half of all work
BUDGET_FRACTION = 0.6  # of the budget is used: sizes and speeds of machines are only estimates
SLOT_FRACTION = 0.48  # the same, of what makes it fall, where turns are taken: chance, unlike machines beside
MIN_SLOT_JOBS = 1.25  # of the mean work is the least that a turn holds, where three such do not make it fall
MAX_OVERCOMMIT = 6.0  # times the turns that are paid for, whatever lapses: a burst's part is a slice late
_MASK = 2**64 - 1
_CHANCE = 0xA0761D6478BD642F  # so that it is drawn apart from the ranks


@dataclass(frozen=True, slots=True)
class SlowStartPolicy:
    """When a worker that has just started falls over, as the settings tell it.

    cold_share: part of its capacity at its start, rising evenly until warm_after_ns; multiple: of what it can
    do at a moment, sent for window_ns, pushes it over.
    """

    initial_capacity_fraction: float
    slow_start_ns: int
    overload_multiple: float
    window_ns: int

    @property
    def slice_ns(self) -> int:
        """Length of a slice."""
        return max(1, self.window_ns // SLICES)

    def capacity_fraction(self, age_ns: float) -> float:
        """Part of its capacity that a worker has at least, so long after its start."""
        risen = min(1.0, max(0.0, age_ns) / self.slow_start_ns) if self.slow_start_ns > 0 else 1.0
        return self.initial_capacity_fraction + (1 - self.initial_capacity_fraction) * risen

    def budget_ns(self, age_ns: float, capacity: float) -> float:
        """Work that the settings allow a worker of this capacity within a window, by what it can do then."""
        return self.overload_multiple * self.capacity_fraction(age_ns) * capacity * max(1, self.window_ns)

    def overload_threshold_ns(self, age_ns: float, capacity: float, mean_ns: float) -> float:
        """Work that pushes it over: N + 2 sqrt(N) + 2 calls of mean work, N being what the settings allow.

        The users' final terms, over the sum of all processes: the rest is slack for chance, as calls come by
        Poisson.
        """
        call_ns = max(1.0, mean_ns)
        calls = self.budget_ns(age_ns, capacity) / call_ns
        return (calls + 2 * math.sqrt(calls) + 2) * call_ns


@dataclass(frozen=True, slots=True)
class WarmingWorker:
    """A worker that has just started, as one dispatcher sees it.

    number: the same at all dispatchers for this start of this worker, None where they have not heard of it at
    one time; age_ns: since its start; capacity: what it can do once warm, in ns of work a ns; me: the
    dispatcher's number, from 0; known_ns: the age from which on this process knows of all that the dispatcher
    has sent; doubt: how many times slower than that the worker may be; mean_ns: mean work of a call; calls:
    that come to the dispatcher within a slice, and those that wait; workers: that are cold, with this one.
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


def remaining_budget_ns(rule: SlowStartPolicy, cold: WarmingWorker, sent: deque[tuple[int, float]]) -> float:
    """Work that the dispatcher may still send, in ns; sent: the worker's age and the work of what it sent.

    What has left the window is dropped from sent.
    """
    window_ns = max(1, rule.window_ns)
    budget_ns = rule.budget_ns(cold.age_ns, cold.capacity)
    may_ns, since_ns = BUDGET_FRACTION * budget_ns / cold.dispatcher_count, cold.age_ns - window_ns + 1
    if cold.known_ns > max(0, since_ns):  # what its earlier process has sent in this window is not known
        may_ns *= (1 - BUDGET_FRACTION) / BUDGET_FRACTION
    holds_job = may_ns >= MIN_SHARE_JOBS * cold.mean_work_ns
    if cold.start_id is not None and cold.dispatcher_count > 1 and not holds_job:
        may_ns, since_ns = _time_slot(rule, cold, cold.start_id)
    while sent and sent[0][0] < since_ns:
        sent.popleft()
    return may_ns - sum(work_ns for _, work_ns in sent)


def _time_slot(rule: SlowStartPolicy, cold: WarmingWorker, worker: int) -> tuple[float, int]:
    """Work that the dispatcher may send in this slice, and the worker's age at the slice's begin."""
    number = max(0, cold.age_ns) // rule.slice_ns
    begin_ns = number * rule.slice_ns
    # Guards against a second use of a turn by a process that has just started, and cannot know of the first.
    if begin_ns < cold.known_ns:
        return 0.0, begin_ns
    most_ns = rule.overload_threshold_ns(begin_ns, cold.capacity / cold.uncertainty, cold.mean_work_ns) / (
        SLICES + 1
    )
    whole_ns = SLOT_FRACTION * most_ns
    # A turn that holds no job is of use to nobody: fewer then, some slices without any.
    mean_ns = max(1.0, cold.mean_work_ns)
    least_ns = min(most_ns, MIN_SLOT_JOBS * mean_ns)
    each_ns = max(whole_ns / max(1, int(whole_ns / (SLOT_JOBS * mean_ns))), least_ns)
    turns = whole_ns / each_ns
    spare = (
        cold.expected_requests * cold.mean_work_ns / each_ns
        - cold.warming_count * turns / cold.dispatcher_count
    )
    over = max(1.0, min(MAX_OVERCOMMIT, 1 / max(spare, 1 / MAX_OVERCOMMIT)))
    # A part of a turn is one by chance: the same at each look of this slice.
    chance = mix(mix(worker ^ _CHANCE) ^ mix(number << 32 | cold.dispatcher_index)) / (_MASK + 1)
    most = math.ceil(turns * MAX_OVERCOMMIT)
    mine = rank(worker, number, cold.dispatcher_index, cold.dispatcher_count, most) + chance < turns * over
    return each_ns if mine else 0.0, begin_ns


@lru_cache(maxsize=16384)  # asked again at each step of a slice: cold workers times instances in a process
def rank(worker: int, number: int, me: int, dispatchers: int, most: int | None = None) -> int:
    """The place of a dispatcher in a slice's order, from 0; the same at all of them.

    most: what is at least that is told as it; a few hashes show it, where all would be asked else.
    """
    salt = mix(worker * 0x9E3779B97F4A7C15 + number)
    own = (mix(salt ^ me), me)
    before = (other for other in range(dispatchers) if (mix(salt ^ other), other) < own)
    return sum(1 for _ in islice(before, most))


def mix(value: int) -> int:
    """A well-mixed 64-bit number from any number (the finaliser of SplitMix64, Steele et al. 2014)."""
    value &= _MASK
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & _MASK
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & _MASK
    return value ^ (value >> 31)
