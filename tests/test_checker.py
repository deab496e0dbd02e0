"""The checker: each invalid file violates the intended rule, and valid files pass and start the program."""

from __future__ import annotations

import copy
import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from tests.site import document
from weldquay import cli
from weldquay.config import catalogue, checking, reading
from weldquay.config.rules import RULES, Finding
from weldquay.lab import load as loads
from weldquay.net.config import ConfigError, load

SITE = catalogue.load("sapporo-tm")
SECOND_NS = 1_000_000_000
REMOVED = object()  # marks a key that is to be removed


def valid_config(**changes: Any) -> dict[str, Any]:
    """A valid configuration for the site, with changed values: keys joined by `__`, and indices."""
    config = document()
    config["limits"] = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
    config["settings"] = loads.settings(3)
    config["settings"]["caps"]["max_open"] = 600
    config["settings"]["customers"] = [
        {"name": customer.name, "fraction": customer.fraction, "quota_per_s": 5.0}
        for customer in SITE.customers
    ]
    for path, value in changes.items():
        set_value(config, path, value)
    return config


def set_value(container: Any, path: str, value: Any) -> None:
    """Set or append the value at a path, or remove its key."""
    *steps, last = path.split("__")
    for step in steps:
        container = container[int(step) if isinstance(container, list) else step]
    if value is REMOVED:
        del container[int(last) if isinstance(container, list) else last]
    elif isinstance(container, list) and int(last) == len(container):
        container.append(value)
    else:
        container[int(last) if isinstance(container, list) else last] = value


def check(config: Any, sidecar: bool = False, site: catalogue.Catalogue | None = SITE) -> list[Finding]:
    """Return the findings in a configuration, given as an object or as bytes."""
    text = config if isinstance(config, bytes) else json.dumps(config, indent=1).encode()
    return checking.check(text, site, sidecar)


