"""A packet between two processes of one dispatcher: a line of JSON, then bytes, with a file descriptor."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import ujson

KIND = "kind"  # the name of the packet's kind, the first one in its JSON object


@dataclass(frozen=True, slots=True)
class Message:
    """A packet as it is sent: its kind, the other fields of its JSON object, and what follows them.

    Whoever receives a descriptor closes it; -1: there is none.
    """

    kind: str
    told: dict[str, Any]
    data: bytes = b""
    file: int = -1

    def encode(self) -> bytes:
        """The bytes of the packet."""
        return ujson.dumps({KIND: self.kind, **self.told}).encode() + b"\n" + self.data

    @classmethod
    def decode(cls, packet: bytes, file: int = -1) -> Message:
        """The message of a packet; ValueError where it is malformed."""
        head, _, data = packet.partition(b"\n")
        told = ujson.loads(head)
        if not isinstance(told, dict) or not isinstance(kind := told.pop(KIND, None), str):
            raise ValueError("a message without its kind")
        return cls(kind, told, data, file)
