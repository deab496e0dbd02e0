"""The scale run: hollow dispatchers beside real ones, nothing left behind, and the page's tables."""

from __future__ import annotations

import asyncio
import math
from typing import Any

import msgspec
import pytest

from weldquay.lab.scale import check, page
from weldquay.lab.scale.decisions import measure
from weldquay.lab.scale.fleet import ChildProcessFailed, Fleet, Measurement, Window, measure_point
from weldquay.lab.scale.points import Point
from weldquay.lab.scale.projections import crossing
from weldquay.lab.scale.results import Result, Slope, summarize

TINY = Point(
    "check", real=2, hollow=4, workers=6, changes=4.0, real_rate=5.0, hollow_rate=5.0, windows=1, seconds=2.5
)

TRIES = 4


@pytest.fixture(scope="module")
def tiny() -> tuple[Measurement, Fleet, list[int]]:
    """One tiny point, its fleet, and its processes that still run at the end.

    Played again where the machine stood still: what is compared was not measured then.
    """
    left: list[tuple[Fleet, list[int]]] = []
    for _ in range(TRIES):
        measurement = asyncio.run(
            measure_point(TINY, lambda fleet: left.append((fleet, fleet.running_pids())))
        )
        if check.steady_windows(measurement):
            break
    return measurement, left[-1][0], [pid for _, pids in left for pid in pids]


def test_nothing_is_left(tiny: tuple[Measurement, Fleet, list[int]]) -> None:
    """Four processes of the run and the real dispatchers have ended."""
    _, fleet, left = tiny
    assert len(fleet.pids) == 2 and len(fleet.children) == 4 and left == []


@pytest.mark.parametrize("name", [*check.PER_REQUEST_TOLERANCES, *check.PER_SECOND_TOLERANCES])
def test_hollow_ones_speak_as_real_ones_do(name: str, tiny: tuple[Measurement, Fleet, list[int]]) -> None:
    """The same messages and bytes within twice the part that the check at its own size allows.

    Its span holds 25 requests of the real ones: some are counted in it by half.
    """
    row = next(row for row in check.compare(tiny[0]) if row.name.split()[0] == name)
    assert row.real > 0 and row.relative_difference <= max(0.2, 2 * row.allowed), row


def test_all_requests_are_served(tiny: tuple[Measurement, Fleet, list[int]]) -> None:
    """Both sides' requests end well, but for those under way at the end."""
    figures = tiny[0].windows[0].figures
    for side in ("real", "hollow"):
        assert figures[f"{side}.served"] == pytest.approx(figures[f"{side}.requests"], rel=0.2)


def test_a_child_that_fails_ends_the_run_and_leaves_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    """A role that cannot start is an error with its role; the others end."""
    fleets: list[Fleet] = []

    async def broken(self: Fleet) -> None:
        fleets.append(self)
        await self.children["workers"].send_command("start", workers="many", real=1)

    monkeypatch.setattr(Fleet, "start", broken)
    with pytest.raises(ChildProcessFailed) as told:
        asyncio.run(measure_point(TINY))
    assert "workers" in told.value.advice() and fleets[0].running_pids() == []


def test_a_window_that_stood_still_is_no_measurement(tiny: tuple[Measurement, Fleet, list[int]]) -> None:
    """With none left the check is an error, not a verdict."""
    stalled = Window({**tiny[0].windows[0].figures, "late_ms": 5000.0})
    both = msgspec.structs.replace(tiny[0], windows=[*tiny[0].windows, stalled])
    assert check.compare(both) == check.compare(tiny[0])
    with pytest.raises(check.MachineStalled):
        check.compare(msgspec.structs.replace(tiny[0], windows=[stalled]))


def result(axis: str, figures: list[tuple[dict[str, Any], list[dict[str, float]]]]) -> Result:
    """A result with these points."""
    points = [
        Measurement(
            Point(axis, **point),
            [Window({"late_ms": 0.0, **each}) for each in windows],
            {"real": 100.0},
            1.0,
            1.0,
        )
        for point, windows in figures
    ]
    return Result(points=points)


def test_slopes_are_lines_through_each_repeat() -> None:
    """Slope and base with their spread over the repeats; None where an axis was not played."""
    told = result(
        "workers", [({"workers": n}, [{"y": 1.0 + 2 * n}, {"y": 1.0 + 4 * n}]) for n in (10, 20, 40)]
    )
    found = Slope("", "workers", "point.workers", "y", "").fit(told)
    assert found is not None
    assert found[0].minimum == pytest.approx(2) and found[0].maximum == pytest.approx(4)
    assert found[1].median == pytest.approx(1)
    assert Slope("", "changes", "point.workers", "y", "").fit(told) is None


def test_the_page_is_filled_between_its_markers() -> None:
    """Text stays, tables come anew, an unknown one is an error, and a part not measured says so."""
    end = "<!-- scale:end -->\n"
    text = f"# A\n<!-- scale:check -->\nold\n{end}b\n<!-- scale:decisions -->\n{end}"
    told = Result(decisions=[measure(5, 3, 4, repeats=2)])
    filled = page.fill(text, page.render_tables(told))
    assert "old" not in filled and "Not measured." in filled and "| 3 | 5 |" in filled and "\nb\n" in filled
    assert page.fill(filled, page.render_tables(told)) == filled
    with pytest.raises(page.UnknownTable):
        page.fill("<!-- scale:nothing -->\n<!-- scale:end -->", {})


def test_a_result_survives_its_file_and_shows_what_moved() -> None:
    """The JSON holds all; with an earlier one the slopes stand side by side."""
    told = result("workers", [({"workers": n}, [{"dispatcher.memory_mb": 1.0 * n}]) for n in (1, 2)])
    again = msgspec.json.decode(msgspec.json.encode(told), type=Result)
    assert again == told
    assert "1,020 KB | 0 KB | workers | 1,020 KB" in page.render_tables(told, told)["slopes"]


@pytest.mark.parametrize(("allowed", "found"), [(5.0, "5"), (15.0, "20"), (30.0, "not up to 30")])
def test_crossings_lie_between_points(allowed: float, found: str) -> None:
    """Where a figure passes what is allowed, or that it does not."""
    assert crossing([(10, 10.0), (30, 20.0)], allowed) == found
    assert math.isclose(summarize([1.0, 3.0, 2.0]).median, 2.0)
