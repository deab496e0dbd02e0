"""The checker: applies all rules to a configuration in one pass and collects their findings.

The dispatcher calls `errors` at its start and on a reload; the command line calls `check`.  Both apply the
same rules.
"""

from __future__ import annotations

import bisect
from collections.abc import Sequence
from dataclasses import replace
from typing import Any

from weldquay.config import reading
from weldquay.config.catalogue import Catalogue
from weldquay.config.rules import RULES, CheckContext, Finding, Level, Rule

MAX_FINDINGS_PER_RULE = 1000  # limits the output if every entry of a long list has the same error


def check(data: bytes, catalogue: Catalogue | None = None, sidecar: bool = False) -> list[Finding]:
    """Return all findings in the bytes of a file: errors first, then by position."""
    try:
        text = reading.decode(data)
        document = reading.parse(text)
    except reading.ReadingError as error:
        return [Finding("WQ002", True, (), str(error), error.line, error.column)]
    if not isinstance(document, dict):
        return [
            Finding("WQ002", True, (), f"the file contains {_type_name(document)}, not a JSON object", 1, 1)
        ]
    findings = run_rules(CheckContext(document, catalogue, sidecar))
    located = _locate(text, findings)
    return sorted(
        located, key=lambda finding: (not finding.error, finding.line, finding.column, finding.rule)
    )


def errors(document: dict[str, Any], catalogue: Catalogue | None = None) -> list[Finding]:
    """Return the findings that prevent a start of the dispatcher."""
    return [finding for finding in run_rules(CheckContext(document, catalogue)) if finding.error]


def run_rules(context: CheckContext) -> list[Finding]:
    """Return the findings in a decoded document, without line and column."""
    findings = []
    for rule in applicable_rules(context.catalogue):
        if rule.check is None:
            continue
        error = rule.level is Level.ALWAYS or (rule.level is Level.SITE and context.catalogue is not None)
        for count, (path, text) in enumerate(rule.check(context)):
            if count >= MAX_FINDINGS_PER_RULE:
                break
            findings.append(Finding(rule.id, error, path, text))
    return findings


def applicable_rules(catalogue: Catalogue | None) -> list[Rule]:
    """Return the rules that apply with this catalogue, or without one, ordered by id."""
    return [rule for _, rule in sorted(RULES.items()) if catalogue is not None or not rule.needs_catalogue]


def skipped_rules(catalogue: Catalogue | None) -> list[Rule]:
    """Return the rules that are skipped because they need a catalogue."""
    return [rule for _, rule in sorted(RULES.items()) if catalogue is None and rule.needs_catalogue]


def _type_name(value: object) -> str:
    names = {list: "a list", str: "a string", bool: "true or false", type(None): "null"}
    return names.get(type(value), "a number")


def _locate(text: str, findings: Sequence[Finding]) -> list[Finding]:
    """Add line and column of the value to each finding; of the nearest enclosing value if it is absent."""
    if not findings:
        return []
    offsets: dict[reading.KeyPath, int] = {}
    wanted = {finding.steps[:n] for finding in findings for n in range(len(finding.steps) + 1)}
    for path, offset in reading.value_offsets(text):
        if path in wanted:
            offsets.setdefault(path, offset)
    located = []
    line_index = _LineIndex(text)
    for finding in findings:
        prefixes = (finding.steps[:n] for n in range(len(finding.steps), -1, -1))
        offset = next(offsets[prefix] for prefix in prefixes if prefix in offsets)
        line, column = line_index.line_and_column(offset)
        located.append(replace(finding, line=line, column=column))
    return located


class _LineIndex:
    """Converts offsets in a text to lines and columns, by binary search."""

    def __init__(self, text: str) -> None:
        self.line_starts = [0, *(n + 1 for n, character in enumerate(text) if character == "\n")]

    def line_and_column(self, offset: int) -> tuple[int, int]:
        line = bisect.bisect_right(self.line_starts, offset)
        return line, offset - self.line_starts[line - 1] + 1
