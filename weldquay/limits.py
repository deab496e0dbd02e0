"""Resource limits of one process, used to size its connection tables and to check a configuration."""

from __future__ import annotations

MAX_PORT = 65535
MIN_SOCKETS = 128  # minimum limit of file descriptors, for clients and workers together
MIN_MEMORY_MB = 24  # minimum memory limit; the process without connections takes about 14 MB
# File descriptors that the connection limits leave free: 22 for the process and its operators' connections,
# 20 for connections that are accepted but not yet counted, 6 spare.
RESERVED_DESCRIPTORS = 48
MAX_HEAD_LINES = 256  # lines of the head of a message, and of the trailers of a chunked body
MAX_WHITESPACE_RUN = 64  # bytes of spaces and tabs in a row in a head
MAX_REASON_LENGTH = 200  # characters of the text that describes a bad request to its client
CONNECTION_BYTES = 128 * 1024  # upper bound for one connection: its body, its read buffer and its objects
BASE_MEMORY_MB = 20  # used by the process without clients
