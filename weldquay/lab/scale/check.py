"""Whether hollow dispatchers do on their sockets what real ones do."""

from __future__ import annotations

from dataclasses import dataclass

from weldquay.errors import OperatorError
from weldquay.lab.scale.fleet import Measurement, Window

# What is compared, by request where requests cause it, else by second; the part by which they may differ.
BY_REQUEST = {
    "attempts": 0.05,
    "attempts_bytes": 0.05,
    "callbacks": 0.05,
    "callbacks_bytes": 0.05,
    "probes": 0.25,
    "probes_bytes": 0.25,
}
BY_SECOND = {"list_lines": 0.02, "list_bytes": 0.02}


STALLED_MS = 400.0  # a window in which a process's loop was so late is no measurement


class MachineStalled(OperatorError):
    """In every window some process of the run stood still."""

    error_code = "machine-stalled"
    remedy = "run it again when the machine has cores to spare"


@dataclass(frozen=True, slots=True)
class Compared:
    """One figure of both."""

    name: str
    real: float
    hollow: float
    allowed: float

    @property
    def differs(self) -> float:
        """By which part of the real one's figure."""
        return abs(self.hollow - self.real) / max(1e-9, self.real)

    @property
    def passed(self) -> bool:
        """True where they agree."""
        return self.differs <= self.allowed


def steady(measurement: Measurement) -> list[Window]:
    """The windows in which no process of the run stood still."""
    return [window for window in measurement.windows if window.figures["late_ms"] < STALLED_MS]


def compare(measurement: Measurement) -> list[Compared]:
    """All figures, over the steady windows of a point; MachineStalled where there is none."""
    if not (windows := steady(measurement)):
        most = max(window.figures["late_ms"] for window in measurement.windows)
        raise MachineStalled(f"a process was {most:.0f} ms late")

    def total(name: str) -> float:
        return sum(window.figures[name] for window in windows) / len(windows)

    found = []
    for name, allowed in BY_REQUEST.items():
        real, hollow = (total(f"{side}.{name}") / total(f"{side}.requests") for side in ("real", "hollow"))
        found.append(Compared(f"{name} a request", real, hollow, allowed))
    for name, allowed in BY_SECOND.items():
        found.append(Compared(f"{name} a second", total(f"real.{name}"), total(f"hollow.{name}"), allowed))
    return found
