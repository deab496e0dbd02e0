"""How long jobs run: means by class, and how much slower one kind of machine is than another."""

from __future__ import annotations

import math
from collections.abc import Iterable

LEARN = 0.05  # weight of a new sample in learnt means
KIND_SAMPLES = 10  # answers that a machine kind's speed starts from, so that chance does not rule at first
MAX_SAMPLE = 10.0  # of the mean work is what one call counts for at the most: a huge one must not rule it
UNKNOWN = 0.6  # a kind that no answer has come from yet may be slower than the mean by this part


class RuntimeEstimator:
    """Learnt running times; logarithms tame the few huge jobs."""

    def __init__(self, first_ns: Iterable[int]) -> None:
        """first_ns: a guess for each class, in ns, until it is learnt."""
        self.mean_ns: list[float] = []
        self.logs: list[float | None] = []  # mean logarithm of the same
        self.slowness: dict[int, tuple[float, int]] = {}  # by machine kind: its part of that, samples
        self.service: dict[int, tuple[float, int]] = {}  # by kind: mean logarithm of told times, samples
        self.offered: list[bool] = []
        self.version = 0  # to means and paces so far
        self.updated: set[tuple[int, int]] = set()  # (class, kind) that changed; cleared by candidates
        self.work_ns = 0.0  # mean work of the calls that came under these classes; 0: none yet
        self.configure_classes(first_ns)

    def configure_classes(self, first_ns: Iterable[int], offered: Iterable[bool] = ()) -> None:
        """Take in the classes that have come; those known before keep what was learnt.

        offered: whether calls may still name each class; empty: all.
        """
        fresh = [float(each) for each in first_ns][len(self.mean_ns) :]
        self.mean_ns += fresh
        self.logs += [None] * len(fresh)
        self.offered = list(offered) or [True] * len(self.mean_ns)
        self.work_ns = 0.0

    def record_runtime(self, number: int, kind: int, run_ns: int) -> None:
        """A job of a class has run for so long on a machine of this kind."""
        self.mean_ns[number] += LEARN * (run_ns - self.mean_ns[number])
        mean, (slow, samples) = self.logs[number], self.slowness.get(kind, (0.0, 0))
        error = math.log(run_ns) - slow - (math.log(run_ns) if mean is None else mean)
        self.logs[number] = math.log(run_ns) - slow if mean is None else mean + LEARN * error
        self.updated.add((number, kind))
        self.version += 1
        self.slowness[kind] = slow + error * max(LEARN / 2, 1 / (samples + KIND_SAMPLES)), samples + 1

    def apply_service_time(self, kind: int, service_ms: float, drag: float) -> float:
        """A worker's slowness (logarithm of times its kind's usual) once its report of service time is heard.

        drag: what was known of it before, which weighs as much as the report.  Every dispatcher hears the
        same report, so a slow worker is known at all of them at once, not after each has paid for its own
        attempts there.  Until a kind's usual time rests on KIND_SAMPLES reports the drag stays.  A time
        under 1 ms counts as 1 ms.
        """
        value = math.log(max(1.0, service_ms))
        mean, samples = self.service.get(kind, (value, 0))
        self.service[kind] = mean + (value - mean) * max(LEARN, 1 / (samples + 1)), samples + 1
        return (drag + value - mean) / 2 if samples >= KIND_SAMPLES else drag

    def mean_runtime_ns(self) -> float:
        """Mean running time over the classes that are offered, in ns."""
        means = [mean for mean, offered in zip(self.mean_ns, self.offered, strict=True) if offered]
        return sum(means) / len(means)

    def record_request(self, work_ns: float) -> None:
        """A call has come: its slots times its expected running time, in ns."""
        self.work_ns = self.mean_work_ns()
        self.work_ns += LEARN * (min(work_ns, MAX_SAMPLE * self.work_ns) - self.work_ns)

    def mean_work_ns(self) -> float:
        """Mean work of a call, in ns: of those that have come, else the mean running time."""
        return self.work_ns or self.mean_runtime_ns()

    def relative_runtime(self, kind: int) -> float:
        """How many times longer than on a mean machine jobs run on one of this kind."""
        return math.exp(self.slowness.get(kind, (0.0, 0))[0])

    def uncertainty(self, kind: int) -> float:
        """How many times slower than its pace a kind may be, until that is known: limits must hold before."""
        return 1 + UNKNOWN * KIND_SAMPLES / (self.slowness.get(kind, (0.0, 0))[1] + KIND_SAMPLES)