EXACT, FUZZY, BATCH, COMMIT = range(4)
CLASS = "settings__services__"
# Path, value, id of the violated rule, part of the finding's text.
INVALID_VALUES: list[tuple[str, Any, str, str]] = [
    # job classes; segment-commit and batch-import must not be retried
    (f"{CLASS}3__effect", "retryable", "WQ201", "segment-commit must never run twice"),
    (f"{CLASS}2__effect", "retryable", "WQ201", "batch-import must never run twice"),
    (f"{CLASS}3__effect", "dedup", "WQ201", "write fragile"),
    (f"{CLASS}3__name", "Segment_Commit", "WQ202", "misspelling of segment-commit"),
    (f"{CLASS}3__name", "segment-comit", "WQ202", "misspelling of segment-commit"),
    (f"{CLASS}2__name", "batch.import", "WQ202", "misspelling of batch-import"),
    (
        f"{CLASS}4",
        {**loads.settings()["services"][3], "effect": "retryable"},
        "WQ203",
        "also the name of class 3",
    ),
    (
        f"{CLASS}4",
        {**loads.settings()["services"][3], "name": "SEGMENT COMMIT", "effect": "retryable"},
        "WQ204",
        "two spellings of the same name",
    ),
    ("settings__clients", {"retries_fragile": True}, "WQ206", "would retry batch-import, segment-commit"),
    (f"{CLASS}0__effect", "dedup", "WQ207", "window of 0"),
    ("settings__caps__max_attempts", 9, "WQ208", "the platform allows 5"),
    # times
    (f"{CLASS}0__aim_ns", 9 * SECOND_NS, "WQ301", "its clients give up after 5 s"),
    (f"{CLASS}0__give_up_ns", 20 * SECOND_NS, "WQ302", "its clients give up after 5 s"),
    (f"{CLASS}2__give_up_ns", 16 * SECOND_NS, "WQ302", "the timeout of batch-import is 16 s"),
    (f"{CLASS}3__give_up_ns", 8 * SECOND_NS, "WQ302", "segment-commit"),
    ("settings__caps__connect_timeout_ns", 6 * SECOND_NS, "WQ304", "a client gives up after 5 s"),
    ("settings__caps__conn_idle_ns", 600 * SECOND_NS, "WQ306", "the site closes them after 60 s"),
    (f"{CLASS}0__aim_stretch", 2.0, "WQ307", "which add up"),
    # customers
    ("settings__customers__8", REMOVED, "WQ401", "wakkanai-dev has a share of 0.05"),
    ("settings__customers", [], "WQ401", "kushiro-soft has a share"),
    ("settings__customers", REMOVED, "WQ401", "kushiro-soft has a share"),
    ("settings__customers__0__fraction", 0.5, "WQ402", "add up to 1.33"),
    ("settings__customers__0__fraction", 0.12, "WQ403", "the share of kushiro-soft is 0.17, not 0.12"),
    ("settings__customers__9", {"name": "Rumoi_Works", "fraction": 0.01}, "WQ404", "already in the list"),
    ("settings__customers__4__name", "tomakomai-itt", "WQ405", "misspelling of tomakomai-it"),
    ("settings__customers__4__name", "Tomakomai-IT", "WQ405", "misspelling of tomakomai-it"),
    ("settings__customers__0__fraction", -0.17, "WQ102", "fraction is -0.17"),
    ("settings__customers__0__fraction", 0, "WQ102", "a fraction above 0"),
    ("settings__customers__3__name", "", "WQ102", "a name of 1 to 200"),
    # slow starts and drains
    ("settings__safety__fall_multiple", 10.0, "WQ501", "a load under which it fails"),
    ("settings__safety__cold_share", 0.9, "WQ501", "the site's limit is 0.34"),
    ("settings__safety__warm_after_ns", 2 * SECOND_NS, "WQ501", "the site's limit is 8.9 s"),
    ("settings__safety__overload_for_ns", SECOND_NS // 2, "WQ501", "too short a time"),
    ("settings__safety__stop_sending_within_ns", SECOND_NS, "WQ501", "after the allowed delay"),
    ("settings__safety__ask_within_ns", 60 * SECOND_NS, "WQ501", "too rarely"),
    (
        "settings__safety__warm_after_ns",
        0,
        "WQ708",
        "starts with 0.34 of its capacity, but warm_after_ns is 0",
    ),
    # addresses and limits
    ("listen", "127.0.0.1:99999", "WQ601", "at most 65535"),
    ("listen", "here", "WQ102", "HOST:PORT"),
    ("discovery", 8500, "WQ102", "HOST:PORT"),
    ("mgmt", "127.0.0.1:8443", "WQ602", "mgmt and listen both use"),
    ("mgmt", "0.0.0.0:8443", "WQ602", "mgmt and listen both use"),
    ("limits__sockets", 64, "WQ605", "needs at least 128"),
    ("limits__memory_mb", 8, "WQ605", "needs at least 24"),
    ("access", {"clients": ["10.0.0.0/40"]}, "WQ607", "10.0.0.0/40 is not a valid network"),
    ("access", {"operators": ["10.0.0.1/8"]}, "WQ607", "is not a valid network"),
    ("access", {"callbacks": ["!10.0.0.0/8"]}, "WQ608", "nobody may connect"),
    ("access", {"clients": ["127.0.0.0/8"]}, "WQ609", "not enforced"),
    # types and ranges
    ("settings__caps__max_attempts", "5", "WQ102", 'max_attempts is "5"'),
    ("settings__caps__max_attempts", 0, "WQ102", "a whole number from 1"),
    ("settings__caps__max_attempts", True, "WQ102", "max_attempts is true"),
    ("settings__caps__cancel", "yes", "WQ102", "true or false"),
    (f"{CLASS}0__give_up_ns", -5, "WQ102", "give_up_ns is -5"),
    (f"{CLASS}0__give_up_ns", "soon", "WQ102", 'give_up_ns is "soon"'),
    (f"{CLASS}0__worth", -1, "WQ102", "worth is -1"),
    (f"{CLASS}0__effect", "harmless", "WQ102", "retryable (may run again)"),
    (f"{CLASS}0__effect", REMOVED, "WQ101", "effect is missing"),
    (f"{CLASS}1__name", REMOVED, "WQ101", "name is missing"),
    ("settings__services", [], "WQ102", "at least one class"),
    ("settings__services", {"name": "a"}, "WQ102", "a list of objects"),
    ("settings__caps", [], "WQ102", "an object"),
    ("settings", REMOVED, "WQ101", "settings is missing"),
    ("settings__safety__cold_share", REMOVED, "WQ101", "cold_share is missing"),
    ("seed", "xyz", "WQ102", "a hexadecimal number"),
    ("settings__load_info__via", "pigeon", "WQ102", "inline, on_probe or off"),
    ("room", {"slip": -1}, "WQ102", "slip is -1"),
    # contradictions
    ("settings__zone", 2, "WQ701", "zones has length 1"),
    ("settings__me", 3, "WQ701", "group_size is 3"),
    ("settings__family_info__class_stretch", [2.0, 2.0], "WQ702", "2 entries for 4 classes"),
    ("settings__family_info__class_kind", [0, 0, 0, 7], "WQ703", "shapes has length 3"),
    ("settings__goal", {"whole": 0.9, "worst_class": 0.5}, "WQ706", "add up to"),
]


@pytest.mark.parametrize(("path", "value", "rule", "text"), INVALID_VALUES)
def test_invalid_value_violates_intended_rule(path: str, value: Any, rule: str, text: str) -> None:
    """The finding has the id of the intended rule, an explanation and a position in the file."""
    config = valid_config(**{path: value})
    violations = [finding for finding in check(config) if finding.rule == rule and finding.error]
    assert any(text in finding.text for finding in violations), check(config)
    assert all(finding.line > 0 and finding.column > 0 for finding in violations)


INVALID_TEXTS: list[tuple[bytes, str]] = [
    (b"", "expecting value"),
    (b"{", "expecting"),
    (b"null", "contains null"),
    (b"[]", "contains a list"),
    (json.dumps(valid_config()).encode()[:-30], "expecting"),
    (json.dumps(valid_config()).encode() + b"x", "extra data"),
    (b'{"name": "a", "name": "b"}', 'duplicate key "name" in an object'),
    (b'{"a": NaN}', "NaN is not a valid JSON number"),
    (b'{"a": -Infinity}', "-Infinity is not a valid JSON number"),
    (b'{"a": "\xff"}', "byte 7 is not valid UTF-8"),
    (b"[" * 100 + b"]" * 100, "nested more than 64 levels"),
    (b'{"a": ' + b"9" * 5000 + b"}", "4300"),
    (b"{'a': 1}", "property name"),
    (b'{"a": 1,}', "property name"),
]


@pytest.mark.parametrize(("text", "expected"), INVALID_TEXTS)
def test_malformed_file_has_one_finding(text: bytes, expected: str) -> None:
    """Text that is not a JSON object, or that parsers could read in different ways, is a single error."""
    (finding,) = check(text)
    assert finding.rule == "WQ002" and finding.error and expected in finding.text


VALID_CHANGES: list[dict[str, Any]] = [
    {},
    {"seed": "0"},
    {"mgmt": REMOVED},
    {"listen": "[::1]:8443"},
    {"listen": "localhost:8443"},
    {"settings__caps__max_attempts": 1, "settings__caps__may_duplicate": False},
    {"limits": REMOVED},
    {f"{CLASS}0__give_up_ns": SECOND_NS},
    {f"{CLASS}0__give_up_ns": float(SECOND_NS)},
    {f"{CLASS}3__give_up_ns": 2 * SECOND_NS},
    {"settings__safety__stop_sending_within_ns": 100_000_000},
    {"settings__safety__cold_share": 0.2},
    {"settings__safety__fall_multiple": 2.0},
    {"settings__safety__warm_after_ns": 20 * SECOND_NS},
    {"room": {"on": False}},
    {"access": {"clients": []}},
    {"settings__caps__cancel": False},
    {"settings__tiers": ["a"]},
    {"settings__caps__conn_idle_ns": 10 * SECOND_NS},
    {"settings__new_key_of_the_platform": 1},
    {"known": REMOVED},
    {"settings__zones": ["a", "b"]},
]


@pytest.mark.parametrize("changes", VALID_CHANGES)
def test_valid_file_passes_and_starts(changes: dict[str, Any], tmp_path: Path) -> None:
    """The checker reports no errors, and the program accepts the file with the same catalogue."""
    config = valid_config(**changes)
    assert [finding for finding in check(config) if finding.error] == []
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config))
    load({"GW_CONFIG": str(path), "GW_CATALOGUE": "sapporo-tm"})


