"""What can go wrong that an operator can do something about: what happened, where, and what to do.

Rules: one type for each cause, and each has a remedy of its own; the tool, the log and the operators' answers
all show it.  What is caught where it arises, and nobody is told of, needs no type of these.
"""

from __future__ import annotations

from typing import ClassVar


class OperatorError(Exception):
    """The root of them.  what: one plain phrase; where: a file, a key or an address, unless that says it."""

    error_code: ClassVar[str] = "operator-error"  # in answers and logs; external, so it stays as it is
    remedy: ClassVar[str] = ""

    def __init__(self, what: str, where: str = "") -> None:
        super().__init__(f"{where}: {what}" if where else what)
        self.what, self.where = what, where

    def advice(self) -> str:
        """One line for a terminal or a log: what happened, and what to do."""
        return f"{' '.join(str(self).split())}; what to do: {self.remedy}"

    def told(self) -> dict[str, str]:
        """The same for an answer in JSON."""
        return {"error": self.error_code, "what": self.what, "where": self.where, "remedy": self.remedy}
