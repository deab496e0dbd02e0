"""What a dispatcher is told at its start: its classes of jobs and its settings."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:  # its library is loaded only where room is held
    from weldquay.reservations.settings import ReservationSettings


class Idempotency(Enum):
    """What a second run of a job would do."""

    IDEMPOTENT = "safe"
    IDEMPOTENT_BY_KEY = "keyed"
    NON_IDEMPOTENT = "unsafe"


class DeduplicationScope(Enum):
    """The workers that drop the repeats of a keyed job."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(frozen=True, slots=True)
class JobClass:
    """One class of jobs.  In time means within aim_ns plus stretch times the job's own running time."""

    latency_objective_ns: int
    client_timeout_ns: int
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    idempotency_window_ns: int = 0
    priority_weight: float = 1.0
    late_weight: float = 0.0
    runtime_allowance: float = 0.0
    machine_kind: int = -1
    streams_response: bool = False
    is_offered: bool = True  # False: a reload has dropped it, and no call names it any more


@dataclass(frozen=True, slots=True)
class Settings:
    """What a dispatcher is told at its start."""

    classes: tuple[JobClass, ...]
    dispatcher_count: int = 1
    dispatcher_index: int = 0
    zone: int = 0
    clock_resolution_ns: int = 1_000_000
    polls_endpoint_list: bool = False
    endpoint_list_expires: bool = (
        False  # changes may be missed unseen: the list may be acted on for a time only
    )
    has_local_discovery_agent: bool = (
        False  # an agent on the dispatcher's own machine has the list: asking it costs nothing
    )
    max_poll_delay_ns: int = 10_000_000_000
    may_cancel: bool = False
    may_probe: bool = False
    may_message_peers: bool = False
    may_hedge: bool = False
    max_attempts: int = 1
    max_retry_after_ns: int = 0
    progress_interval_ns: int = 0
    reports_start: bool = False
    workers_queue_in_order: bool = (
        False  # a worker's first waiting job waits until it fits, and all others with it
    )
    connection_idle_timeout_ns: int = 15_000_000_000
    reports_in_answers: bool = False
    reports_in_probes: bool = False
    weights_per_work: bool = False
    initial_capacity_fraction: float = 1.0
    slow_start_ns: int = 0
    overload_multiple: float = 1.0
    overload_window_ns: int = 0
    probe_cost: float = 0.0
    cross_zone_cost: float = 0.0
    wasted_work_cost: float = 0.0
    handshake_cost: float = 0.0
    reservations: ReservationSettings | None = None  # how room is held for large jobs; None: not at all
