"""A match worker, as the worker client holds it."""

from __future__ import annotations

from dataclasses import dataclass, field

from weldquay.net.messages import Endpoint
from weldquay.net.worker_connection import WorkerConnection


@dataclass(slots=True, eq=False)
class WorkerEndpoint:
    """A worker's latest endpoint list entry, and its idle connections in the order of their last use."""

    endpoint: Endpoint
    is_banned: bool = False  # banned by operators
    idle_connections: list[WorkerConnection] = field(default_factory=list)

    @property
    def host_header(self) -> str:
        """The value of the Host header in requests to the worker."""
        return f"{self.endpoint.host}:{self.endpoint.port}"
