"""Candidate workers for a request.

`CandidateIndex` returns the workers that may run a job.  It keeps them in groups of equal workers, so that
the cost of a decision depends on the number of groups instead of the number of workers.  Events update the
index, and a calendar queue holds the times at which a worker's group may change without an event.
`QueueOrder` orders the queued requests.

The package does no I/O, reads no clock and draws no random numbers.
"""
