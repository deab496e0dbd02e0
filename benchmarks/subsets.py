"""Subset algorithms, which assign some of the workers to each dispatcher, compared at several fleet sizes.

    python -m benchmarks.subsets

Each row is one fleet and one algorithm.  Balance: dispatchers that have a worker in their subset, maximum and
minimum over the mean.  Size: the largest and the smallest subset over the requested size.  Movement: the
fraction of all subset members that are new when one worker joins (mean and maximum of ten joins), the
fraction that has to be new (one worker's), and the fraction that is new, at the dispatchers that were there,
when one dispatcher joins.  Zone: the fraction of the worst subset that is left when the worst of three zones
is lost.

`landed` is weldquay/fleet/subset.py: dispatchers form rounds, and each round divides all workers once, in an
order of its own, into groups of equal size.  `rendezvous`: each dispatcher takes the workers whose hash with
it is highest (Thaler and Ravishankar 1998).  `rings, by count`: workers are ordered on a ring by their hash,
and a dispatcher takes those that follow its position, a fraction of their number (deterministic aperture).
`rings, by angle`: the same from a fixed angle.  `arcs`: rounds as in `landed`, but a group is an arc of
hashes, of which there are a power of two, and a group that is too small continues into the next arc.
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
Algorithm = Callable[[Sequence[int], int, int], list[int]]  # workers, dispatcher, dispatchers -> offsets


def size_of(count: int, dispatchers: int) -> int:
    """Return the number of workers in a subset."""
    return min(count, max(MIN_SUBSET_SIZE, -(-MIN_DISPATCHERS_PER_WORKER * count // max(1, dispatchers))))


def rendezvous(workers: Sequence[int], dispatcher: int, dispatchers: int) -> list[int]:
    """Return the workers whose hash with the dispatcher is highest."""
    salt, size = mix64(dispatcher + 1), size_of(len(workers), dispatchers)
    return sorted(range(len(workers)), key=lambda offset: mix64(workers[offset] ^ salt))[:size]


def rings(workers: Sequence[int], dispatcher: int, dispatchers: int) -> list[int]:
    """Return those that follow the dispatcher's position on a ring of workers in the order of their hash."""
    count, size = len(workers), size_of(len(workers), dispatchers)
    order = sorted(range(count), key=lambda offset: mix64(workers[offset]))
    begin = dispatcher * count // dispatchers
    return [order[(begin + step) % count] for step in range(size)]


def hashed_rings(workers: Sequence[int], dispatcher: int, dispatchers: int) -> list[int]:
    """Return those that follow a fixed angle; a new worker changes only the subsets that contain it."""
    count, size = len(workers), size_of(len(workers), dispatchers)
    hashes = [mix64(worker) for worker in workers]
    order = sorted(range(count), key=hashes.__getitem__)
    angle = dispatcher * 2**64 // dispatchers
    begin = next((place for place, offset in enumerate(order) if hashes[offset] >= angle), 0)
    return [order[(begin + step) % count] for step in range(size)]


def arcs(workers: Sequence[int], dispatcher: int, dispatchers: int) -> list[int]:
    """Return an arc of a ring, another ring each round; their number changes where the fleet doubles."""
    count, size = len(workers), size_of(len(workers), dispatchers)
    if size == count:
        return list(range(count))
    groups = 2 ** int(math.log2(count // size))
    number, place = divmod(dispatcher, groups)
    hashes = [mix64(worker ^ (number + 1) * 0xD1B54A32D192ED03) for worker in workers]
    order = sorted(range(count), key=hashes.__getitem__)
    begin = place * 2**64 // groups
    end = (place + 1) * 2**64 // groups
    inside = [offset for offset in order if begin <= hashes[offset] < end]
    after = [offset for offset in order if hashes[offset] >= end] + [
        offset for offset in order if hashes[offset] < begin
    ]
    return inside + after[: max(0, size - len(inside))]


ALGORITHMS: dict[str, Algorithm] = {
    "landed": subset,
    "rendezvous": rendezvous,
    "rings, by count": rings,
    "rings, by angle": hashed_rings,
    "arcs": arcs,
}


def subsets(
    algorithm: Algorithm, workers: Sequence[int], dispatchers: int, measured: Sequence[int]
) -> list[set[int]]:
    """Return the subsets of some dispatchers."""
    return [
        {workers[offset] for offset in algorithm(workers, dispatcher, dispatchers)} for dispatcher in measured
    ]


def moved(before: Sequence[set[int]], after: Sequence[set[int]]) -> float:
    """Return the fraction of all members that are new."""
    new = sum(len(current - previous) for previous, current in zip(before, after, strict=True))
    return new / max(1, sum(map(len, after)))


def measure(algorithm: Algorithm, dispatchers: int, count: int) -> list[float]:
    """Return balance, sizes, movement and the fraction that the loss of a zone leaves."""
    draw = random.Random(count * 1000 + dispatchers)
    workers = [draw.getrandbits(64) for _ in range(count + JOINS)]
    existing = range(dispatchers)
    first = subsets(algorithm, workers[:count], dispatchers, existing)
    assigned = Counter(worker for subset_members in first for worker in subset_members)
    mean = sum(assigned.values()) / count
    balance = [assigned[worker] / mean for worker in workers[:count]]
    moved_fractions = []
    previous = first
    for joined in range(1, JOINS + 1):
        current = subsets(algorithm, workers[: count + joined], dispatchers, existing)
        moved_fractions.append(moved(previous, current))
        previous = current
    with_joined_dispatcher = subsets(algorithm, workers[:count], dispatchers + 1, existing)
    zone = {worker: index % ZONES for index, worker in enumerate(workers)}
    left_fraction = min(
        1 - max(Counter(zone[worker] for worker in workers_left).values()) / len(workers_left)
        for workers_left in first
        if workers_left
    )
    size = size_of(count, dispatchers)
    sizes = [max(map(len, first)) / size, min(map(len, first)) / size]
    return [
        max(balance),
        min(balance),
        *sizes,
        statistics.mean(moved_fractions),
        max(moved_fractions),
        1 / count,
        moved(first, with_joined_dispatcher),
        left_fraction,
    ]


def main() -> int:
    """Print the table."""
    print(
        "| dispatchers, workers | algorithm | max balance | min | largest | smallest | worker joins | worst ",
        end="",
    )
    print("| has to | dispatcher joins | zone |")
    print("|" + " --- |" * 11)
    for dispatchers, count in FLEETS:
        for name, algorithm in ALGORITHMS.items():
            figures = measure(algorithm, dispatchers, count)
            columns = " | ".join(f"{figure:.3f}" for figure in figures)
            print(f"| {dispatchers}, {count} | {name} | {columns} |", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
