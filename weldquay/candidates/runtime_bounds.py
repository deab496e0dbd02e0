"""Lower bounds of estimated running times.

Rechecks are scheduled by these bounds so that they are never late.  They have to be rescheduled only when an
estimate falls below its bound, instead of at each new sample.
"""

from __future__ import annotations

from weldquay.estimators.runtime import RuntimeEstimator
from weldquay.state.records import Attempt

BOUND_FRACTION = 0.9  # a bound is set to this fraction of the estimate
MAX_ESTIMATE_RATIO = 1.3  # maximum ratio of an estimate to its bound; above it the bound is raised


class RuntimeLowerBounds:
    """Lower bounds of the mean running time by class, and of the relative running time by machine kind.

    Attributes:
        runtimes: the estimates.
        mean_ns: bound of the mean running time by class, in nanoseconds.
        relative_runtimes: bound of the relative running time by machine kind.
    """

    def __init__(self, runtimes: RuntimeEstimator) -> None:
        """Start without bounds; `update` clears `runtimes.updated`."""
        self.runtimes = runtimes
        self.mean_ns: dict[int, float] = {}
        self.relative_runtimes: dict[int, float] = {}

    def update(self) -> bool:
        """Process the changed estimates; return True if one has fallen below its bound."""
        has_fallen = False
        for job_class, kind in self.runtimes.updated:
            has_fallen |= _update_bound(self.mean_ns, job_class, self.runtimes.mean_ns[job_class])
            has_fallen |= _update_bound(self.relative_runtimes, kind, self.runtimes.relative_runtime(kind))
        self.runtimes.updated.clear()
        return has_fallen

    def min_run_ns(self, attempt: Attempt) -> float:
        """Return a lower bound of the attempt's expected running time, valid until `update` returns True."""
        job_class = attempt.job.request.job_class
        kind = attempt.worker.entry.kind
        if kind not in self.relative_runtimes:
            _update_bound(self.relative_runtimes, kind, self.runtimes.relative_runtime(kind))
        if attempt.job.request.runtime_hint_ns:
            return attempt.job.request.runtime_hint_ns * self.relative_runtimes[kind]
        if job_class not in self.mean_ns:
            _update_bound(self.mean_ns, job_class, self.runtimes.mean_ns[job_class])
        return self.mean_ns[job_class] * self.relative_runtimes[kind]


def _update_bound(bounds: dict[int, float], key: int, estimate: float) -> bool:
    """Update the bound of one estimate; return True if the estimate was below it."""
    bound = bounds.get(key)
    if bound is None or estimate < bound or estimate > MAX_ESTIMATE_RATIO * bound:
        bounds[key] = BOUND_FRACTION * estimate
    return bound is not None and estimate < bound
