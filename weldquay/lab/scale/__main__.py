"""The command line of the scale run; `--help` lists it."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

import click

from weldquay.errors import OperatorError
from weldquay.lab.scale import check as checking
from weldquay.lab.scale import decisions as costs
from weldquay.lab.scale import page as pages
from weldquay.lab.scale import plot as plots
from weldquay.lab.scale import results
from weldquay.lab.scale.fleet import Measurement, measure_point
from weldquay.lab.scale.points import CHECK, SWEEPS, Point

RUN_S = 240.0  # all points of a run; what is not played by then is left out and named
RESULT = click.Path(path_type=Path, dir_okay=False)
json_option = click.option(
    "--json", "target", type=RESULT, help="Write the figures there; others in it stay."
)
COMMAND = "python -m weldquay.lab.scale"


def say(text: str) -> None:
    """Tell how far the run is."""
    click.echo(text, err=True)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """Measure how a fleet's parts grow, on loopback."""


def _one(point: Point) -> Measurement:
    try:
        return asyncio.run(measure_point(point))
    except OperatorError as error:
        raise click.ClickException(error.advice()) from None


def _best(point: Point, until: float) -> Measurement:
    """Play a point, once more where the machine stood still and there is time; the steadier play."""
    plays = [_one(point)]
    if len(checking.steady_windows(plays[0])) < point.windows and time.monotonic() < until:
        say(f"the machine stood still, again: {point.axis}")
        plays.append(_one(point))
    return min(plays, key=lambda each: max(window.figures["late_ms"] for window in each.windows))


@main.command()
@json_option
@click.option(
    "--plot", "picture", type=RESULT, help="Draw the figures there (.svg or .png); needs matplotlib."
)
@click.option("--axis", "axes", multiple=True, type=click.Choice(sorted({p.axis for p in SWEEPS})))
def run(target: Path | None, picture: Path | None, axes: tuple[str, ...]) -> None:
    """Play all points, or those of some axes."""
    result = results.read(target) if target else results.Result()
    chosen = [point for point in SWEEPS if not axes or point.axis in axes]
    told = results.stamp(" ".join([COMMAND, "run", *(f"--axis {axis}" for axis in axes)]))
    begun, found = time.monotonic(), list[Measurement]()
    for point in chosen:
        if time.monotonic() - begun > RUN_S:
            say(f"not played, {RUN_S:.0f} s are over: {point}")
            continue
        found.append(_best(point, begun + RUN_S))
        say(
            f"{len(found)} of {len(chosen)}: {point.axis}: {point.dispatchers} dispatchers, {point.workers} "
            f"workers, {point.changes:g} changes/s, {point.real_rate:g} requests/s: "
            f"{found[-1].cores:.2f} cores, {found[-1].memory_mb:.0f} MB"
        )
    told.seconds = time.monotonic() - begun
    result.points = [each for each in result.points if axes and each.point.axis not in axes] + found
    for axis in {point.axis for point in chosen}:
        result.stamps[axis] = told
    if target:
        results.write(target, result)
    if picture:
        plots.draw(result, picture)


@main.command()
@json_option
def decisions(target: Path | None) -> None:
    """Measure what a request costs the decisions."""
    told, begun = results.stamp(f"{COMMAND} decisions"), time.monotonic()
    found = costs.measure_all(say=say)
    told.seconds = time.monotonic() - begun
    if target:
        result = results.read(target)
        result.decisions, result.stamps["decisions"] = found, told
        results.write(target, result)


@main.command()
@json_option
def check(target: Path | None) -> None:
    """Hold hollow dispatchers against real ones; status 1 where they differ by more than is allowed."""
    told, begun = results.stamp(f"{COMMAND} check"), time.monotonic()
    measurement = _one(CHECK)
    told.seconds = time.monotonic() - begun
    try:
        rows = checking.compare(measurement)
    except checking.MachineStalled as error:
        raise click.ClickException(error.advice()) from None
    for row in rows:
        word = "ok" if row.passed else "DIFFERS"
        click.echo(
            f"{row.name:28} real {row.real:10.3f}  hollow {row.hollow:10.3f}  "
            f"{row.relative_difference:.3f} {word}"
        )
    if target:
        result = results.read(target)
        result.points = [each for each in result.points if each.point.axis != CHECK.axis] + [measurement]
        result.stamps["check"] = told
        results.write(target, result)
    sys.exit(not all(row.passed for row in rows))


@main.command()
@click.argument("result", type=RESULT)
@click.argument("page", type=RESULT)
@click.option("--before", type=RESULT, help="An earlier result, to show what moved.")
def page(result: Path, page: Path, before: Path | None) -> None:
    """Fill the tables of a page, between its markers, from a result."""
    told = results.read(result)
    earlier = results.read(before) if before else None
    page.write_text(pages.fill(page.read_text(), pages.tables(told, earlier)))


@main.command()
@click.argument("result", type=RESULT)
@click.argument("picture", type=RESULT)
def plot(result: Path, picture: Path) -> None:
    """Draw a result's figures."""
    try:
        plots.draw(results.read(result), picture)
    except plots.NoPlot as error:
        raise click.ClickException(error.advice()) from None


if __name__ == "__main__":
    main()
