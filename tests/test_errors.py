"""Operator errors: codes, remedies and output.  Also checks that packages do not import in a cycle."""

from __future__ import annotations

import ast
import asyncio
import importlib
import json
import pkgutil
from pathlib import Path

import pytest

import weldquay
from example.toy import encode_message, request
from tests.site import CONFIG, site
from weldquay.errors import OperatorError
from weldquay.net.config import (
    ConfigError,
    ConfigUnreadable,
    ConfigUnset,
    ReloadRefused,
    config_from_document,
    load,
    reload,
)

ROOT = Path(weldquay.__file__).parent
# Base classes of errors that are handled inside the program and never shown to operators, and OperatorError.
EXEMPT_CLASSES = {"WorkerRequestError", "_DuplicateKey", "_NotFinite", "OperatorError"}


def error_classes() -> list[type[OperatorError]]:
    """Return all subclasses of OperatorError in the package, after importing all of its modules."""
    for module in pkgutil.walk_packages([str(ROOT)], "weldquay."):
        if not module.name.endswith("__main__"):
            importlib.import_module(module.name)
    found, pending = set[type[OperatorError]](), [OperatorError]
    while pending:
        subclasses = pending.pop().__subclasses__()
        found.update(subclasses)
        pending += subclasses
    return [error for error in found if error.__module__.startswith("weldquay.")]


def test_each_error_has_its_own_remedy() -> None:
    """A remedy inherited from a base class would be that of another cause."""
    remedies = [error.__dict__.get("remedy", "") for error in error_classes()]
    assert len(remedies) >= 12 and all(len(remedy) > 20 for remedy in remedies)
    assert len(set(remedies)) == len(remedies)


def test_every_error_derives_from_operator_error() -> None:
    """An exception that operators may see must derive from OperatorError, so that it has a remedy."""
    for path in ROOT.rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ClassDef) and node.name not in EXEMPT_CLASSES:
                bases = {base.id for base in node.bases if isinstance(base, ast.Name)}
                builtins = bases & {"Exception", "ValueError", "OSError"}
                assert not builtins or "OperatorError" in bases, node.name


@pytest.mark.parametrize(
    ("files", "kind"),
    [
        ({}, ConfigUnset),
        ({"GW_CONFIG": "nowhere.json"}, ConfigUnreadable),
        ({"GW_CONFIG": "list.json"}, ConfigUnreadable),
        ({"GW_CONFIG": "bare.json"}, ConfigError),
    ],
)
def test_failed_start_prints_remedy_in_one_line(
    files: dict[str, str], kind: type[ConfigError], tmp_path: Path
) -> None:
    """No file, an unreadable file, a file that is not a JSON object, and a file that lacks a key."""
    (tmp_path / "list.json").write_text("[]")
    (tmp_path / "bare.json").write_text("{}")
    with pytest.raises(ConfigError) as caught:
        load({name: str(tmp_path / value) for name, value in files.items()})
    assert type(caught.value) is kind
    line = caught.value.advice()
    assert line.endswith(f"; what to do: {kind.remedy}") and "\n" not in line


def test_rejected_reload_has_its_own_class(tmp_path: Path) -> None:
    """Its remedy differs from that of a failed start, because the dispatcher keeps running."""
    document = json.loads(CONFIG.read_text())
    running = config_from_document({}, document)
    (tmp_path / "c.json").write_text(json.dumps({**document, "limits": None}))
    with pytest.raises(ReloadRefused, match="missing key limits"):
        reload({"GW_CONFIG": str(tmp_path / "c.json")}, running)


@pytest.mark.parametrize(
    ("call", "code"),
    [
        ("POST /control/match-workers/nobody/offline", "unknown-worker"),
        ("GET /control/fortune", "unknown-operation"),
    ],
)
def test_operator_responses_have_remedies(call: str, code: str) -> None:
    """The JSON response has the error's code, so that programs can tell causes apart, and its remedy."""

    async def scenario() -> None:
        async with site() as test_site:
            address = f"127.0.0.1:{test_site.process.operators.port}"
            response = await request(address, encode_message(f"{call} HTTP/1.1"))
            document = json.loads(response.body)
            assert response.status == 404 and document["error"] == code and len(document["remedy"]) > 20

    asyncio.run(scenario())


# All codes of release 725bba5, two for hot-restart messages that had no types then, and address-conflict.
ERROR_CODES = {
    "address-conflict",
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


def test_error_codes_are_unchanged() -> None:
    """Each class defines a code of its own, and the codes of release 725bba5 are unchanged."""
    codes = [vars(error)["error_code"] for error in error_classes()]
    assert set(codes) == ERROR_CODES and len(codes) == len(ERROR_CODES)


def test_packages_import_in_one_direction() -> None:
    """There is no import cycle between packages, including imports inside functions."""
    edges: dict[str, set[str]] = {}
    for path in ROOT.rglob("*.py"):
        parts = path.relative_to(ROOT).parts
        package = parts[0].removesuffix(".py")
        for node in ast.walk(ast.parse(path.read_text())):
            names: list[str] = []
            if isinstance(node, ast.ImportFrom) and node.module:
                names = [node.module]
                if node.module == "weldquay":
                    names = [f"weldquay.{alias.name}" for alias in node.names]
            elif isinstance(node, ast.Import):
                names = [alias.name for alias in node.names]
            edges.setdefault(package, set()).update(
                name.split(".")[1] for name in names if name.startswith("weldquay.")
            )
    for package, others in edges.items():
        others.discard(package)
    while leaves := [package for package, others in edges.items() if not others & set(edges)]:
        for package in leaves:
            del edges[package]
    assert not edges
