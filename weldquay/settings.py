"""The codec of settings, and the meaning of the fields in a load report.

The simulator sends settings as path=value lines; the configuration file of a real dispatcher has the same
object as nested JSON.  Both become `FlatSettings`.  The keys here are external names.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

from weldquay import interface as api

_IDEMPOTENCY = {
    "retryable": api.Idempotency.IDEMPOTENT,
    "dedup": api.Idempotency.IDEMPOTENT_BY_KEY,
    "fragile": api.Idempotency.NON_IDEMPOTENT,
}
_DEDUPLICATION_SCOPES = {
    "all": api.DeduplicationScope.ALL,
    "zone": api.DeduplicationScope.ZONE,
    "cell": api.DeduplicationScope.CELL,
}


class FlatSettings:
    """Settings by path, with typed look-ups.

    A look-up raises ValueError with the key if the value is malformed, or missing without a default.
    """

    def __init__(self, values: dict[str, str]) -> None:
        self.values = values

    @classmethod
    def from_text(cls, text: str) -> FlatSettings:
        """Settings in the simulator's form: one path=value per line."""
        return cls(dict(line.split("=", 1) for line in text.splitlines() if "=" in line))

    @classmethod
    def from_nested(cls, settings: object) -> FlatSettings:
        """Settings in the form of a configuration file: nested JSON, flattened to the same paths."""
        values: dict[str, str] = {}
        _flatten("", settings, values)
        return cls(values)

    def text(self, key: str, default: str | None = None) -> str:
        """A string."""
        value = self.values.get(key, default)
        if value is None:
            raise ValueError(f"missing setting {key}")
        return value

    def integer(self, key: str, default: int | None = None) -> int:
        """A number without its fraction."""
        number = self.number(key, None if default is None else float(default))
        return int(number)

    def number(self, key: str, default: float | None = None) -> float:
        """A finite number."""
        value = self.text(key, None if default is None else repr(default))
        try:
            number = float(value)
        except ValueError:
            raise ValueError(f"setting {key} is no number: {value!r}") from None
        if not math.isfinite(number):
            raise ValueError(f"setting {key} is not finite: {value!r}")
        return number

    def flag(self, key: str, default: bool = False) -> bool:
        """A boolean: true or false."""
        value = self.text(key, "true" if default else "false")
        if value not in ("true", "false"):
            raise ValueError(f"setting {key} is neither true nor false: {value!r}")
        return value == "true"

    def items(self, key: str) -> list[str]:
        """The items of a comma-separated list; empty if the key is absent."""
        return [item for item in self.text(key, "").split(",") if item]


def _flatten(path: str, value: object, values: dict[str, str]) -> None:
    """Add a nested value to values, with the path and the text that the simulator would use."""
    if isinstance(value, dict):
        for name, item in value.items():
            _flatten(f"{path}.{name}" if path else str(name), item, values)
    elif isinstance(value, list) and any(isinstance(item, dict) for item in value):
        values[f"{path}.count"] = str(len(value))
        for number, item in enumerate(value):
            _flatten(f"{path}.{number}", item, values)
    elif isinstance(value, list):
        values[path] = ",".join(_plain(item) for item in value)
    elif value is not None:
        values[path] = _plain(value)


def _plain(value: object) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value).replace(" ", "_").replace(",", "_")


def decode_settings(flat: FlatSettings) -> tuple[api.Settings, tuple[str, ...]]:
    """The settings, and the meanings of a load report's fields in their order.

    Raises ValueError if a value is missing or malformed.
    """
    count = flat.integer("services.count")
    if count < 1:
        raise ValueError(f"setting services.count names no class: {count}")
    classes = tuple(_job_class(flat, number) for number in range(count))
    return _settings(flat, classes), _report_field_meanings(flat)


def _job_class(flat: FlatSettings, number: int) -> api.JobClass:
    path = f"services.{number}."
    effect = flat.text(path + "effect")
    group = flat.text(path + "group", "all")
    if effect not in _IDEMPOTENCY:
        raise ValueError(f"setting {path}effect is unknown: {effect!r}")
    if group not in _DEDUPLICATION_SCOPES:
        raise ValueError(f"setting {path}group is unknown: {group!r}")
    return api.JobClass(
        latency_objective_ns=flat.integer(path + "aim_ns"),
        client_timeout_ns=flat.integer(path + "give_up_ns"),
        idempotency=_IDEMPOTENCY[effect],
        deduplication_scope=_DEDUPLICATION_SCOPES[group],
        idempotency_window_ns=flat.integer(path + "window_ns", 0),
        priority_weight=flat.number(path + "worth", 1.0),
        late_weight=flat.number(path + "late_value", 0.0),
        runtime_allowance=(
            flat.number(path + "aim_stretch", 0.0)
            + _class_item(flat, "family_info.class_stretch", number, 0.0)
        ),
        machine_kind=int(_class_item(flat, "family_info.class_kind", number, -1)),
        streams_response=flat.flag(path + "stream"),
    )


def _class_item(flat: FlatSettings, key: str, number: int, default: float) -> float:
    """The number of a class in a list with one for each class; the default if the list is shorter."""
    items = flat.items(key)
    if number >= len(items):
        return default
    try:
        return float(items[number])
    except ValueError:
        raise ValueError(f"setting {key} is no number: {items[number]!r}") from None


def load_report(values: Mapping[str, float]) -> api.LoadReport | None:
    """A load report from its numbers by meaning; None if one of them is negative or not finite."""
    if any(not math.isfinite(value) or value < 0.0 for value in values.values()):
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
    """The meanings of a load report's fields; the fields x0 and x1 have theirs in the settings."""
    meanings = {
        "x0": flat.text("family_info.report_x0", "free_slots"),
        "x1": flat.text("family_info.report_x1", "free_memory"),
    }
    return tuple(meanings.get(name, name) for name in flat.items("load_info.fields"))


def _check_dispatcher_index(index: int, count: int) -> None:
    """Raise ValueError unless the index is one of count: turns and subsets are assigned by it."""
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
