"""Compares two configurations: which changes a reload applies, and which need a restart."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Any

from weldquay.config.schema import short_json

MISSING = object()
STARTUP_ONLY = {"seed": "only read at startup", "known": "only read at startup"}
IGNORED = {"origin": "not read by the program"}
LISTS_BY_NAME = {("settings", "services"), ("settings", "customers")}  # their entries are compared by name


class ChangeEffect(Enum):
    """When a change takes effect."""

    RELOAD = "applied on SIGHUP"
    RESTART = "needs a restart"
    NEVER = "no effect"


@dataclass(frozen=True, slots=True)
class Change:
    """One value that differs; `before` or `after` is None if the key is absent there."""

    path: str
    before: str | None
    after: str | None
    effect: ChangeEffect
    remark: str = ""

    def format(self) -> str:
        """Format the change as one line of text."""
        remark = f" ({self.remark})" if self.remark else ""
        if self.before is None:
            change = f"added: {self.after}"
        elif self.after is None:
            change = f"removed, was {self.before}"
        else:
            change = f"{self.before} to {self.after}"
        return f"{self.path}: {change}; {self.effect.value}{remark}"


def changes(before: dict[str, Any], after: dict[str, Any]) -> list[Change]:
    """Return all values that differ, in the order of the older file; added keys come last in their object."""
    result = []
    for key_path, old, new in _differing_values((), before, after):
        effect, remark = _effect_of(key_path, new)
        path = ".".join(str(step) for step in key_path)
        result.append(Change(path, _json_or_none(old), _json_or_none(new), effect, remark))
    return result


def _json_or_none(value: Any) -> str | None:
    return None if value is MISSING else short_json(value)


def _effect_of(key_path: tuple[str | int, ...], new: Any) -> tuple[ChangeEffect, str]:
    first = str(key_path[0])
    if first in IGNORED:
        return ChangeEffect.NEVER, IGNORED[first]
    if first in STARTUP_ONLY:
        return ChangeEffect.RESTART, STARTUP_ONLY[first]
    if first == "settings":
        if key_path[1:2] == ("services",) and len(key_path) == 3:
            if new is MISSING:
                return (
                    ChangeEffect.RELOAD,
                    "requests for it are answered with 404; open jobs keep its settings",
                )
            return ChangeEffect.RELOAD, "requests may name it from then on"
        if key_path[1:2] in (("zones",), ("shapes",)):
            return ChangeEffect.RELOAD, "names may only be added at the end"
        return ChangeEffect.RELOAD, "open jobs keep the settings that they started with" if key_path[1:2] == (
            "services",
        ) else ""
    if first in ("discovery", "room"):
        return ChangeEffect.RELOAD, ""
    return ChangeEffect.RESTART, ""


def _differing_values(
    key_path: tuple[str | int, ...],
    old: Any,
    new: Any,
) -> Iterator[tuple[tuple[str | int, ...], Any, Any]]:
    if isinstance(old, dict) and isinstance(new, dict):
        for key in (*old, *(key for key in new if key not in old)):
            yield from _differing_values((*key_path, key), old.get(key, MISSING), new.get(key, MISSING))
    elif key_path in LISTS_BY_NAME and _all_have_names(old) and _all_have_names(new):
        old_by_name, new_by_name = ({str(row["name"]): row for row in entry} for entry in (old, new))
        yield from _differing_values(key_path, old_by_name, new_by_name)
    elif (type(old) is not type(new) or old != new) and not _same_number(old, new):
        yield key_path, old, new


def _all_have_names(rows: Any) -> bool:
    return isinstance(rows, list) and all(isinstance(row, dict) and "name" in row for row in rows)


def _same_number(old: Any, new: Any) -> bool:
    are_numbers = all(isinstance(entry, int | float) and not isinstance(entry, bool) for entry in (old, new))
    return are_numbers and old == new
