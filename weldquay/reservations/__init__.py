"""Reservations of worker capacity for jobs that need several slots, by EASY backfill (Lifka 1995).

`BackfillScheduler` reserves workers for large jobs and decides which other jobs may run there before them.
`Timetable` estimates when a worker has free slots and memory.  `settings` reads the operators' settings file.

Apart from reading that file, the package does no I/O.  It reads no clock and draws no random numbers.
"""
