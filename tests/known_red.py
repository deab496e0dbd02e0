"""Parser of KNOWN-RED.txt, the list of tests that are expected to fail because of known faults.

Each line is an entry: `test id | command and seed | what was seen | issue`.  CI prints the entries.  A listed
test that passes or does not exist fails the run.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from pathlib import Path

PATH = Path(__file__).parents[1] / "KNOWN-RED.txt"
FORMAT = "test id | command and seed | what was seen | issue"


@dataclass(frozen=True, slots=True)
class KnownFailure:
    """An entry: a test that is expected to fail, and the reason."""

    test_id: str
    command: str
    observation: str
    issue: str

    @property
    def reason(self) -> str:
        """The text that pytest prints for the test."""
        return f"{self.observation} (issue {self.issue}; {self.command})"


def parse(text: str) -> dict[str, KnownFailure]:
    """Return the entries by test id.

    Raises:
        ValueError: an entry does not have exactly four non-empty fields, or a test is listed twice.
    """
    entries: dict[str, KnownFailure] = {}
    for line in filter(str.strip, text.splitlines()):
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != 4 or not all(fields):
            raise ValueError(f"KNOWN-RED.txt: expected `{FORMAT}`, got {line!r}")
        entry = KnownFailure(*fields)
        if entry.test_id in entries:
            raise ValueError(f"KNOWN-RED.txt: listed twice: {entry.test_id}")
        entries[entry.test_id] = entry
    return entries


def find_missing(
    listed: Collection[str], collected: Collection[str], test_files: Collection[str]
) -> list[str]:
    """Return the listed tests that do not exist.

    Args:
        listed: test ids of KNOWN-RED.txt.
        collected: test ids of this run, which may run only some of the tests.
        test_files: all test files; if this run collected nothing from one, its listed tests count as present.
    """
    collected_files = {test_id.split("::")[0] for test_id in collected}
    return [
        test_id
        for test_id in listed
        if test_id not in collected
        and (test_id.split("::")[0] in collected_files or test_id.split("::")[0] not in test_files)
    ]
