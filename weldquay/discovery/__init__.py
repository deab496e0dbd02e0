"""How a dispatcher asks discovery for the list of workers.  No I/O, no clock."""
