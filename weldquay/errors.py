"""Errors that operators see: what happened, where, and what to do.

Rules: one class for each cause, each with a code and a remedy of its own; the command line, the log and the
operators' interface show them.  An error that is handled where it arises needs no class of these.
"""

from __future__ import annotations

from typing import ClassVar


class OperatorError(Exception):
    """The root of the errors that operators see.

    what: one plain phrase; where: a file, a key or an address, empty if `what` names it.
    """

    error_code: ClassVar[str] = "operator-error"  # in responses and logs; external, so it does not change
    remedy: ClassVar[str] = ""  # what an operator can do

    def __init__(self, what: str, where: str = "") -> None:
        super().__init__(f"{where}: {what}" if where else what)
        self.what = what
        self.where = where

    def advice(self) -> str:
        """One line for a terminal or a log: what happened, and what to do."""
        return f"{' '.join(str(self).split())}; what to do: {self.remedy}"

    def as_json(self) -> dict[str, str]:
        """The fields of a JSON response."""
        return {"error": self.error_code, "what": self.what, "where": self.where, "remedy": self.remedy}
