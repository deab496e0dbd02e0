"""Which workers a dispatcher turns to first, so that few dispatchers meet a worker and these know it well.

Where all turn to all, each meets a worker seldom, and forty act on the same news in the same second.
Deterministic subsetting (Beyer et al., Site Reliability Engineering, 2016, chapter 20) deals the workers out:
dispatchers come in rounds, each round puts the workers in an order of its own and deals all of them out once.
The order is one of hashes: a worker more or less moves the borders, not the rest.
"""

from __future__ import annotations

from collections.abc import Sequence
from functools import lru_cache

from weldquay.fleet.slow_start import mix

LEAST = 5  # workers in a subset: with fewer a busy dispatcher finds them all full
SHARERS = 3  # dispatchers that a worker has at the least: a few dispatchers have all workers
_ROUND = 0xD1B54A32D192ED03  # odd, so that rounds differ in all bits once mixed


@lru_cache(maxsize=16384)  # asked again for each worker at each change of the list
def _height(worker: int, number: int) -> int:
    """Where a worker stands in the order of a round."""
    return mix(worker ^ (number + 1) * _ROUND)


def subset(workers: Sequence[int], me: int, dispatchers: int) -> list[int]:
    """The places in `workers` of those that dispatcher `me` turns to first.

    workers: a number for each, the same at all dispatchers; me: from 0 to dispatchers - 1.
    """
    count = len(workers)
    size = min(count, max(LEAST, -(-SHARERS * count // max(1, dispatchers))))
    if size == count:
        return list(range(count))
    groups = count // size
    number, place = divmod(me, groups)
    heights = [(_height(worker, number), worker) for worker in workers]
    order = sorted(range(count), key=heights.__getitem__)
    begin, end = place * count // groups, (place + 1) * count // groups
    return order[begin:end]
