"""The imports between the modules of weldquay: no module may depend on itself by way of others."""

from __future__ import annotations

import ast
from collections.abc import Mapping
from graphlib import CycleError, TopologicalSorter
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]


def module_name(path: Path) -> str:
    """The dotted name of a file below the root; a package's is that of its folder."""
    parts = path.relative_to(ROOT).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


def imported(source: str, modules: Mapping[str, object], name: str) -> set[str]:
    """The modules that a source imports anywhere: in functions and under TYPE_CHECKING too.

    Packages above a module run before it, but hold no names that it needs; only what is named counts.
    """
    found: set[str] = set()
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Import):
            found.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            assert node.level == 0 and node.module, f"{name}: imports are written in full"
            for alias in node.names:
                inner = f"{node.module}.{alias.name}"
                found.add(inner if inner in modules else node.module)
    return found & modules.keys()


def circle(sources: Mapping[str, str]) -> list[str]:
    """Modules that import each other in a circle; none where there is no circle."""
    graph = {name: imported(source, sources, name) for name, source in sources.items()}
    try:
        TopologicalSorter(graph).prepare()
    except CycleError as error:
        return [str(name) for name in error.args[1]]
    return []


def test_no_modules_import_each_other_in_a_circle() -> None:
    """TYPE_CHECKING blocks count: a reader meets the circle there as well."""
    sources = {module_name(path): path.read_text() for path in (ROOT / "weldquay").rglob("*.py")}
    assert len(sources) > 50 and circle(sources) == []


@pytest.mark.parametrize(
    ("sources", "found"),
    [
        ({"p": "", "p.a": "from p import b", "p.b": "import p.c", "p.c": ""}, set()),
        ({"p.a": "from p.b import f", "p.b": "def f():\n    import p.a"}, {"p.a", "p.b"}),
        ({"p.a": "import p.b", "p.b": "if TYPE_CHECKING:\n    from p.a import A"}, {"p.a", "p.b"}),
        ({"p": "from p.a import A", "p.a": "from p import x"}, {"p", "p.a"}),
        ({"a": "import b", "b": "import c", "c": "import a", "d": "import a"}, {"a", "b", "c"}),
    ],
)
def test_a_circle_is_found(sources: dict[str, str], found: set[str]) -> None:
    """At the top, in a function, under TYPE_CHECKING, by way of a package or of a third module."""
    assert set(circle(sources)) == found
