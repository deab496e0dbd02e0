"""The state of requests, attempts and workers. No I/O, no clock, no decisions."""
