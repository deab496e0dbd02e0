"""The command line: `weldquay config check|explain|rules|schema|show` and `weldquay version`.

`python -m weldquay` without a command is the dispatcher, and loads nothing of this.  Exit status: 0,
1 (findings), 2 (usage, or a file that cannot be read).
"""

from __future__ import annotations

import json
import sys
from importlib import metadata
from pathlib import Path
from typing import Any

import click
import msgspec

from weldquay.config import checking, reading, schema
from weldquay.config.catalogue import Catalogue, CatalogueError, load
from weldquay.config.rules import RULES, Finding, Level, Rule

FILE = click.Path(path_type=Path)
catalogue_option = click.option(
    "--catalogue",
    envvar="GW_CATALOGUE",
    metavar="FILE|SITE",
    help="The site's facts: a file, or the name of one that ships with weldquay.",
)
format_option = click.option(
    "--format",
    "form",
    type=click.Choice(["text", "json"]),
    default="text",
    envvar="WELDQUAY_FORMAT",
    show_default=True,
    help="For people, or for machines.",
)
LEVELS = {
    Level.ALWAYS: "an error; the program does not start",
    Level.SITE: "an error where a catalogue is named, for the program too; else a warning",
    Level.ADVICE: "a warning",
}


def fail(text: str) -> None:
    """End with status 2 and one line."""
    click.echo(f"weldquay: {text}", err=True)
    sys.exit(2)


def facts(name: str | None) -> Catalogue | None:
    """The catalogue of an option, where one is named."""
    try:
        return load(name) if name else None
    except CatalogueError as error:
        fail(str(error))
        return None


def content(path: Path) -> bytes:
    """A file's bytes, or those of standard input for `-`."""
    if str(path) == "-":
        return sys.stdin.buffer.read(reading.LARGEST + 1)
    try:
        return reading.read_file(path)
    except reading.ReadingError as error:
        fail(str(error))
        return b""


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


def refusal(before: dict[str, Any], path: Path) -> str:
    """Why a running dispatcher would take nothing of the newer file; empty where it would."""
    from weldquay.net.config import ConfigError, read, reload

    try:
        reload({"GW_CONFIG": str(path)}, read({}, before))
    except ConfigError as error:
        return error.advice()
    except ValueError as error:
        return str(error)
    return ""


@config.command()
@click.argument("files", nargs=-1, type=FILE, required=True)
@catalogue_option
@format_option
@click.option("--sidecar", is_flag=True, envvar="WELDQUAY_SIDECAR", help="It runs beside one application.")
@click.option("--strict", is_flag=True, envvar="WELDQUAY_STRICT", help="Warnings count as findings too.")
def check(files: tuple[Path, ...], catalogue: str | None, form: str, sidecar: bool, strict: bool) -> None:
    """Check configurations before they are used.

    Tells all that is wrong in one pass: where, why it matters, what to write. With the same catalogue the
    program starts with what passes, and does not start with what is an error.

    \b
    weldquay config check config.json
    weldquay config check *.json --catalogue sapporo-tm --format json
    """
    told, wrong = facts(catalogue), False
    rows: list[dict[str, Any]] = []
    for path in files:
        found = checking.check(content(path), told, sidecar)
        wrong = wrong or any(each.error or strict for each in found)
        if form == "json":
            rows += [plain(each, str(path)) for each in found]
        else:
            for each in found:
                click.echo(line(each, str(path)))
            if not found:
                click.echo(f"{path}: nothing found")
    if form == "json":
        left_out = [rule.id for rule in checking.left_out(told)]
        click.echo(json.dumps({"findings": rows, "not_applied": left_out}, indent=1))
    elif missing := checking.left_out(told):
        ids = ", ".join(rule.id for rule in missing)
        click.echo(f"without a catalogue these rules could not be applied: {ids}", err=True)
    sys.exit(1 if wrong else 0)


def line(found: Finding, path: str) -> str:
    """A finding for people: place, kind, id, text, and where to read on."""
    kind = "error" if found.error else "warning"
    where = f"{path}:{found.line}:{found.column}"
    return f"{where}: {kind} {found.rule}: {found.path}: {found.text}"


def plain(found: Finding, path: str) -> dict[str, Any]:
    """A finding for machines."""
    return {
        "file": path,
        "line": found.line,
        "column": found.column,
        "rule": found.rule,
        "path": found.path,
        "severity": "error" if found.error else "warning",
        "text": found.text,
    }


