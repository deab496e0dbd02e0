"""Coordination of many dispatchers that do not communicate.

`slow_start` limits the work that all dispatchers together send to a worker that is warming up.  `subset`
assigns to each dispatcher the workers that it prefers.  Both hash numbers that all dispatchers know, by
rendezvous hashing (Thaler and Ravishankar 1998) and deterministic subsetting (Beyer et al., Site Reliability
Engineering, 2016, chapter 20).

The package does no I/O, reads no clock and draws no random numbers.
"""
