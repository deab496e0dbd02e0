"""What a dispatcher is told at its start: its classes of jobs and its settings."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:  # its library is loaded only where room is held
    from weldquay.planning.figures import Figures


class Effect(Enum):
    """What a second run of a job would do."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Group(Enum):
    """The workers that drop the repeats of a keyed job."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(frozen=True, slots=True)
class JobClass:
    """One class of jobs.  In time means within aim_ns plus stretch times the job's own running time."""

    aim_ns: int
    give_up_ns: int
    effect: Effect
    group: Group = Group.ALL
    window_ns: int = 0
    worth: float = 1.0
    late_value: float = 0.0
    stretch: float = 0.0
    kind: int = -1
    stream: bool = False
    offered: bool = True  # False: a reload has dropped it, and no call names it any more


@dataclass(frozen=True, slots=True)
class Settings:
    """What a dispatcher is told at its start."""

    classes: tuple[JobClass, ...]
    dispatchers: int = 1
    me: int = 0
    zone: int = 0
    tick_ns: int = 1_000_000
    asks_list: bool = False
    list_expires: bool = False  # changes may be missed unseen: the list may be acted on for a time only
    list_near: bool = False  # an agent on the dispatcher's own machine has the list: asking it costs nothing
    ask_within_ns: int = 10_000_000_000
    may_cancel: bool = False
    may_probe: bool = False
    may_tell: bool = False
    may_duplicate: bool = False
    max_attempts: int = 1
    max_retry_after_ns: int = 0
    progress_ns: int = 0
    tells_start: bool = False
    queue_in_order: bool = False  # a worker's first waiting job waits until it fits, and all others with it
    conn_idle_ns: int = 15_000_000_000
    reports_in_answers: bool = False
    reports_in_probes: bool = False
    worth_by_work: bool = False
    cold_share: float = 1.0
    warm_after_ns: int = 0
    fall_multiple: float = 1.0
    overload_for_ns: int = 0
    probe_price: float = 0.0
    cross_zone_price: float = 0.0
    waste_price: float = 0.0
    handshake_price: float = 0.0
    room: Figures | None = None  # how room is held for large jobs; None: not at all
