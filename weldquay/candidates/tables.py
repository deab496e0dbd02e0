"""What the index of candidates reads of the decision module, and the module's figures for it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from weldquay.estimators.runtime import Running
from weldquay.interface import Settings
from weldquay.ledger.records import Job, Worker
from weldquay.planning.planner import Planner


class Tables(Protocol):
    """What the index reads of the decision module's tables."""

    now_ns: int
    settings: Settings
    held: dict[int, Job]
    workers: dict[int, Worker]
    ready: list[Worker]
    home: list[Worker]
    back: set[int]
    news: dict[int, Worker]
    planner: Planner
    running: Running
    usual_size: float


@dataclass(frozen=True, slots=True)
class Limits:
    """Figures of the decision module.

    fresh_ns: age up to which a report is fresh; start_ns: an attempt that has not told its start by then
    tells of a queue; cover_ns: added on both sides where running times are compared; slow: logarithm of how
    many times slower than its kind leaves a worker out; doubt: errors above it make a worker unfit for some
    jobs.
    """

    fresh_ns: int
    start_ns: int
    cover_ns: int
    slow: float
    doubt: float