@config.command()
@click.argument("output", type=FILE)
@click.option(
    "--from",
    "source",
    type=FILE,
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
def new(
    output: Path,
    source: Path | None,
    kinds: tuple[str, ...],
    customers: tuple[str, ...],
    force: bool,
    catalogue: str | None,
    **told: Any,
) -> None:
    """Write a whole configuration from a short description of the application.

    Asks for what is missing on a terminal. What it writes passes `config check` with the same catalogue.

    \b
    weldquay config new tm.json --name editor --catalogue sapporo-tm --kind exact-lookup
    weldquay config new my.json --name builds --kind compile:repeat:500 --kind publish:once:2000:30
    """
    from weldquay.config import writer

    site = facts(catalogue)
    wishes: dict[str, Any] = {}
    try:
        if source is not None:
            read = reading.parse(reading.decode(content(source)))
            wishes = read if isinstance(read, dict) else {}
        wishes |= {name: value for name, value in told.items() if value is not None}
        if kinds:
            wishes["kinds"] = [parsed_kind(each) for each in kinds]
        if customers:
            pairs = (each.partition("=") for each in customers)
            wishes["customers"] = {name: float(share) for name, _, share in pairs}
        if sys.stdin.isatty():
            wishes.setdefault("name", None)
            wishes["name"] = wishes["name"] or click.prompt("Name of the application")
            if not wishes.get("kinds"):
                wishes["kinds"] = [parsed_kind(each) for each in click.prompt("Kinds of job").split()]
        document = writer.compose(writer.describe(wishes), site)
    except (reading.ReadingError, ValueError) as error:
        fail(str(error))
        return
    made = writer.text(document)
    if found := [each for each in checking.check(made.encode(), site) if each.error]:
        for each in found:
            click.echo(line(each, str(output)), err=True)
        sys.exit(1)
    try:
        writer.save(output, made, force)
    except FileExistsError:
        fail(f"{output} is there already: --force replaces it")
    except OSError as error:
        fail(f"{output}: cannot be written: {error.strerror}")
    click.echo(f"{output} is written; `weldquay config check {output}` says the same of it as the program")


def parsed_kind(told: str) -> dict[str, Any]:
    """NAME[:once|repeat[:WANTED_MS[:GIVE_UP_S]]] as a description has it."""
    name, *rest = told.split(":")
    kind: dict[str, Any] = {"name": name}
    if rest and rest[0]:
        if rest[0] not in ("once", "repeat"):
            raise ValueError(f"{told}: write once or repeat behind the name")
        kind["repeat_harmless"] = rest[0] == "repeat"
    for key, figure in zip(("wanted_ms", "give_up_s"), rest[1:], strict=False):
        kind[key] = float(figure)
    return kind


@config.command()
@click.argument("older", type=FILE)
@click.argument("newer", type=FILE)
def diff(older: Path, newer: Path) -> None:
    """Show what a change means: what a reload takes, what needs a new start.

    Status 1 where a running dispatcher would take nothing, or where a new start is needed.

    \b
    weldquay config diff running.json changed.json
    """
    from weldquay.config import difference

    told = []
    for path in (older, newer):
        try:
            value = reading.parse(reading.decode(content(path)))
        except reading.ReadingError as error:
            fail(f"{path}: {error}")
        if not isinstance(value, dict):
            fail(f"{path}: it holds no JSON object")
        told.append(value)
    changes = difference.changes(*told)
    for each in changes:
        click.echo(each.line())
    if not changes:
        click.echo("no difference")
    if why := refusal(told[0], newer):
        click.echo(f"a running dispatcher would take nothing of it: {why}")
        sys.exit(1)
    sys.exit(any(each.taken is difference.Taken.START for each in changes))


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
        return
    click.echo(page(rule))


def page(rule: Rule) -> str:
    """A rule's page."""
    needs = "\nIt needs a catalogue (--catalogue)." if rule.facts else ""
    return (
        f"{rule.id}: {rule.title}\n\n{rule.why}\n\nIt is {LEVELS[rule.level]}.{needs}\n\n"
        f"Bad:   {rule.bad}\nGood:  {rule.good}"
    )


@config.command()
def rules() -> None:
    """List all rules."""
    for rule in sorted(RULES.values(), key=lambda each: each.id):
        click.echo(f"{rule.id}  {rule.level.value:6}  {rule.title}")


@config.command("schema")
@click.option("--reference", is_flag=True, help="A page for people in place of JSON Schema.")
def schema_command(reference: bool) -> None:
    """Print the JSON Schema of a configuration, for editors."""
    click.echo(reference_page() if reference else json.dumps(schema.json_schema(), indent=1))


def reference_page() -> str:
    """All keys with what is right for them, their default and meaning, as Markdown."""
    lines = ["# Configuration keys", "", "Made by `weldquay config schema --reference`.", ""]
    for title, group in _groups("", schema.Document):
        lines += [f"## {title or 'The file'}", "", "| key | write | default | meaning |", "|" + " --- |" * 4]
        for field in msgspec.structs.fields(group):
            if schema.struct_of(field.type) is None or field.required:
                default = "required" if field.required else f"`{schema.json_text(_default(field))}`"
                why = schema.note(field.type, "why")
                if variable := schema.note(field.type, "variable"):
                    why = f"{why} ({variable} comes before it)".strip()
                lines.append(f"| `{field.encode_name}` | {schema.right(field.type)} | {default} | {why} |")
        lines.append("")
    return "\n".join(lines)


def _default(field: Any) -> Any:
    return field.default if field.default_factory is msgspec.NODEFAULT else field.default_factory()


def _groups(title: str, group: type[msgspec.Struct]) -> list[tuple[str, type[msgspec.Struct]]]:
    told = [(title, group)]
    for name, kind in schema.keys(group).items():
        inner = schema.struct_of(kind)
        if inner is not None:
            rows = "[]" if "list" in str(kind) else ""
            told += _groups(f"{title}.{name}{rows}".lstrip("."), inner)
    return told


@config.command()
@click.argument("file", type=FILE)
@click.option("--path", default="", help="Only what stands at this place, such as settings.caps.")
def show(file: Path, path: str) -> None:
    """Show a configuration with all defaults filled in.

    \b
    weldquay config show config.json --path settings.caps
    """
    found = [each for each in checking.check(content(file)) if each.error]
    if found:
        for each in found:
            click.echo(line(each, str(file)), err=True)
        sys.exit(1)
    told = msgspec.convert(reading.parse(reading.decode(content(file))), schema.Document)
    value: Any = msgspec.to_builtins(told)
    for step in path.split(".") if path else ():
        try:
            value = value[int(step) if isinstance(value, list) else step]
        except (KeyError, IndexError, ValueError, TypeError):
            fail(f"there is nothing at {path}")
    click.echo(json.dumps(value, indent=1))


if __name__ == "__main__":
    main()
