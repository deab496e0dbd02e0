"""What a dispatcher writes down of jobs, attempts and workers.  No I/O, no clock, no decisions."""
