"""Comparison of subset algorithms, which assign a subset of the workers to each dispatcher.

    python -m benchmarks.subsets

Each row has the results of one algorithm for one number of dispatchers and workers:

- Balance: the number of dispatchers that have a worker in their subset, maximum and minimum over all workers,
  divided by the mean.
- Size: the sizes of the largest and the smallest subset, divided by the requested size.
- Movement: the fraction of all subset members that are new when one worker joins (mean and maximum of ten
  joins), the fraction that is unavoidable (the share of one worker), and the fraction that is new in the
  subsets of the existing dispatchers when one dispatcher joins.
- Zone: the fraction of a subset that is left after the loss of a zone, for the worst subset and the worst of
  three zones.

Algorithms:

- `current`, the one in use (weldquay/fleet/subset.py): the dispatchers are divided into rounds, and each
  round divides all workers, in an order of its own, into groups of equal size.
- `rendezvous`: rendezvous hashing (Thaler and Ravishankar 1998).  Each dispatcher takes the workers with the
  lowest hashes of worker and dispatcher.
- `rings, by count`: deterministic aperture.  The workers are ordered by hash on a ring, and a dispatcher
  takes the workers that follow its position, which is a fraction of their number.
- `rings, by angle`: the same, but a dispatcher's position is a fixed hash value.
- `arcs`: rounds as in `current`, but a group is an arc of hash values.  The number of arcs is a power of two,
  and a group that is too small is extended with workers of the next arc.
"""

from __future__ import annotations

import math
import random
import statistics
import sys
from collections import Counter
from collections.abc import Callable, Sequence

from weldquay.fleet.hashing import mix64
from weldquay.fleet.subset import MIN_DISPATCHERS_PER_WORKER, MIN_SUBSET_SIZE, subset

FLEETS = (
    (3, 10),
    (3, 60),
    (40, 60),
    (40, 1400),
    (200, 200),
    (230, 300),
    (410, 100),
    (410, 1400),
    (410, 10000),
)
JOINS = 10
ZONES = 3
# The arguments are the workers' hash keys, the dispatcher's index and the number of dispatchers; the result
# has the indices of the subset's workers.
Algorithm = Callable[[Sequence[int], int, int], list[int]]


