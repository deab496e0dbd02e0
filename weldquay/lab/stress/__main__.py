"""Command line of the stress plays; the exit status is 1 if a play violated a rule."""

from __future__ import annotations

import argparse
import asyncio
import sys
from pathlib import Path

from weldquay.lab.stress.play import ROOT, PlaySettings, behaviours, play

MAX_VIOLATIONS_PRINTED = 4


def main() -> int:
    """Parse the command line, and run the plays one after the other."""
    parser = argparse.ArgumentParser(
        "python -m weldquay.lab.stress", description="Misbehaving clients beside ordinary ones."
    )
    parser.add_argument("names", nargs="+", metavar="NAME", help="behaviours, or all")
    parser.add_argument("--memory-mb", type=int, default=192)
    parser.add_argument("--sockets", type=int, default=1024)
    parser.add_argument("--clients", type=int, default=600, help="size of a crowd")
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--cpu", type=float, default=1.0, help="fraction of a core that the process gets")
    parser.add_argument("--source", type=Path, default=ROOT, help="checkout whose dispatcher runs")
    options = parser.parse_args()
    settings = PlaySettings(
        options.memory_mb,
        options.sockets,
        options.clients,
        options.seconds,
        cpu_fraction=options.cpu,
        source=options.source,
    )
    failed = []
    for behaviour in behaviours(options.names):
        result = asyncio.run(play(behaviour, settings))
        print(result.summary(), flush=True)
        for violation in result.violations()[:MAX_VIOLATIONS_PRINTED]:
            print(f"    {violation}", flush=True)
        if result.violations():
            failed.append(behaviour.name.lower())
    print(f"{len(failed)} plays violated a rule", *failed)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
