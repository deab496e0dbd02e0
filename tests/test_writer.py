"""The writer: what it makes is sound, starts, and serves on loopback unchanged."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner
from hypothesis import HealthCheck, given
from hypothesis import settings as trials
from hypothesis import strategies as st

from tests.site import site as running
from weldquay import cli
from weldquay.config import catalogue, checking, writer
from weldquay.interface import Idempotency
from weldquay.net.config import read

SITE = catalogue.load("sapporo-tm")
KNOWN = [kind.name for kind in SITE.kinds]
NEVER_TWICE = {kind.name for kind in SITE.kinds if kind.never_twice}
NAMES = st.text(st.characters(categories=["Ll", "Nd"]), min_size=1, max_size=20).map(lambda name: f"x{name}")
OWN_KINDS = st.fixed_dictionaries(
    {"name": NAMES, "repeat_harmless": st.booleans(), "wanted_ms": st.floats(1, 100_000)}
)
SITE_KINDS = st.sampled_from(KNOWN).map(lambda name: {"name": name})
DESCRIPTIONS = st.fixed_dictionaries(
    {
        "name": NAMES,
        "kinds": st.lists(OWN_KINDS, min_size=1, max_size=4, unique_by=lambda kind: kind["name"]),
        "calls_per_s": st.floats(0.1, 500),
        "dispatchers": st.integers(1, 50),
    }
)


@trials(max_examples=60, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(DESCRIPTIONS)
def test_what_is_written_passes_and_starts(told: dict[str, Any]) -> None:
    """Without a site: the team's word on each kind holds."""
    made = writer.compose(writer.describe(told))
    text = writer.text(made)
    assert [each for each in checking.check(text.encode()) if each.error] == []
    config = read({}, json.loads(text))
    for kind, rules in zip(told["kinds"], config.settings.classes, strict=True):
        assert rules.idempotency is (
            Idempotency.IDEMPOTENT if kind["repeat_harmless"] else Idempotency.NON_IDEMPOTENT
        )
    assert writer.text(writer.compose(writer.describe(told))) == text


