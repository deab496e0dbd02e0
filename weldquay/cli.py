"""The command line: `weldquay config check|explain|rules|schema|show` and `weldquay version`.

`python -m weldquay` without a command is the dispatcher, which does not import this module.  Exit status: 0,
1 (findings), 2 (usage, or a file that cannot be read).
"""

from __future__ import annotations

import json
import sys
from collections.abc import Sequence
from importlib import metadata
from pathlib import Path
from typing import Any, NoReturn

import click
import msgspec

from weldquay.config import checking, reading, reference, schema
from weldquay.config.catalogue import Catalogue, CatalogueError, load
from weldquay.config.rules import RULES, Finding, Level, Rule

FILE_TYPE = click.Path(path_type=Path)
catalogue_option = click.option(
    "--catalogue",
    envvar="GW_CATALOGUE",
    metavar="FILE|SITE",
    help="The site's facts: a file, or the name of one that ships with weldquay.",
)
format_option = click.option(
    "--format",
    "output_format",
    type=click.Choice(["text", "json"]),
    default="text",
    envvar="WELDQUAY_FORMAT",
    show_default=True,
    help="For people, or for machines.",
)
LEVEL_TEXTS = {
    Level.ALWAYS: "an error; the program does not start",
    Level.SITE: "an error where a catalogue is named, for the program too; else a warning",
    Level.ADVICE: "a warning",
}


def fail(text: str) -> NoReturn:
    """Print one line on standard error and exit with status 2."""
    click.echo(f"weldquay: {text}", err=True)
    sys.exit(2)


def load_catalogue(name: str | None) -> Catalogue | None:
    """Return the catalogue that an option names, if any; exit with status 2 if it cannot be used."""
    try:
        return load(name) if name else None
    except CatalogueError as error:
        fail(str(error))


def read_input(path: Path) -> bytes:
    """Return the bytes of a file, or of standard input for `-`; exit with status 2 if it cannot be read."""
    if str(path) == "-":
        return sys.stdin.buffer.read(reading.MAX_BYTES + 1)
    try:
        return reading.read_file(path)
    except reading.ReadingError as error:
        fail(str(error))


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """Weldquay dispatches jobs to match workers.

    \b
    weldquay config check config.json --catalogue sapporo-tm
    weldquay config explain WQ201
    """


@main.command()
def version() -> None:
    """Print the version."""
    try:
        click.echo(metadata.version("weldquay"))
    except metadata.PackageNotFoundError:  # run from a checkout
        click.echo("unreleased")


@main.group()
def config() -> None:
    """Write, check and explain configurations."""


def reload_error(before: dict[str, Any], path: Path) -> str:
    """Return why a running dispatcher would reject the newer file on a reload; empty where it would not."""
    from weldquay.net.config import ConfigError, read, reload

    try:
        reload({"GW_CONFIG": str(path)}, read({}, before))
    except ConfigError as error:
        return error.advice()
    except ValueError as error:
        return str(error)
    return ""


@config.command()
@click.argument("files", nargs=-1, type=FILE_TYPE, required=True)
@catalogue_option
@format_option
@click.option("--sidecar", is_flag=True, envvar="WELDQUAY_SIDECAR", help="It runs beside one application.")
@click.option("--strict", is_flag=True, envvar="WELDQUAY_STRICT", help="Warnings count as findings too.")
def check(
    files: tuple[Path, ...], catalogue: str | None, output_format: str, sidecar: bool, strict: bool
) -> None:
    """Check configurations before they are used.

    Tells all that is wrong in one pass: where, why it matters, what to write. With the same catalogue the
    program starts with what passes, and does not start with what is an error.

    \b
    weldquay config check config.json
    weldquay config check *.json --catalogue sapporo-tm --format json
    """
    site = load_catalogue(catalogue)
    is_json = output_format == "json"
    has_failed = False
    objects: list[dict[str, Any]] = []
    for path in files:
        findings = checking.check(read_input(path), site, sidecar)
        has_failed = has_failed or any(finding.error or strict for finding in findings)
        if is_json:
            objects += [finding_to_json(finding, path) for finding in findings]
        else:
            print_findings(findings, path)
    not_applied = [rule.id for rule in checking.left_out(site)]
    if is_json:
        click.echo(json.dumps({"findings": objects, "not_applied": not_applied}, indent=1))
    elif not_applied:
        ids = ", ".join(not_applied)
        click.echo(f"without a catalogue these rules could not be applied: {ids}", err=True)
    sys.exit(1 if has_failed else 0)


