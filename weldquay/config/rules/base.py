"""The type of a rule, the table of all rules, and the document that they check."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Any

from weldquay.config.catalogue import Catalogue, Kind, fold, near
from weldquay.config.reading import Steps


class Level(Enum):
    """Whether a violation of a rule is an error."""

    ALWAYS = "always"  # an error, and the program refuses it
    SITE = "site"  # an error where a catalogue is named, for the program as well; else a warning
    ADVICE = "advice"  # a warning


@dataclass(frozen=True, slots=True)
class CheckContext:
    """The document that is checked: the decoded object, and the site's catalogue if there is one."""

    document: dict[str, Any]
    catalogue: Catalogue | None = None
    sidecar: bool = False  # it is to run beside one application

    @property
    def settings(self) -> dict[str, Any]:
        """The settings, or none where they are no object."""
        return self.group("settings")

    def group(self, *steps: str) -> dict[str, Any]:
        """An object at a place; empty where there is none."""
        inner: Any = self.document
        for step in steps:
            inner = inner.get(step) if isinstance(inner, dict) else None
        return inner if isinstance(inner, dict) else {}

    def rows(self, name: str) -> list[tuple[int, dict[str, Any]]]:
        """The objects of a list in the settings, with their positions."""
        rows = self.settings.get(name)
        rows = rows if isinstance(rows, list) else []
        return [(number, row) for number, row in enumerate(rows) if isinstance(row, dict)]

    def named(self, name: str) -> list[tuple[int, str]]:
        """The names in a list of the settings, with their positions; what has no name is left out."""
        return [(number, row["name"]) for number, row in self.rows(name) if isinstance(row.get("name"), str)]

    def figures(self, name: str, key: str) -> list[float]:
        """The figures under one key in a list of the settings; rows without one are left out."""
        value = (figure(row.get(key)) for _, row in self.rows(name))
        return [entry for entry in value if entry is not None]

    def jobs(self) -> Iterator[tuple[int, dict[str, Any], Kind]]:
        """The classes that the catalogue knows, with their positions and what it says of them."""
        assert self.catalogue is not None
        for number, row in self.rows("services"):
            if (kind := self.catalogue.kind(str(row.get("name", "")))) is not None:
                yield number, row, kind

    def misspelt(self, name: str, known: list[str]) -> Iterator[tuple[int, str, str]]:
        """Yield misspelt names in a list of the settings: position, name, the known name."""
        for number, row in self.rows(name):
            value = str(row.get("name", ""))
            if other := meant(value, known):
                yield number, value, other

    def number(self, *steps: str, default: float | None = None) -> float | None:
        """A figure at a place; the default where there is none, or no figure."""
        value = self.group(*steps[:-1]).get(steps[-1], default)
        return figure(value, default)


def figure(value: Any, default: float | None = None) -> float | None:
    """Return a number as a float, or the default where the value is none."""
    return float(value) if isinstance(value, int | float) and not isinstance(value, bool) else default


@dataclass(frozen=True, slots=True)
class Finding:
    """A violation of a rule: where it is, why it matters, and what to write."""

    rule: str
    error: bool
    steps: Steps
    text: str
    line: int = 0
    column: int = 0

    @property
    def path(self) -> str:
        """The path of the value as text."""
        return ".".join(str(step) for step in self.steps) or "(file)"


Findings = Iterator[tuple[Steps, str]]


@dataclass(frozen=True, slots=True)
class Rule:
    """A rule with its explanation; bad and good are pieces of a configuration."""

    id: str
    level: Level
    title: str
    why: str
    bad: str
    good: str
    check: Callable[[CheckContext], Findings] | None  # None: found while the file is read
    needs_catalogue: bool = False  # it needs a catalogue


RULES: dict[str, Rule] = {}


def rule(  # noqa: PLR0913  # the columns of the table of rules, by keyword
    number: str,
    level: Level,
    title: str,
    *,
    why: str,
    bad: str,
    good: str,
    needs_catalogue: bool = False,
) -> Callable[[Callable[[CheckContext], Findings]], Callable[[CheckContext], Findings]]:
    """Return a decorator that adds the function to the table of rules."""

    def register(check: Callable[[CheckContext], Findings]) -> Callable[[CheckContext], Findings]:
        add(Rule(number, level, title, why, bad, good, check, needs_catalogue))
        return check

    return register


def add(new_rule: Rule) -> None:
    """Add a rule to the table.

    Raises:
        ValueError: another rule has this id.
    """
    if new_rule.id in RULES:
        raise ValueError(f"two rules have the id {new_rule.id}")
    RULES[new_rule.id] = new_rule


def meant(name: str, known: list[str]) -> str:
    """Return the known name that a misspelt name probably means; empty if there is none."""
    same = (entry for entry in known if fold(entry) == fold(name) and entry != name)
    return next(same, "") or near(name, known)


def seconds(ns: float) -> str:
    """Return a time as text with its unit."""
    return f"{ns / 1e9:g} s" if ns >= 1e9 else f"{ns / 1e6:g} ms"
