"""The command line: `weldquay config check|new|diff|explain|rules|schema|show` and `weldquay version`.

`python -m weldquay` is the dispatcher, which does not import this module.  Exit status: 0; 1 for findings; 2
for wrong usage or a file that cannot be read.
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
    help="Catalogue of the site: a file, or the name of one that ships with weldquay.",
)
format_option = click.option(
    "--format",
    "output_format",
    type=click.Choice(["text", "json"]),
    default="text",
    envvar="WELDQUAY_FORMAT",
    show_default=True,
    help="Output format.",
)
LEVEL_DESCRIPTIONS = {
    Level.ALWAYS: "an error; the dispatcher does not start",
    Level.SITE: "an error if a catalogue is given, also for the dispatcher; otherwise a warning",
    Level.ADVICE: "a warning",
}


def exit_with_error(text: str) -> NoReturn:
    """Print one line on standard error and exit with status 2."""
    click.echo(f"weldquay: {text}", err=True)
    sys.exit(2)


def load_catalogue(name: str | None) -> Catalogue | None:
    """Load the catalogue that an option names, if any; exit with status 2 if it cannot be used."""
    try:
        return load(name) if name else None
    except CatalogueError as error:
        exit_with_error(str(error))


def read_input(path: Path) -> bytes:
    """Read a file, or standard input for `-`; exit with status 2 if it cannot be read."""
    if str(path) == "-":
        return sys.stdin.buffer.read(reading.MAX_BYTES + 1)
    try:
        return reading.read_file(path)
    except reading.ReadingError as error:
        exit_with_error(str(error))


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
    except metadata.PackageNotFoundError:  # run from a source tree
        click.echo("unreleased")


@main.group()
def config() -> None:
    """Write, check and explain configurations."""


def reload_error(before: dict[str, Any], path: Path) -> str:
    """Return why a running dispatcher would reject the newer file on a reload; empty if it would not."""
    from weldquay.net.config import ConfigError, config_from_document, reload

    try:
        reload({"GW_CONFIG": str(path)}, config_from_document({}, before))
    except ConfigError as error:
        return error.advice()
    except ValueError as error:
        return str(error)
    return ""


@config.command()
@click.argument("files", nargs=-1, type=FILE_TYPE, required=True)
@catalogue_option
@format_option
@click.option(
    "--sidecar",
    is_flag=True,
    envvar="WELDQUAY_SIDECAR",
    help="The dispatcher is a sidecar of one application.",
)
@click.option("--strict", is_flag=True, envvar="WELDQUAY_STRICT", help="Exit with status 1 for warnings too.")
def check(
    files: tuple[Path, ...], catalogue: str | None, output_format: str, sidecar: bool, strict: bool
) -> None:
    """Check configurations before they are used.

    Reports all findings in one pass: where, why it matters, what to write. With the same catalogue the
    dispatcher starts with a file that passes, and does not start with one that has an error.

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
    not_applied = [rule.id for rule in checking.skipped_rules(site)]
    if is_json:
        click.echo(json.dumps({"findings": objects, "not_applied": not_applied}, indent=1))
    elif not_applied:
        ids = ", ".join(not_applied)
        click.echo(f"rules skipped because they need a catalogue: {ids}", err=True)
    sys.exit(1 if has_failed else 0)


def print_findings(findings: Sequence[Finding], path: Path) -> None:
    """Print the findings in a file as text."""
    for finding in findings:
        click.echo(format_finding(finding, path))
    if not findings:
        click.echo(f"{path}: no findings")


def print_errors_and_exit(errors: Sequence[Finding], path: Path) -> NoReturn:
    """Print errors in a file on standard error, and exit with status 1."""
    for finding in errors:
        click.echo(format_finding(finding, path), err=True)
    sys.exit(1)


def format_finding(finding: Finding, path: Path) -> str:
    """Format a finding as one line: position, severity, rule id, path of the value, text."""
    severity = "error" if finding.error else "warning"
    position = f"{path}:{finding.line}:{finding.column}"
    return f"{position}: {severity} {finding.rule}: {finding.path}: {finding.text}"


def finding_to_json(finding: Finding, path: Path) -> dict[str, Any]:
    """Return a finding as an object of the JSON output."""
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
    help="A JSON file that describes the application; the other options override it.",
)
@click.option("--name", envvar="GW_NAME", help="Name of the application.")
@click.option(
    "--kind",
    "kinds",
    multiple=True,
    metavar="NAME[:once|repeat[:WANTED_MS[:GIVE_UP_S]]]",
    help="A kind of job; values that the catalogue contains may be omitted.",
)
@click.option("--customer", "customers", multiple=True, metavar="NAME=SHARE", help="A customer's share.")
@click.option("--listen", envvar="GW_LISTEN", help="HOST:PORT for the application's requests.")
@click.option("--mgmt", envvar="GW_MGMT", help="HOST:PORT for operators.")
@click.option("--discovery", envvar="GW_DISCOVERY", help="HOST:PORT of discovery.")
@click.option(
    "--calls-per-s", type=float, envvar="WELDQUAY_CALLS_PER_S", help="Expected requests per second."
)
@click.option(
    "--dispatchers", type=int, envvar="WELDQUAY_DISPATCHERS", help="Number of dispatchers at the site."
)
@click.option("--force", is_flag=True, help="Replace an existing file.")
@catalogue_option
def new(output: Path, source: Path | None, force: bool, catalogue: str | None, **options: Any) -> None:
    """Generate a configuration from a short description of the application.

    On a terminal it asks for missing values. The result passes `config check` with the same catalogue.

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
        document = writer.compose_configuration(writer.parse_description(description), site)
    except (reading.ReadingError, ValueError) as error:
        exit_with_error(str(error))
    text = writer.format_configuration(document)
    if errors := [finding for finding in checking.check(text.encode(), site) if finding.error]:
        print_errors_and_exit(errors, output)
    try:
        writer.write_file(output, text, force)
    except FileExistsError:
        exit_with_error(f"{output} exists: use --force to replace it")
    except OSError as error:
        exit_with_error(f"cannot write {output}: {error.strerror}")
    click.echo(f"wrote {output}; `weldquay config check {output}` checks it as the dispatcher does")


def describe_application(source: Path | None, options: dict[str, Any]) -> dict[str, Any]:
    """Return the description of an application from a file and from options, which override it.

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
    """Ask on the terminal for the name and the kinds of job that the description lacks."""
    if not description.get("name"):
        description["name"] = click.prompt("Name of the application")
    if not description.get("kinds"):
        description["kinds"] = [parse_kind(text) for text in click.prompt("Kinds of job").split()]


