"""Limits of the bytes that clients send while a request of theirs waits for its answer."""

from __future__ import annotations

# Bytes that each connection may always send ahead.
READ_AHEAD_ALLOWANCE_BYTES = 16 * 1024
# Bytes that one connection may send ahead while all of them together stay within the shared budget.
MAX_READ_AHEAD_BYTES = 256 * 1024


class ReadAheadBudget:
    """The bytes that all connections together have sent ahead."""

    __slots__ = ("max_bytes", "used_bytes")

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.used_bytes = 0


class ReadAhead:
    """The bytes that one connection has sent ahead."""

    __slots__ = ("budget", "is_exceeded", "size")

    def __init__(self, budget: ReadAheadBudget) -> None:
        self.budget = budget
        self.size = 0  # bytes
        self.is_exceeded = False  # bytes were dropped: the connection closes after its answer

    def accept(self, length: int) -> bool:
        """Count received bytes; False where they exceed the limits and are to be dropped."""
        size = self.size + length
        if size > READ_AHEAD_ALLOWANCE_BYTES and (
            size > MAX_READ_AHEAD_BYTES or self.budget.used_bytes + length > self.budget.max_bytes
        ):
            self.is_exceeded = True
        if not self.is_exceeded:
            self.reset(size)
        return not self.is_exceeded

    def reset(self, size: int) -> None:
        """Set the number of bytes sent ahead."""
        self.budget.used_bytes += size - self.size
        self.size = size

    @property
    def is_migratable(self) -> bool:
        """True where no bytes were dropped and the others fit into a hot-restart message."""
        return self.size <= READ_AHEAD_ALLOWANCE_BYTES and not self.is_exceeded