@pytest.mark.parametrize(("path", "value"), [(path, value) for path, value, *_ in INVALID_VALUES])
def test_program_rejects_what_checker_rejects(path: str, value: Any, tmp_path: Path) -> None:
    """The program does not start with any of the invalid files, and reports the error in one line."""
    file = tmp_path / "config.json"
    file.write_text(json.dumps(valid_config(**{path: value})))
    with pytest.raises(ConfigError) as caught:
        load({"GW_CONFIG": str(file), "GW_CATALOGUE": "sapporo-tm"})
    assert "\n" not in str(caught.value)


def test_rules_that_need_a_catalogue_are_skipped_and_listed_without_one() -> None:
    """Without a catalogue they find no errors, and are reported as not applied."""
    config = valid_config(settings__services__3__effect="retryable")
    assert [finding for finding in check(config, site=None) if finding.error] == []
    assert "WQ201" in {rule.id for rule in checking.skipped_rules(None)} and not checking.skipped_rules(SITE)


def test_sidecar_listens_on_loopback_only() -> None:
    """An address that other machines can reach is an error; IPv4-mapped loopback addresses are valid."""
    for address, violation_count in (
        ("10.0.0.4:8443", 1),
        ("0.0.0.0:1", 1),
        ("[::ffff:127.0.0.1]:1", 0),
        ("127.9.9.9:1", 0),
    ):
        violations = [
            finding
            for finding in check(valid_config(listen=address), sidecar=True)
            if finding.rule == "WQ603"
        ]
        assert len(violations) == violation_count, address


