"""docs/design/limits.md: each row names a constant and a test that exist, and no limit is without a row."""

from __future__ import annotations

import ast
import importlib
import re
from pathlib import Path

from weldquay import limits

ROOT = Path(__file__).parents[1]
PAGE = (ROOT / "docs" / "design" / "limits.md").read_text()
MODULES = {
    "limits": "weldquay.limits",
    "common": "weldquay.net.messages.common",
    "client_requests": "weldquay.net.messages.client_requests",
    "open_requests": "weldquay.policy.open_requests",
}
CONSTANT = re.compile(r"`([a-z_]+)\.([A-Z][A-Z_]+)`")
TEST_NAME = re.compile(r"\btest_[a-z0-9_]+\b(?!\.)")


def rows() -> list[str]:
    """Return the rows of all tables, without their heads."""
    lines = [line for line in PAGE.splitlines() if line.startswith("|")]
    return [line for line in lines if "`" in line or "test_" in line]


def all_test_functions() -> set[str]:
    """Return the names of all test functions."""
    names = set()
    for path in (ROOT / "tests").glob("test_*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.FunctionDef):
                names.add(node.name)
    return names


def test_each_row_names_a_constant_and_a_test_that_exist() -> None:
    """A constant that is renamed, or a test that is dropped, has to change the page."""
    known_tests = all_test_functions()
    assert len(rows()) > 35
    for row in rows():
        constants = CONSTANT.findall(row)
        tests = TEST_NAME.findall(row)
        assert constants and tests, row
        for module, name in constants:
            path = MODULES.get(module, f"weldquay.net.{module}")
            assert hasattr(importlib.import_module(path), name), (module, name)
        assert set(tests) <= known_tests, tests


def test_each_constant_of_limits_has_a_place_on_the_page() -> None:
    """A new limit needs its worst form and its test."""
    named = {name for module, name in CONSTANT.findall(PAGE) if module == "limits"}
    assert named == {name for name in vars(limits) if name.isupper()}
