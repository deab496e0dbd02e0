"""Scale runs: real and hollow dispatchers with stand-in workers and a stand-in discovery.

    python -m weldquay.lab.scale run --json result.json
    python -m weldquay.lab.scale decisions --json result.json
    python -m weldquay.lab.scale check
    python -m weldquay.lab.scale page result.json docs/CAPACITY.md

A hollow dispatcher watches the list, listens for callbacks, probes workers and sends them jobs as a real one
does, but makes few decisions, so that one process can run hundreds of them.  Everything runs on loopback.
The processes are the command itself (`fleet`), one for each role (`child`), and the real dispatchers, which
the role `real` starts.
"""
