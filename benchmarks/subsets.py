"""Ways to give each dispatcher a subset of the workers, compared at all sizes.

    python -m benchmarks.subsets

Each line is one fleet and one way.  Balance: dispatchers that meet a worker, the most and the least by the
mean.  Size: the largest and the smallest subset by the size asked for.  Movement: of all subset members, the
part that is new when one worker joins (mean and worst of ten joins), the part that has to be (one worker's),
and the part that is new, at the dispatchers that were there, when one dispatcher joins.  Zone: what is left
of the worst subset when the worst of three zones is lost.

`landed` is weldquay/fleet/subset.py: rounds of dispatchers, each dealing all workers out once in an order of
its own, in groups of equal size.  `rendezvous`: each dispatcher takes the workers whose hash with it is
highest (Thaler and Ravishankar 1998).  `rings, by count`: workers stand on one ring by their hash, and a
dispatcher takes those that follow its place, a part of their number (deterministic aperture).  `rings, by
angle`: the same from a fixed angle.  `arcs`: rounds as landed, but a group is an arc of hashes, of which
there are a power of two, and a group that is too small goes on into the next arc.
"""

from __future__ import annotations

import math
import random
import statistics
import sys
from collections import Counter
from collections.abc import Callable, Sequence

from weldquay.fleet.hashing import mix
from weldquay.fleet.subset import MIN_SUBSET_SIZE, MIN_DISPATCHERS_PER_WORKER, subset

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
Way = Callable[[Sequence[int], int, int], list[int]]


def size_of(count: int, dispatchers: int) -> int:
    """Workers in a subset, as landed."""
    return min(count, max(MIN_SUBSET_SIZE, -(-MIN_DISPATCHERS_PER_WORKER * count // max(1, dispatchers))))


def rendezvous(workers: Sequence[int], me: int, dispatchers: int) -> list[int]:
    """The workers whose hash with the dispatcher is highest."""
    salt, size = mix(me + 1), size_of(len(workers), dispatchers)
    return sorted(range(len(workers)), key=lambda at: mix(workers[at] ^ salt))[:size]


def rings(workers: Sequence[int], me: int, dispatchers: int) -> list[int]:
    """Those that follow the dispatcher's place on a ring on which workers stand by their hash."""
    count, size = len(workers), size_of(len(workers), dispatchers)
    order = sorted(range(count), key=lambda at: mix(workers[at]))
    begin = me * count // dispatchers
    return [order[(begin + step) % count] for step in range(size)]


def hashed_rings(workers: Sequence[int], me: int, dispatchers: int) -> list[int]:
    """The same from a fixed angle: a worker more moves only the subsets that it falls into."""
    count, size = len(workers), size_of(len(workers), dispatchers)
    heights = [mix(worker) for worker in workers]
    order = sorted(range(count), key=heights.__getitem__)
    angle = me * 2**64 // dispatchers
    begin = next((place for place, at in enumerate(order) if heights[at] >= angle), 0)
    return [order[(begin + step) % count] for step in range(size)]


def arcs(workers: Sequence[int], me: int, dispatchers: int) -> list[int]:
    """Arcs of a ring, another ring each round; their number changes only where the fleet doubles."""
    count, size = len(workers), size_of(len(workers), dispatchers)
    if size == count:
        return list(range(count))
    groups = 2 ** int(math.log2(count // size))
    number, place = divmod(me, groups)
    heights = [mix(worker ^ (number + 1) * 0xD1B54A32D192ED03) for worker in workers]
    order = sorted(range(count), key=heights.__getitem__)
    begin, end = place * 2**64 // groups, (place + 1) * 2**64 // groups
    inside = [at for at in order if begin <= heights[at] < end]
    after = [at for at in order if heights[at] >= end] + [at for at in order if heights[at] < begin]
    return inside + after[: max(0, size - len(inside))]


WAYS: dict[str, Way] = {
    "landed": subset,
    "rendezvous": rendezvous,
    "rings, by count": rings,
    "rings, by angle": hashed_rings,
    "arcs": arcs,
}


def members(way: Way, workers: Sequence[int], dispatchers: int, among: Sequence[int]) -> list[set[int]]:
    """The subset of each of some dispatchers, as workers."""
    return [{workers[at] for at in way(workers, me, dispatchers)} for me in among]


def moved(before: Sequence[set[int]], after: Sequence[set[int]]) -> float:
    """The part of all members that are new."""
    new = sum(len(now - then) for then, now in zip(before, after, strict=True))
    return new / max(1, sum(map(len, after)))


def measure(way: Way, dispatchers: int, count: int) -> list[float]:
    """Balance, sizes, movement and what the loss of a zone leaves."""
    draw = random.Random(count * 1000 + dispatchers)
    workers = [draw.getrandbits(64) for _ in range(count + JOINS)]
    among = range(dispatchers)
    first = members(way, workers[:count], dispatchers, among)
    meets = Counter(worker for each in first for worker in each)
    mean = sum(meets.values()) / count
    load = [meets[worker] / mean for worker in workers[:count]]
    parts, last = [], first
    for joined in range(1, JOINS + 1):
        now = members(way, workers[: count + joined], dispatchers, among)
        parts.append(moved(last, now))
        last = now
    other = members(way, workers[:count], dispatchers + 1, among)
    zone = {worker: index % ZONES for index, worker in enumerate(workers)}
    left = min(
        1 - max(Counter(zone[worker] for worker in each).values()) / len(each) for each in first if each
    )
    size = size_of(count, dispatchers)
    sizes = [max(map(len, first)) / size, min(map(len, first)) / size]
    return [
        max(load),
        min(load),
        *sizes,
        statistics.mean(parts),
        max(parts),
        1 / count,
        moved(first, other),
        left,
    ]


def main() -> int:
    """Print the table."""
    print(
        "| dispatchers, workers | way | most met | least | largest | smallest | worker joins | worst ", end=""
    )
    print("| has to | dispatcher joins | zone |")
    print("|" + " --- |" * 11)
    for dispatchers, count in FLEETS:
        for name, way in WAYS.items():
            row = measure(way, dispatchers, count)
            told = " | ".join(f"{each:.3f}" for each in row)
            print(f"| {dispatchers}, {count} | {name} | {told} |", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
