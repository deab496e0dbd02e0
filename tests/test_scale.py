"""Scale runs: hollow dispatchers compared with real ones, cleanup of processes, the tables of the page."""

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

SMALL_POINT = Point(
    "check", real=2, hollow=4, workers=6, changes=4.0, real_rate=5.0, hollow_rate=5.0, windows=1, seconds=2.5
)

MAX_MEASUREMENTS = 4


@pytest.fixture(scope="module")
def small_point() -> tuple[Measurement, Fleet, list[int]]:
    """Return the measurement of a small point, its fleet, and its processes that still ran at the end.

    It is measured again if the machine was stalled, since the figures are then void.
    """
    stopped_fleets: list[tuple[Fleet, list[int]]] = []
    for _ in range(MAX_MEASUREMENTS):
        measurement = asyncio.run(
            measure_point(SMALL_POINT, lambda fleet: stopped_fleets.append((fleet, fleet.running_pids())))
        )
        if check.steady_windows(measurement):
            break
    return measurement, stopped_fleets[-1][0], [pid for _, pids in stopped_fleets for pid in pids]


def test_all_processes_end(small_point: tuple[Measurement, Fleet, list[int]]) -> None:
    """The four child processes and the real dispatchers have ended after the run."""
    _, fleet, running_pids = small_point
    assert len(fleet.pids) == 2 and len(fleet.children) == 4 and running_pids == []


@pytest.mark.parametrize("name", [*check.PER_REQUEST_TOLERANCES, *check.PER_SECOND_TOLERANCES])
def test_hollow_dispatchers_use_the_network_as_real_ones(
    name: str, small_point: tuple[Measurement, Fleet, list[int]]
) -> None:
    """Messages and bytes agree within twice the tolerance of the full check, or within 20%.

    The window has only 25 requests of the real dispatchers, and counts some of them in part.
    """
    row = next(row for row in check.compare(small_point[0]) if row.name.split()[0] == name)
    assert row.real > 0 and row.relative_difference <= max(0.2, 2 * row.allowed), row


def test_all_requests_are_served(small_point: tuple[Measurement, Fleet, list[int]]) -> None:
    """Nearly all requests succeed; some are still open when the window ends."""
    figures = small_point[0].windows[0].figures
    for side in ("real", "hollow"):
        assert figures[f"{side}.served"] == pytest.approx(figures[f"{side}.requests"], rel=0.2)


def test_a_failed_child_process_stops_the_run(monkeypatch: pytest.MonkeyPatch) -> None:
    """If a role cannot start, the error names it and all processes end."""
    fleets: list[Fleet] = []

    async def start_with_bad_command(self: Fleet) -> None:
        fleets.append(self)
        await self.children["workers"].send_command("start", workers="many", real=1)

    monkeypatch.setattr(Fleet, "start", start_with_bad_command)
    with pytest.raises(ChildProcessFailed) as error:
        asyncio.run(measure_point(SMALL_POINT))
    assert "workers" in error.value.advice() and fleets[0].running_pids() == []


def test_stalled_windows_are_ignored(small_point: tuple[Measurement, Fleet, list[int]]) -> None:
    """Stalled windows do not count; if there are no others, the check is an error rather than a verdict."""
    stalled = Window({**small_point[0].windows[0].figures, "late_ms": 5000.0})
    with_stalled = msgspec.structs.replace(small_point[0], windows=[*small_point[0].windows, stalled])
    assert check.compare(with_stalled) == check.compare(small_point[0])
    with pytest.raises(check.MachineStalled):
        check.compare(msgspec.structs.replace(small_point[0], windows=[stalled]))


def make_result(axis: str, figures: list[tuple[dict[str, Any], list[dict[str, float]]]]) -> Result:
    """Return a result with these points."""
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


def test_a_slope_is_fitted_for_each_repeat() -> None:
    """Slope and base have a range over the repeats; an axis that was not measured gives None."""
    result = make_result(
        "workers", [({"workers": n}, [{"y": 1.0 + 2 * n}, {"y": 1.0 + 4 * n}]) for n in (10, 20, 40)]
    )
    found = Slope("", "workers", "point.workers", "y", "").fit(result)
    assert found is not None
    assert found[0].minimum == pytest.approx(2) and found[0].maximum == pytest.approx(4)
    assert found[1].median == pytest.approx(1)
    assert Slope("", "changes", "point.workers", "y", "").fit(result) is None


def test_fill_replaces_only_the_tables() -> None:
    """Other text stays, an unknown table is an error, and a part without measurement says so."""
    end = "<!-- scale:end -->\n"
    text = f"# A\n<!-- scale:check -->\nold\n{end}b\n<!-- scale:decisions -->\n{end}"
    result = Result(decisions=[measure(5, 3, 4, repeats=2)])
    filled = page.fill(text, page.render_tables(result))
    assert "old" not in filled and "Not measured." in filled and "| 3 | 5 |" in filled and "\nb\n" in filled
    assert page.fill(filled, page.render_tables(result)) == filled
    with pytest.raises(page.UnknownTable):
        page.fill("<!-- scale:nothing -->\n<!-- scale:end -->", {})


def test_a_result_is_stored_whole_and_compared_with_an_earlier_one() -> None:
    """Encoding and decoding keep everything; an earlier result adds a column of slopes."""
    result = make_result("workers", [({"workers": n}, [{"dispatcher.memory_mb": 1.0 * n}]) for n in (1, 2)])
    decoded = msgspec.json.decode(msgspec.json.encode(result), type=Result)
    assert decoded == result
    assert "1,020 KB | 0 KB | workers | 1,020 KB" in page.render_tables(result, result)["slopes"]


@pytest.mark.parametrize(("allowed", "found"), [(5.0, "5"), (15.0, "20"), (30.0, "not up to 30")])
def test_crossings_are_interpolated(allowed: float, found: str) -> None:
    """The result is the x at which the limit is exceeded, or text that says it is not reached."""
    assert crossing([(10, 10.0), (30, 20.0)], allowed) == found
    assert math.isclose(summarize([1.0, 3.0, 2.0]).median, 2.0)
