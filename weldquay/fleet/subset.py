"""The subset of the workers that a dispatcher prefers.

With subsets, each worker is used by few dispatchers, and these use it often enough to have a recent estimate
of its load.  The algorithm is deterministic subsetting (Beyer et al., Site Reliability Engineering, 2016,
chapter 20): the dispatchers are divided into rounds, and each round assigns every worker to exactly one of
its dispatchers.  The workers of a round are ordered by hashes, so that adding or removing a worker changes
few subsets.
"""

from __future__ import annotations

from collections.abc import Sequence
from functools import lru_cache

from weldquay.fleet.hashing import mix64

MIN_SUBSET_SIZE = 5  # workers: enough for a dispatcher to find one with free capacity
MIN_DISPATCHERS_PER_WORKER = 3
_ROUND_SALT = 0xD1B54A32D192ED03  # odd, so that rounds differ in all bits of the hash


@lru_cache(maxsize=16384)  # computed for each worker at each change of the endpoint list
def _hash_in_round(worker: int, round_number: int) -> int:
    """Return the sort key of a worker in a round."""
    return mix64(worker ^ (round_number + 1) * _ROUND_SALT)


def subset(workers: Sequence[int], dispatcher_index: int, dispatcher_count: int) -> list[int]:
    """Return the positions in `workers` that belong to a dispatcher's subset.

    Args:
        workers: a number for each worker, the same at all dispatchers.
        dispatcher_index: number of the dispatcher, from 0.
        dispatcher_count: number of dispatchers.
    """
    count = len(workers)
    shared_size = -(-MIN_DISPATCHERS_PER_WORKER * count // max(1, dispatcher_count))  # rounded up
    size = min(count, max(MIN_SUBSET_SIZE, shared_size))
    if size == count:
        return list(range(count))
    subsets_per_round = count // size
    round_number, position = divmod(dispatcher_index, subsets_per_round)
    hashes = [(_hash_in_round(worker, round_number), worker) for worker in workers]
    order = sorted(range(count), key=hashes.__getitem__)
    begin = position * count // subsets_per_round
    end = (position + 1) * count // subsets_per_round
    return order[begin:end]
