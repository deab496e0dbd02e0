"""The bans of operators, kept over an upgrade in a file of $TMPDIR."""

from __future__ import annotations

import logging
import os
import tempfile
from collections.abc import Iterable
from pathlib import Path
from urllib.parse import quote

import ujson

log = logging.getLogger(__name__)


def place(name: str, suffix: str) -> Path:
    """A file of this dispatcher in $TMPDIR."""
    return Path(tempfile.gettempdir()) / f"weldquay-{quote(name, safe='')}{suffix}"


class Bans:
    """The file; whole at every moment, since it is replaced by a rename."""

    def __init__(self, name: str) -> None:
        self.path = place(name, ".bans")

    def read(self) -> set[str]:
        """The ids that are banned; a file that cannot be understood is logged, and holds none."""
        try:
            told = ujson.loads(self.path.read_bytes())
            if not isinstance(told, list) or not all(isinstance(each, str) for each in told):
                raise ValueError("it holds no list of ids")
        except FileNotFoundError:
            return set()
        except (OSError, ValueError) as error:
            log.error("the bans in %s are not taken over: %s", self.path, error)
            return set()
        return set(told)

    def write(self, ids: Iterable[str]) -> None:
        """Keep these; a failure is logged, since the bans hold in this process all the same."""
        fresh = self.path.with_suffix(f".{os.getpid()}")
        try:
            fresh.write_bytes(ujson.dumps(sorted(ids)).encode())
            fresh.replace(self.path)
        except OSError as error:
            log.error("the bans cannot be kept in %s: %s", self.path, error)