def parse_kind(text: str) -> dict[str, Any]:
    """Parse a kind of job, NAME[:once|repeat[:WANTED_MS[:GIVE_UP_S]]].

    Raises:
        ValueError: the text is malformed.
    """
    name, *fields = text.split(":")
    kind: dict[str, Any] = {"name": name}
    if fields and fields[0]:
        if fields[0] not in ("once", "repeat"):
            raise ValueError(f"{text}: write `once` or `repeat` after the name")
        kind["repeat_harmless"] = fields[0] == "repeat"
    for key, value in zip(("wanted_ms", "give_up_s"), fields[1:], strict=False):
        kind[key] = float(value)
    return kind


@config.command()
@click.argument("older", type=FILE_TYPE)
@click.argument("newer", type=FILE_TYPE)
def diff(older: Path, newer: Path) -> None:
    """Show how a change takes effect: what a reload applies, what needs a restart.

    The exit status is 1 if a running dispatcher would reject the reload, or if a restart is needed.

    \b
    weldquay config diff running.json changed.json
    """
    from weldquay.config import difference

    before, after = (read_document(path) for path in (older, newer))
    changes = difference.changes(before, after)
    for change in changes:
        click.echo(change.format())
    if not changes:
        click.echo("no difference")
    if error := reload_error(before, newer):
        click.echo(f"a running dispatcher would reject this reload: {error}")
        sys.exit(1)
    sys.exit(any(change.effect is difference.ChangeEffect.RESTART for change in changes))


def read_document(path: Path) -> dict[str, Any]:
    """Read the JSON object in a file; exit with status 2 if there is none or the file cannot be read."""
    try:
        document = reading.parse(reading.decode(read_input(path)))
    except reading.ReadingError as error:
        exit_with_error(f"{path}: {error}")
    if not isinstance(document, dict):
        exit_with_error(f"{path}: not a JSON object")
    return document


@config.command()
@click.argument("rule_id")
def explain(rule_id: str) -> None:
    """Explain a rule: its reason, a bad and a good example.

    \b
    weldquay config explain WQ201
    """
    rule = RULES.get(rule_id.upper())
    if rule is None:
        exit_with_error(f"unknown rule {rule_id}; `weldquay config rules` lists all rules")
    click.echo(format_rule(rule))


def format_rule(rule: Rule) -> str:
    """Format the explanation of a rule."""
    needs = "\nThe rule needs a catalogue (--catalogue)." if rule.needs_catalogue else ""
    return (
        f"{rule.id}: {rule.title}\n\n{rule.why}\n\nIt is {LEVEL_DESCRIPTIONS[rule.level]}.{needs}\n\n"
        f"Bad:   {rule.bad}\nGood:  {rule.good}"
    )


@config.command()
def rules() -> None:
    """List all rules."""
    for rule in sorted(RULES.values(), key=lambda rule: rule.id):
        click.echo(f"{rule.id}  {rule.level.value:6}  {rule.title}")


@config.command("schema")
@click.option("--reference", "as_page", is_flag=True, help="Print a Markdown page instead of JSON Schema.")
def schema_command(as_page: bool) -> None:
    """Print the JSON Schema of a configuration, for editors."""
    click.echo(reference.page() if as_page else json.dumps(schema.json_schema(), indent=1))


@config.command()
@click.argument("file", type=FILE_TYPE)
@click.option("--path", default="", help="Show only the value at this path, such as settings.caps.")
def show(file: Path, path: str) -> None:
    """Show a configuration with all defaults filled in.

    \b
    weldquay config show config.json --path settings.caps
    """
    data = read_input(file)
    if errors := [finding for finding in checking.check(data) if finding.error]:
        print_errors_and_exit(errors, file)
    document = msgspec.convert(reading.parse(reading.decode(data)), schema.Document)
    value: Any = msgspec.to_builtins(document)
    for step in path.split(".") if path else ():
        try:
            value = value[int(step) if isinstance(value, list) else step]
        except (KeyError, IndexError, ValueError, TypeError):
            exit_with_error(f"no value at {path}")
    click.echo(json.dumps(value, indent=1))


if __name__ == "__main__":
    main()
