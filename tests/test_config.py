"""The configuration: read as told, refused with one plain line."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from tests.site import CONFIG, document
from weldquay.net.config import Address, ConfigError, load, reload


def test_the_example_is_read() -> None:
    """Every figure that the program uses beside the module's settings."""
    config = load({"GW_CONFIG": str(CONFIG), "GW_LISTEN": "127.0.0.9:1"})
    assert config.listen == Address("127.0.0.9", 1) and config.discovery == Address("127.0.0.1", 8500)
    assert (config.class_names, config.zones, config.kinds) == (("lookup", "import"), ("here",), ("toy",))
    assert config.report_fields == {
        "svc_ms": "svc_ms", "pending": "pending", "x0": "free_slots", "x1": "free_memory"}
    assert (config.seed, config.sockets, config.connect_timeout_ns) == (0x5EED, 256, 250_000_000)
    assert config.settings.asks_list and config.settings.max_retry_after_ns == 2_000_000_000


def test_a_reload_takes_the_address_of_discovery_alone(tmp_path: Path) -> None:
    """The file comes before the variable then; what else has changed is named and stays."""
    path = tmp_path / "config.json"
    environ = {"GW_CONFIG": str(path), "GW_DISCOVERY": "127.0.0.1:1"}
    path.write_text(json.dumps(document()))
    running = load(environ)
    path.write_text(json.dumps({
        **document(), "discovery": "127.0.0.1:2", "name": "other", "seed": "7", "limits": {"sockets": 199}}))
    moved, others = reload(environ, running)
    assert moved == replace(running, discovery=Address("127.0.0.1", 2)) and others == ["name", "sockets"]
    path.write_text("{")
    with pytest.raises(ConfigError):
        reload(environ, running)


BAD: list[tuple[dict[str, Any], str]] = [
    ({"listen": "here"}, "GW_LISTEN"), ({"listen": "h:99999"}, "GW_LISTEN"),
    ({"discovery": None}, "GW_DISCOVERY"),
    ({"name": ""}, "GW_NAME"), ({"seed": "xyz"}, "seed"), ({"limits": {"sockets": "many"}}, "sockets"),
    ({"limits": {"memory_mb": 1}}, "memory_mb"), ({"limits": [1]}, "limits"),
    ({"known": []}, "members"), ({"settings": {}}, "services.count"), ({"settings": None}, "services.count"),
]


@pytest.mark.parametrize(("changes", "named"), BAD)
def test_bad_configuration_is_named(changes: dict[str, Any], named: str, tmp_path: Path) -> None:
    """The text names what is wrong, in one line."""
    path = tmp_path / "config.json"
    path.write_text(json.dumps({**document(), **changes}))
    with pytest.raises(ConfigError, match=named) as caught:
        load({"GW_CONFIG": str(path)})
    assert "\n" not in str(caught.value)


@pytest.mark.parametrize("text", [None, "", "{", "[]"])
def test_a_bad_file_stops_the_start(text: str | None, tmp_path: Path) -> None:
    """One plain line on standard error, status 2."""
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text)
    environ = {**os.environ, "GW_CONFIG": str(path)}
    done = subprocess.run([sys.executable, "-m", "weldquay"], env=environ, capture_output=True, check=False)
    assert done.returncode == 2 and done.stdout == b""
    assert done.stderr.startswith(b"weldquay: ") and done.stderr.count(b"\n") == 1
