"""Limits on read-ahead: the bytes that clients send while a request of theirs waits for its response."""

from __future__ import annotations

# The read-ahead that each connection may always have.
READ_AHEAD_ALLOWANCE_BYTES = 16 * 1024
# The read-ahead of one connection while the total of all connections is within the shared budget.
MAX_READ_AHEAD_BYTES = 256 * 1024


class ReadAheadBudget:
    """The total read-ahead of all connections, and its limit."""

    __slots__ = ("max_bytes", "used_bytes")

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.used_bytes = 0


class ReadAhead:
    """The read-ahead of one connection."""

    __slots__ = ("budget", "is_exceeded", "size")

    def __init__(self, budget: ReadAheadBudget) -> None:
        self.budget = budget
        self.size = 0  # bytes
        self.is_exceeded = False  # bytes were dropped, so the connection closes after its response

    def accept(self, length: int) -> bool:
        """Count received bytes.  Return False if they exceed the limits, so that the caller drops them."""
        size = self.size + length
        if size > READ_AHEAD_ALLOWANCE_BYTES and (
            size > MAX_READ_AHEAD_BYTES or self.budget.used_bytes + length > self.budget.max_bytes
        ):
            self.is_exceeded = True
        if not self.is_exceeded:
            self.set_size(size)
        return not self.is_exceeded

    def set_size(self, size: int) -> None:
        """Set the size of the read-ahead, and adjust the shared budget."""
        self.budget.used_bytes += size - self.size
        self.size = size

    @property
    def is_migratable(self) -> bool:
        """Whether no bytes were dropped and the read-ahead fits into a hot-restart message."""
        return self.size <= READ_AHEAD_ALLOWANCE_BYTES and not self.is_exceeded
