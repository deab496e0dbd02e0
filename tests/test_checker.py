"""The checker: broken files are each rejected with the rule meant for them, good ones pass."""

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
S = 1_000_000_000
GONE = object()


def good(**changes: Any) -> dict[str, Any]:
    """A whole configuration for the site, with other values by their paths."""
    told = document()
    told["limits"] = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
    told["settings"] = loads.settings(3)
    told["settings"]["caps"]["max_open"] = 600
    told["settings"]["customers"] = [
        {"name": each.name, "fraction": each.fraction, "quota_per_s": 5.0} for each in SITE.customers
    ]
    for path, value in changes.items():
        change(told, path, value)
    return told


def change(told: Any, path: str, value: Any) -> None:
    """Set a value, or take its key away."""
    *steps, last = path.split("__")
    for step in steps:
        told = told[int(step) if isinstance(told, list) else step]
    if value is GONE:
        del told[int(last) if isinstance(told, list) else last]
    elif isinstance(told, list) and int(last) == len(told):
        told.append(value)
    else:
        told[int(last) if isinstance(told, list) else last] = value


def found(told: Any, sidecar: bool = False, site: catalogue.Catalogue | None = SITE) -> list[Finding]:
    """The findings of a document."""
    text = told if isinstance(told, bytes) else json.dumps(told, indent=1).encode()
    return checking.check(text, site, sidecar)


