"""Tests of KNOWN-RED.txt: which failures a run accepts, and which entries it rejects."""

from __future__ import annotations

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

from tests import known_red

ROOT = Path(__file__).parents[1]
TESTS = "def test_red():\n    assert 0\n\n\ndef test_green():\n    pass\n"
FOUR_RED_TESTS = "".join(f"def test_{number}():\n    assert 0\n\n\n" for number in range(4))
RED, GREEN = "tests/test_some.py::test_red", "tests/test_some.py::test_green"
MALFORMED = "expected `test id | command and seed | what was seen | issue`, got"


def run_pytest(folder: Path, tests: str, entries: str | None) -> subprocess.CompletedProcess[str]:
    """Run pytest in a folder with one test file and the conftest.py of this repository."""
    (folder / "tests").mkdir()
    for name in ("__init__.py", "conftest.py", "known_red.py"):
        shutil.copy(ROOT / "tests" / name, folder / "tests")
    (folder / "tests" / "test_some.py").write_text(tests)
    (folder / "pytest.ini").write_text("[pytest]\naddopts = -rx\n")
    if entries is not None:
        (folder / "KNOWN-RED.txt").write_text(entries)
    return subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"],
        cwd=folder,
        capture_output=True,
        text=True,
        check=False,
    )


@pytest.mark.parametrize(
    ("entries", "status", "expected"),
    [
        (None, 1, "1 failed"),
        ("", 1, "1 failed"),
        (f"{RED} | pytest, seed 3 | it is slow | 7", 0, "it is slow (issue 7; pytest, seed 3)"),
        (f"{RED} | c | a | 1\n{GREEN} | c | b | 2", 1, "XPASS(strict)"),
        (
            f"{RED} | c | a | 1\ntests/test_some.py::test_n | c | b | 2",
            4,
            "no such test: tests/test_some.py::test_n",
        ),
        (f"{RED} | c | a | 1\ntests/test_nowhere.py::test_none | c | b | 2", 4, "no such test"),
        (RED, 4, MALFORMED),
        (f"{RED} | it is slow | 7", 4, MALFORMED),  # no command
        (f"{RED} | | it is slow | 7", 4, MALFORMED),  # an empty command
        (f"{RED} | c | it is slow |", 4, MALFORMED),  # no issue
        (f"{RED} | c | it is slow | 7 | 8", 4, MALFORMED),
        (f"{RED} | c | a | 1\n{RED} | c | a | 1", 4, "listed twice"),
    ],
)
def test_only_listed_tests_may_fail(entries: str | None, status: int, expected: str, tmp_path: Path) -> None:
    """A listed test must exist and fail; the run prints its entry."""
    result = run_pytest(tmp_path, TESTS, entries)
    assert result.returncode == status and expected in result.stdout + result.stderr


def test_four_entries_are_accepted(tmp_path: Path) -> None:
    """The number of entries is not limited, and each entry is printed."""
    entries = [f"tests/test_some.py::test_{number} | c | seen {number} | {number}" for number in range(4)]
    result = run_pytest(tmp_path, FOUR_RED_TESTS, "\n".join(entries))
    assert result.returncode == 0 and "4 xfailed" in result.stdout
    for number in range(4):
        assert f"XFAIL tests/test_some.py::test_{number} - seen {number} (issue {number}; c)" in result.stdout


def test_an_unlisted_failure_fails_the_run_despite_four_entries(tmp_path: Path) -> None:
    """Listed failures do not make the run accept an unlisted one."""
    entries = [f"tests/test_some.py::test_{number} | c | a | 1" for number in range(4)]
    result = run_pytest(tmp_path, FOUR_RED_TESTS + TESTS, "\n".join(entries))
    assert result.returncode == 1 and "1 failed, 1 passed, 4 xfailed" in result.stdout


def test_the_entries_of_this_repository_are_valid() -> None:
    """Each entry is well-formed and names an existing test function."""
    text = known_red.PATH.read_text() if known_red.PATH.exists() else ""
    for entry in known_red.parse(text).values():
        file, function = entry.test_id.split("::", 1)
        assert f"def {function.split('[')[0]}(" in (ROOT / file).read_text()


def test_fields_are_stripped_and_keep_their_order() -> None:
    """The four fields are stripped of whitespace and keep their order."""
    (entry,) = known_red.parse("  a::b  |  pytest a, seed 1 | late by 2 s |  #9 \n\n").values()
    assert entry == known_red.KnownFailure("a::b", "pytest a, seed 1", "late by 2 s", "#9")
