"""Decodes settings and load reports.

The simulator sends settings as path=value lines; the configuration file of a real dispatcher holds the same
settings as nested JSON.  Both are converted to `FlatSettings`.  The keys are external names.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

from weldquay import interface as api
from weldquay.limits import MAX_REPORT_VALUE

IDEMPOTENCY_BY_EFFECT = {
    "retryable": api.Idempotency.IDEMPOTENT,
    "dedup": api.Idempotency.IDEMPOTENT_BY_KEY,
    "fragile": api.Idempotency.NON_IDEMPOTENT,
}
SCOPES_BY_GROUP = {
    "all": api.DeduplicationScope.ALL,
    "zone": api.DeduplicationScope.ZONE,
    "cell": api.DeduplicationScope.CELL,
}


class FlatSettings:
    """Settings by dotted path, with typed accessors.

    An accessor raises ValueError with the key if the value is malformed, or if it is missing and the accessor
    has no default.
    """

    def __init__(self, values: dict[str, str]) -> None:
        self.values = values

    @classmethod
    def from_text(cls, text: str) -> FlatSettings:
        """Parse the simulator's format: one path=value per line."""
        return cls(dict(line.split("=", 1) for line in text.splitlines() if "=" in line))

    @classmethod
    def from_nested(cls, settings: object) -> FlatSettings:
        """Flatten the nested JSON of a configuration file to the same paths."""
        values: dict[str, str] = {}
        _flatten("", settings, values)
        return cls(values)

    def text(self, key: str, default: str | None = None) -> str:
        """Return a value as a string."""
        value = self.values.get(key, default)
        if value is None:
            raise ValueError(f"missing setting {key}")
        return value

    def integer(self, key: str, default: int | None = None) -> int:
        """Return a number truncated to an integer."""
        number = self.number(key, None if default is None else float(default))
        return int(number)

    def number(self, key: str, default: float | None = None) -> float:
        """Return a finite number."""
        value = self.text(key, None if default is None else repr(default))
        try:
            number = float(value)
        except ValueError:
            raise ValueError(f"setting {key} is not a number: {value!r}") from None
        if not math.isfinite(number):
            raise ValueError(f"setting {key} is not finite: {value!r}")
        return number

    def flag(self, key: str, default: bool = False) -> bool:
        """Return a boolean, written `true` or `false`."""
        value = self.text(key, "true" if default else "false")
        if value not in ("true", "false"):
            raise ValueError(f"setting {key} is neither true nor false: {value!r}")
        return value == "true"

    def items(self, key: str) -> list[str]:
        """Return the items of a comma-separated list; empty if the key is absent."""
        return [item for item in self.text(key, "").split(",") if item]


def _flatten(path: str, value: object, values: dict[str, str]) -> None:
    """Add a nested value to `values` in the simulator's format: dotted paths and plain text."""
    if isinstance(value, dict):
        for name, item in value.items():
            _flatten(f"{path}.{name}" if path else str(name), item, values)
    elif isinstance(value, list) and any(isinstance(item, dict) for item in value):
        values[f"{path}.count"] = str(len(value))
        for index, item in enumerate(value):
            _flatten(f"{path}.{index}", item, values)
    elif isinstance(value, list):
        values[path] = ",".join(_scalar_text(item) for item in value)
    elif value is not None:
        values[path] = _scalar_text(value)


def _scalar_text(value: object) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value).replace(" ", "_").replace(",", "_")


def decode_settings(flat: FlatSettings) -> tuple[api.Settings, tuple[str, ...]]:
    """Return the settings, and what each field of a load report means, in the order of the fields.

    Raises ValueError if a value is missing or malformed.
    """
    count = flat.integer("services.count")
    if count < 1:
        raise ValueError(f"setting services.count must be at least 1: {count}")
    classes = tuple(_job_class(flat, index) for index in range(count))
    return _settings(flat, classes), _report_field_meanings(flat)