@pytest.mark.parametrize("rule", sorted(RULES))
def test_every_rule_has_an_explanation(rule: str) -> None:
    """Its page contains a reason, a bad and a good example."""
    page = cli.format_rule(RULES[rule])
    assert RULES[rule].why in page and "Bad:" in page and "Good:" in page and len(RULES[rule].why) > 20


def test_command_line(tmp_path: Path) -> None:
    """`check` prints text or JSON; the exit status is 0, 1 or 2."""
    path = tmp_path / "c.json"
    path.write_text(json.dumps(valid_config(settings__services__3__effect="retryable"), indent=1))
    run = CliRunner().invoke
    checked = run(cli.main, ["config", "check", str(path), "--catalogue", "sapporo-tm"])
    assert checked.exit_code == 1 and "error WQ201" in checked.output and "write fragile" in checked.output
    checked_json = run(
        cli.main, ["config", "check", str(path), "--format", "json"], env={"GW_CATALOGUE": "sapporo-tm"}
    )
    assert json.loads(checked_json.output)["findings"][0]["rule"] == "WQ201" and checked_json.exit_code == 1
    path.write_text(json.dumps(valid_config()))
    assert run(cli.main, ["config", "check", str(path), "--catalogue", "sapporo-tm"]).exit_code == 0
    for arguments in (
        ["config", "check", str(tmp_path)],
        ["config", "check", str(tmp_path / "no")],
        ["config", "explain", "WQ9"],
        ["config", "check", str(path), "--catalogue", "nowhere"],
        ["nonsense"],
    ):
        assert run(cli.main, arguments).exit_code == 2, arguments
    assert run(cli.main, ["config", "explain", "wq201"]).exit_code == 0
    assert "$defs" in run(cli.main, ["config", "schema"]).output
    shown = run(cli.main, ["config", "show", str(path), "--path", "settings.clients"])
    assert json.loads(shown.output) == {"marks_retry": False, "retries_fragile": False}


