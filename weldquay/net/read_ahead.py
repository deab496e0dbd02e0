"""Limits on read-ahead: the bytes that clients send while a request of theirs waits for its response."""

from __future__ import annotations

from dataclasses import dataclass

from weldquay.net.buffer_budget import BufferBudget, BufferShare

# The read-ahead that each connection may always have.
READ_AHEAD_ALLOWANCE_BYTES = 16 * 1024
# The read-ahead of one connection while the total of all connections is within the shared budget.
MAX_READ_AHEAD_BYTES = 256 * 1024


class ReadAheadBudget(BufferBudget):
    """The total read-ahead of all connections, and its limit."""


@dataclass(frozen=True, slots=True)
class ConnectionBudgets:
    """The budgets that client connections share.

    Attributes:
        buffers: what all connections of the process hold.
        read_ahead: the part of it that client connections hold behind open requests.
    """

    buffers: BufferBudget
    read_ahead: ReadAheadBudget


class ReadAhead(BufferShare):
    """The read-ahead of one connection."""

    __slots__ = ("is_exceeded",)

    def __init__(self, budget: ReadAheadBudget) -> None:
        super().__init__(budget)
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

    @property
    def is_migratable(self) -> bool:
        """Whether no bytes were dropped and the read-ahead fits into a hot-restart message."""
        return self.size <= READ_AHEAD_ALLOWANCE_BYTES and not self.is_exceeded
