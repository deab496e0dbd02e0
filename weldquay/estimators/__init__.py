"""Estimators of the site's behaviour, from what a dispatcher observes. No I/O, no clock, no randomness."""
