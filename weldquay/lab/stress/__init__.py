"""Stress plays: one dispatcher process at given limits, ordinary clients, and clients that misbehave.

    python -m weldquay.lab.stress many-fields --memory-mb 192 --sockets 1024 --clients 600
    python -m weldquay.lab.stress all --source DIR     # the code of another checkout

`crowds` has hundreds of clients that write slowly or stop, `fast_peer` one client that sends as fast as it
can, `leavers` clients that leave with requests unread; `play` runs one of them beside ordinary clients and
measures the process.
"""
