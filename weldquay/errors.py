"""Base class of the errors that operators see: what happened, where, and how to fix it.

Each cause has a class of its own, with its own code and remedy; the command line, the log and the operators'
interface show both.  An error that is handled inside the program does not need such a class.
"""

from __future__ import annotations

from typing import ClassVar


class OperatorError(Exception):
    """Base class of all errors that operators see.

    what: a short description; where: a file, a key or an address, empty if `what` already names it.
    """

    error_code: ClassVar[str] = "operator-error"  # appears in responses and logs, so it must not change
    remedy: ClassVar[str] = ""  # what an operator can do about it

    def __init__(self, what: str, where: str = "") -> None:
        super().__init__(f"{where}: {what}" if where else what)
        self.what = what
        self.where = where

    def advice(self) -> str:
        """The error and its remedy in one line, for a terminal or a log."""
        return f"{' '.join(str(self).split())}; what to do: {self.remedy}"

    def as_json(self) -> dict[str, str]:
        """The error as the object of a JSON response."""
        return {"error": self.error_code, "what": self.what, "where": self.where, "remedy": self.remedy}
