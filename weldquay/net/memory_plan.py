"""How the limits of a process are divided among its connections and what they hold."""

from __future__ import annotations

from dataclasses import dataclass

from weldquay.limits import (
    BASE_MEMORY_MB,
    BUFFER_OVERHEAD,
    IDLE_CONNECTION_BYTES,
    MIN_BUFFERED_BYTES,
    MIN_CLIENT_CONNECTIONS,
    READ_AHEAD_FRACTION,
    RESERVED_DESCRIPTORS,
    UNREAD_BYTES,
    WORKER_BYTES,
    WORKER_DESCRIPTORS_IN_TENTHS,
)
from weldquay.net.connection_table import MIN_CONNECTIONS

MIB = 1024 * 1024


@dataclass(frozen=True, slots=True)
class MemoryPlan:
    """The limits that follow from `limits.sockets` and `limits.memory_mb`.

    Attributes:
        worker_connections: the limit on connections to workers.
        client_connections: the limit on connections of clients and of workers' callbacks.
        buffered_bytes: the limit on received and unsent bytes of all connections.
        read_ahead_bytes: the part of it for requests that are sent before the last one is answered.
    """

    worker_connections: int
    client_connections: int
    buffered_bytes: int
    read_ahead_bytes: int


def plan_memory(memory_mb: int, sockets: int, workers: int = 0) -> MemoryPlan:
    """Return the plan of a process; workers: the number of workers in its endpoint list.

    Connections without a request get at most half of the memory beyond that of the process itself.
    """
    available_bytes = max(0, (memory_mb - BASE_MEMORY_MB) * MIB - workers * WORKER_BYTES)
    worker_connections = sockets * WORKER_DESCRIPTORS_IN_TENTHS // 10
    client_bytes = IDLE_CONNECTION_BYTES + UNREAD_BYTES
    descriptors = max(MIN_CONNECTIONS, sockets - worker_connections - RESERVED_DESCRIPTORS)
    client_connections = min(descriptors, max(MIN_CLIENT_CONNECTIONS, available_bytes // 2 // client_bytes))
    connections_bytes = client_connections * client_bytes + worker_connections * IDLE_CONNECTION_BYTES
    buffered_bytes = int((available_bytes - connections_bytes) / BUFFER_OVERHEAD)
    buffered_bytes = max(MIN_BUFFERED_BYTES, buffered_bytes)
    return MemoryPlan(
        worker_connections, client_connections, buffered_bytes, int(buffered_bytes * READ_AHEAD_FRACTION)
    )
