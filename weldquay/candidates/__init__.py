"""Candidate workers for a request, kept in groups so that a decision costs as much as there are groups.

`CandidateIndex` returns the workers that may run a job.  It is updated by events, and by a calendar of the
moments at which time alone changes a worker's group.  `QueueOrder` orders the queued requests.

The package does no I/O, reads no clock and draws no random numbers.
"""
