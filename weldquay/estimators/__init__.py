"""Estimators of workers and networks, learned from what a dispatcher observes.

The package does no I/O, reads no clock and draws no random numbers.
"""
