"""A match worker as the workers' side keeps it."""

from __future__ import annotations

from dataclasses import dataclass, field

from weldquay.net.messages import Member
from weldquay.net.outgoing import Connection


@dataclass(slots=True, eq=False)
class Worker:
    """A match worker as discovery last told of it, with its idle connections, last used last."""

    member: Member
    banned: bool = False  # by operators
    idle: list[Connection] = field(default_factory=list)

    @property
    def host(self) -> str:
        """The Host header of requests to it."""
        return f"{self.member.host}:{self.member.port}"