EXACT, FUZZY, BATCH, COMMIT = range(4)
CLASS = "settings__services__"
BAD: list[tuple[str, Any, str, str]] = [
    # segment-commit and batch-import, repeatable by any path
    (f"{CLASS}3__effect", "retryable", "WQ201", "segment-commit must never run twice"),
    (f"{CLASS}2__effect", "retryable", "WQ201", "batch-import must never run twice"),
    (f"{CLASS}3__effect", "dedup", "WQ201", "write fragile"),
    (f"{CLASS}3__name", "Segment_Commit", "WQ202", "is not segment-commit"),
    (f"{CLASS}3__name", "segment-comit", "WQ202", "is not segment-commit"),
    (f"{CLASS}2__name", "batch.import", "WQ202", "is not batch-import"),
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
    (f"{CLASS}0__aim_ns", 9 * S, "WQ301", "its clients give up after 5 s"),
    (f"{CLASS}0__give_up_ns", 20 * S, "WQ302", "its clients give up after 5 s"),
    (f"{CLASS}2__give_up_ns", 16 * S, "WQ302", "the timeout of batch-import is 16 s"),
    (f"{CLASS}3__give_up_ns", 8 * S, "WQ302", "segment-commit"),
    ("settings__caps__connect_timeout_ns", 6 * S, "WQ304", "a client gives up after 5 s"),
    ("settings__caps__conn_idle_ns", 600 * S, "WQ306", "the site closes them after 60 s"),
    (f"{CLASS}0__aim_stretch", 2.0, "WQ307", "which add up"),
    # customers
    ("settings__customers__8", GONE, "WQ401", "wakkanai-dev has a share of 0.05"),
    ("settings__customers", [], "WQ401", "kushiro-soft has a share"),
    ("settings__customers", GONE, "WQ401", "kushiro-soft has a share"),
    ("settings__customers__0__fraction", 0.5, "WQ402", "add up to 1.33"),
    ("settings__customers__0__fraction", 0.12, "WQ403", "the share of kushiro-soft is 0.17, not 0.12"),
    ("settings__customers__9", {"name": "Rumoi_Works", "fraction": 0.01}, "WQ404", "already in the list"),
    ("settings__customers__4__name", "tomakomai-itt", "WQ405", "is not tomakomai-it"),
    ("settings__customers__4__name", "Tomakomai-IT", "WQ405", "is not tomakomai-it"),
    ("settings__customers__0__fraction", -0.17, "WQ102", "fraction is -0.17"),
    ("settings__customers__0__fraction", 0, "WQ102", "a part above 0"),
    ("settings__customers__3__name", "", "WQ102", "a name of 1 to 200"),
    # cold starts and drains
    ("settings__safety__fall_multiple", 10.0, "WQ501", "a load under which it fails"),
    ("settings__safety__cold_share", 0.9, "WQ501", "the site's limit is 0.34"),
    ("settings__safety__warm_after_ns", 2 * S, "WQ501", "the site's limit is 8.9 s"),
    ("settings__safety__overload_for_ns", S // 2, "WQ501", "too short a time"),
    ("settings__safety__stop_sending_within_ns", S, "WQ501", "after the allowed delay"),
    ("settings__safety__ask_within_ns", 60 * S, "WQ501", "too seldom"),
    (
        "settings__safety__warm_after_ns",
        0,
        "WQ708",
        "starts with 0.34 of its capacity, but warm_after_ns is 0",
    ),
    # addresses and room
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
    (f"{CLASS}0__effect", GONE, "WQ101", "effect is missing"),
    (f"{CLASS}1__name", GONE, "WQ101", "name is missing"),
    ("settings__services", [], "WQ102", "at least one class"),
    ("settings__services", {"name": "a"}, "WQ102", "a list of objects"),
    ("settings__caps", [], "WQ102", "an object"),
    ("settings", GONE, "WQ101", "settings is missing"),
    ("settings__safety__cold_share", GONE, "WQ101", "cold_share is missing"),
    ("seed", "xyz", "WQ102", "a hexadecimal number"),
    ("settings__load_info__via", "pigeon", "WQ102", "inline, on_probe or off"),
    ("room", {"slip": -1}, "WQ102", "slip is -1"),
    # contradictory as a whole
    ("settings__zone", 2, "WQ701", "zones has length 1"),
    ("settings__me", 3, "WQ701", "group_size is 3"),
    ("settings__family_info__class_stretch", [2.0, 2.0], "WQ702", "2 entries for 4 classes"),
    ("settings__family_info__class_kind", [0, 0, 0, 7], "WQ703", "shapes has length 3"),
    ("settings__goal", {"whole": 0.9, "worst_class": 0.5}, "WQ706", "add up to"),
]


@pytest.mark.parametrize(("path", "value", "rule", "text"), BAD)
def test_a_broken_file_is_rejected_with_its_rule(path: str, value: Any, rule: str, text: str) -> None:
    """The id meant for it, an explanation, and the place where it stands."""
    told = good(**{path: value})
    hits = [each for each in found(told) if each.rule == rule and each.error]
    assert any(text in each.text for each in hits), found(told)
    assert all(each.line > 0 and each.column > 0 for each in hits)


TEXTS: list[tuple[bytes, str]] = [
    (b"", "expecting value"),
    (b"{", "expecting"),
    (b"null", "holds null"),
    (b"[]", "holds a list"),
    (json.dumps(good()).encode()[:-30], "expecting"),
    (json.dumps(good()).encode() + b"x", "extra data"),
    (b'{"name": "a", "name": "b"}', 'the key "name" stands twice'),
    (b'{"a": NaN}', "NaN is no JSON number"),
    (b'{"a": -Infinity}', "is no JSON number"),
    (b'{"a": "\xff"}', "is no UTF-8"),
    (b"[" * 100 + b"]" * 100, "nested more than 64 levels"),
    (b'{"a": ' + b"9" * 5000 + b"}", "4300"),
    (b"{'a': 1}", "property name"),
    (b'{"a": 1,}', "property name"),
]


@pytest.mark.parametrize(("text", "told"), TEXTS)
def test_text_that_is_no_configuration(text: bytes, told: str) -> None:
    """What two readers could understand in two ways is one error, with its place."""
    (only,) = found(text)
    assert only.rule == "WQ002" and only.error and told in only.text


GOOD: list[dict[str, Any]] = [
    {},
    {"seed": "0"},
    {"mgmt": GONE},
    {"listen": "[::1]:8443"},
    {"listen": "localhost:8443"},
    {"settings__caps__max_attempts": 1, "settings__caps__may_duplicate": False},
    {"limits": GONE},
    {f"{CLASS}0__give_up_ns": S},
    {f"{CLASS}0__give_up_ns": float(S)},
    {f"{CLASS}3__give_up_ns": 2 * S},
    {"settings__safety__stop_sending_within_ns": 100_000_000},
    {"settings__safety__cold_share": 0.2},
    {"settings__safety__fall_multiple": 2.0},
    {"settings__safety__warm_after_ns": 20 * S},
    {"room": {"on": False}},
    {"access": {"clients": []}},
    {"settings__caps__cancel": False},
    {"settings__tiers": ["a"]},
    {"settings__caps__conn_idle_ns": 10 * S},
    {"settings__new_key_of_the_platform": 1},
    {"known": GONE},
    {"settings__zones": ["a", "b"]},
]


@pytest.mark.parametrize("changes", GOOD)
def test_a_good_file_passes_and_starts(changes: dict[str, Any], tmp_path: Path) -> None:
    """No false alarm, and the program takes it with the same catalogue."""
    told = good(**changes)
    assert [each for each in found(told) if each.error] == []
    path = tmp_path / "config.json"
    path.write_text(json.dumps(told))
    load({"GW_CONFIG": str(path), "GW_CATALOGUE": "sapporo-tm"})


@pytest.mark.parametrize(("path", "value"), [(path, value) for path, value, *_ in BAD])
def test_what_is_an_error_does_not_start(path: str, value: Any, tmp_path: Path) -> None:
    """The same meaning in the program: each broken file is refused there too, in one line."""
    file = tmp_path / "config.json"
    file.write_text(json.dumps(good(**{path: value})))
    with pytest.raises(ConfigError) as caught:
        load({"GW_CONFIG": str(file), "GW_CATALOGUE": "sapporo-tm"})
    assert "\n" not in str(caught.value)


def test_without_a_catalogue_the_rules_left_out_are_named() -> None:
    """And what needs no facts still holds."""
    told = good(settings__services__3__effect="retryable")
    assert [each for each in found(told, site=None) if each.error] == []
    assert "WQ201" in {rule.id for rule in checking.left_out(None)} and not checking.left_out(SITE)


def test_a_sidecar_listens_on_loopback_only() -> None:
    """Not where others reach it, nor on an address that only looks like one."""
    for address, bad in (
        ("10.0.0.4:8443", 1),
        ("0.0.0.0:1", 1),
        ("[::ffff:127.0.0.1]:1", 0),
        ("127.9.9.9:1", 0),
    ):
        hits = [each for each in found(good(listen=address), sidecar=True) if each.rule == "WQ603"]
        assert len(hits) == bad, address


@pytest.mark.parametrize("rule", sorted(RULES))
def test_every_rule_explains_itself(rule: str) -> None:
    """Its page has a reason, a bad and a good example."""
    page = cli.page(RULES[rule])
    assert RULES[rule].why in page and "Bad:" in page and "Good:" in page and len(RULES[rule].why) > 20


def test_the_command_line(tmp_path: Path) -> None:
    """Text for people, JSON for machines; status 0, 1 and 2."""
    path = tmp_path / "c.json"
    path.write_text(json.dumps(good(settings__services__3__effect="retryable"), indent=1))
    run = CliRunner().invoke
    told = run(cli.main, ["config", "check", str(path), "--catalogue", "sapporo-tm"])
    assert told.exit_code == 1 and "error WQ201" in told.output and "write fragile" in told.output
    machine = run(
        cli.main, ["config", "check", str(path), "--format", "json"], env={"GW_CATALOGUE": "sapporo-tm"}
    )
    assert json.loads(machine.output)["findings"][0]["rule"] == "WQ201" and machine.exit_code == 1
    path.write_text(json.dumps(good()))
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


def test_a_fifo_in_the_place_of_a_file_does_not_block(tmp_path: Path) -> None:
    """Nor does a folder; a start would hang for ever."""
    os.mkfifo(tmp_path / "fifo")
    for path in (tmp_path / "fifo", tmp_path):
        with pytest.raises(reading.ReadingError, match="cannot be read"):
            reading.read_file(path)
        with pytest.raises(ConfigError):
            load({"GW_CONFIG": str(path)})


def test_a_bom_and_crlf_are_harmless(tmp_path: Path) -> None:
    """Editors of some systems write them."""
    text = b"\xef\xbb\xbf" + json.dumps(good(), indent=1).replace("\n", "\r\n").encode()
    assert [each for each in found(text) if each.error] == []
    (tmp_path / "c.json").write_bytes(text)
    load({"GW_CONFIG": str(tmp_path / "c.json")})


def test_work_grows_with_the_file_and_not_with_its_square() -> None:
    """Many findings in a long list are placed in one scan."""
    told = good()
    told["settings"]["customers"] += [{"name": f"c-{n}", "fraction": -1} for n in range(1000)]
    hits = [each for each in found(told, site=None) if each.rule == "WQ102"]
    assert len(hits) == 1000 and len({each.line for each in hits}) == 1000


def mutations(told: Any, path: tuple[Any, ...] = ()) -> list[tuple[tuple[Any, ...], str, Any]]:
    """Each key dropped, negated, and of a wrong type."""
    rows: list[tuple[tuple[Any, ...], str, Any]] = []
    items = told.items() if isinstance(told, dict) else enumerate(told) if isinstance(told, list) else ()
    for key, value in items:
        way = (*path, key)
        if isinstance(key, str):
            other: Any = 7 if isinstance(value, dict) else {"x": []}
            rows += [(way, "dropped", GONE), (way, "wrong type", other)]
        if isinstance(value, int | float) and not isinstance(value, bool):
            rows.append((way, "negated", -value))
        rows += mutations(value, way)
    return rows


def test_mutations_are_caught_or_harmless() -> None:
    """What passes is a key that is gone and has a default, or a figure whose sign does not matter."""
    base, caught, harmless = good(), 0, 0
    for path, _, value in mutations(base):
        if path[0] == "known":
            continue
        told = copy.deepcopy(base)
        change(told, "__".join(map(str, path)), value)
        errors = [each for each in found(told) if each.error]
        caught, harmless = caught + bool(errors), harmless + (not errors)
    assert caught > 180 and caught > 2 * harmless, (caught, harmless)


def test_the_dispatcher_loads_nothing_of_the_tool() -> None:
    """Guards against memory that `run` does not have: the command line stays out of it."""
    code = "import sys, weldquay.__main__; print([m for m in sys.modules if m in ('click', 'weldquay.cli')])"
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, check=True, text=True)
    assert done.stdout.strip() == "[]"