def _job_class(flat: FlatSettings, index: int) -> api.JobClass:
    path = f"services.{index}."
    effect = flat.text(path + "effect")
    group = flat.text(path + "group", "all")
    if effect not in IDEMPOTENCY_BY_EFFECT:
        raise ValueError(f"setting {path}effect is unknown: {effect!r}")
    if group not in SCOPES_BY_GROUP:
        raise ValueError(f"setting {path}group is unknown: {group!r}")
    return api.JobClass(
        latency_objective_ns=flat.integer(path + "aim_ns"),
        client_timeout_ns=flat.integer(path + "give_up_ns"),
        idempotency=IDEMPOTENCY_BY_EFFECT[effect],
        deduplication_scope=SCOPES_BY_GROUP[group],
        idempotency_window_ns=flat.integer(path + "window_ns", 0),
        priority_weight=flat.number(path + "worth", 1.0),
        late_weight=flat.number(path + "late_value", 0.0),
        runtime_allowance=(
            flat.number(path + "aim_stretch", 0.0)
            + _class_item(flat, "family_info.class_stretch", index, 0.0)
        ),
        machine_kind=int(_class_item(flat, "family_info.class_kind", index, -1)),
        streams_response=flat.flag(path + "stream"),
    )


def _class_item(flat: FlatSettings, key: str, index: int, default: float) -> float:
    """Return one class's value from a list with a value per class, or the default if the list is shorter."""
    items = flat.items(key)
    if index >= len(items):
        return default
    try:
        return float(items[index])
    except ValueError:
        raise ValueError(f"setting {key} is not a number: {items[index]!r}") from None


def load_report(values: Mapping[str, float]) -> api.LoadReport | None:
    """Build a load report from values by meaning; None if one of them is out of range."""
    if any(not 0.0 <= value <= MAX_REPORT_VALUE for value in values.values()):
        return None
    return api.LoadReport(
        values.get("free_slots"),
        values.get("free_memory"),
        values.get("busy_reqs"),
        values.get("pending"),
        values.get("cpu_share"),
        values.get("svc_ms"),
    )


def _report_field_meanings(flat: FlatSettings) -> tuple[str, ...]:
    """Return what each field of a load report means; for x0 and x1 the settings say it."""
    meanings = {
        "x0": flat.text("family_info.report_x0", "free_slots"),
        "x1": flat.text("family_info.report_x1", "free_memory"),
    }
    return tuple(meanings.get(name, name) for name in flat.items("load_info.fields"))


def _check_dispatcher_index(index: int, count: int) -> None:
    """Raise ValueError unless 0 <= index < count, as turns and subsets are assigned by the index."""
    if not 0 <= index < count:
        raise ValueError(f"setting me is not among the {count} dispatchers of group_size: {index}")


def _settings(flat: FlatSettings, classes: tuple[api.JobClass, ...]) -> api.Settings:
    via = flat.text("load_info.via", "off")
    dispatcher_count = max(1, flat.integer("group_size", 1))
    dispatcher_index = flat.integer("me", 0)
    _check_dispatcher_index(dispatcher_index, dispatcher_count)
    return api.Settings(
        classes=classes,
        dispatcher_count=dispatcher_count,
        dispatcher_index=dispatcher_index,
        zone=flat.integer("zone", 0),
        clock_resolution_ns=flat.integer("granularity_ns", 1_000_000),
        polls_endpoint_list=flat.text("discovery", "push") == "ask",
        max_poll_delay_ns=flat.integer("safety.ask_within_ns", 10_000_000_000),
        may_cancel=flat.flag("caps.cancel"),
        may_probe=flat.flag("caps.probes"),
        may_message_peers=flat.flag("caps.peers"),
        may_hedge=flat.flag("caps.may_duplicate"),
        max_attempts=max(1, flat.integer("caps.max_attempts", 1)),
        max_retry_after_ns=(
            flat.integer("caps.max_retry_after_ns", 0) if flat.flag("caps.retry_after") else 0
        ),
        progress_interval_ns=flat.integer("family_info.progress_ns", 0),
        connection_idle_timeout_ns=flat.integer("caps.conn_idle_ns", 15_000_000_000),
        reports_start=flat.flag("family_info.tells_start"),
        workers_queue_in_order=flat.text("family_info.queue_order", "") == "fifo",
        reports_in_answers=via == "inline",
        reports_in_probes=via in ("inline", "on_probe"),
        weights_per_work=flat.text("worth_by", "request") == "work",
        initial_capacity_fraction=flat.number("safety.cold_share"),
        slow_start_ns=flat.integer("safety.warm_after_ns"),
        overload_multiple=flat.number("safety.fall_multiple"),
        overload_window_ns=flat.integer("safety.overload_for_ns"),
        probe_cost=flat.number("tariffs.probe", 0.0),
        cross_zone_cost=flat.number("tariffs.cross_zone", 0.0),
        handshake_cost=flat.number("tariffs.handshake", 0.0),
        wasted_work_cost=flat.number("tariffs.waste", 0.0),
    )
