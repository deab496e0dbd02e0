"""Numbers of the zones and machine kinds that discovery names."""

from __future__ import annotations

from weldquay.limits import MAX_NAMES


class NameNumbers(dict[str, int]):
    """Numbers of names.  Names beyond MAX_NAMES share the last number, and are not stored."""

    def __missing__(self, name: str) -> int:
        """Assign the next number to a name."""
        if len(self) >= MAX_NAMES:
            return MAX_NAMES
        number = self[name] = len(self)
        return number


def assign_numbers(names: tuple[str, ...]) -> NameNumbers:
    """Number the names in order; looking up a further name assigns the next number, up to MAX_NAMES."""
    numbers = NameNumbers()
    numbers.update({name: number for number, name in enumerate(names)})
    return numbers
