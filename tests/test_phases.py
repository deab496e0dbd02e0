"""The phases and the events between them, as the table of docs/architecture.md has them."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

import pytest

from tests.newer_process import newer_process
from tests.site import document, site, until
from weldquay.net import dispatcher_process as program
from weldquay.net.config import config_from_document
from weldquay.net.dispatcher_process import DispatcherProcess
from weldquay.net.lifecycle import Phase

PAGE = Path(__file__).parents[1] / "docs" / "architecture.md"


def read_table() -> list[tuple[str, str, str]]:
    """The cells as (phase, event, following phase or "no")."""
    text = PAGE.read_text().split("## Phases\n", 1)[1].split("\n## ", 1)[0]
    lines = [line for line in text.splitlines() if line[:1] == "|"]
    head, _, *rows = [[cell.strip() for cell in line.strip("|").split("|")] for line in lines]
    return [(row[0], event, cell) for row in rows for event, cell in zip(head[1:], row[1:], strict=True)]


async def enter_phase(phase: str, stack: AsyncExitStack) -> DispatcherProcess:
    """A process in that phase."""
    if phase == "starting":
        return DispatcherProcess(config_from_document({}, document()))
    here = await stack.enter_async_context(site())
    if phase == "out of service":
        here.program.service.take_out_of_service()
    elif phase == "handed over":
        await stack.enter_async_context(newer_process(here))
    elif phase != "serving":
        stack.callback(asyncio.create_task(here.program.shut_down()).cancel)
        if phase == "closing":  # and stay there
            here.workers[0].script = here.workers[0].accept
            request = asyncio.create_task(here.post())
            stack.callback(request.cancel)
        await until(lambda: here.program.phase.value == phase)
    return here.program


async def apply_event(here: DispatcherProcess, event: str, stack: AsyncExitStack) -> bool:
    """Apply an event; False where operators are refused."""
    if event in ("out-of-service", "in-service"):
        return (
            here.service.take_out_of_service()
            if event == "out-of-service"
            else here.service.return_to_service()
        )
    if event == "SIGHUP":
        here.reloader.requested.set()
        if here.phase is not Phase.STARTING:
            await until(lambda: not here.reloader.requested.is_set())
    elif event == "a newer process is ready":
        here.migration.start_migration()
    else:
        here.request_shutdown()
        if here.phase not in (Phase.STARTING, Phase.DRAINING, Phase.CLOSING):
            ending = asyncio.create_task(here.shut_down())
            await asyncio.sleep(0)  # the phase that follows at once; after a handover it is soon over
            stack.callback(ending.cancel)
    return True


@pytest.mark.parametrize(("phase", "event", "follows"), read_table())
def test_each_event_leads_to_the_phase_of_the_table(
    phase: str, event: str, follows: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The operators' answer, and the phase that follows."""

    async def scenario() -> None:
        async with AsyncExitStack() as stack:
            here = await enter_phase(phase, stack)
            assert here.phase.value == phase
            is_done = await apply_event(here, event, stack)
            if phase == "starting" and event == "SIGTERM":
                assert here.lifecycle.shutdown_requested.is_set()  # `run` drains once the start is over
            else:
                assert is_done == (follows != "no")
                assert here.phase.value == (phase if follows == "no" else follows)

    monkeypatch.setattr(program, "DRAIN_KEEP_CONNECTIONS_S", 0.1 if phase == "closing" else 1.0)
    monkeypatch.setenv("GW_CONFIG", "/nowhere")  # a reload is refused, and goes through its phase
    asyncio.run(scenario())


def test_the_table_has_all_phases_that_last() -> None:
    """All but RELOADING, which ends within a turn of the loop, and the phases of the end."""
    rows = {phase for phase, _, _ in read_table()}
    assert rows == {phase.value for phase in Phase} - {"reloading", "stopping", "stopped"}
    seen: Any = {event for _, event, _ in read_table()}
    assert len(seen) == 5
