"""The rules that check a configuration, each with a stable id.

A rule is a function that yields the violations that it finds.  A violation of an `always` rule prevents the
program from starting.  A violation of a `site` rule does so if a site catalogue is given, and is a warning
otherwise.  A violation of an `advice` rule is a warning.
"""

from __future__ import annotations

from weldquay.config.rules import consistency, customers, jobs, keys, limits, times
from weldquay.config.rules.base import RULES, CheckContext, Finding, Level, Rule

__all__ = [
    "RULES",
    "CheckContext",
    "Finding",
    "Level",
    "Rule",
    "consistency",
    "customers",
    "jobs",
    "keys",
    "limits",
    "times",
]
