"""Room planned over time: timetables of workers, and holds on them for jobs that need several slots.

No I/O, no clock, no randomness: what it is asked with is all it knows.  The decision module asks `Planner`;
`figures` reads the operators' file.
"""
