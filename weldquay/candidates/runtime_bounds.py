"""Lower bounds of learnt running times, so that a moment computed from them stays on the safe side."""

from __future__ import annotations

from weldquay.estimators.runtime import RuntimeEstimator
from weldquay.state.records import Attempt

FLOOR_FRACTION = 0.9  # of a learnt time, at the moment its floor is set
RAISE_RATIO = 1.3  # learnt time by its floor from which on the floor is raised


class RuntimeLowerBounds:
    """Floors of the mean time of each class and of the pace of each machine kind."""

    def __init__(self, running: RuntimeEstimator) -> None:
        self.running = running
        self.means: dict[int, float] = {}
        self.paces: dict[int, float] = {}

    def follow(self) -> bool:
        """Take in what was learnt since the last call; True where something fell below its floor."""
        fell = False
        for number, kind in self.running.updated:
            fell |= _keep(self.means, number, self.running.mean_ns[number])
            fell |= _keep(self.paces, kind, self.running.relative_runtime(kind))
        self.running.updated.clear()
        return fell

    def usual_ns(self, attempt: Attempt) -> float:
        """What the attempt is expected to run at the least, until `follow` tells of a fall."""
        number, kind = attempt.job.request.job_class, attempt.worker.entry.kind
        if kind not in self.paces:
            _keep(self.paces, kind, self.running.relative_runtime(kind))
        if attempt.job.request.runtime_hint_ns:
            return attempt.job.request.runtime_hint_ns * self.paces[kind]
        if number not in self.means:
            _keep(self.means, number, self.running.mean_ns[number])
        return self.means[number] * self.paces[kind]


def _keep(floors: dict[int, float], key: int, value: float) -> bool:
    """Follow one learnt figure; True where it is below its floor."""
    floor = floors.get(key)
    if floor is None or value < floor or value > RAISE_RATIO * floor:
        floors[key] = FLOOR_FRACTION * value
    return floor is not None and value < floor
