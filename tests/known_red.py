"""Parser of KNOWN-RED.txt: the tests of known faults, which CI expects to fail and prints.

One entry a line: `test id | command and seed | what was seen | issue`.  A listed test that passes or does not
exist fails the run.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from pathlib import Path

PATH = Path(__file__).parents[1] / "KNOWN-RED.txt"
FORMAT = "test id | command and seed | what was seen | issue"


@dataclass(frozen=True, slots=True)
class KnownFailure:
    """One entry: a test that is expected to fail, and why."""

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
        ValueError: an entry lacks a field, has one too many, or lists a test for a second time.
    """
    entries: dict[str, KnownFailure] = {}
    for line in filter(str.strip, text.splitlines()):
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != 4 or not all(fields):
            raise ValueError(f"KNOWN-RED.txt: not `{FORMAT}`: {line!r}")
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
        collected: test ids of this run, which may be a part of all tests.
        test_files: all test files; a test of a file that this run did not collect counts as present.
    """
    collected_files = {test_id.split("::")[0] for test_id in collected}
    return [
        test_id
        for test_id in listed
        if test_id not in collected
        and (test_id.split("::")[0] in collected_files or test_id.split("::")[0] not in test_files)
    ]
