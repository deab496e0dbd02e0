"""Bounds of one process, which its sockets keep and a configuration is checked against.  Constants only."""

from __future__ import annotations

MAX_PORT = 65535
LEAST_SOCKETS = 128  # below that there is no room for clients and workers side by side
LEAST_MEMORY_MB = 24  # the program alone holds about 14
RESERVE = 48  # descriptors: 22 of the program with its operators, 20 accepted and not counted, 6 spare
BYTES_EACH = 128 * 1024  # what a connection may hold at the most: a body, what is read ahead, its objects
BASE_MB = 20  # what the program holds without clients
