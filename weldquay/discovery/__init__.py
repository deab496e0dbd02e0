"""When to poll discovery for the endpoint list, and how long the list may be used.

`Backoff` computes the delay before each poll.  `ListLease` holds the time from which on the list may no
longer be used to send attempts.  docs/design/discovery.md adds up the times for each kind of failure.

The package does no I/O and reads no clock; callers pass in the time and the random generator.
"""
