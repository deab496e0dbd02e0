"""Workers in groups of equals, so that a decision costs as much as there are groups, not workers.

No I/O, no clock, no randomness: `Index` is told which workers an event has touched, and keeps a calendar of
the moments at which time alone changes what is true of one.  The decision module asks it at each draw.
"""
