"""A match worker as the workers' side holds it."""

from __future__ import annotations

from dataclasses import dataclass, field

from weldquay.net.messages import Endpoint
from weldquay.net.worker_connection import WorkerConnection


@dataclass(slots=True, eq=False)
class WorkerEndpoint:
    """A worker's latest entry in the endpoint list, and its idle connections in the order of last use."""

    endpoint: Endpoint
    is_banned: bool = False  # by operators
    idle_connections: list[WorkerConnection] = field(default_factory=list)

    @property
    def host_header(self) -> str:
        """The value of the Host header in requests to the worker."""
        return f"{self.endpoint.host}:{self.endpoint.port}"
