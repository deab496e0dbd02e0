"""Fixtures for all tests, and the expected failures listed in KNOWN-RED.txt."""

from __future__ import annotations

import gc
import tempfile
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests import known_red


@pytest.fixture(autouse=True)
def _own_temporary_folder(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Give each test its own $TMPDIR, because a dispatcher keeps files there for the next process."""
    (tmp_path / "tmp").mkdir()
    monkeypatch.setattr(tempfile, "tempdir", str(tmp_path / "tmp"))
    monkeypatch.setenv("TMPDIR", str(tmp_path / "tmp"))


@pytest.fixture(autouse=True, scope="module")
def _frozen_heap() -> Iterator[None]:
    """Exclude the objects of earlier modules from garbage collection, as `DispatcherProcess.run` does.

    A full collection of the objects of pytest and Hypothesis blocks the event loop for tens of milliseconds.
    """
    gc.collect()
    gc.freeze()
    yield
    gc.unfreeze()


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark the tests listed in KNOWN-RED.txt as strict expected failures.

    Raises:
        pytest.UsageError: the file is malformed, or a listed test does not exist.
    """
    path = Path(config.rootpath) / known_red.PATH.name
    try:
        entries = known_red.parse(path.read_text() if path.exists() else "")
    except ValueError as error:
        raise pytest.UsageError(str(error)) from None
    test_files = {f"tests/{file.name}" for file in (Path(config.rootpath) / "tests").glob("test_*.py")}
    if missing := known_red.find_missing(entries, [item.nodeid for item in items], test_files):
        raise pytest.UsageError(f"KNOWN-RED.txt: there is no such test: {', '.join(missing)}")
    for item in items:
        if item.nodeid in entries:
            item.add_marker(pytest.mark.xfail(reason=entries[item.nodeid].reason, strict=True))
