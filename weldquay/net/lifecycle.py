"""The phases of the process; docs/architecture.md has the table of the transitions."""

from __future__ import annotations

import asyncio
import logging
import time
from enum import Enum

log = logging.getLogger(__name__)


class Phase(Enum):
    """The phases between the start and the exit of the process; the values are in log lines."""

    STARTING = "starting"
    SERVING = "serving"
    RELOADING = "reloading"  # applies a new configuration, then returns to the phase before
    OUT_OF_SERVICE = "out of service"  # drained by operators, until they return it to service
    MIGRATING = "handed over"  # a newer process has the listener; open requests end here or migrate
    DRAINING = "draining"  # /_health answers 503; clients that keep their connections are served
    CLOSING = "closing"  # each connection closes after its answer
    STOPPING = "stopping"  # no request and no attempt is open; the parts are stopped
    STOPPED = "stopped"


class Lifecycle:
    """The phase of one process, and the request to shut down."""

    def __init__(self, name: str) -> None:
        """Start in the phase STARTING; name: the dispatcher's, for log lines."""
        self.name = name
        self.phase = Phase.STARTING
        self.started_at = time.monotonic()  # seconds
        self.shutdown_requested = asyncio.Event()
        self.shutdown_requested_at = 0.0  # seconds; 0: not requested

    def enter(self, phase: Phase) -> None:
        """Change the phase."""
        self.phase = phase
        log.info("%s is %s", self.name, phase.value)

    def request_shutdown(self) -> None:
        """Request the shutdown; SIGKILL follows the first request after a time, also during a start."""
        self.shutdown_requested_at = self.shutdown_requested_at or time.monotonic()
        self.shutdown_requested.set()

    @property
    def allows_hot_restart(self) -> bool:
        """True while a newer process can take over from this one."""
        return self.phase in (Phase.SERVING, Phase.OUT_OF_SERVICE)
