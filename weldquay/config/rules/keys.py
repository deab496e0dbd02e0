"""WQ0xx: the file as such.  WQ1xx: keys, their types and ranges, from the definition."""

from __future__ import annotations

import difflib
from typing import Any

import msgspec
from msgspec import Struct

from weldquay.config import schema
from weldquay.config.reading import Steps
from weldquay.config.rules.base import CheckContext, Level, Rule, Violations, register_rule, rule

for _number, _title, _why, _bad, _good in (
    (
        "WQ001",
        "The file cannot be read",
        "It is absent, a folder, a FIFO, too large, or not permitted.",
        "a folder",
        "a regular file of at most 16 MiB",
    ),
    (
        "WQ002",
        "The file is not one JSON object",
        "A reader that guesses would run with half of a file: text "
        "cut short, text behind the end, a key twice, NaN, bytes that are no UTF-8, nesting beyond 64 "
        "levels.",
        '{"name": "a", "name": "b"}',
        '{"name": "a"}',
    ),
):
    register_rule(Rule(_number, Level.ALWAYS, _title, _why, _bad, _good, None))


@rule(
    "WQ101",
    Level.ALWAYS,
    "A key is missing",
    why="The program cannot guess it; half of a configuration would run with wrong figures.",
    bad='{"services": [{"name": "a"}]}',
    good='{"services": [{"name": "a", "aim_ns": 250000000, ...}]}',
)
def _missing_key(context: CheckContext) -> Violations:
    for steps, group, value in _groups(context):
        for field in msgspec.structs.fields(group):
            key = field.encode_name
            if field.required and value.get(key) is None and not _from_variable(steps, key):
                yield (*steps, key), f"{key} is missing: write {schema.right(field.type)}"


def _from_variable(steps: Steps, name: str) -> bool:
    """True for keys that a GW_* variable may give in place of the file: the program looks there."""
    return not steps and name in ("name", "listen", "discovery")


@rule(
    "WQ102",
    Level.ALWAYS,
    "A value is of the wrong type or out of range",
    why="A figure that the program cannot use stops its start, or would make it break a rule later.",
    bad='"max_attempts": "5"',
    good='"max_attempts": 5',
)
def _invalid_value(context: CheckContext) -> Violations:
    for steps, group, value in _groups(context):
        for name, kind in schema.keys(group).items():
            value_at_key = value.get(name)
            if value_at_key is None or name in ("known", "origin"):
                continue
            if schema.struct_of(kind) is not None:
                want: type = list if "list" in str(kind) else dict
                rows = value_at_key if isinstance(value_at_key, list) else []
                if not isinstance(value_at_key, want) or any(not isinstance(row, dict) for row in rows):
                    yield (*steps, name), f"{name} is {schema.json_text(value_at_key)}: write {_shape(want)}"
                    continue
                if not (want is list and not value_at_key):
                    continue
            if not is_valid_value(value_at_key, kind):
                yield (
                    (*steps, name),
                    f"{name} is {schema.json_text(value_at_key)}: write {schema.right(kind)}",
                )


def _shape(kind: type) -> str:
    return "a list of objects" if kind is list else "an object"


def is_valid_value(value: Any, kind: Any) -> bool:
    """True where a value may stand for a key; a whole number may be written 5.0."""
    if isinstance(value, float) and value.is_integer() and abs(value) < 2**53 and "int" in str(kind):
        value = int(value)
    try:
        msgspec.convert(value, kind)
    except msgspec.ValidationError:
        return False
    return True


@rule(
    "WQ103",
    Level.ADVICE,
    "An unknown key",
    why="The program disregards it. If it is a slip of the pen, the default holds in its place.",
    bad='"max_atempts": 3',
    good='"max_attempts": 3',
)
def _unknown_key(context: CheckContext) -> Violations:
    for steps, group, value in _groups(context):
        known = list(schema.keys(group))
        for name in value:
            if name not in known:
                similar = difflib.get_close_matches(name, known, 1, 0.6)
                hint = f"; did you mean {similar[0]}?" if similar else ""
                yield (*steps, name), f"{name} is no key here{hint}"


def _groups(context: CheckContext) -> list[tuple[Steps, type[Struct], dict[str, Any]]]:
    """All objects of a document that the definition knows, with their places."""
    groups: list[tuple[Steps, type[Struct], dict[str, Any]]] = []
    _collect((), schema.Document, context.document, groups)
    return groups


def _collect(
    steps: Steps,
    group: type[Struct],
    value: dict[str, Any],
    groups: list[tuple[Steps, type[Struct], dict[str, Any]]],
) -> None:
    groups.append((steps, group, value))
    for name, kind in schema.keys(group).items():
        inner, below = schema.struct_of(kind), value.get(name)
        if inner is None:
            continue
        if isinstance(below, dict):
            _collect((*steps, name), inner, below, groups)
        elif isinstance(below, list):
            for number, row in enumerate(below):
                if isinstance(row, dict):
                    _collect((*steps, name, number), inner, row, groups)
