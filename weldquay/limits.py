"""Limits of one process: its sockets keep them, and a configuration is checked against them."""

from __future__ import annotations

MAX_PORT = 65535
MIN_SOCKETS = 128  # file descriptors, for clients and workers together
MIN_MEMORY_MB = 24  # the program without connections takes about 14 MB
RESERVED_DESCRIPTORS = 48  # 22 of the program and its operators, 20 accepted but not counted, 6 spare
CONNECTION_BYTES = 128 * 1024  # limit of one connection: its body, its read buffer, its objects
BASE_MEMORY_MB = 20  # of the program without clients