def print_findings(findings: Sequence[Finding], path: Path) -> None:
    """Print the findings in a file, for people."""
    for finding in findings:
        click.echo(format_finding(finding, path))
    if not findings:
        click.echo(f"{path}: nothing found")


def print_and_exit(errors: Sequence[Finding], path: Path) -> NoReturn:
    """Print errors in a file on standard error, and exit with status 1."""
    for finding in errors:
        click.echo(format_finding(finding, path), err=True)
    sys.exit(1)


def format_finding(finding: Finding, path: Path) -> str:
    """Return a finding as one line: position, severity, rule id, path of the value, text."""
    severity = "error" if finding.error else "warning"
    position = f"{path}:{finding.line}:{finding.column}"
    return f"{position}: {severity} {finding.rule}: {finding.path}: {finding.text}"


def finding_to_json(finding: Finding, path: Path) -> dict[str, Any]:
    """Return a finding as a JSON object."""
    return {
        "file": str(path),
        "line": finding.line,
        "column": finding.column,
        "rule": finding.rule,
        "path": finding.path,
        "severity": "error" if finding.error else "warning",
        "text": finding.text,
    }


@config.command()
@click.argument("output", type=FILE_TYPE)
@click.option(
    "--from",
    "source",
    type=FILE_TYPE,
    envvar="WELDQUAY_DESCRIPTION",
    help="A JSON file that describes the application; the other options come before it.",
)
@click.option("--name", envvar="GW_NAME", help="Who the application is.")
@click.option(
    "--kind",
    "kinds",
    multiple=True,
    metavar="NAME[:once|repeat[:WANTED_MS[:GIVE_UP_S]]]",
    help="A kind of job; what the catalogue knows need not be told.",
)
@click.option("--customer", "customers", multiple=True, metavar="NAME=SHARE", help="A customer's share.")
@click.option("--listen", envvar="GW_LISTEN", help="HOST:PORT for the application.")
@click.option("--mgmt", envvar="GW_MGMT", help="HOST:PORT for operators.")
@click.option("--discovery", envvar="GW_DISCOVERY", help="HOST:PORT of discovery.")
@click.option("--calls-per-s", type=float, envvar="WELDQUAY_CALLS_PER_S", help="Expected calls a second.")
@click.option("--dispatchers", type=int, envvar="WELDQUAY_DISPATCHERS", help="How many at the site.")
@click.option("--force", is_flag=True, help="Replace a file that is there.")
@catalogue_option
def new(output: Path, source: Path | None, force: bool, catalogue: str | None, **options: Any) -> None:
    """Write a whole configuration from a short description of the application.

    Asks for what is missing on a terminal. What it writes passes `config check` with the same catalogue.

    \b
    weldquay config new tm.json --name editor --catalogue sapporo-tm --kind exact-lookup
    weldquay config new my.json --name builds --kind compile:repeat:500 --kind publish:once:2000:30
    """
    from weldquay.config import writer

    site = load_catalogue(catalogue)
    try:
        description = describe_application(source, options)
        if sys.stdin.isatty():
            prompt_for_missing(description)
        document = writer.compose(writer.describe(description), site)
    except (reading.ReadingError, ValueError) as error:
        fail(str(error))
    text = writer.text(document)
    if errors := [finding for finding in checking.check(text.encode(), site) if finding.error]:
        print_and_exit(errors, output)
    try:
        writer.save(output, text, force)
    except FileExistsError:
        fail(f"{output} is there already: --force replaces it")
    except OSError as error:
        fail(f"{output}: cannot be written: {error.strerror}")
    click.echo(f"{output} is written; `weldquay config check {output}` says the same of it as the program")


def describe_application(source: Path | None, options: dict[str, Any]) -> dict[str, Any]:
    """Return the description of an application from a file and from options, which come before it.

    Raises:
        reading.ReadingError: the file cannot be read.
        ValueError: an option is malformed.
    """
    description: dict[str, Any] = {}
    if source is not None:
        decoded = reading.parse(reading.decode(read_input(source)))
        description = decoded if isinstance(decoded, dict) else {}
    kinds, customers = options.pop("kinds"), options.pop("customers")
    description |= {name: value for name, value in options.items() if value is not None}
    if kinds:
        description["kinds"] = [parse_kind(text) for text in kinds]
    if customers:
        pairs = (text.partition("=") for text in customers)
        description["customers"] = {name: float(fraction) for name, _, fraction in pairs}
    return description


