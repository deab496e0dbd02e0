"""A hash function that gives the same results in all dispatchers."""

from __future__ import annotations

MASK_64 = 2**64 - 1


def mix64(value: int) -> int:
    """Return a 64-bit hash of a number (the finalizer of SplitMix64, Steele et al. 2014)."""
    value &= MASK_64
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & MASK_64
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & MASK_64
    return value ^ (value >> 31)
