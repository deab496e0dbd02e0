"""Two configuration documents in one process: no value of the first remains after the second."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

import pytest

from tests.site import document, site, until
from weldquay.interface import Idempotency
from weldquay.net.config import config_from_document, load, reload

FIRST: dict[str, Any] = {
    "services": [
        {"name": "lookup", "aim_ns": 1_000_000_000, "give_up_ns": 5_000_000_000, "effect": "retryable"},
        {"name": "import", "aim_ns": 900_000_000_000, "give_up_ns": 990_000_000_000, "effect": "fragile"},
    ],
}
SECOND: dict[str, Any] = {
    "services": [
        {
            "name": "import",
            "aim_ns": 200_000_000,
            "give_up_ns": 700_000_000,
            "effect": "dedup",
            "group": "all",
            "window_ns": 300_000_000,
            "worth": 9.0,
        },
        {"name": "scan", "aim_ns": 300_000_000, "give_up_ns": 800_000_000, "effect": "fragile", "worth": 2.0},
        {"name": "print", "aim_ns": 400_000_000, "give_up_ns": 900_000_000, "effect": "retryable"},
    ],
    "group_size": 20,
    "me": 7,
    "caps": {"max_attempts": 2, "max_open": 7, "max_retry_after_ns": 123_000_000},
    "safety": {"fall_multiple": 4.5, "overload_for_ns": 777_000_000, "cold_share": 0.11},
}


def write_document(path: Path, settings: dict[str, Any], **other_keys: Any) -> Path:
    """Write a document to a file, and return its path."""
    contents = document(**settings) | other_keys
    contents["settings"]["family_info"].pop("class_stretch")
    path.write_text(json.dumps(contents))
    return path


def test_document_is_read_independently_of_earlier_ones(tmp_path: Path) -> None:
    """No default, cached value or class number of an earlier document remains."""
    first, second = write_document(tmp_path / "a", FIRST), write_document(tmp_path / "b", SECOND)
    expected = load({"GW_CONFIG": str(second)})
    for _ in range(2):
        load({"GW_CONFIG": str(first)})
        assert load({"GW_CONFIG": str(second)}) == expected
    assert [job_class.idempotency for job_class in expected.settings.classes] == [
        Idempotency.IDEMPOTENT_BY_KEY,
        Idempotency.NON_IDEMPOTENT,
        Idempotency.IDEMPOTENT,
    ]


def test_reload_applies_only_the_new_settings(tmp_path: Path) -> None:
    """Classes are matched by name: a remaining one has its new settings, a removed one is not offered."""
    first, second = write_document(tmp_path / "a", FIRST), write_document(tmp_path / "b", SECOND)
    running = load({"GW_CONFIG": str(first)})
    reloaded, needs_restart = reload({"GW_CONFIG": str(second)}, running)
    loaded = load({"GW_CONFIG": str(second)})
    by_name = dict(zip(reloaded.class_names, reloaded.settings.classes, strict=True))
    for name, job_class in zip(loaded.class_names, loaded.settings.classes, strict=True):
        assert by_name[name] == job_class and job_class.is_offered
    assert (
        reloaded.offered == {"import", "scan", "print"}
        and not by_name["lookup"].is_offered
        and not needs_restart
    )
    assert reloaded.max_open == 7
    for key in (
        "dispatcher_count",
        "dispatcher_index",
        "max_attempts",
        "overload_multiple",
        "overload_window_ns",
        "initial_capacity_fraction",
        "max_retry_after_ns",
    ):
        assert getattr(reloaded.settings, key) == getattr(loaded.settings, key)


def test_estimates_of_a_removed_class_are_not_used(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """The mean runtime excludes it, and the old number of dispatchers is not used."""
    path = tmp_path / "config.json"
    monkeypatch.setenv("GW_CONFIG", str(path))

    async def scenario() -> None:
        async with site(**FIRST) as test_site:
            process, dispatcher = test_site.process, test_site.process.coordinator.dispatcher
            assert dispatcher.components.runtimes.mean_runtime_ns() > 400e9
            changed = {**process.config.document, "settings": document(**SECOND)["settings"]}
            path.write_text(json.dumps(changed))
            process.reloader.requested.set()
            await until(lambda: process.counters.counts["reloads"])
            await until(lambda: dispatcher.settings.dispatcher_count == 20)
            offered_means_ns = [
                mean_ns
                for mean_ns, job_class in zip(
                    dispatcher.components.runtimes.mean_ns, dispatcher.settings.classes, strict=True
                )
                if job_class.is_offered
            ]
            assert (
                len(offered_means_ns) == 3
                and dispatcher.components.runtimes.mean_runtime_ns() == sum(offered_means_ns) / 3
            )
            components = dispatcher.components
            assert (
                components.backoff.dispatcher_count == 20
                and components.slow_start.policy.overload_multiple == 4.5
            )
            assert process.discovery.config is process.config
            assert (await test_site.post("c1", "/lookup")).status == 404
            assert (await test_site.post("c2", "/print")).body == b"TEXT"

    asyncio.run(scenario())


def test_class_that_keeps_its_name_keeps_its_number(tmp_path: Path) -> None:
    """A class that is removed and added again gets its old number, and with it its own estimates."""
    first, second = write_document(tmp_path / "a", FIRST), write_document(tmp_path / "b", SECOND)
    running = config_from_document({}, json.loads(first.read_text()))
    reloaded, _ = reload({"GW_CONFIG": str(second)}, running)
    restored, _ = reload({"GW_CONFIG": str(first)}, reloaded)
    assert restored.class_names[:2] == running.class_names
    assert restored.settings.classes[:2] == running.settings.classes
    assert restored.offered == running.offered
