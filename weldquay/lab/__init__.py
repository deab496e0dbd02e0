"""Stand-ins for match workers, discovery and clients, and experiments that use them.

The dispatcher imports none of this.  `model` is the worker model, without I/O and clock.  `http`, `servers`
and `site` run it on loopback sockets; `simulated_fleet` and `virtual_time` run it against the dispatcher's
decisions alone, in virtual time.
"""
