"""A match worker as the workers' side keeps it."""

from __future__ import annotations

from dataclasses import dataclass, field

from weldquay.net.messages import Endpoint
from weldquay.net.worker_connection import WorkerConnection


@dataclass(slots=True, eq=False)
class WorkerEndpoint:
    """A match worker as discovery last told of it, with its idle connections, last used last."""

    endpoint: Endpoint
    is_banned: bool = False  # by operators
    idle_connections: list[WorkerConnection] = field(default_factory=list)

    @property
    def host(self) -> str:
        """The Host header of requests to it."""
        return f"{self.endpoint.host}:{self.endpoint.port}"
