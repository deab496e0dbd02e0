"""What every test has."""

from __future__ import annotations

import tempfile
from pathlib import Path

import pytest


@pytest.fixture(autouse=True)
def own_files(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Files that a dispatcher keeps for its next process stay among one test's."""
    (tmp_path / "tmp").mkdir()
    monkeypatch.setattr(tempfile, "tempdir", str(tmp_path / "tmp"))
    monkeypatch.setenv("TMPDIR", str(tmp_path / "tmp"))
