"""KNOWN-RED.txt: what CI passes over, and what it does not."""

from __future__ import annotations

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

from tests import known_red

ROOT = Path(__file__).parents[1]
TESTS = "def test_red():\n    assert 0\n\n\ndef test_green():\n    pass\n"
RED, GREEN = "tests/test_some.py::test_red", "tests/test_some.py::test_green"


@pytest.mark.parametrize(
    ("lines", "status", "told"),
    [
        (None, 1, "1 failed"),
        ("", 1, "1 failed"),
        (f"{RED} | it is slow | 7", 0, "it is slow (issue 7)"),
        (f"{RED} | a | 1\n{GREEN} | b | 2", 1, "XPASS(strict)"),
        (f"{RED} | a | 1\ntests/test_some.py::test_n | b | 2", 4, "no such test: tests/test_some.py::test_n"),
        (f"{RED} | a | 1\ntests/test_nowhere.py::test_none | b | 2", 4, "no such test"),
        (RED, 4, "not `test id | cause | issue`"),
        (f"{RED} | a | 1\n{RED} | a | 1", 4, "listed twice"),
        ("\n".join(f"tests/test_some.py::test_{n} | a | 1" for n in range(4)), 4, "4 lines, 3 at most"),
    ],
)
def test_what_is_passed_over(lines: str | None, status: int, told: str, tmp_path: Path) -> None:
    """Only listed tests that fail; the run names them with their cause."""
    (tmp_path / "tests").mkdir()
    for name in ("__init__.py", "conftest.py", "known_red.py"):
        shutil.copy(ROOT / "tests" / name, tmp_path / "tests")
    (tmp_path / "tests" / "test_some.py").write_text(TESTS)
    (tmp_path / "pytest.ini").write_text("[pytest]\naddopts = -rx\n")
    if lines is not None:
        (tmp_path / "KNOWN-RED.txt").write_text(lines)
    ran = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"],
        cwd=tmp_path,
        capture_output=True,
        text=True,
        check=False,
    )
    assert ran.returncode == status and told in ran.stdout + ran.stderr


def test_the_file_of_this_repository_keeps_its_rules() -> None:
    """Where there is one."""
    text = known_red.FILE.read_text() if known_red.FILE.exists() else ""
    assert len(known_red.read(text)) <= known_red.MOST
