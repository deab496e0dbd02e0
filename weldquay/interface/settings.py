"""The settings of a dispatcher and of the classes of its requests."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:  # the module is loaded only if reservations are configured
    from weldquay.reservations.settings import ReservationSettings


class Idempotency(Enum):
    """The effect of executing a request twice.

    IDEMPOTENT: the same as executing it once. IDEMPOTENT_BY_KEY: the same as once at workers that recognise
    its idempotency key. NON_IDEMPOTENT: may differ.
    """

    IDEMPOTENT = "safe"
    IDEMPOTENT_BY_KEY = "keyed"
    NON_IDEMPOTENT = "unsafe"


class DeduplicationScope(Enum):
    """The workers that recognise a repeated attempt by its idempotency key.

    ALL: every worker. ZONE, CELL: the workers in the zone or cell of the first attempt.
    """

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(frozen=True, slots=True)
class JobClass:
    """The settings of a job class.

    Attributes:
        latency_objective_ns: a request that takes no longer than this plus its allowance is on time.
        client_timeout_ns: how long a client waits for an answer.
        idempotency: the effect of executing a request twice.
        deduplication_scope: which workers recognise an idempotency key.
        idempotency_window_ns: how long a key is recognised after its first attempt.
        priority_weight: value of a request that is on time.
        late_weight: value of a late request, as a fraction of that; 0: late requests are rejected.
        runtime_allowance: this multiple of a request's own running time is added to its objective.
        machine_kind: the machine kind that requests need; -1: any.
        streams_response: workers stream their responses.
        is_offered: new requests may name the class; False after a reload has removed it.
    """

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
    is_offered: bool = True


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of a dispatcher.

    Attributes:
        classes: the classes of requests, by number.
        dispatcher_count: number of dispatchers.
        dispatcher_index: index of this one among them, from 0.
        zone: zone of this dispatcher.
        clock_resolution_ns: resolution of the clock.
        polls_endpoint_list: the dispatcher polls discovery; otherwise it receives pushed updates.
        endpoint_list_expires: updates may be missed, so the list may be used only while its lease lasts.
        has_local_discovery_agent: an agent on the same machine serves the list, so polls cost nothing.
        max_poll_delay_ns: maximum delay of a poll after a failed one.
        may_cancel: attempts may be cancelled.
        may_probe: workers may be probed.
        may_message_peers: dispatchers may send each other messages.
        may_hedge: a second attempt may be sent while the first is in flight.
        max_attempts: maximum number of attempts of a request.
        max_retry_after_ns: maximum Retry-After of a rejected request; 0: none is sent.
        progress_interval_ns: interval at which workers report the progress of a request; 0: never.
        reports_start: workers report the start of a request.
        workers_queue_in_order: the first request in a worker's queue blocks the others until it fits.
        connection_idle_timeout_ns: a connection that was idle for this long is not reused.
        reports_in_answers: answers carry load reports.
        reports_in_probes: probe results carry load reports.
        weights_per_work: priority weights apply per nanosecond of work, not per request.
        initial_capacity_fraction: fraction of its capacity that a worker has when it starts.
        slow_start_ns: time until a started worker has its full capacity.
        overload_multiple: a worker that is warming up fails at this multiple of the load that it can process.
        overload_window_ns: time window over which that load is measured.
        probe_cost: cost of a probe, in priority weight.
        cross_zone_cost: cost of an attempt in another zone, in priority weight.
        wasted_work_cost: cost of work whose result goes unused, in priority weight.
        handshake_cost: cost of a new connection, in priority weight.
        reservations: settings of the capacity reservations for large requests; None: no reservations.
    """

    classes: tuple[JobClass, ...]
    dispatcher_count: int = 1
    dispatcher_index: int = 0
    zone: int = 0
    clock_resolution_ns: int = 1_000_000
    polls_endpoint_list: bool = False
    endpoint_list_expires: bool = False
    has_local_discovery_agent: bool = False
    max_poll_delay_ns: int = 10_000_000_000
    may_cancel: bool = False
    may_probe: bool = False
    may_message_peers: bool = False
    may_hedge: bool = False
    max_attempts: int = 1
    max_retry_after_ns: int = 0
    progress_interval_ns: int = 0
    reports_start: bool = False
    workers_queue_in_order: bool = False
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
    reservations: ReservationSettings | None = None
