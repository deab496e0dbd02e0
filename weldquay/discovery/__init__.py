"""When to poll discovery for the endpoint list, and how long the list may be used.

`Backoff` returns the delay before each poll.  `ListLease` keeps the moment from which on no attempt is sent
by the list.  docs/design/discovery.md adds up the times for each kind of failure.

The package does no I/O and reads no clock; random numbers come from the caller's generator.
"""