def prompt_for_missing(description: dict[str, Any]) -> None:
    """Ask on the terminal for a name and the kinds of job where the description lacks them."""
    if not description.get("name"):
        description["name"] = click.prompt("Name of the application")
    if not description.get("kinds"):
        description["kinds"] = [parse_kind(text) for text in click.prompt("Kinds of job").split()]


def parse_kind(text: str) -> dict[str, Any]:
    """Return the description of a kind of job from NAME[:once|repeat[:WANTED_MS[:GIVE_UP_S]]].

    Raises:
        ValueError: the text is malformed.
    """
    name, *fields = text.split(":")
    kind: dict[str, Any] = {"name": name}
    if fields and fields[0]:
        if fields[0] not in ("once", "repeat"):
            raise ValueError(f"{text}: write once or repeat behind the name")
        kind["repeat_harmless"] = fields[0] == "repeat"
    for key, figure in zip(("wanted_ms", "give_up_s"), fields[1:], strict=False):
        kind[key] = float(figure)
    return kind


@config.command()
@click.argument("older", type=FILE_TYPE)
@click.argument("newer", type=FILE_TYPE)
def diff(older: Path, newer: Path) -> None:
    """Show what a change means: what a reload takes, what needs a new start.

    Status 1 where a running dispatcher would take nothing, or where a new start is needed.

    \b
    weldquay config diff running.json changed.json
    """
    from weldquay.config import difference

    before, after = (read_document(path) for path in (older, newer))
    changes = difference.changes(before, after)
    for change in changes:
        click.echo(change.line())
    if not changes:
        click.echo("no difference")
    if error := reload_error(before, newer):
        click.echo(f"a running dispatcher would take nothing of it: {error}")
        sys.exit(1)
    sys.exit(any(change.taken is difference.Taken.START for change in changes))


def read_document(path: Path) -> dict[str, Any]:
    """Return the JSON object of a file; exit with status 2 if it cannot be read or holds none."""
    try:
        document = reading.parse(reading.decode(read_input(path)))
    except reading.ReadingError as error:
        fail(f"{path}: {error}")
    if not isinstance(document, dict):
        fail(f"{path}: it holds no JSON object")
    return document


@config.command()
@click.argument("rule_id")
def explain(rule_id: str) -> None:
    """Explain a rule: why it is there, a bad and a good example.

    \b
    weldquay config explain WQ201
    """
    rule = RULES.get(rule_id.upper())
    if rule is None:
        fail(f"there is no rule {rule_id}; `weldquay config rules` lists them")
    click.echo(page(rule))


def page(rule: Rule) -> str:
    """Return the explanation of a rule."""
    needs = "\nIt needs a catalogue (--catalogue)." if rule.needs_catalogue else ""
    return (
        f"{rule.id}: {rule.title}\n\n{rule.why}\n\nIt is {LEVEL_TEXTS[rule.level]}.{needs}\n\n"
        f"Bad:   {rule.bad}\nGood:  {rule.good}"
    )


@config.command()
def rules() -> None:
    """List all rules."""
    for rule in sorted(RULES.values(), key=lambda rule: rule.id):
        click.echo(f"{rule.id}  {rule.level.value:6}  {rule.title}")


@config.command("schema")
@click.option("--reference", "as_page", is_flag=True, help="A page for people in place of JSON Schema.")
def schema_command(as_page: bool) -> None:
    """Print the JSON Schema of a configuration, for editors."""
    click.echo(reference.page() if as_page else json.dumps(schema.json_schema(), indent=1))


@config.command()
@click.argument("file", type=FILE_TYPE)
@click.option("--path", default="", help="Only what stands at this place, such as settings.caps.")
def show(file: Path, path: str) -> None:
    """Show a configuration with all defaults filled in.

    \b
    weldquay config show config.json --path settings.caps
    """
    data = read_input(file)
    if errors := [finding for finding in checking.check(data) if finding.error]:
        print_and_exit(errors, file)
    document = msgspec.convert(reading.parse(reading.decode(data)), schema.Document)
    value: Any = msgspec.to_builtins(document)
    for step in path.split(".") if path else ():
        try:
            value = value[int(step) if isinstance(value, list) else step]
        except (KeyError, IndexError, ValueError, TypeError):
            fail(f"there is nothing at {path}")
    click.echo(json.dumps(value, indent=1))


if __name__ == "__main__":
    main()
