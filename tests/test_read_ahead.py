"""The limits on the read-ahead of client connections."""

from __future__ import annotations

from weldquay.net.read_ahead import (
    MAX_READ_AHEAD_BYTES,
    READ_AHEAD_ALLOWANCE_BYTES,
    ReadAhead,
    ReadAheadBudget,
)


def test_the_allowance_does_not_depend_on_the_budget() -> None:
    """Each connection has its allowance, even if others have used up the budget."""
    budget = ReadAheadBudget(0)
    read_aheads = [ReadAhead(budget) for _ in range(3)]
    assert all(read_ahead.accept(READ_AHEAD_ALLOWANCE_BYTES) for read_ahead in read_aheads)
    assert budget.used_bytes == 3 * READ_AHEAD_ALLOWANCE_BYTES
    assert not read_aheads[0].accept(1) and read_aheads[0].is_exceeded


def test_above_the_allowance_the_budget_is_shared() -> None:
    """The bytes of one connection reduce the budget of the others until they are released."""
    budget = ReadAheadBudget(3 * READ_AHEAD_ALLOWANCE_BYTES)
    first, second, third = (ReadAhead(budget) for _ in range(3))
    assert first.accept(2 * READ_AHEAD_ALLOWANCE_BYTES)
    assert not second.accept(2 * READ_AHEAD_ALLOWANCE_BYTES) and second.size == 0
    first.set_size(0)
    assert budget.used_bytes == 0 and third.accept(2 * READ_AHEAD_ALLOWANCE_BYTES)


def test_no_connection_exceeds_its_maximum() -> None:
    """After the first dropped bytes all later ones are dropped, since the stream would have a gap."""
    read_ahead = ReadAhead(ReadAheadBudget(10 * MAX_READ_AHEAD_BYTES))
    assert read_ahead.accept(MAX_READ_AHEAD_BYTES) and not read_ahead.accept(1)
    read_ahead.set_size(0)
    assert read_ahead.is_exceeded and not read_ahead.accept(1)


def test_only_bytes_within_the_allowance_migrate() -> None:
    """The read-ahead has to fit into a hot-restart packet."""
    read_ahead = ReadAhead(ReadAheadBudget(MAX_READ_AHEAD_BYTES))
    assert read_ahead.accept(READ_AHEAD_ALLOWANCE_BYTES) and read_ahead.is_migratable
    assert read_ahead.accept(1) and not read_ahead.is_migratable
