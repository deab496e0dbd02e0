"""The types of rules and findings, the registry of all rules, and access to the document under check."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Any

from weldquay.config.catalogue import Catalogue, JobKind, find_similar_name, normalize_name
from weldquay.config.reading import KeyPath


class Level(Enum):
    """Whether a violation of a rule is an error or a warning."""

    ALWAYS = "always"  # an error: the program does not start
    SITE = "site"  # an error if a catalogue is given, also at the program's start; otherwise a warning
    ADVICE = "advice"  # a warning


@dataclass(frozen=True, slots=True)
class CheckContext:
    """The input of the rules: the decoded document, and the site catalogue if one is given.

    The document may have any shape: where a value is missing or has the wrong type, the accessors return an
    empty collection or a default, so that only the rules about keys and types report it.
    """

    document: dict[str, Any]
    catalogue: Catalogue | None = None
    sidecar: bool = False  # the dispatcher will run as the sidecar of one application

    @property
    def settings(self) -> dict[str, Any]:
        """The `settings` object; empty if it is missing or not an object."""
        return self.object_at("settings")

    def object_at(self, *steps: str) -> dict[str, Any]:
        """Return the object at a path; empty if there is none."""
        inner: Any = self.document
        for step in steps:
            inner = inner.get(step) if isinstance(inner, dict) else None
        return inner if isinstance(inner, dict) else {}

    def entries(self, name: str) -> list[tuple[int, dict[str, Any]]]:
        """Return the objects in a list of the settings, with their indices."""
        entries = self.settings.get(name)
        entries = entries if isinstance(entries, list) else []
        return [(index, entry) for index, entry in enumerate(entries) if isinstance(entry, dict)]

    def entry_names(self, name: str) -> list[tuple[int, str]]:
        """Return the names of the entries in a list of the settings, with their indices."""
        return [
            (index, entry["name"])
            for index, entry in self.entries(name)
            if isinstance(entry.get("name"), str)
        ]

    def numbers(self, name: str, key: str) -> list[float]:
        """Return the numbers under one key of the entries in a list of the settings."""
        numbers = (to_number(entry.get(key)) for _, entry in self.entries(name))
        return [number for number in numbers if number is not None]

    def known_classes(self) -> Iterator[tuple[int, dict[str, Any], JobKind]]:
        """Yield the job classes that are in the catalogue: index, settings, catalogue entry."""
        assert self.catalogue is not None
        for index, entry in self.entries("services"):
            if (kind := self.catalogue.kind(str(entry.get("name", "")))) is not None:
                yield index, entry, kind

    def misspelled_names(self, name: str, known: list[str]) -> Iterator[tuple[int, str, str]]:
        """Yield the misspelled names in a list of the settings: index, name, the known name."""
        for index, entry in self.entries(name):
            value = str(entry.get("name", ""))
            if correction := correct_spelling(value, known):
                yield index, value, correction

    def number_at(self, *steps: str, default: float | None = None) -> float | None:
        """Return the number at a path; the default if there is none."""
        value = self.object_at(*steps[:-1]).get(steps[-1], default)
        return to_number(value, default)


def to_number(value: Any, default: float | None = None) -> float | None:
    """Return a number as a float; the default if the value is not a number."""
    return float(value) if isinstance(value, int | float) and not isinstance(value, bool) else default


@dataclass(frozen=True, slots=True)
class Finding:
    """A violation of a rule: the position of the value, and what is wrong with it and how to correct it."""

    rule: str
    error: bool
    steps: KeyPath
    text: str
    line: int = 0
    column: int = 0

    @property
    def path(self) -> str:
        """The path of the value as text."""
        return ".".join(str(step) for step in self.steps) or "(file)"


Violations = Iterator[tuple[KeyPath, str]]  # path of the value, and the finding's text


@dataclass(frozen=True, slots=True)
class Rule:
    """A rule and its explanation; `bad` and `good` are fragments of a configuration."""

    id: str
    level: Level
    title: str
    why: str
    bad: str
    good: str
    check: Callable[[CheckContext], Violations] | None  # None: checked while the file is read
    needs_catalogue: bool = False


RULES: dict[str, Rule] = {}


def rule(  # noqa: PLR0913  # the fields of a rule, passed by keyword
    rule_id: str,
    level: Level,
    title: str,
    *,
    why: str,
    bad: str,
    good: str,
    needs_catalogue: bool = False,
) -> Callable[[Callable[[CheckContext], Violations]], Callable[[CheckContext], Violations]]:
    """Return a decorator that registers a check function as a rule."""

    def register(check: Callable[[CheckContext], Violations]) -> Callable[[CheckContext], Violations]:
        register_rule(Rule(rule_id, level, title, why, bad, good, check, needs_catalogue))
        return check

    return register


def register_rule(new_rule: Rule) -> None:
    """Add a rule to the registry.

    Raises:
        ValueError: another rule has the same id.
    """
    if new_rule.id in RULES:
        raise ValueError(f"two rules have the id {new_rule.id}")
    RULES[new_rule.id] = new_rule


def correct_spelling(name: str, known: list[str]) -> str:
    """Return the known name that a misspelled name probably stands for; empty if there is none."""
    same = (
        known_name
        for known_name in known
        if normalize_name(known_name) == normalize_name(name) and known_name != name
    )
    return next(same, "") or find_similar_name(name, known)


def format_duration(ns: float) -> str:
    """Return a duration as text with its unit."""
    return f"{ns / 1e9:g} s" if ns >= 1e9 else f"{ns / 1e6:g} ms"
