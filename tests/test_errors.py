"""Errors say what an operator can do; the packages of the program import each other in one direction only."""

from __future__ import annotations

import ast
import asyncio
import importlib
import json
import pkgutil
from pathlib import Path

import pytest

import weldquay
from example.toy import request, write_message
from weldquay.errors import OperatorError
from weldquay.net.config import ConfigError, ConfigUnreadable, ConfigUnset, ReloadRefused, load, reload
from weldquay.net.config import read as config_of
from tests.site import CONFIG, site

ROOT = Path(weldquay.__file__).parent
# Roots of errors that are handled inside the program and are never shown to operators.
INNER = {"WorkerRequestError", "_Doubled", "_NotFinite", "OperatorError"}


def kinds() -> list[type[OperatorError]]:
    """All error types of the program."""
    for module in pkgutil.walk_packages([str(ROOT)], "weldquay."):
        if not module.name.endswith("__main__"):
            importlib.import_module(module.name)
    found, left = set[type[OperatorError]](), [OperatorError]
    while left:
        more = left.pop().__subclasses__()
        found.update(more)
        left += more
    return [each for each in found if each.__module__.startswith("weldquay.")]


def test_each_error_has_a_remedy_of_its_own() -> None:
    """One that is inherited would be another cause's."""
    remedies = [each.__dict__.get("remedy", "") for each in kinds()]
    assert len(remedies) >= 12 and all(len(each) > 20 for each in remedies)
    assert len(set(remedies)) == len(remedies)


def test_no_error_stands_beside_the_root() -> None:
    """An exception type that operators may see, and that says nothing of what to do."""
    for path in ROOT.rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ClassDef) and node.name not in INNER:
                bases = {base.id for base in node.bases if isinstance(base, ast.Name)}
                plain = bases & {"Exception", "ValueError", "OSError"}
                assert not plain or "OperatorError" in bases, node.name


@pytest.mark.parametrize(
    ("files", "kind"),
    [
        ({}, ConfigUnset),
        ({"GW_CONFIG": "nowhere.json"}, ConfigUnreadable),
        ({"GW_CONFIG": "list.json"}, ConfigUnreadable),
        ({"GW_CONFIG": "bare.json"}, ConfigError),
    ],
)
def test_a_start_that_fails_says_what_to_do_in_one_line(
    files: dict[str, str], kind: type[ConfigError], tmp_path: Path
) -> None:
    """No file, none that can be read, one that is no object, one that lacks a key."""
    (tmp_path / "list.json").write_text("[]")
    (tmp_path / "bare.json").write_text("{}")
    with pytest.raises(ConfigError) as caught:
        load({name: str(tmp_path / value) for name, value in files.items()})
    assert type(caught.value) is kind
    line = caught.value.advice()
    assert line.endswith(f"; what to do: {kind.remedy}") and "\n" not in line


def test_a_reload_that_is_refused_has_a_type_of_its_own(tmp_path: Path) -> None:
    """Its remedy is another than a start's: the dispatcher goes on."""
    told = json.loads(CONFIG.read_text())
    running = config_of({}, told)
    (tmp_path / "c.json").write_text(json.dumps({**told, "limits": None}))
    with pytest.raises(ReloadRefused, match="missing key limits"):
        reload({"GW_CONFIG": str(tmp_path / "c.json")}, running)


@pytest.mark.parametrize(
    ("call", "code"),
    [
        ("POST /control/match-workers/nobody/offline", "unknown-worker"),
        ("GET /control/fortune", "unknown-operation"),
    ],
)
def test_operators_are_answered_what_to_do(call: str, code: str) -> None:
    """In JSON, with the type's name, so that a program can tell causes apart."""

    async def scenario() -> None:
        async with site() as here:
            address = f"127.0.0.1:{here.program.operators.port}"
            answer = await request(address, write_message(f"{call} HTTP/1.1"))
            told = json.loads(answer.body)
            assert answer.status == 404 and told["error"] == code and len(told["remedy"]) > 20

    asyncio.run(scenario())


ERROR_CODES = {  # all of 725bba5, and two for hot-restart messages that it had no types for
    "cannot-listen",
    "catalogue-error",
    "child-failed",
    "config-error",
    "config-unreadable",
    "config-unset",
    "description-error",
    "discovery-silent",
    "figures-error",
    "machine-stalled",
    "malformed-message",
    "message-error",
    "no-plot",
    "not-reached",
    "reading-error",
    "reload-refused",
    "site-mismatch",
    "too-large",
    "unavailable",
    "unknown-message-kind",
    "unknown-operation",
    "unknown-table",
    "unknown-worker",
    "watch-closed",
    "wire-error",
}


def test_the_codes_of_errors_stay_as_operators_know_them() -> None:
    """Each class names its code itself; the codes of release 725bba5 are unchanged."""
    codes = [vars(each)["error_code"] for each in kinds()]
    assert set(codes) == ERROR_CODES and len(codes) == len(ERROR_CODES)


def test_the_packages_import_each_other_in_one_direction() -> None:
    """No circle between packages, imports within functions included."""
    edges: dict[str, set[str]] = {}
    for path in ROOT.rglob("*.py"):
        parts = path.relative_to(ROOT).parts
        own = parts[0].removesuffix(".py")
        for node in ast.walk(ast.parse(path.read_text())):
            names: list[str] = []
            if isinstance(node, ast.ImportFrom) and node.module:
                names = [node.module]
                if node.module == "weldquay":
                    names = [f"weldquay.{each.name}" for each in node.names]
            elif isinstance(node, ast.Import):
                names = [each.name for each in node.names]
            edges.setdefault(own, set()).update(
                name.split(".")[1] for name in names if name.startswith("weldquay.")
            )
    for each in edges:
        edges[each].discard(each)
    while free := [each for each, others in edges.items() if not others & set(edges)]:
        for each in free:
            del edges[each]
    assert not edges
