"""Running times: means by class, and relative running times by kind of machine."""

from __future__ import annotations

import math
from collections.abc import Iterable

LEARNING_RATE = 0.05  # weight of a new sample in a mean
KIND_PRIOR_SAMPLES = 10  # samples that the initial speed of a machine kind counts for
MAX_WORK_RATIO = 10.0  # the work of a request counts up to this many times the mean
UNKNOWN_KIND_SLOWNESS = 0.6  # a kind without samples may be slower than the mean by this fraction


class RuntimeEstimator:
    """Learns running times. Means of logarithms are used across kinds, as few jobs are very long.

    Attributes:
        mean_ns: mean running time of each class, in nanoseconds.
        mean_logs: mean logarithm of the running time of each class on a mean machine; None before a sample.
        slowness: by machine kind, the mean logarithm of its relative running time, and the samples of it.
        service: by machine kind, the mean logarithm of reported service times, and the samples of it.
        offered: whether requests may still name each class.
        version: changes of means and relative running times so far.
        updated: (class, kind) pairs whose estimates have changed; `weldquay/candidates` clears it.
        work_ns: mean work of the requests since the last change of the classes, in nanoseconds; 0: none yet.
    """

    def __init__(self, first_ns: Iterable[int]) -> None:
        """Start with a running time for each class, in nanoseconds."""
        self.mean_ns: list[float] = []
        self.mean_logs: list[float | None] = []
        self.slowness: dict[int, tuple[float, int]] = {}
        self.service_time_logs: dict[int, tuple[float, int]] = {}
        self.offered: list[bool] = []
        self.version = 0
        self.updated: set[tuple[int, int]] = set()
        self.work_ns = 0.0
        self.configure_classes(first_ns)

    def configure_classes(self, first_ns: Iterable[int], offered: Iterable[bool] = ()) -> None:
        """Add the classes that are new; those known before keep what was learned.

        Args:
            first_ns: initial running time of each class, old and new, in nanoseconds.
            offered: whether requests may still name each class; empty: all.
        """
        added = [float(runtime_ns) for runtime_ns in first_ns][len(self.mean_ns) :]
        self.mean_ns += added
        self.mean_logs += [None] * len(added)
        self.offered = list(offered) or [True] * len(self.mean_ns)
        self.work_ns = 0.0

    def record_runtime(self, number: int, kind: int, run_ns: int) -> None:
        """Learn that a request of class `number` has run for `run_ns` on a machine of this kind."""
        self.mean_ns[number] += LEARNING_RATE * (run_ns - self.mean_ns[number])
        mean = self.mean_logs[number]
        slowness, samples = self.slowness.get(kind, (0.0, 0))
        value = math.log(run_ns)
        error = value - slowness - (value if mean is None else mean)
        self.mean_logs[number] = value - slowness if mean is None else mean + LEARNING_RATE * error
        self.updated.add((number, kind))
        self.version += 1
        rate = max(LEARNING_RATE / 2, 1 / (samples + KIND_PRIOR_SAMPLES))
        self.slowness[kind] = (slowness + error * rate, samples + 1)

    def apply_service_time(self, kind: int, service_ms: float, slowness: float) -> float:
        """Return a worker's slowness after a report of its service time.

        Every dispatcher gets the same report, so all of them detect a slow worker at once, without attempts
        of their own. The slowness stays as it is until the kind has `KIND_PRIOR_SAMPLES` samples.

        Args:
            kind: the worker's machine kind.
            service_ms: the reported service time, in milliseconds; less than 1 counts as 1.
            slowness: its slowness so far, a logarithm, which weighs as much as the report.
        """
        value = math.log(max(1.0, service_ms))
        mean, samples = self.service_time_logs.get(kind, (value, 0))
        rate = max(LEARNING_RATE, 1 / (samples + 1))
        self.service_time_logs[kind] = (mean + (value - mean) * rate, samples + 1)
        return (slowness + value - mean) / 2 if samples >= KIND_PRIOR_SAMPLES else slowness

    def mean_runtime_ns(self) -> float:
        """Return the mean running time over the offered classes, in nanoseconds."""
        means = [mean for mean, offered in zip(self.mean_ns, self.offered, strict=True) if offered]
        return sum(means) / len(means)

    def record_request(self, work_ns: float) -> None:
        """Learn from a request that was received: its slots times its expected running time, in ns."""
        self.work_ns = self.mean_work_ns()
        self.work_ns += LEARNING_RATE * (min(work_ns, MAX_WORK_RATIO * self.work_ns) - self.work_ns)

    def mean_work_ns(self) -> float:
        """Return the mean work of a request, in ns; the mean running time before the first request."""
        return self.work_ns or self.mean_runtime_ns()

    def relative_runtime(self, kind: int) -> float:
        """Return the running time on a machine of this kind over that on a mean machine."""
        return math.exp(self.slowness.get(kind, (0.0, 0))[0])

    def uncertainty(self, kind: int) -> float:
        """Return how many times slower than estimated a kind may be; it falls to 1 with samples."""
        samples = self.slowness.get(kind, (0.0, 0))[1]
        return 1 + UNKNOWN_KIND_SLOWNESS * KIND_PRIOR_SAMPLES / (samples + KIND_PRIOR_SAMPLES)
