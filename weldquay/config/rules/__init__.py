"""The rules for configurations, each with a stable id.

A rule is a function that yields its findings.  A violation of an `always` rule prevents a start of the
program; one of a `site` rule does so where a catalogue is named, else it is a warning; one of an `advice`
rule is a warning.
"""

from __future__ import annotations

from weldquay.config.rules import customers, jobs, keys, limits, times, whole
from weldquay.config.rules.base import RULES, CheckContext, Finding, Level, Rule

__all__ = [
    "RULES",
    "CheckContext",
    "Finding",
    "Level",
    "Rule",
    "customers",
    "jobs",
    "keys",
    "limits",
    "times",
    "whole",
]
