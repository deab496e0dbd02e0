"""The differences of two configurations: which a reload applies, and which need a new start."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Any

from weldquay.config.schema import short_json

MISSING = object()
START_ONLY = {"seed": "used at a start only", "known": "used at a start only"}
UNREAD = {"origin": "not read by the program"}
LISTS_BY_NAME = {("settings", "services"), ("settings", "customers")}  # lists whose entries go by their names


class Taken(Enum):
    """When a change takes effect."""

    RELOAD = "at SIGHUP"
    START = "needs a new start"
    NEVER = "no effect"


@dataclass(frozen=True, slots=True)
class Change:
    """One value that differs; before or after is None where the key is not there."""

    path: str
    before: str | None
    after: str | None
    taken: Taken
    remark: str = ""

    def line(self) -> str:
        """Return the change as one line of text."""
        remark = f" ({self.remark})" if self.remark else ""
        if self.before is None:
            what = f"added: {self.after}"
        elif self.after is None:
            what = f"gone, it was {self.before}"
        else:
            what = f"{self.before} to {self.after}"
        return f"{self.path}: {what}; {self.taken.value}{remark}"


def changes(before: dict[str, Any], after: dict[str, Any]) -> list[Change]:
    """Return all values that differ, in the order of the older file, then of the newer."""
    found = []
    for steps, old, new in _differ((), before, after):
        taken, remark = _effect(steps, new)
        path = ".".join(str(step) for step in steps)
        found.append(Change(path, _text(old), _text(new), taken, remark))
    return found


def _text(value: Any) -> str | None:
    return None if value is MISSING else short_json(value)


def _effect(steps: tuple[str | int, ...], new: Any) -> tuple[Taken, str]:
    first = str(steps[0])
    if first in UNREAD:
        return Taken.NEVER, UNREAD[first]
    if first in START_ONLY:
        return Taken.START, START_ONLY[first]
    if first == "settings":
        if steps[1:2] == ("services",) and len(steps) == 3:
            if new is MISSING:
                return Taken.RELOAD, "calls for it are answered 404; open jobs keep its rules"
            return Taken.RELOAD, "calls may name it from then on"
        if steps[1:2] in (("zones",), ("shapes",)):
            return Taken.RELOAD, "names may be added behind the others only"
        return Taken.RELOAD, "open jobs keep the rules they came with" if steps[1:2] == ("services",) else ""
    if first in ("discovery", "room"):
        return Taken.RELOAD, ""
    return Taken.START, ""


def _differ(
    steps: tuple[str | int, ...],
    old: Any,
    new: Any,
) -> Iterator[tuple[tuple[str | int, ...], Any, Any]]:
    if isinstance(old, dict) and isinstance(new, dict):
        for key in (*old, *(key for key in new if key not in old)):
            yield from _differ((*steps, key), old.get(key, MISSING), new.get(key, MISSING))
    elif steps in LISTS_BY_NAME and _named(old) and _named(new):
        rows, others = ({str(row["name"]): row for row in entry} for entry in (old, new))
        yield from _differ(steps, rows, others)
    elif (type(old) is not type(new) or old != new) and not _same_number(old, new):
        yield steps, old, new


def _named(rows: Any) -> bool:
    return isinstance(rows, list) and all(isinstance(row, dict) and "name" in row for row in rows)


def _same_number(old: Any, new: Any) -> bool:
    numbers = all(isinstance(entry, int | float) and not isinstance(entry, bool) for entry in (old, new))
    return numbers and old == new
