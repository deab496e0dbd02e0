"""What a dispatcher learns of its site from what it sees: no I/O, no clock, no randomness."""
