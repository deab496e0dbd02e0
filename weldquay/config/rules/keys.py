"""WQ0xx: reading of the file.  WQ1xx: keys, their types and ranges, as `schema.py` defines them."""

from __future__ import annotations

import difflib
from typing import Any

import msgspec
from msgspec import Struct

from weldquay.config import schema
from weldquay.config.reading import KeyPath
from weldquay.config.rules.base import CheckContext, Level, Rule, Violations, register_rule, rule

for _rule_id, _title, _why, _bad, _good in (
    (
        "WQ001",
        "The file cannot be read",
        "It does not exist, is a directory or FIFO, is too large, or permission is denied.",
        "a directory",
        "a regular file of at most 16 MiB",
    ),
    (
        "WQ002",
        "The file is not a single JSON object",
        "A lenient parser would run with part of the file. Rejected are truncated text, text after the end, "
        "duplicate keys, NaN and infinities, bytes that are not UTF-8, and nesting beyond 64 levels.",
        '{"name": "a", "name": "b"}',
        '{"name": "a"}',
    ),
):
    register_rule(Rule(_rule_id, Level.ALWAYS, _title, _why, _bad, _good, None))


@rule(
    "WQ101",
    Level.ALWAYS,
    "A required key is missing",
    why="There is no default for it: the program would run with values that nobody chose.",
    bad='{"services": [{"name": "a"}]}',
    good='{"services": [{"name": "a", "aim_ns": 250000000, ...}]}',
)
def _missing_key(context: CheckContext) -> Violations:
    for steps, struct, values in _objects(context):
        for field in msgspec.structs.fields(struct):
            key = field.encode_name
            if field.required and values.get(key) is None and not _from_variable(steps, key):
                yield (*steps, key), f"{key} is missing: write {schema.valid_values(field.type)}"


def _from_variable(steps: KeyPath, key: str) -> bool:
    """True for keys that may be absent from the file because a GW_* variable can provide them."""
    return not steps and key in ("name", "listen", "discovery")


@rule(
    "WQ102",
    Level.ALWAYS,
    "A value has the wrong type or is out of range",
    why="A value that the program cannot use prevents its start, or would make it violate a rule later.",
    bad='"max_attempts": "5"',
    good='"max_attempts": 5',
)
def _invalid_value(context: CheckContext) -> Violations:
    for steps, struct, values in _objects(context):
        for key, annotation in schema.key_types(struct).items():
            value = values.get(key)
            if value is None or key in ("known", "origin"):
                continue
            if schema.nested_struct(annotation) is not None:
                container: type = list if "list" in str(annotation) else dict
                entries = value if isinstance(value, list) else []
                if not isinstance(value, container) or any(not isinstance(entry, dict) for entry in entries):
                    yield (
                        (*steps, key),
                        f"{key} is {schema.short_json(value)}: write {_describe_container(container)}",
                    )
                    continue
                if not (container is list and not value):
                    continue
            if not is_valid_value(value, annotation):
                yield (
                    (*steps, key),
                    f"{key} is {schema.short_json(value)}: write {schema.valid_values(annotation)}",
                )


def _describe_container(container: type) -> str:
    return "a list of objects" if container is list else "an object"


def is_valid_value(value: Any, annotation: Any) -> bool:
    """True if the value is valid for a key of this type; integers may be written as 5.0."""
    if isinstance(value, float) and value.is_integer() and abs(value) < 2**53 and "int" in str(annotation):
        value = int(value)
    try:
        msgspec.convert(value, annotation)
    except msgspec.ValidationError:
        return False
    return True


@rule(
    "WQ103",
    Level.ADVICE,
    "A key is unknown",
    why="The program ignores it. If it is misspelled, the default of the intended key applies.",
    bad='"max_atempts": 3',
    good='"max_attempts": 3',
)
def _unknown_key(context: CheckContext) -> Violations:
    for steps, struct, values in _objects(context):
        known = list(schema.key_types(struct))
        for key in values:
            if key not in known:
                similar = difflib.get_close_matches(key, known, 1, 0.6)
                hint = f"; did you mean {similar[0]}?" if similar else ""
                yield (*steps, key), f"{key} is not a known key here{hint}"


def _objects(context: CheckContext) -> list[tuple[KeyPath, type[Struct], dict[str, Any]]]:
    """Return all objects of a document that the schema defines, with their paths and types."""
    objects: list[tuple[KeyPath, type[Struct], dict[str, Any]]] = []
    _collect((), schema.Document, context.document, objects)
    return objects


def _collect(
    steps: KeyPath,
    struct: type[Struct],
    values: dict[str, Any],
    objects: list[tuple[KeyPath, type[Struct], dict[str, Any]]],
) -> None:
    """Append an object and, recursively, the objects in it."""
    objects.append((steps, struct, values))
    for key, annotation in schema.key_types(struct).items():
        inner_struct, inner = schema.nested_struct(annotation), values.get(key)
        if inner_struct is None:
            continue
        if isinstance(inner, dict):
            _collect((*steps, key), inner_struct, inner, objects)
        elif isinstance(inner, list):
            for index, entry in enumerate(inner):
                if isinstance(entry, dict):
                    _collect((*steps, key, index), inner_struct, entry, objects)
