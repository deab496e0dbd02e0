"""The packet format of the hot-restart link: a line of JSON, binary data and an optional file descriptor."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import ujson

KIND = "kind"  # the name of the first field of the JSON object, which holds the kind of the packet
NO_DESCRIPTOR = -1


@dataclass(frozen=True, slots=True)
class Packet:
    """A packet: its kind, the other fields of its JSON object, and the binary data after it.

    The receiver of a descriptor owns it and closes it.
    """

    kind: str
    fields: dict[str, Any]
    data: bytes = b""
    descriptor: int = NO_DESCRIPTOR

    @property
    def has_descriptor(self) -> bool:
        """Whether the packet carries a file descriptor."""
        return self.descriptor != NO_DESCRIPTOR

    def encode(self) -> bytes:
        """Serialize the packet, without its descriptor."""
        return ujson.dumps({KIND: self.kind, **self.fields}).encode() + b"\n" + self.data

    @classmethod
    def decode(cls, encoded: bytes, descriptor: int = NO_DESCRIPTOR) -> Packet:
        """Parse a packet from its bytes and the descriptor that was received with them.

        Raises:
            ValueError: the bytes are malformed.
        """
        head, _, data = encoded.partition(b"\n")
        fields = ujson.loads(head)
        kind = fields.pop(KIND, None) if isinstance(fields, dict) else None
        if isinstance(kind, str):
            return cls(kind, fields, data, descriptor)
        raise ValueError("packet has no kind")
