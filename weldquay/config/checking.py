"""The checker: all findings in a configuration in one pass, by the table of rules.

The program calls `errors` at its start and at a reload; the tool calls `check`.  Both run the same rules.
"""

from __future__ import annotations

import bisect
from collections.abc import Sequence
from dataclasses import replace
from typing import Any

from weldquay.config import reading
from weldquay.config.catalogue import Catalogue
from weldquay.config.rules import RULES, CheckContext, Finding, Level, Rule

MAX_FINDINGS_PER_RULE = 1000  # a long list may have the same error in every entry


def check(data: bytes, catalogue: Catalogue | None = None, sidecar: bool = False) -> list[Finding]:
    """Return all findings in a file's bytes, errors first, then by their position."""
    try:
        text = reading.decode(data)
        document = reading.parse(text)
    except reading.ReadingError as error:
        return [Finding("WQ002", True, (), str(error), error.line, error.column)]
    if not isinstance(document, dict):
        return [Finding("WQ002", True, (), f"it holds {_kind(document)}, not one JSON object", 1, 1)]
    findings = run_rules(CheckContext(document, catalogue, sidecar))
    located = _locate(text, findings)
    return sorted(
        located, key=lambda finding: (not finding.error, finding.line, finding.column, finding.rule)
    )


def errors(document: dict[str, Any], catalogue: Catalogue | None = None) -> list[Finding]:
    """Return the findings that prevent a start."""
    return [finding for finding in run_rules(CheckContext(document, catalogue)) if finding.error]


def run_rules(context: CheckContext) -> list[Finding]:
    """Return the findings in a decoded document, without their positions."""
    findings = []
    for rule in applicable_rules(context.catalogue):
        if rule.check is None:
            continue
        error = rule.level is Level.ALWAYS or (rule.level is Level.SITE and context.catalogue is not None)
        for number, (steps, text) in enumerate(rule.check(context)):
            if number >= MAX_FINDINGS_PER_RULE:
                break
            findings.append(Finding(rule.id, error, steps, text))
    return findings


def applicable_rules(catalogue: Catalogue | None) -> list[Rule]:
    """Return the rules that can be applied with or without a catalogue, in the order of their ids."""
    return [rule for _, rule in sorted(RULES.items()) if catalogue is not None or not rule.needs_catalogue]


def left_out(catalogue: Catalogue | None) -> list[Rule]:
    """Return the rules that cannot be applied for want of a catalogue."""
    return [rule for _, rule in sorted(RULES.items()) if catalogue is None and rule.needs_catalogue]


def _kind(value: object) -> str:
    names = {list: "a list", str: "a text", bool: "true or false", type(None): "null"}
    return names.get(type(value), "a number")


def _locate(text: str, findings: Sequence[Finding]) -> list[Finding]:
    """Return the findings with line and column of the value, or of the object that lacks it."""
    if not findings:
        return []
    offsets: dict[reading.Steps, int] = {}
    wanted = {finding.steps[:n] for finding in findings for n in range(len(finding.steps) + 1)}
    for steps, offset in reading.places(text):
        if steps in wanted:
            offsets.setdefault(steps, offset)
    located = []
    lines = _Lines(text)
    for finding in findings:
        ways = (finding.steps[:n] for n in range(len(finding.steps), -1, -1))
        offset = next(offsets[way] for way in ways if way in offsets)
        line, column = lines.position(offset)
        located.append(replace(finding, line=line, column=column))
    return located


class _Lines:
    """Converts offsets of one text to lines and columns."""

    def __init__(self, text: str) -> None:
        self.starts = [0, *(n + 1 for n, finding in enumerate(text) if finding == "\n")]

    def position(self, offset: int) -> tuple[int, int]:
        line = bisect.bisect_right(self.starts, offset)
        return line, offset - self.starts[line - 1] + 1
