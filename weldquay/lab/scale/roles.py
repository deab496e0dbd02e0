"""The load of each role in the users' fleet: a measured slope or level times a count."""

from __future__ import annotations

from dataclasses import dataclass

from weldquay.lab.scale.budget import ProcessCost, fit_process_cost
from weldquay.lab.scale.fleet import Measurement
from weldquay.lab.scale.results import Figure, Result, summarize_windows
from weldquay.lab.scale.targets import (
    DISPATCHERS,
    FLEET_REQUESTS_PER_S,
    LIST_CHANGES_PER_S,
    REQUESTS_PER_S,
    WORKERS,
    Line,
    TableRow,
    find_line,
    find_point,
)

HEARTBEATS_PER_S = 0.5  # empty lines per second on each watch
AT_FULL_SIZE = f"measured with {DISPATCHERS} dispatchers, {WORKERS:,} workers"


@dataclass(frozen=True, slots=True)
class Loads:
    """The measured loads that the rows are computed from."""

    full_size: Measurement  # with all dispatchers and workers of the users' fleet
    many_dispatchers: Measurement  # with all dispatchers of the users' fleet, but only 100 workers
    process: ProcessCost
    attempts_per_request: float
    callbacks_per_request: float
    memory_kb: Line  # memory of a dispatcher by the number of listed workers
    bytes_per_change: float
    discovery_us_per_dispatcher: float  # processor time of discovery per second

    def at_full_size(self, name: str) -> float:
        """Return the median of a figure measured at the size of the users' fleet."""
        return summarize_windows(self.full_size, name).median

    @property
    def list_lines_per_s(self) -> float:
        """Return the lines of the list that a dispatcher receives per second."""
        return HEARTBEATS_PER_S + LIST_CHANGES_PER_S


def role_rows(result: Result) -> list[TableRow]:
    """Return the rows of all roles, or none if a part was not measured."""
    if (loads := _find_loads(result)) is None:
        return []
    return [*_dispatcher_rows(loads), *_discovery_rows(loads), *_worker_rows(loads)]


def _find_loads(result: Result) -> Loads | None:
    full_size, process = find_point(result, "whole", "workers", WORKERS), fit_process_cost(result)
    many_dispatchers = find_point(result, "dispatchers", "dispatchers", DISPATCHERS)
    changes = find_line(result, "list, bytes")
    if full_size is None or process is None or many_dispatchers is None or changes is None:
        return None
    attempts, callbacks = (find_line(result, f"{name}s per request") for name in ("attempt", "callback"))
    memory_kb, discovery = find_line(result, "memory per listed"), find_line(result, "discovery: processor")
    assert memory_kb is not None and discovery is not None
    return Loads(
        full_size,
        many_dispatchers,
        process,
        attempts_per_request=attempts.slope if attempts else 0.0,
        callbacks_per_request=callbacks.slope if callbacks else 0.0,
        memory_kb=memory_kb,
        bytes_per_change=changes.slope,
        discovery_us_per_dispatcher=discovery.slope,
    )


def _dispatcher_rows(loads: Loads) -> list[TableRow]:
    probes = loads.at_full_size("real.probes")
    memory = loads.memory_kb
    rate = f"per request x {REQUESTS_PER_S:.1f}/s"
    return [
        [
            "dispatcher",
            "attempts",
            f"{loads.attempts_per_request:.2f} {rate}",
            f"{loads.attempts_per_request * REQUESTS_PER_S:.1f}/s",
        ],
        [
            "",
            "callbacks",
            f"{loads.callbacks_per_request:.2f} {rate}",
            f"{loads.callbacks_per_request * REQUESTS_PER_S:.1f}/s",
        ],
        ["", "probes", AT_FULL_SIZE, f"{probes:.1f}/s"],
        [
            "",
            "list",
            f"{HEARTBEATS_PER_S:g} empty lines/s + {LIST_CHANGES_PER_S:.4f} changes/s",
            f"{loads.list_lines_per_s:.2f} lines/s",
        ],
        _cpu_row("processor time, requests without their probes", loads.process.request_us, REQUESTS_PER_S),
        _cpu_row("processor time, probes", loads.process.probe_us, probes),
        [
            "",
            "memory",
            f"{memory.base / 1024:.1f} MB + {memory.slope:.2f} KB x {WORKERS:,} workers",
            f"{(memory.base + memory.slope * WORKERS) / 1024:.1f} MB",
        ],
        ["", "descriptors", AT_FULL_SIZE, f"{loads.at_full_size('dispatcher.descriptors'):.0f}"],
    ]


def _cpu_row(name: str, cost_us: Figure, rate: float) -> TableRow:
    text = f"{cost_us.median:,.0f} us ({cost_us.minimum:,.0f} to {cost_us.maximum:,.0f}) x {rate:.1f}/s"
    return ["", name, text, f"{cost_us.median * rate / 1e6:.1%} of a core"]


def _discovery_rows(loads: Loads) -> list[TableRow]:
    lines_per_s = loads.list_lines_per_s
    list_bytes = loads.full_size.started_lists["real"]
    return [
        ["discovery", "watches, descriptors", f"1 x {DISPATCHERS}", f"{DISPATCHERS}"],
        ["", "lines", f"{lines_per_s:.2f}/s x {DISPATCHERS}", f"{lines_per_s * DISPATCHERS:.0f}/s"],
        [
            "",
            "bytes of changes",
            f"{loads.bytes_per_change:.0f} B x {LIST_CHANGES_PER_S:.4f}/s x {DISPATCHERS}",
            f"{loads.bytes_per_change * LIST_CHANGES_PER_S * DISPATCHERS:,.0f} B/s",
        ],
        [
            "",
            "bytes, all dispatchers fetch the whole list",
            f"{list_bytes / WORKERS:.0f} B x {WORKERS:,} workers x {DISPATCHERS}",
            f"{list_bytes * DISPATCHERS / 2**20:.0f} MB",
        ],
        [
            "",
            "processor time of the stand-in, 1 change/s",
            f"{loads.discovery_us_per_dispatcher:.0f} us x {DISPATCHERS}",
            f"{loads.discovery_us_per_dispatcher * DISPATCHERS / 1e6:.1%} of a core",
        ],
    ]


def _worker_rows(loads: Loads) -> list[TableRow]:
    probes, connections = loads.at_full_size("real.probes"), loads.at_full_size("real.open")
    small_fleet_connections = summarize_windows(loads.many_dispatchers, "worker.connections").median
    return [
        [
            "worker",
            "attempts",
            f"{FLEET_REQUESTS_PER_S:,.0f}/s / {WORKERS:,}",
            f"{FLEET_REQUESTS_PER_S * loads.attempts_per_request / WORKERS:.1f}/s",
        ],
        [
            "",
            "callbacks sent",
            f"{loads.callbacks_per_request:.2f} x",
            f"{FLEET_REQUESTS_PER_S * loads.callbacks_per_request / WORKERS:.1f}/s",
        ],
        [
            "",
            "probes",
            f"{probes:.1f}/s x {DISPATCHERS} / {WORKERS:,}",
            f"{probes * DISPATCHERS / WORKERS:.1f}/s",
        ],
        [
            "",
            "connections from dispatchers",
            f"{connections:.1f} per dispatcher x {DISPATCHERS} / {WORKERS:,}",
            f"{connections * DISPATCHERS / WORKERS:.1f}",
        ],
        [
            "",
            "the same with 100 workers, 1 request/s per dispatcher",
            f"measured at {DISPATCHERS} dispatchers",
            f"{small_fleet_connections:.1f}",
        ],
    ]
