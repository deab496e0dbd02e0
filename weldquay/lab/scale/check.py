"""Comparison of the network use of hollow dispatchers with that of real ones."""

from __future__ import annotations

from dataclasses import dataclass

from weldquay.errors import OperatorError
from weldquay.lab.scale.fleet import Measurement, Window

# The compared figures and the relative difference allowed: per request where requests cause them, else per
# second.
PER_REQUEST_TOLERANCES = {
    "attempts": 0.05,
    "attempts_bytes": 0.05,
    "callbacks": 0.05,
    "callbacks_bytes": 0.05,
    "probes": 0.25,
    "probes_bytes": 0.25,
}
PER_SECOND_TOLERANCES = {"list_lines": 0.02, "list_bytes": 0.02}


MAX_LOOP_DELAY_MS = 400.0  # a window in which an event loop ran this late is void


class MachineStalled(OperatorError):
    """In every window a process of the run was stalled."""

    error_code = "machine-stalled"
    remedy = "run it again when the machine has spare cores"


@dataclass(frozen=True, slots=True)
class Comparison:
    """One figure of real and of hollow dispatchers."""

    name: str
    real: float
    hollow: float
    allowed: float

    @property
    def relative_difference(self) -> float:
        """Return the difference as a fraction of the real dispatchers' figure."""
        return abs(self.hollow - self.real) / max(1e-9, self.real)

    @property
    def passed(self) -> bool:
        """Return True if the difference is within the tolerance."""
        return self.relative_difference <= self.allowed


def steady_windows(measurement: Measurement) -> list[Window]:
    """Return the windows in which no process of the run was stalled."""
    return [window for window in measurement.windows if window.figures["late_ms"] < MAX_LOOP_DELAY_MS]


def compare(measurement: Measurement) -> list[Comparison]:
    """Compare all figures, averaged over the steady windows of a point.

    Raises:
        MachineStalled: there is no steady window.
    """
    if not (windows := steady_windows(measurement)):
        max_delay_ms = max(window.figures["late_ms"] for window in measurement.windows)
        raise MachineStalled(f"the event loop of a process ran {max_delay_ms:.0f} ms late")

    def mean(name: str) -> float:
        return sum(window.figures[name] for window in windows) / len(windows)

    comparisons = []
    for name, allowed in PER_REQUEST_TOLERANCES.items():
        real, hollow = (mean(f"{side}.{name}") / mean(f"{side}.requests") for side in ("real", "hollow"))
        comparisons.append(Comparison(f"{name} per request", real, hollow, allowed))
    for name, allowed in PER_SECOND_TOLERANCES.items():
        comparisons.append(
            Comparison(f"{name} per second", mean(f"real.{name}"), mean(f"hollow.{name}"), allowed)
        )
    return comparisons
