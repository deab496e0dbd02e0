"""Test that the modules of weldquay have no import cycles, direct or through other modules."""

from __future__ import annotations

import ast
from collections.abc import Mapping
from graphlib import CycleError, TopologicalSorter
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]


def module_name(path: Path) -> str:
    """Return the dotted module name of a file below the root; for `__init__.py`, that of its package."""
    parts = path.relative_to(ROOT).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


def imported_modules(source: str, modules: Mapping[str, object], name: str) -> set[str]:
    """Return the modules that a source file imports, in functions and TYPE_CHECKING blocks too.

    The parent packages of an imported module are left out: Python runs them first, but the importing module
    uses none of their names.
    """
    names: set[str] = set()
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Import):
            names.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            assert node.level == 0 and node.module, f"{name} has a relative import; use an absolute one"
            for alias in node.names:
                submodule = f"{node.module}.{alias.name}"
                names.add(submodule if submodule in modules else node.module)
    return names & modules.keys()


def find_import_cycle(sources: Mapping[str, str]) -> list[str]:
    """Return the modules of an import cycle, or an empty list if there is no cycle."""
    graph = {name: imported_modules(source, sources, name) for name, source in sources.items()}
    try:
        TopologicalSorter(graph).prepare()
    except CycleError as error:
        return [str(name) for name in error.args[1]]
    return []


def test_there_is_no_import_cycle() -> None:
    """Imports in TYPE_CHECKING blocks count too, since a cycle there is as hard to read."""
    sources = {module_name(path): path.read_text() for path in (ROOT / "weldquay").rglob("*.py")}
    assert len(sources) > 50 and find_import_cycle(sources) == []


@pytest.mark.parametrize(
    ("sources", "expected"),
    [
        ({"p": "", "p.a": "from p import b", "p.b": "import p.c", "p.c": ""}, set()),
        ({"p.a": "from p.b import f", "p.b": "def f():\n    import p.a"}, {"p.a", "p.b"}),
        ({"p.a": "import p.b", "p.b": "if TYPE_CHECKING:\n    from p.a import A"}, {"p.a", "p.b"}),
        ({"p": "from p.a import A", "p.a": "from p import x"}, {"p", "p.a"}),
        ({"a": "import b", "b": "import c", "c": "import a", "d": "import a"}, {"a", "b", "c"}),
    ],
)
def test_import_cycle_is_found(sources: dict[str, str], expected: set[str]) -> None:
    """Cycles at module level, in a function, under TYPE_CHECKING, through a package, and of three modules."""
    assert set(find_import_cycle(sources)) == expected
