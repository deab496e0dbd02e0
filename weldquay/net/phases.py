"""The phases of the program; docs/architecture.md has the table of what leads from one to another."""

from __future__ import annotations

from enum import Enum


class Phase(Enum):
    """Where the program is between its start and its exit."""

    STARTING = "starting"
    SERVING = "serving"
    RELOADING = "reloading"  # takes in a new configuration, then goes on as before
    OUT_OF_SERVICE = "out of service"  # emptied by its operators, until they want it back
    HANDED_OVER = "handed over"  # a newer process has the clients; calls in hand end here
    DRAINING = "draining"  # says that it wants no new clients, serves those that it has
    CLOSING = "closing"  # closes each connection after its answer
    STOPPING = "stopping"  # owes nothing any more
    STOPPED = "stopped"