@trials(max_examples=60, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(DESCRIPTIONS, st.lists(SITE_KINDS, max_size=4, unique_by=lambda kind: kind["name"]))
def test_with_a_site_its_facts_come_first(told: dict[str, Any], kinds: list[dict[str, Any]]) -> None:
    """No kind that must never run twice may be repeated, and no customer is missing."""
    told = {**told, "kinds": [*told["kinds"], *kinds]}
    try:
        made = writer.compose(writer.describe(told), SITE)
    except writer.DescriptionError as error:
        assert "nearly" in str(error)  # noqa: PT017  # a description may also be complete
        return
    assert [each for each in checking.check(writer.text(made).encode(), SITE) if each.error] == []
    for row in made["settings"]["services"]:
        assert row["effect"] == "fragile" or row["name"] not in NEVER_TWICE
    assert {row["name"] for row in made["settings"]["customers"]} >= {each.name for each in SITE.customers}


BAD: list[tuple[dict[str, Any], str]] = [
    ({}, "name"),
    ({"name": "a"}, "kinds"),
    ({"name": "a", "kinds": []}, "kinds"),
    ({"name": "a", "kinds": [{"name": "k"}]}, "say whether a repeat is harmless"),
    ({"name": "a", "kinds": [{"name": "k", "repeat_harmless": True}]}, "wanted_ms"),
    ({"name": "a", "kinds": [{"name": "segment-commit", "repeat_harmless": True}]}, "must never run twice"),
    ({"name": "a", "kinds": [{"name": "segment_comit", "repeat_harmless": True, "wanted_ms": 1}]}, "nearly"),
    ({"name": "a", "kinds": [{"name": "exact-lookup"}, {"name": "Exact_Lookup"}]}, "another spelling"),
    ({"name": "a", "kinds": [{"name": "exact-lookup", "give_up_s": 60}]}, "give up after 5 s"),
    ({"name": "a", "kinds": [{"name": "exact-lookup", "wanted_ms": 9000}]}, "only after"),
    ({"name": "a", "kinds": [{"name": "exact-lookup"}], "customers": {"kushiro-soft": 0.5}}, "is 0.17"),
    ({"name": "a", "kinds": [{"name": "exact-lookup"}], "customers": {"kushiro-sofft": 0.1}}, "nearly"),
    ({"name": "a", "kinds": [{"name": "exact-lookup"}], "customers": {"more-of-it": 0.5}}, "add up to"),
    ({"name": "a", "kinds": [{"name": "exact-lookup"}], "listen": "here"}, "listen"),
]


@pytest.mark.parametrize(("told", "text"), BAD)
def test_a_description_that_is_not_enough_is_told(told: dict[str, Any], text: str) -> None:
    """What is missing or cannot be, in plain words; nothing is guessed."""
    with pytest.raises(writer.DescriptionError, match=text):
        writer.compose(writer.describe(told), SITE)


def test_the_command_writes_once(tmp_path: Path) -> None:
    """It never overwrites without --force, and what it writes passes the checker of the same site."""
    path = tmp_path / "made.json"
    arguments = [
        "config",
        "new",
        str(path),
        "--name",
        "a",
        "--kind",
        "segment-commit",
        "--catalogue",
        "sapporo-tm",
    ]
    run = CliRunner().invoke
    assert run(cli.main, arguments).exit_code == 0
    before = path.read_bytes()
    again = run(cli.main, arguments)
    assert again.exit_code == 2 and "--force" in again.output and path.read_bytes() == before
    assert run(cli.main, [*arguments, "--force"]).exit_code == 0 and path.read_bytes() == before
    assert run(cli.main, ["config", "check", str(path), "--catalogue", "sapporo-tm"]).exit_code == 0
    assert [each.name for each in tmp_path.glob(".*")] == [], "nothing half written stays"
    assert json.loads(before)["origin"]["settings.services.0.effect"] == "the catalogue of sapporo-tm"


DIFFERENCES: list[tuple[str, Any, str, int]] = [
    ("settings.caps.max_attempts", 4, "settings.caps.max_attempts: 3 to 4; at SIGHUP", 0),
    ("discovery", "127.0.0.1:9", 'discovery: "127.0.0.1:8500" to "127.0.0.1:9"; at SIGHUP', 0),
    ("listen", "127.0.0.1:9", "needs a new start", 1),
    ("limits.sockets", 999, "needs a new start", 1),
    ("seed", "7", "used at a start only", 1),
    ("origin", {}, "not read by the program", 0),
    ("settings.services.0.worth", 3.0, "services.k.worth: 1.0 to 3.0; at SIGHUP (open jobs", 0),
    ("settings.services.0.name", "other", "calls for it are answered 404", 0),
    ("settings.caps.max_attempts", 0, "would take nothing of it", 1),
    ("settings.zones", ["elsewhere"], "would take nothing of it", 1),
    ("name", "a", "no difference", 0),
]


@pytest.mark.parametrize(("path", "value", "text", "status"), DIFFERENCES)
def test_a_difference_is_told_in_operators_words(
    path: str,
    value: Any,
    text: str,
    status: int,
    tmp_path: Path,
) -> None:
    """What a reload takes, what needs a start, what is refused whole: by the program's own check."""
    kinds = [{"name": "k", "repeat_harmless": True, "wanted_ms": 1000}]
    made = writer.compose(writer.describe({"name": "a", "kinds": kinds}))
    (tmp_path / "old.json").write_text(writer.text(made))
    *steps, last = path.split(".")
    inner: Any = made
    for step in steps:
        inner = inner[int(step)] if isinstance(inner, list) else inner[step]
    inner[last] = value
    (tmp_path / "new.json").write_text(writer.text(made))
    files = [str(tmp_path / f"{name}.json") for name in ("old", "new")]
    done = CliRunner().invoke(cli.main, ["config", "diff", *files])
    assert text in done.output and done.exit_code == status, done.output


def test_what_is_written_serves_on_loopback() -> None:
    """The written settings unchanged, with stand-in workers: each job one answer."""
    made = writer.compose(
        writer.describe(
            {
                "name": "a",
                "kinds": [
                    {"name": "lookup", "repeat_harmless": True, "wanted_ms": 1000},
                    {"name": "import", "repeat_harmless": False, "wanted_ms": 1000},
                ],
            }
        )
    )

    async def scenario() -> None:
        settings: dict[str, Any] = {
            name: value for name, value in made["settings"].items() if isinstance(value, dict)
        }
        async with running(workers=2, **settings) as here:
            answers = await asyncio.gather(
                *(here.post(f"c{number}", f"/{'lookup' if number % 2 else 'import'}") for number in range(12))
            )
            assert [answer.status for answer in answers] == [200] * 12
            posts = [
                message.headers["x-correlation-id"]
                for worker in here.workers
                for message in worker.received
                if message.method == "POST"
            ]
            assert len(posts) == len(set(posts)) == 12

    asyncio.run(scenario())
