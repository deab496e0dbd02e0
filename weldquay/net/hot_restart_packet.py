"""A packet between two processes of one dispatcher: a line of JSON, then bytes, with a file descriptor."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import ujson

KIND = "kind"  # the name of the packet's kind, the first one in its JSON object
NO_DESCRIPTOR = -1


@dataclass(frozen=True, slots=True)
class Packet:
    """A packet as it is sent: its kind, the other fields of its JSON object, and the bytes after it.

    The receiver of a descriptor closes it.
    """

    kind: str
    fields: dict[str, Any]
    data: bytes = b""
    descriptor: int = NO_DESCRIPTOR

    @property
    def has_descriptor(self) -> bool:
        """True where the packet carries a file descriptor."""
        return self.descriptor != NO_DESCRIPTOR

    def encode(self) -> bytes:
        """The bytes of the packet."""
        return ujson.dumps({KIND: self.kind, **self.fields}).encode() + b"\n" + self.data

    @classmethod
    def decode(cls, encoded: bytes, descriptor: int = NO_DESCRIPTOR) -> Packet:
        """The packet of its bytes.

        Raises:
            ValueError: the bytes are malformed.
        """
        head, _, data = encoded.partition(b"\n")
        fields = ujson.loads(head)
        kind = fields.pop(KIND, None) if isinstance(fields, dict) else None
        if isinstance(kind, str):
            return cls(kind, fields, data, descriptor)
        raise ValueError("packet without its kind")
