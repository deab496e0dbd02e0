"""What every test has; and what CI passes over."""

from __future__ import annotations

import gc
import tempfile
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests import known_red


@pytest.fixture(autouse=True)
def own_files(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Files that a dispatcher keeps for its next process stay among one test's."""
    (tmp_path / "tmp").mkdir()
    monkeypatch.setattr(tempfile, "tempdir", str(tmp_path / "tmp"))
    monkeypatch.setenv("TMPDIR", str(tmp_path / "tmp"))


@pytest.fixture(autouse=True, scope="module")
def frozen_heap() -> Iterator[None]:
    """Keep what earlier modules left out of the collector, as `DispatcherProcess.run` does at a start.

    A full collection of pytest's and Hypothesis's objects stops the event loop for tens of milliseconds.
    """
    gc.collect()
    gc.freeze()
    yield
    gc.unfreeze()


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Have the tests of KNOWN-RED.txt fail, or the run fails."""
    file = Path(config.rootpath) / known_red.FILE.name
    try:
        listed = known_red.read(file.read_text() if file.exists() else "")
    except ValueError as error:
        raise pytest.UsageError(str(error)) from None
    files = {f"tests/{path.name}" for path in (Path(config.rootpath) / "tests").glob("test_*.py")}
    if missing := known_red.unknown(listed, [item.nodeid for item in items], files):
        raise pytest.UsageError(f"KNOWN-RED.txt: there is no such test: {', '.join(missing)}")
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(reason=listed[item.nodeid], strict=True))
