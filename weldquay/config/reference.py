"""The reference of all configuration keys, made from their definition in `schema.py`."""

from __future__ import annotations

from typing import Any

import msgspec

from weldquay.config import schema


def page() -> str:
    """Return a Markdown page of all keys with their valid values, defaults and meanings."""
    lines = ["# Configuration keys", "", "Made by `weldquay config schema --reference`.", ""]
    for title, group in _groups("", schema.Document):
        lines += [f"## {title or 'The file'}", "", "| key | write | default | meaning |", "|" + " --- |" * 4]
        for field in msgspec.structs.fields(group):
            if schema.nested_struct(field.type) is None or field.required:
                default = "required" if field.required else f"`{schema.short_json(_default(field))}`"
                why = schema.note(field.type, "why")
                if variable := schema.note(field.type, "variable"):
                    why = f"{why} ({variable} comes before it)".strip()
                lines.append(
                    f"| `{field.encode_name}` | {schema.valid_values(field.type)} | {default} | {why} |"
                )
        lines.append("")
    return "\n".join(lines)


def _default(field: Any) -> Any:
    return field.default if field.default_factory is msgspec.NODEFAULT else field.default_factory()


def _groups(title: str, group: type[msgspec.Struct]) -> list[tuple[str, type[msgspec.Struct]]]:
    groups = [(title, group)]
    for name, kind in schema.key_types(group).items():
        inner = schema.nested_struct(kind)
        if inner is not None:
            suffix = "[]" if "list" in str(kind) else ""
            groups += _groups(f"{title}.{name}{suffix}".lstrip("."), inner)
    return groups
