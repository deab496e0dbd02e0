"""Benchmarks that anyone can repeat; the tests run only the call counts of `benchmarks.cost`."""
