"""The writer: the configurations that it generates are valid, and a dispatcher serves with them."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner
from hypothesis import HealthCheck, given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from tests.site import site
from weldquay import cli
from weldquay.config import catalogue, checking, writer
from weldquay.interface import Idempotency
from weldquay.net.config import config_from_document

SITE = catalogue.load("sapporo-tm")
SITE_KIND_NAMES = [kind.name for kind in SITE.kinds]
NEVER_TWICE = {kind.name for kind in SITE.kinds if kind.never_twice}
NAMES = st.text(st.characters(categories=["Ll", "Nd"]), min_size=1, max_size=20).map(lambda name: f"x{name}")
OWN_KINDS = st.fixed_dictionaries(
    {"name": NAMES, "repeat_harmless": st.booleans(), "wanted_ms": st.floats(1, 100_000)}
)
SITE_KINDS = st.sampled_from(SITE_KIND_NAMES).map(lambda name: {"name": name})
DESCRIPTIONS = st.fixed_dictionaries(
    {
        "name": NAMES,
        "kinds": st.lists(OWN_KINDS, min_size=1, max_size=4, unique_by=lambda kind: kind["name"]),
        "calls_per_s": st.floats(0.1, 500),
        "dispatchers": st.integers(1, 50),
    }
)


@hypothesis_settings(max_examples=60, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(DESCRIPTIONS)
def test_generated_configuration_is_valid(description: dict[str, Any]) -> None:
    """Without a catalogue, a class is idempotent exactly if the description says so."""
    document = writer.compose_configuration(writer.parse_description(description))
    text = writer.format_configuration(document)
    assert [entry for entry in checking.check(text.encode()) if entry.error] == []
    config = config_from_document({}, json.loads(text))
    for kind, job_class in zip(description["kinds"], config.settings.classes, strict=True):
        assert job_class.idempotency is (
            Idempotency.IDEMPOTENT if kind["repeat_harmless"] else Idempotency.NON_IDEMPOTENT
        )
    assert (
        writer.format_configuration(writer.compose_configuration(writer.parse_description(description)))
        == text
    )


@hypothesis_settings(max_examples=60, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(DESCRIPTIONS, st.lists(SITE_KINDS, max_size=4, unique_by=lambda kind: kind["name"]))
def test_catalogue_has_precedence_over_description(
    description: dict[str, Any], kinds: list[dict[str, Any]]
) -> None:
    """No kind that must never run twice is repeatable, and no customer of the site is missing."""
    description = {**description, "kinds": [*description["kinds"], *kinds]}
    try:
        document = writer.compose_configuration(writer.parse_description(description), SITE)
    except writer.DescriptionError as error:
        assert "similar to" in str(error)  # noqa: PT017  # most descriptions are accepted
        return
    assert [
        entry for entry in checking.check(writer.format_configuration(document).encode(), SITE) if entry.error
    ] == []
    for row in document["settings"]["services"]:
        assert row["effect"] == "fragile" or row["name"] not in NEVER_TWICE
    assert {row["name"] for row in document["settings"]["customers"]} >= {
        entry.name for entry in SITE.customers
    }


INVALID_DESCRIPTIONS: list[tuple[dict[str, Any], str]] = [
    ({}, "name"),
    ({"name": "a"}, "kinds"),
    ({"name": "a", "kinds": []}, "kinds"),
    ({"name": "a", "kinds": [{"name": "k"}]}, "state whether a repeat is harmless"),
    ({"name": "a", "kinds": [{"name": "k", "repeat_harmless": True}]}, "wanted_ms"),
    ({"name": "a", "kinds": [{"name": "segment-commit", "repeat_harmless": True}]}, "must never run twice"),
    (
        {"name": "a", "kinds": [{"name": "segment_comit", "repeat_harmless": True, "wanted_ms": 1}]},
        "similar to",
    ),
    ({"name": "a", "kinds": [{"name": "exact-lookup"}, {"name": "Exact_Lookup"}]}, "only in spelling"),
    ({"name": "a", "kinds": [{"name": "exact-lookup", "give_up_s": 60}]}, "give up after 5 s"),
    ({"name": "a", "kinds": [{"name": "exact-lookup", "wanted_ms": 9000}]}, "longer than its clients wait"),
    ({"name": "a", "kinds": [{"name": "exact-lookup"}], "customers": {"kushiro-soft": 0.5}}, "is 0.17"),
    ({"name": "a", "kinds": [{"name": "exact-lookup"}], "customers": {"kushiro-sofft": 0.1}}, "similar to"),
    ({"name": "a", "kinds": [{"name": "exact-lookup"}], "customers": {"more-of-it": 0.5}}, "add up to"),
    ({"name": "a", "kinds": [{"name": "exact-lookup"}], "listen": "here"}, "listen"),
]


@pytest.mark.parametrize(("description", "message"), INVALID_DESCRIPTIONS)
def test_invalid_description_is_rejected(description: dict[str, Any], message: str) -> None:
    """The error names what is missing or contradictory; no value is guessed."""
    with pytest.raises(writer.DescriptionError, match=message):
        writer.compose_configuration(writer.parse_description(description), SITE)


def test_command_does_not_overwrite_without_force(tmp_path: Path) -> None:
    """`config new` overwrites a file only with --force, and its output passes `config check`."""
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
    second_run = run(cli.main, arguments)
    assert second_run.exit_code == 2 and "--force" in second_run.output and path.read_bytes() == before
    assert run(cli.main, [*arguments, "--force"]).exit_code == 0 and path.read_bytes() == before
    assert run(cli.main, ["config", "check", str(path), "--catalogue", "sapporo-tm"]).exit_code == 0
    assert [entry.name for entry in tmp_path.glob(".*")] == [], "no temporary file is left"
    assert json.loads(before)["origin"]["settings.services.0.effect"] == "the catalogue of sapporo-tm"


CHANGES: list[tuple[str, Any, str, int]] = [
    ("settings.caps.max_attempts", 4, "settings.caps.max_attempts: 3 to 4; applied on SIGHUP", 0),
    ("discovery", "127.0.0.1:9", 'discovery: "127.0.0.1:8500" to "127.0.0.1:9"; applied on SIGHUP', 0),
    ("listen", "127.0.0.1:9", "needs a restart", 1),
    ("limits.sockets", 999, "needs a restart", 1),
    ("seed", "7", "only read at startup", 1),
    ("origin", {}, "not read by the program", 0),
    ("settings.services.0.worth", 3.0, "services.k.worth: 1.0 to 3.0; applied on SIGHUP (open jobs", 0),
    ("settings.services.0.name", "other", "requests for it are answered with 404", 0),
    ("settings.caps.max_attempts", 0, "would reject this reload", 1),
    ("settings.zones", ["elsewhere"], "would reject this reload", 1),
    ("name", "a", "no difference", 0),
]


@pytest.mark.parametrize(("path", "value", "message", "status"), CHANGES)
def test_effect_of_a_change(
    path: str,
    value: Any,
    message: str,
    status: int,
    tmp_path: Path,
) -> None:
    """`config diff` says what a reload applies, what needs a restart, and what a dispatcher rejects."""
    kinds = [{"name": "k", "repeat_harmless": True, "wanted_ms": 1000}]
    document = writer.compose_configuration(writer.parse_description({"name": "a", "kinds": kinds}))
    (tmp_path / "old.json").write_text(writer.format_configuration(document))
    *steps, last = path.split(".")
    inner: Any = document
    for step in steps:
        inner = inner[int(step)] if isinstance(inner, list) else inner[step]
    inner[last] = value
    (tmp_path / "new.json").write_text(writer.format_configuration(document))
    files = [str(tmp_path / f"{name}.json") for name in ("old", "new")]
    result = CliRunner().invoke(cli.main, ["config", "diff", *files])
    assert message in result.output and result.exit_code == status, result.output


def test_dispatcher_serves_with_generated_settings() -> None:
    """With the generated settings and stand-in workers, each job is sent once and gets a response."""
    document = writer.compose_configuration(
        writer.parse_description(
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
            name: value for name, value in document["settings"].items() if isinstance(value, dict)
        }
        async with site(workers=2, **settings) as test_site:
            responses = await asyncio.gather(
                *(
                    test_site.post(f"c{number}", f"/{'lookup' if number % 2 else 'import'}")
                    for number in range(12)
                )
            )
            assert [response.status for response in responses] == [200] * 12
            posts = [
                message.headers["x-correlation-id"]
                for worker in test_site.workers
                for message in worker.received
                if message.method == "POST"
            ]
            assert len(posts) == len(set(posts)) == 12

    asyncio.run(scenario())
