"""Files in $TMPDIR that one process of a dispatcher keeps for the next: bans, the running configuration."""

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
    """A file of this dispatcher in $TMPDIR."""
    return Path(tempfile.gettempdir()) / f"weldquay-{quote(name, safe='')}{suffix}"


class StateFile:
    """A JSON file that is whole at every moment, since it is replaced by a rename."""

    def __init__(self, name: str, suffix: str) -> None:
        self.path = state_path(name, suffix)

    def read(self) -> Any:
        """What it holds; None where there is no file, or, logged, none that can be understood."""
        try:
            return ujson.loads(self.path.read_bytes())
        except FileNotFoundError:
            return None
        except (OSError, ValueError) as error:
            log.error("%s is not taken over: %s", self.path, error)
            return None

    def write(self, value: object) -> None:
        """Keep a value; a failure is logged, since this process does not need the file."""
        fresh = self.path.with_suffix(f".{os.getpid()}")
        try:
            fresh.write_bytes(ujson.dumps(value).encode())
            fresh.replace(self.path)
        except OSError as error:
            log.error("%s cannot be kept: %s", self.path, error)


class BanList:
    """The ids of workers that operators took out."""

    def __init__(self, name: str) -> None:
        self.file = StateFile(name, ".bans")

    def read(self) -> set[str]:
        """The ids; none from a file that holds anything else."""
        told = self.file.read()
        if told is not None and not (isinstance(told, list) and all(isinstance(each, str) for each in told)):
            log.error("%s is not taken over: it holds no list of ids", self.file.path)
            return set()
        return set(told or ())

    def write(self, ids: Iterable[str]) -> None:
        """Keep these."""
        self.file.write(sorted(ids))
