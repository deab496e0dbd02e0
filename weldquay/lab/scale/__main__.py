"""The command line of scale runs; see `--help`."""

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

RUN_TIMEOUT_S = 240.0  # time limit of a run; points that have not begun by then are skipped and reported
FILE_PATH = click.Path(path_type=Path, dir_okay=False)
json_option = click.option(
    "--json", "target", type=FILE_PATH, help="Write the figures to this file; other parts of it stay."
)
COMMAND = "python -m weldquay.lab.scale"


def report_progress(text: str) -> None:
    """Write a progress message to standard error."""
    click.echo(text, err=True)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """Measure on loopback how the load of a fleet's parts grows with its size."""


def _measure(point: Point) -> Measurement:
    try:
        return asyncio.run(measure_point(point))
    except OperatorError as error:
        raise click.ClickException(error.advice()) from None


def _measure_with_retry(point: Point, deadline_s: float) -> Measurement:
    """Measure a point, again if the machine was stalled and there is time; return the steadier result."""
    measurements = [_measure(point)]
    if len(checking.steady_windows(measurements[0])) < point.windows and time.monotonic() < deadline_s:
        report_progress(f"the machine was stalled; measuring again: {point.axis}")
        measurements.append(_measure(point))
    return min(measurements, key=lambda each: max(window.figures["late_ms"] for window in each.windows))


@main.command()
@json_option
@click.option(
    "--plot",
    "picture",
    type=FILE_PATH,
    help="Plot the figures to this file (.svg or .png); needs matplotlib.",
)
@click.option("--axis", "axes", multiple=True, type=click.Choice(sorted({p.axis for p in SWEEPS})))
def run(target: Path | None, picture: Path | None, axes: tuple[str, ...]) -> None:
    """Measure all points, or those of some axes."""
    result = results.read_result(target) if target else results.Result()
    selected = [point for point in SWEEPS if not axes or point.axis in axes]
    stamp = results.make_stamp(" ".join([COMMAND, "run", *(f"--axis {axis}" for axis in axes)]))
    start_s, measurements = time.monotonic(), list[Measurement]()
    for point in selected:
        if time.monotonic() - start_s > RUN_TIMEOUT_S:
            report_progress(f"skipped after {RUN_TIMEOUT_S:.0f} s: {point}")
            continue
        measurements.append(_measure_with_retry(point, start_s + RUN_TIMEOUT_S))
        report_progress(
            f"{len(measurements)} of {len(selected)}: {point.axis}: {point.dispatchers} dispatchers, "
            f"{point.workers} workers, {point.changes:g} changes/s, {point.real_rate:g} requests/s: "
            f"{measurements[-1].cores:.2f} cores, {measurements[-1].memory_mb:.0f} MB"
        )
    stamp.seconds = time.monotonic() - start_s
    result.points = [each for each in result.points if axes and each.point.axis not in axes] + measurements
    for axis in {point.axis for point in selected}:
        result.stamps[axis] = stamp
    if target:
        results.write_result(target, result)
    if picture:
        plots.draw(result, picture)


@main.command()
@json_option
def decisions(target: Path | None) -> None:
    """Measure the processor time of the decisions for a request."""
    stamp, start_s = results.make_stamp(f"{COMMAND} decisions"), time.monotonic()
    decision_costs = costs.measure_all(report_progress=report_progress)
    stamp.seconds = time.monotonic() - start_s
    if target:
        result = results.read_result(target)
        result.decisions, result.stamps["decisions"] = decision_costs, stamp
        results.write_result(target, result)


@main.command()
@json_option
def check(target: Path | None) -> None:
    """Compare hollow dispatchers with real ones; exit with status 1 if they differ too much."""
    stamp, start_s = results.make_stamp(f"{COMMAND} check"), time.monotonic()
    measurement = _measure(CHECK)
    stamp.seconds = time.monotonic() - start_s
    try:
        rows = checking.compare(measurement)
    except checking.MachineStalled as error:
        raise click.ClickException(error.advice()) from None
    for row in rows:
        verdict = "ok" if row.passed else "DIFFERS"
        click.echo(
            f"{row.name:28} real {row.real:10.3f}  hollow {row.hollow:10.3f}  "
            f"{row.relative_difference:.3f} {verdict}"
        )
    if target:
        result = results.read_result(target)
        result.points = [each for each in result.points if each.point.axis != CHECK.axis] + [measurement]
        result.stamps["check"] = stamp
        results.write_result(target, result)
    sys.exit(not all(row.passed for row in rows))


@main.command()
@click.argument("result", type=FILE_PATH)
@click.argument("page", type=FILE_PATH)
@click.option("--before", type=FILE_PATH, help="An earlier result to compare with.")
def page(result: Path, page: Path, before: Path | None) -> None:
    """Fill in the tables between the markers of a page from a result."""
    result_after = results.read_result(result)
    result_before = results.read_result(before) if before else None
    page.write_text(pages.fill(page.read_text(), pages.render_tables(result_after, result_before)))


@main.command()
@click.argument("result", type=FILE_PATH)
@click.argument("picture", type=FILE_PATH)
def plot(result: Path, picture: Path) -> None:
    """Plot the figures of a result."""
    try:
        plots.draw(results.read_result(result), picture)
    except plots.PlottingUnavailable as error:
        raise click.ClickException(error.advice()) from None


if __name__ == "__main__":
    main()
