"""The phases of the program; docs/architecture.md has the table of what leads from one to another."""

from __future__ import annotations

from enum import Enum


class Phase(Enum):
    """The phases between the start and the exit of the process; the values are in log lines."""

    STARTING = "starting"
    SERVING = "serving"
    RELOADING = "reloading"  # applies a new configuration, then returns to the phase before
    OUT_OF_SERVICE = "out of service"  # drained by operators, until they end that
    HANDED_OVER = "handed over"  # a newer process has the listener; open calls end here or are passed on
    DRAINING = "draining"  # /_health answers 503; clients that stay are served
    CLOSING = "closing"  # each connection closes after its answer
    STOPPING = "stopping"  # no call and no attempt is open; the parts are stopped
    STOPPED = "stopped"
