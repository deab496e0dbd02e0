"""Start the dispatcher: `python -m weldquay [--room FILE]`."""

from __future__ import annotations

import argparse
import asyncio
import logging
import os
import signal
import sys

from weldquay.net.config import Config, ConfigError, load, load_saved
from weldquay.net.dispatcher_process import DispatcherProcess
from weldquay.net.hot_restart import is_peer_listening
from weldquay.net.persistence import StateFile

log = logging.getLogger("weldquay")


def main() -> int:
    """Serve until SIGTERM and return the exit status.

    1: an address is unavailable; 2: the configuration is invalid.
    """
    parser = argparse.ArgumentParser("weldquay", description="Run one dispatcher; see README.md.")
    parser.add_argument("--room", metavar="FILE", help="file of reservation settings (default: $GW_ROOM)")
    if room := parser.parse_args().room:
        os.environ["GW_ROOM"] = room
    # SIGHUP would end the process until its handler is installed, so it is blocked until then.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    logging.basicConfig(
        stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(name)s: %(message)s"
    )
    if (config := _load_config()) is None:
        return 2
    return asyncio.run(_run(config))


def _load_config() -> Config | None:
    """Load the configuration; print one line on standard error and return None if it is invalid."""
    try:
        return load(os.environ)
    except ConfigError as error:
        if (config := _load_config_of_older_process()) is None:
            print(f"weldquay: {error.advice()}", file=sys.stderr)
        else:
            _report_older_config(error)
        return config


def _load_config_of_older_process() -> Config | None:
    """Load the configuration that a running older process has saved.

    An invalid file must not prevent a hot restart.
    """
    name = os.environ.get("GW_NAME", "")
    if not name or not is_peer_listening(name):
        return None
    return load_saved(os.environ, StateFile(name, ".config").read())


def _report_older_config(error: ConfigError) -> None:
    log.error("configuration error, using the older process's configuration: %s", error.advice())


async def _run(config: Config) -> int:
    """Run the dispatcher and return its exit status; whatever else ends it is logged."""
    try:
        return await DispatcherProcess(config).run()
    except BaseException:
        log.critical("%s ends because of an exception", config.name, exc_info=True)
        raise


if __name__ == "__main__":
    sys.exit(main())
