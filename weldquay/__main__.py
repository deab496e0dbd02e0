"""Start the real dispatcher: `python -m weldquay [--room FILE]`."""

from __future__ import annotations

import argparse
import asyncio
import logging
import os
import signal
import sys

from weldquay.net.config import ConfigError, load, load_kept
from weldquay.net.hot_restart import is_peer_listening
from weldquay.net.persistence import StateFile
from weldquay.net.dispatcher_process import DispatcherProcess


def main() -> int:
    """Serve until told to stop; the exit status (2 for a bad configuration)."""
    parser = argparse.ArgumentParser("weldquay", description="One dispatcher; see README.md.")
    parser.add_argument("--room", metavar="FILE", help="figures for holding room (or $GW_ROOM)")
    if room := parser.parse_args().room:
        os.environ["GW_ROOM"] = room
    # Until there is a handler SIGHUP waits: it asks for a reload and must never end the program.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    logging.basicConfig(
        stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(name)s: %(message)s"
    )
    try:
        config = load(os.environ)
    except ConfigError as error:
        # Guards against a file that is broken just when an upgrade starts.
        name = os.environ.get("GW_NAME", "")
        older = name and is_peer_listening(name) and load_kept(os.environ, StateFile(name, ".config").read())
        if not older:
            print(f"weldquay: {error.advice()}", file=sys.stderr)
            return 2
        logging.error("the older process's configuration is taken over, since %s", error.advice())
        config = older
    return asyncio.run(DispatcherProcess(config).run())


if __name__ == "__main__":
    sys.exit(main())
