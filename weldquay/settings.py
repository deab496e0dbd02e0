"""Settings as both programs are told them, and what the fields of a load report mean.

The simulator gives path=value lines, a real dispatcher's configuration the same object as nested JSON.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

from weldquay import interface as api

_EFFECTS = {
    "retryable": api.Idempotency.IDEMPOTENT,
    "dedup": api.Idempotency.IDEMPOTENT_BY_KEY,
    "fragile": api.Idempotency.NON_IDEMPOTENT,
}
_GROUPS = {
    "all": api.DeduplicationScope.ALL,
    "zone": api.DeduplicationScope.ZONE,
    "cell": api.DeduplicationScope.CELL,
}


class Pairs:
    """Typed look-ups in path=value lines; a malformed or missing value raises ValueError naming the key."""

    def __init__(self, values: dict[str, str]) -> None:
        self.values = values

    @classmethod
    def from_text(cls, text: str) -> Pairs:
        """The simulator's form: one path=value a line."""
        return cls(dict(line.split("=", 1) for line in text.splitlines() if "=" in line))

    @classmethod
    def from_nested(cls, settings: object) -> Pairs:
        """The form of a real dispatcher's configuration: nested JSON, flattened to the same paths."""
        values: dict[str, str] = {}
        _flatten("", settings, values)
        return cls(values)

    def text(self, key: str, default: str | None = None) -> str:
        """A plain value."""
        value = self.values.get(key, default)
        if value is None:
            raise ValueError(f"missing setting {key}")
        return value

    def whole(self, key: str, default: int | None = None) -> int:
        """A whole number, not negative but for -1 (any)."""
        number = self.real(key, None if default is None else float(default))
        return int(number)

    def real(self, key: str, default: float | None = None) -> float:
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
        """true or false."""
        value = self.text(key, "true" if default else "false")
        if value not in ("true", "false"):
            raise ValueError(f"setting {key} is neither true nor false: {value!r}")
        return value == "true"

    def items(self, key: str) -> list[str]:
        """A comma list; empty where absent."""
        return [part for part in self.text(key, "").split(",") if part]


def _flatten(path: str, value: object, values: dict[str, str]) -> None:
    """Book a nested value under its path, as the simulator's text would name and write it."""
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


def decode_settings(pairs: Pairs) -> tuple[api.Settings, tuple[str, ...]]:
    """Settings and what the load report's fields mean, in order."""
    count = pairs.whole("services.count")
    if count < 1:
        raise ValueError(f"setting services.count names no class: {count}")
    stretches, kinds = pairs.items("family_info.class_stretch"), pairs.items("family_info.class_kind")
    classes = []
    for number in range(count):
        at = f"services.{number}."
        effect, group = pairs.text(at + "effect"), pairs.text(at + "group", "all")
        if effect not in _EFFECTS:
            raise ValueError(f"setting {at}effect is unknown: {effect!r}")
        if group not in _GROUPS:
            raise ValueError(f"setting {at}group is unknown: {group!r}")
        classes.append(
            api.JobClass(
                latency_objective_ns=pairs.whole(at + "aim_ns"),
                client_timeout_ns=pairs.whole(at + "give_up_ns"),
                idempotency=_EFFECTS[effect],
                deduplication_scope=_GROUPS[group],
                idempotency_window_ns=pairs.whole(at + "window_ns", 0),
                priority_weight=pairs.real(at + "worth", 1.0),
                late_weight=pairs.real(at + "late_value", 0.0),
                runtime_allowance=pairs.real(at + "aim_stretch", 0.0)
                + (_listed("family_info.class_stretch", stretches, number, 0.0)),
                machine_kind=int(_listed("family_info.class_kind", kinds, number, -1)),
                streams_response=pairs.flag(at + "stream"),
            )
        )
    return _settings(pairs, tuple(classes)), _field_names(pairs)


def _listed(key: str, values: list[str], number: int, default: float) -> float:
    if number >= len(values):
        return default
    try:
        return float(values[number])
    except ValueError:
        raise ValueError(f"setting {key} is no number: {values[number]!r}") from None


def load_report(values: Mapping[str, float]) -> api.LoadReport | None:
    """A load report from figures by meaning, or None where one of them is negative or not finite."""
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


def _field_names(pairs: Pairs) -> tuple[str, ...]:
    meaning = {
        "x0": pairs.text("family_info.report_x0", "free_slots"),
        "x1": pairs.text("family_info.report_x1", "free_memory"),
    }
    return tuple(meaning.get(name, name) for name in pairs.items("load_info.fields"))


def _place(pairs: Pairs) -> tuple[int, int]:
    """How many dispatchers there are, and which of them this is."""
    dispatchers, me = max(1, pairs.whole("group_size", 1)), pairs.whole("me", 0)
    if not 0 <= me < dispatchers:  # turns and subsets are dealt out by it: twice the same, or never
        raise ValueError(f"setting me is not among the {dispatchers} dispatchers of group_size: {me}")
    return dispatchers, me


def _settings(pairs: Pairs, classes: tuple[api.JobClass, ...]) -> api.Settings:
    via = pairs.text("load_info.via", "off")
    dispatchers, me = _place(pairs)
    return api.Settings(
        classes=classes,
        dispatcher_count=dispatchers,
        dispatcher_index=me,
        zone=pairs.whole("zone", 0),
        clock_resolution_ns=pairs.whole("granularity_ns", 1_000_000),
        polls_endpoint_list=pairs.text("discovery", "push") == "ask",
        max_poll_delay_ns=pairs.whole("safety.ask_within_ns", 10_000_000_000),
        may_cancel=pairs.flag("caps.cancel"),
        may_probe=pairs.flag("caps.probes"),
        may_message_peers=pairs.flag("caps.peers"),
        may_hedge=pairs.flag("caps.may_duplicate"),
        max_attempts=max(1, pairs.whole("caps.max_attempts", 1)),
        max_retry_after_ns=(
            pairs.whole("caps.max_retry_after_ns", 0) if pairs.flag("caps.retry_after") else 0
        ),
        progress_interval_ns=pairs.whole("family_info.progress_ns", 0),
        connection_idle_timeout_ns=pairs.whole("caps.conn_idle_ns", 15_000_000_000),
        reports_start=pairs.flag("family_info.tells_start"),
        workers_queue_in_order=pairs.text("family_info.queue_order", "") == "fifo",
        reports_in_answers=via == "inline",
        reports_in_probes=via in ("inline", "on_probe"),
        weights_per_work=pairs.text("worth_by", "request") == "work",
        initial_capacity_fraction=pairs.real("safety.cold_share"),
        slow_start_ns=pairs.whole("safety.warm_after_ns"),
        overload_multiple=pairs.real("safety.fall_multiple"),
        overload_window_ns=pairs.whole("safety.overload_for_ns"),
        probe_cost=pairs.real("tariffs.probe", 0.0),
        cross_zone_cost=pairs.real("tariffs.cross_zone", 0.0),
        handshake_cost=pairs.real("tariffs.handshake", 0.0),
        wasted_work_cost=pairs.real("tariffs.waste", 0.0),
    )
