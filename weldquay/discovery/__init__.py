"""When to poll discovery for the endpoint list, and how long the list may be used.

`Backoff` computes the delay before each poll.  `ListLease` holds the time from which on no attempt may be
sent by the list.  docs/design/discovery.md adds up the times for each kind of failure.

The package does no I/O and reads no clock; callers pass in the time and the random generator.
"""
