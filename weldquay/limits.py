"""Resource limits of one process, used to size its connection tables and to check a configuration."""

from __future__ import annotations

MAX_PORT = 65535
MIN_SOCKETS = 128  # minimum limit of file descriptors, for clients and workers together
MIN_MEMORY_MB = 24  # minimum memory limit that a configuration may have
# File descriptors that the connection limits leave free: 22 for the process and its operators' connections,
# 20 for connections that are accepted but not yet counted, 6 spare.
RESERVED_DESCRIPTORS = 48
MAX_HEAD_LINES = 256  # lines of the head of a message, and of the trailers of a chunked body
MAX_WHITESPACE_RUN = 64  # bytes of spaces and tabs in a row in a head
MAX_ENDPOINTS = 8192  # workers that are listed at a time
MAX_JSON_OBJECTS = 4 * MAX_ENDPOINTS  # objects and arrays in one value of discovery
MAX_JSON_ITEMS = 32 * MAX_ENDPOINTS  # commas and colons in it, so members and items
MAX_NAMES = 4096  # zones, and machine kinds, that are told apart
MAX_BANS = 4096  # workers that operators have banned
MAX_FORWARDED_CALLBACK_BYTES = 1024 * 1024  # of callbacks that wait for the other process of a hot restart
MAX_NAME_LENGTH = 1024  # characters of an id, a zone or a machine kind in the endpoint list
MAX_NUMBER = 2**53  # magnitude of a number in the endpoint list; larger ones are not exact as floats
MAX_REPORT_VALUE = 1e9  # of a figure in a load report; larger ones would exceed the precision of sums
MAX_REASON_LENGTH = 200  # characters of the text that describes a bad request to its client
WORKER_DESCRIPTORS_IN_TENTHS = 3  # of the descriptors, for connections to workers
CONNECTION_BYTES = 128 * 1024  # upper bound for one connection: its body, its read buffer and its objects
BASE_MEMORY_MB = 32  # used by the process without clients, with the list of a small fleet
WORKER_BYTES = 8 * 1024  # of a worker of the endpoint list, with its share of departed ones
IDLE_CONNECTION_BYTES = 16 * 1024  # objects of a connection without a request
MIN_CLIENT_CONNECTIONS = 64  # however low the memory limit, as far as there are descriptors
UNREAD_BYTES = 32 * 1024  # of one client connection, while reading is paused
BUFFER_OVERHEAD = 1.5  # memory of the process for each byte that connections hold, with copies and fragments
MIN_BUFFERED_BYTES = 512 * 1024  # received and unsent bytes of all connections, however low the memory limit
READ_AHEAD_FRACTION = 1 / 4  # of the buffered bytes, for requests that are sent before an answer