def test_fifo_or_directory_is_rejected_without_blocking(tmp_path: Path) -> None:
    """Opening a FIFO for reading blocks until there is a writer, so that a start would hang."""
    os.mkfifo(tmp_path / "fifo")
    for path in (tmp_path / "fifo", tmp_path):
        with pytest.raises(reading.ReadingError, match="cannot be read"):
            reading.read_file(path)
        with pytest.raises(ConfigError):
            load({"GW_CONFIG": str(path)})


def test_byte_order_mark_and_crlf_are_accepted(tmp_path: Path) -> None:
    """The editors of some systems write them."""
    text = b"\xef\xbb\xbf" + json.dumps(valid_config(), indent=1).replace("\n", "\r\n").encode()
    assert [finding for finding in check(text) if finding.error] == []
    (tmp_path / "c.json").write_bytes(text)
    load({"GW_CONFIG": str(tmp_path / "c.json")})


def test_many_findings_are_located_in_one_scan() -> None:
    """Each of 1000 findings gets its line; one scan of the file for each would take quadratic time."""
    config = valid_config()
    config["settings"]["customers"] += [{"name": f"c-{n}", "fraction": -1} for n in range(1000)]
    violations = [finding for finding in check(config, site=None) if finding.rule == "WQ102"]
    assert len(violations) == 1000 and len({finding.line for finding in violations}) == 1000


def mutations(container: Any, path: tuple[Any, ...] = ()) -> list[tuple[tuple[Any, ...], str, Any]]:
    """Each key removed and with a value of a wrong type, and each number negated: path, mutation, value."""
    changes: list[tuple[tuple[Any, ...], str, Any]] = []
    items = (
        container.items()
        if isinstance(container, dict)
        else enumerate(container)
        if isinstance(container, list)
        else ()
    )
    for key, value in items:
        inner_path = (*path, key)
        if isinstance(key, str):
            other: Any = 7 if isinstance(value, dict) else {"x": []}
            changes += [(inner_path, "removed", REMOVED), (inner_path, "wrong type", other)]
        if isinstance(value, int | float) and not isinstance(value, bool):
            changes.append((inner_path, "negated", -value))
        changes += mutations(value, inner_path)
    return changes


def test_most_mutations_are_errors() -> None:
    """Mutations that pass remove a key that has a default, or negate a number whose sign is irrelevant."""
    base, caught, harmless = valid_config(), 0, 0
    for path, _, value in mutations(base):
        if path[0] == "known":
            continue
        config = copy.deepcopy(base)
        set_value(config, "__".join(map(str, path)), value)
        errors = [finding for finding in check(config) if finding.error]
        caught, harmless = caught + bool(errors), harmless + (not errors)
    assert caught > 180 and caught > 2 * harmless, (caught, harmless)


def test_dispatcher_does_not_import_command_line() -> None:
    """The dispatcher has no memory to spare for the command line and its libraries."""
    code = "import sys, weldquay.__main__; print([m for m in sys.modules if m in ('click', 'weldquay.cli')])"
    completed = subprocess.run([sys.executable, "-c", code], capture_output=True, check=True, text=True)
    assert completed.stdout.strip() == "[]"
