"""The lifecycle phases of the process.  docs/architecture.md has the transition table."""

from __future__ import annotations

import asyncio
import logging
import time
from enum import Enum

log = logging.getLogger(__name__)


class Phase(Enum):
    """The phases of the process from start to exit.  The values appear in log lines."""

    STARTING = "starting"
    SERVING = "serving"
    RELOADING = "reloading"  # applying a new configuration; the previous phase follows
    OUT_OF_SERVICE = "out of service"  # drained by operators until they return it to service
    MIGRATING = "handed over"  # a newer process has the listener; open requests complete here or migrate
    DRAINING = "draining"  # /_health returns 503; requests on existing connections are served
    CLOSING = "closing"  # each connection closes after its response
    STOPPING = "stopping"  # no request or attempt is open; the components are being stopped
    STOPPED = "stopped"


class Lifecycle:
    """The current phase of the process, and whether its shutdown was requested."""

    def __init__(self, name: str) -> None:
        """Start in the phase STARTING; name is the dispatcher's name in log lines."""
        self.name = name
        self.phase = Phase.STARTING
        self.started_at = time.monotonic()  # seconds, monotonic clock
        self.shutdown_requested = asyncio.Event()
        self.shutdown_requested_at = 0.0  # seconds, monotonic clock; 0: not requested
        self.shutdown_reason = ""

    def enter(self, phase: Phase) -> None:
        """Enter a phase and log it."""
        self.phase = phase
        log.info("%s is %s", self.name, phase.value)

    def request_shutdown(self, reason: str) -> None:
        """Request the shutdown.

        The time of the first request counts, even during the start: the platform sends SIGKILL some time
        after its first SIGTERM.
        """
        self.shutdown_requested_at = self.shutdown_requested_at or time.monotonic()
        self.shutdown_reason = self.shutdown_reason or reason
        log.info("%s got %s while %s", self.name, reason, self.phase.value)
        self.shutdown_requested.set()

    @property
    def allows_hot_restart(self) -> bool:
        """Whether a newer process may take over from this one."""
        return self.phase in (Phase.SERVING, Phase.OUT_OF_SERVICE)
