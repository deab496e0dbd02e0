"""Learn running times: means by job class, and relative running times by machine kind."""

from __future__ import annotations

import math
from collections.abc import Iterable

LEARNING_RATE = 0.05  # weight of a new sample in an exponentially weighted mean
KIND_PRIOR_SAMPLES = 10  # the initial speed of a machine kind counts as this many samples
MAX_WORK_RATIO = 10.0  # the work of a request is capped at this multiple of the mean
UNKNOWN_KIND_SLOWNESS = 0.6  # a machine kind without samples may be slower than the mean by this fraction


class RuntimeEstimator:
    """Learns running times.

    Machine kinds are compared by means of logarithms, since a few jobs are very long and would dominate
    arithmetic means.

    Attributes:
        mean_ns: mean running time of each class, in nanoseconds.
        mean_logs: mean logarithm of the running time of each class on a mean machine; None without samples.
        slowness: by machine kind, the mean logarithm of its relative running time, and the number of samples.
        service_time_logs: by machine kind, the mean logarithm of reported service times, and the number of
            samples.
        offered: for each class, whether new requests may belong to it.
        version: incremented with each change of a mean or a relative running time.
        updated: (class, kind) pairs whose estimates have changed; `weldquay/candidates` clears it.
        work_ns: mean work of the requests since the classes last changed, in nanoseconds; 0 before the first.
    """

    def __init__(self, initial_ns: Iterable[int]) -> None:
        """Start with an initial running time for each class, in nanoseconds."""
        self.mean_ns: list[float] = []
        self.mean_logs: list[float | None] = []
        self.slowness: dict[int, tuple[float, int]] = {}
        self.service_time_logs: dict[int, tuple[float, int]] = {}
        self.offered: list[bool] = []
        self.version = 0
        self.updated: set[tuple[int, int]] = set()
        self.work_ns = 0.0
        self.configure_classes(initial_ns)

    def configure_classes(self, initial_ns: Iterable[int], offered: Iterable[bool] = ()) -> None:
        """Add new classes; known classes keep what was learned.

        Args:
            initial_ns: initial running time of each class, known or new, in nanoseconds.
            offered: for each class, whether new requests may belong to it; empty: all.
        """
        added = [float(runtime_ns) for runtime_ns in initial_ns][len(self.mean_ns) :]
        self.mean_ns += added
        self.mean_logs += [None] * len(added)
        self.offered = list(offered) or [True] * len(self.mean_ns)
        self.work_ns = 0.0

    def record_runtime(self, job_class: int, kind: int, run_ns: int) -> None:
        """Learn that a request of the class has run for `run_ns` on a machine of this kind."""
        self.mean_ns[job_class] += LEARNING_RATE * (run_ns - self.mean_ns[job_class])
        mean = self.mean_logs[job_class]
        slowness, samples = self.slowness.get(kind, (0.0, 0))
        value = math.log(run_ns)
        error = value - slowness - (value if mean is None else mean)
        self.mean_logs[job_class] = value - slowness if mean is None else mean + LEARNING_RATE * error
        self.updated.add((job_class, kind))
        self.version += 1
        rate = max(LEARNING_RATE / 2, 1 / (samples + KIND_PRIOR_SAMPLES))
        self.slowness[kind] = (slowness + error * rate, samples + 1)

    def apply_service_time(self, kind: int, service_ms: float, slowness: float) -> float:
        """Return a worker's slowness, updated with a reported service time.

        All dispatchers get the same report, so each detects a slow worker immediately, without attempts of
        its own. The slowness does not change until the machine kind has `KIND_PRIOR_SAMPLES` samples.

        Args:
            kind: the worker's machine kind.
            service_ms: the reported service time, in milliseconds; values below 1 count as 1.
            slowness: the previous slowness, a logarithm, which has the same weight as the report.
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
        """Learn from a received request; its work is its slots times its expected running time, in ns."""
        self.work_ns = self.mean_work_ns()
        self.work_ns += LEARNING_RATE * (min(work_ns, MAX_WORK_RATIO * self.work_ns) - self.work_ns)

    def mean_work_ns(self) -> float:
        """Return the mean work of a request, in ns; before the first request, the mean running time."""
        return self.work_ns or self.mean_runtime_ns()

    def relative_runtime(self, kind: int) -> float:
        """Return the ratio of the running time on a machine of this kind to that on a mean machine."""
        return math.exp(self.slowness.get(kind, (0.0, 0))[0])

    def uncertainty(self, kind: int) -> float:
        """Return the factor by which a kind may be slower than estimated, which falls to 1 with samples."""
        samples = self.slowness.get(kind, (0.0, 0))[1]
        return 1 + UNKNOWN_KIND_SLOWNESS * KIND_PRIOR_SAMPLES / (samples + KIND_PRIOR_SAMPLES)
