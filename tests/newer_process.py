"""A second process beside the one of a test's site, in the same event loop."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace

from tests.site import Site
from weldquay.net.config import Address
from weldquay.net.dispatcher_process import DispatcherProcess

DISPATCHER_NAME = "toy-dispatcher"  # in the example's configuration


@asynccontextmanager
async def newer_process(here: Site) -> AsyncIterator[DispatcherProcess]:
    """A newer process, started with a hot restart: the same client address, another one for operators."""
    listen = Address("127.0.0.1", here.program.server.port)
    newer = DispatcherProcess(replace(here.program.config, listen=listen))
    await newer.start()
    try:
        yield newer
    finally:
        newer.hot_restart.stop()
        for part in (newer.tasks, newer.operators, newer.discovery, newer.server, newer.workers):
            await part.stop()
