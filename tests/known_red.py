"""KNOWN-RED.txt: tests of real faults that could not be mended in time, which CI passes over and prints.

A line each: `test id | cause | issue`, three at most.  A listed test has to fail: one that passes fails.
"""

from __future__ import annotations

from collections.abc import Collection
from pathlib import Path

FILE = Path(__file__).parents[1] / "KNOWN-RED.txt"
MOST = 3


def read(text: str) -> dict[str, str]:
    """The cause and the issue of each listed test; ValueError where the file breaks its rules."""
    listed: dict[str, str] = {}
    for line in filter(str.strip, text.splitlines()):
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise ValueError(f"KNOWN-RED.txt: not `test id | cause | issue`: {line!r}")
        if parts[0] in listed:
            raise ValueError(f"KNOWN-RED.txt: listed twice: {parts[0]}")
        listed[parts[0]] = f"{parts[1]} (issue {parts[2]})"
    if len(listed) > MOST:
        raise ValueError(f"KNOWN-RED.txt: {len(listed)} lines, {MOST} at most")
    return listed


def unknown(listed: Collection[str], collected: Collection[str], files: Collection[str]) -> list[str]:
    """Listed tests that do not exist; files are those that were looked through or are there."""
    seen = {each.split("::")[0] for each in collected}
    return [
        each
        for each in listed
        if each not in collected and (each.split("::")[0] in seen or each.split("::")[0] not in files)
    ]
