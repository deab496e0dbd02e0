"""A scale run: real dispatchers beside hollow ones, against stand-in workers and a stand-in discovery.

    python -m weldquay.lab.scale run --json result.json
    python -m weldquay.lab.scale decisions --json result.json
    python -m weldquay.lab.scale check
    python -m weldquay.lab.scale page result.json docs/CAPACITY.md

A hollow dispatcher holds a watch, has a listener for callbacks, probes workers and sends them jobs as a real
one does, but decides little: hundreds run in one process.  Everything is on loopback.  The processes are the
command itself (`fleet`), one for each role (`child`) and the real dispatchers, which the role `real` starts.
"""
