"""A budget for the bytes that all connections hold, and the share of one connection."""

from __future__ import annotations


class BufferBudget:
    """The bytes that all connections hold, and their limit."""

    __slots__ = ("max_bytes", "used_bytes")

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.used_bytes = 0

    @property
    def is_exceeded(self) -> bool:
        """Whether the connections hold more than the limit."""
        return self.used_bytes > self.max_bytes


class BufferShare:
    """The bytes that one connection holds."""

    __slots__ = ("budget", "size")

    def __init__(self, budget: BufferBudget) -> None:
        self.budget = budget
        self.size = 0  # bytes

    def set_size(self, size: int) -> None:
        """Set the size of the share, and adjust the budget."""
        self.budget.used_bytes += size - self.size
        self.size = size
