"""Control of when the connections of a test site handle what they have received."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from tests.site import Site


@asynccontextmanager
async def no_turns(test_site: Site, monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[None]:
    """Let all connections wait for their turns until the end of the block."""
    ended = asyncio.Event()

    async def wait(_last_turn_s: float) -> None:
        await ended.wait()

    with monkeypatch.context() as patch:
        scheduler = test_site.process.server.context.read_scheduler
        patch.setattr(scheduler, "must_wait", lambda _: True)
        patch.setattr(scheduler, "wait", wait)
        yield
    ended.set()
