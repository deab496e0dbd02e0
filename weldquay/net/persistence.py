"""State files in $TMPDIR for the next process of the same dispatcher: bans and the running configuration."""

from __future__ import annotations

import logging
import os
import tempfile
from collections.abc import Iterable
from pathlib import Path
from typing import Any
from urllib.parse import quote

import ujson

log = logging.getLogger(__name__)


def state_path(name: str, suffix: str) -> Path:
    """Return the path of a state file of the dispatcher with this name."""
    return Path(tempfile.gettempdir()) / f"weldquay-{quote(name, safe='')}{suffix}"


class StateFile:
    """A JSON file that is replaced atomically, by a rename."""

    def __init__(self, name: str, suffix: str) -> None:
        """Use the state file of the dispatcher with this name."""
        self.path = state_path(name, suffix)

    def read(self) -> Any:
        """Return the value in the file, or None if the file is missing or unreadable.

        An unreadable file is logged.
        """
        try:
            return ujson.loads(self.path.read_bytes())
        except FileNotFoundError:
            return None
        except (OSError, ValueError) as error:
            self.log_error("ignored", error)
            return None

    def write(self, value: object) -> None:
        """Replace the value.  A failure is only logged, since this process does not depend on the file."""
        temporary_path = self.path.with_suffix(f".{os.getpid()}")
        try:
            temporary_path.write_bytes(ujson.dumps(value).encode())
            temporary_path.replace(self.path)
        except OSError as error:
            self.log_error("not written", error)

    def log_error(self, event: str, reason: object) -> None:
        """Log an error with this file."""
        log.error("state file %s %s: %s", self.path, event, reason)


class BanList:
    """The persisted ids of the workers that operators have banned."""

    def __init__(self, name: str) -> None:
        """Use the ban file of the dispatcher with this name."""
        self.file = StateFile(name, ".bans")

    def read(self) -> set[str]:
        """Return the banned ids; a file with any other content is logged and ignored."""
        value = self.file.read()
        if value is None:
            return set()
        if not isinstance(value, list) or not all(isinstance(worker_id, str) for worker_id in value):
            self.file.log_error("ignored", "not a list of ids")
            return set()
        return set(value)

    def write(self, worker_ids: Iterable[str]) -> None:
        """Replace the banned ids."""
        self.file.write(sorted(worker_ids))
