"""The state of requests, attempts and workers, without I/O, clock or decisions."""
