"""The rules that a configuration is checked by, each with a stable id.

A rule is a function that yields what it finds.  `always` rules bind the program too; `site` rules bind it
where it is told a catalogue, and are warnings without one; `advice` never stops a start.
"""

from __future__ import annotations

from weldquay.config.rules import customers, jobs, keys, limits, times, whole
from weldquay.config.rules.base import RULES, Finding, Level, Rule, Where

__all__ = [
    "RULES",
    "Finding",
    "Level",
    "Rule",
    "Where",
    "customers",
    "jobs",
    "keys",
    "limits",
    "times",
    "whole",
]
