"""The lifecycle phases and their transitions, compared with the table in docs/architecture.md."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

import pytest

from tests.newer_process import newer_process
from tests.site import document, site, until
from weldquay.net import dispatcher_process
from weldquay.net.config import config_from_document
from weldquay.net.dispatcher_process import DispatcherProcess
from weldquay.net.lifecycle import Phase

PAGE = Path(__file__).parents[1] / "docs" / "architecture.md"


def read_table() -> list[tuple[str, str, str]]:
    """Return the cells of the table as (phase, event, next phase or "no")."""
    text = PAGE.read_text().split("## Phases\n", 1)[1].split("\n## ", 1)[0]
    lines = [line for line in text.splitlines() if line[:1] == "|"]
    head, _, *rows = [[cell.strip() for cell in line.strip("|").split("|")] for line in lines]
    return [(row[0], event, cell) for row in rows for event, cell in zip(head[1:], row[1:], strict=True)]


async def enter_phase(phase: str, stack: AsyncExitStack) -> DispatcherProcess:
    """Start a process and bring it into a phase."""
    if phase == "starting":
        return DispatcherProcess(config_from_document({}, document()))
    test_site = await stack.enter_async_context(site())
    if phase == "out of service":
        test_site.process.service.take_out_of_service()
    elif phase == "handed over":
        await stack.enter_async_context(newer_process(test_site))
    elif phase != "serving":
        stack.callback(asyncio.create_task(test_site.process.shut_down()).cancel)
        if phase == "closing":  # an open request keeps the process in this phase
            test_site.workers[0].script = test_site.workers[0].accept
            request = asyncio.create_task(test_site.post())
            stack.callback(request.cancel)
        await until(lambda: test_site.process.phase.value == phase)
    return test_site.process


async def apply_event(process: DispatcherProcess, event: str, stack: AsyncExitStack) -> bool:
    """Apply an event; return False if it is an operator request that is refused."""
    if event in ("out-of-service", "in-service"):
        return (
            process.service.take_out_of_service()
            if event == "out-of-service"
            else process.service.return_to_service()
        )
    if event == "SIGHUP":
        process.reloader.requested.set()
        if process.phase is not Phase.STARTING:
            await until(lambda: not process.reloader.requested.is_set())
    elif event == "a newer process is ready":
        process.migration.start_migration()
    else:
        process.request_shutdown()
        if process.phase not in (Phase.STARTING, Phase.DRAINING, Phase.CLOSING):
            ending = asyncio.create_task(process.shut_down())
            await asyncio.sleep(0)  # the next phase is entered at once; after a hot restart it ends soon
            stack.callback(ending.cancel)
    return True


@pytest.mark.parametrize(("phase", "event", "next_phase"), read_table())
def test_each_event_leads_to_the_phase_of_the_table(
    phase: str, event: str, next_phase: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The result of the event and the next phase are those of the table."""

    async def scenario() -> None:
        async with AsyncExitStack() as stack:
            process = await enter_phase(phase, stack)
            assert process.phase.value == phase
            succeeded = await apply_event(process, event, stack)
            if phase == "starting" and event == "SIGTERM":
                assert process.lifecycle.shutdown_requested.is_set()  # `run` drains after the start
            else:
                assert succeeded == (next_phase != "no")
                assert process.phase.value == (phase if next_phase == "no" else next_phase)

    monkeypatch.setattr(dispatcher_process, "DRAIN_KEEP_CONNECTIONS_S", 0.1 if phase == "closing" else 1.0)
    monkeypatch.setenv("GW_CONFIG", "/nowhere")  # the reload fails, but passes through its phase
    asyncio.run(scenario())


def test_the_table_has_all_phases_that_last() -> None:
    """The table lacks RELOADING, which ends within one event-loop iteration, and the last two phases."""
    rows = {phase for phase, _, _ in read_table()}
    assert rows == {phase.value for phase in Phase} - {"reloading", "stopping", "stopped"}
    events: Any = {event for _, event, _ in read_table()}
    assert len(events) == 5
