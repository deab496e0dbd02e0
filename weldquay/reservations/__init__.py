"""Reservations of worker capacity for jobs that need several slots, by EASY backfill (Lifka 1995).

`BackfillScheduler` reserves a worker for a large job and decides which other jobs may run there first.
`Timetable` estimates when a worker has free slots and memory.  `settings` reads the operators' file.

The package does no I/O beyond that file, reads no clock and draws no random numbers.
"""