def subset_size(worker_count: int, dispatcher_count: int) -> int:
    """Return the requested number of workers in a subset."""
    return min(
        worker_count,
        max(MIN_SUBSET_SIZE, -(-MIN_DISPATCHERS_PER_WORKER * worker_count // max(1, dispatcher_count))),
    )


def rendezvous(workers: Sequence[int], dispatcher_index: int, dispatcher_count: int) -> list[int]:
    """Return the workers with the lowest hashes of worker and dispatcher."""
    salt, size = mix64(dispatcher_index + 1), subset_size(len(workers), dispatcher_count)
    return sorted(range(len(workers)), key=lambda index: mix64(workers[index] ^ salt))[:size]


def ring_by_count(workers: Sequence[int], dispatcher_index: int, dispatcher_count: int) -> list[int]:
    """Return the workers that follow the dispatcher's position on a ring of all workers, ordered by hash."""
    worker_count, size = len(workers), subset_size(len(workers), dispatcher_count)
    order = sorted(range(worker_count), key=lambda index: mix64(workers[index]))
    start = dispatcher_index * worker_count // dispatcher_count
    return [order[(start + step) % worker_count] for step in range(size)]


def ring_by_angle(workers: Sequence[int], dispatcher_index: int, dispatcher_count: int) -> list[int]:
    """Return the workers that follow a fixed hash value.

    A new worker changes only the subsets that contain it.
    """
    worker_count, size = len(workers), subset_size(len(workers), dispatcher_count)
    hashes = [mix64(worker) for worker in workers]
    order = sorted(range(worker_count), key=hashes.__getitem__)
    angle = dispatcher_index * 2**64 // dispatcher_count
    start = next((rank for rank, index in enumerate(order) if hashes[index] >= angle), 0)
    return [order[(start + step) % worker_count] for step in range(size)]


def hash_arcs(workers: Sequence[int], dispatcher_index: int, dispatcher_count: int) -> list[int]:
    """Return the workers in an arc of hash values; the hashes are different in each round.

    The number of arcs changes where the number of workers doubles.
    """
    worker_count, size = len(workers), subset_size(len(workers), dispatcher_count)
    if size == worker_count:
        return list(range(worker_count))
    groups_per_round = 2 ** int(math.log2(worker_count // size))
    round_number, position = divmod(dispatcher_index, groups_per_round)
    hashes = [mix64(worker ^ (round_number + 1) * 0xD1B54A32D192ED03) for worker in workers]
    order = sorted(range(worker_count), key=hashes.__getitem__)
    start = position * 2**64 // groups_per_round
    end = (position + 1) * 2**64 // groups_per_round
    inside = [index for index in order if start <= hashes[index] < end]
    after = [index for index in order if hashes[index] >= end] + [
        index for index in order if hashes[index] < start
    ]
    return inside + after[: max(0, size - len(inside))]


ALGORITHMS: dict[str, Algorithm] = {
    "current": subset,
    "rendezvous": rendezvous,
    "rings, by count": ring_by_count,
    "rings, by angle": ring_by_angle,
    "arcs": hash_arcs,
}


def create_subsets(
    algorithm: Algorithm, workers: Sequence[int], dispatcher_count: int, dispatcher_indices: Sequence[int]
) -> list[set[int]]:
    """Return the subsets of the given dispatchers."""
    return [
        {workers[index] for index in algorithm(workers, dispatcher_index, dispatcher_count)}
        for dispatcher_index in dispatcher_indices
    ]


def new_member_fraction(before: Sequence[set[int]], after: Sequence[set[int]]) -> float:
    """Return the fraction of all subset members that are new."""
    new_count = sum(len(current - previous) for previous, current in zip(before, after, strict=True))
    return new_count / max(1, sum(map(len, after)))


def measure(algorithm: Algorithm, dispatcher_count: int, worker_count: int) -> list[float]:
    """Return the figures of a row: balance, size, movement and zone."""
    rng = random.Random(worker_count * 1000 + dispatcher_count)
    workers = [rng.getrandbits(64) for _ in range(worker_count + JOINS)]
    existing_dispatchers = range(dispatcher_count)
    initial_subsets = create_subsets(
        algorithm, workers[:worker_count], dispatcher_count, existing_dispatchers
    )
    assigned = Counter(worker for subset_members in initial_subsets for worker in subset_members)
    mean = sum(assigned.values()) / worker_count
    balance = [assigned[worker] / mean for worker in workers[:worker_count]]
    new_fractions = []
    previous = initial_subsets
    for joined_workers in range(1, JOINS + 1):
        current = create_subsets(
            algorithm, workers[: worker_count + joined_workers], dispatcher_count, existing_dispatchers
        )
        new_fractions.append(new_member_fraction(previous, current))
        previous = current
    with_new_dispatcher = create_subsets(
        algorithm, workers[:worker_count], dispatcher_count + 1, existing_dispatchers
    )
    zone = {worker: index % ZONES for index, worker in enumerate(workers)}
    min_remaining_fraction = min(
        1 - max(Counter(zone[worker] for worker in members).values()) / len(members)
        for members in initial_subsets
        if members
    )
    size = subset_size(worker_count, dispatcher_count)
    sizes = [max(map(len, initial_subsets)) / size, min(map(len, initial_subsets)) / size]
    return [
        max(balance),
        min(balance),
        *sizes,
        statistics.mean(new_fractions),
        max(new_fractions),
        1 / worker_count,
        new_member_fraction(initial_subsets, with_new_dispatcher),
        min_remaining_fraction,
    ]


def main() -> int:
    """Print the table, one row for each fleet and algorithm."""
    print(
        "| dispatchers, workers | algorithm | max balance | min | largest | smallest | worker joins | max ",
        end="",
    )
    print("| unavoidable | dispatcher joins | zone |")
    print("|" + " --- |" * 11)
    for dispatcher_count, worker_count in FLEETS:
        for name, algorithm in ALGORITHMS.items():
            figures = measure(algorithm, dispatcher_count, worker_count)
            row = " | ".join(f"{figure:.3f}" for figure in figures)
            print(f"| {dispatcher_count}, {worker_count} | {name} | {row} |", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
