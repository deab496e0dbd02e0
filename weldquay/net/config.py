"""The configuration of a real dispatcher: GW_* variables and the JSON file that GW_CONFIG names."""

from __future__ import annotations

import logging
from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, fields, replace
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple

from weldquay import interface as api
from weldquay.config import reading
from weldquay.errors import OperatorError
from weldquay.limits import LEAST_MEMORY_MB, LEAST_SOCKETS, MAX_PORT
from weldquay.net.messages import EndpointList, MessageError, endpoint_list_from_json
from weldquay.settings import Pairs, decode_settings

if TYPE_CHECKING:
    from weldquay.reservations.settings import ReservationSettings

# What a reload takes from the file; the rest stays as it was at the start.
MOVABLE = {
    "discovery",
    "settings",
    "class_names",
    "offered",
    "report_fields",
    "connect_timeout_ns",
    "max_open",
    "zones",
    "kinds",
    "document",
}
AT_START = {"seed", "known"}  # of use at a start only, so a reload need not name their changes
OPTIONAL = {"room", "origin"}  # may come, go and lack any key

log = logging.getLogger(__name__)


class ConfigError(OperatorError):
    """The dispatcher cannot start, or take in a changed file; the text is one plain line for its operator."""

    error_code = "config-error"
    remedy = "correct the value that is named; `weldquay config check FILE` lists all that is wrong"


class ConfigUnset(ConfigError):
    """No file is named."""

    error_code = "config-unset"
    remedy = "set GW_CONFIG to the path of the configuration file; example/config.json is one"


class ConfigUnreadable(ConfigError):
    """The file cannot be read, or holds no JSON object."""

    error_code = "config-unreadable"
    remedy = "see that the file is there, whole and readable for this user; write it anew where it is torn"


class SiteMismatch(ConfigError):
    """The file says otherwise than the facts of the site that GW_CATALOGUE names."""

    error_code = "site-mismatch"
    remedy = "correct the value, or name another site; `weldquay config explain RULE` tells why"


class ReloadRefused(ConfigError):
    """A running dispatcher cannot take the file in; it goes on with the one that it has."""

    error_code = "reload-refused"
    remedy = "put back what is named and send SIGHUP; `weldquay config diff OLD NEW` shows what differs"


class Address(NamedTuple):
    """Where to listen or to connect."""

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class Config:
    """All that a dispatcher is told at its start."""

    name: str
    listen: Address
    discovery: Address
    mgmt: Address | None  # where operators call
    seed: int
    settings: api.Settings
    class_names: tuple[str, ...]  # by number
    offered: frozenset[str]  # the classes that calls may name: a reload may have dropped some
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    report_fields: dict[str, str]  # a load report's fields: what each name means
    connect_timeout_ns: int
    max_open: int
    sockets: int
    memory_mb: int
    known: EndpointList
    lease: api.LeaseState  # that an earlier process had on the known list
    document: dict[str, Any]  # as it was read


def numbered(names: tuple[str, ...]) -> dict[str, int]:
    """Numbers by name as the settings order them; a name that they lack gets the next one."""
    numbers: defaultdict[str, int] = defaultdict(lambda: len(numbers))
    numbers.update({name: number for number, name in enumerate(names)})
    return numbers


def load(environ: Mapping[str, str]) -> Config:
    """Read and check the configuration."""
    path = environ.get("GW_CONFIG")
    if not path:
        raise ConfigUnset("GW_CONFIG is not set: it names the configuration file")
    try:
        document = reading.parse(reading.decode(reading.read_file(Path(path))))
    except reading.ReadingError as error:
        raise ConfigUnreadable(str(error), f"GW_CONFIG: {path}") from None
    if not isinstance(document, dict):
        raise ConfigUnreadable("it holds no JSON object", path)
    try:
        if room := environ.get("GW_ROOM"):
            document["room"] = _room_file(room)
        config = read(environ, document)
        if site := environ.get("GW_CATALOGUE"):
            _check_site(document, site)
        return config
    except (ValueError, MessageError) as error:
        raise ConfigError(" ".join(str(error).split())) from None


def _check_site(document: dict[str, Any], site: str) -> None:
    """Hold a document against the site's facts, by the rules that the checker has."""
    from weldquay.config import catalogue, checking  # only where a site is named

    if found := checking.errors(document, catalogue.load(site)):
        more = f" (and {len(found) - 1} more: weldquay config check)" if len(found) > 1 else ""
        raise SiteMismatch(f"{found[0].rule}: {found[0].path}: {found[0].text}{more}")


def _room_file(path: str) -> dict[str, Any]:
    """The operators' figures for holding room, as they stand in a file of their own."""
    from weldquay.reservations import (
        settings as reservation_settings,
    )  # only where they are used: its library costs memory

    return reservation_settings.read_file(Path(path))


def _room(document: dict[str, Any]) -> ReservationSettings | None:
    """The figures for holding room, where there are any."""
    if (told := document.get("room")) is None:
        return None
    from weldquay.reservations import settings as reservation_settings

    return reservation_settings.check(told, "room")


def load_kept(environ: Mapping[str, str], document: object) -> Config | None:
    """The configuration from a document that an older process kept; None where it cannot be had."""
    try:
        return read(environ, document) if isinstance(document, dict) else None
    except (ValueError, MessageError):
        return None


def reload(environ: Mapping[str, str], running: Config) -> tuple[Config, list[str]]:
    """The running configuration with what may move, as the file has it now; and what needs a new start.

    For what may move the file comes before the variables: they cannot change while the program runs.
    """
    fresh = load({name: value for name, value in environ.items() if name != "GW_DISCOVERY"})
    _check_whole("", running.document, fresh.document)
    for name in ("zones", "kinds"):
        if getattr(fresh, name)[: len(getattr(running, name))] != getattr(running, name):
            raise ReloadRefused(f"{name} may be added to, but not changed, while the dispatcher runs")
    fresh = _number_classes(fresh, running)
    names = [each.name for each in fields(Config) if getattr(fresh, each.name) != getattr(running, each.name)]
    moved = replace(running, **{name: getattr(fresh, name) for name in MOVABLE})
    return moved, [name for name in names if name not in MOVABLE | AT_START]


def _check_whole(path: str, running: object, fresh: object) -> None:
    """Refuse a file that lacks a key that the running one has, or has another kind of value there.

    In a list of objects each must have the keys that all have in the running file.
    """
    if isinstance(running, dict) and isinstance(fresh, dict):
        for name, value in running.items():
            if name not in AT_START | OPTIONAL and value is not None:
                at = f"{path}.{name}" if path else name
                if fresh.get(name) is None:
                    raise ReloadRefused(f"missing key {at}")
                _check_whole(at, value, fresh[name])
    elif isinstance(running, list) and isinstance(fresh, list):
        rows = [row for row in running if isinstance(row, dict)]
        if rows and len(rows) == len(running):
            common = {name: value for name, value in rows[0].items() if all(name in row for row in rows)}
            for number, row in enumerate(fresh):
                _check_whole(f"{path}.{number}", common, row)
    elif _kind(running) is not _kind(fresh):
        raise ReloadRefused(f"{path} is no longer a {_kind(running).__name__}: {fresh!r}")


def _kind(value: object) -> type:
    return float if isinstance(value, int) and not isinstance(value, bool) else type(value)


def _number_classes(fresh: Config, running: Config) -> Config:
    """The fresh configuration with its classes under the numbers that their names have in the running one.

    A dropped class keeps its number and its rules, for the jobs that came with it.
    """
    rules = {
        name: replace(each, is_offered=False)
        for name, each in zip(running.class_names, running.settings.classes, strict=True)
    }
    rules.update(zip(fresh.class_names, fresh.settings.classes, strict=True))  # new names come last
    return replace(
        fresh, class_names=tuple(rules), settings=replace(fresh.settings, classes=tuple(rules.values()))
    )


def read(environ: Mapping[str, str], document: dict[str, Any]) -> Config:
    """The configuration from its document; the variables come first."""
    pairs = Pairs.from_nested(document.get("settings"))
    settings, meanings = decode_settings(pairs)
    class_names = tuple(pairs.text(f"services.{n}.name") for n in range(len(settings.classes)))
    if len(set(class_names)) < len(class_names):
        raise ValueError("two classes have the same name")
    for name, rules in zip(class_names, settings.classes, strict=True):
        if rules.client_timeout_ns <= 0 or rules.latency_objective_ns <= 0:
            raise ValueError(f"class {name} has a deadline that is no positive number")
    if pairs.whole("caps.max_attempts", 1) < 1:
        raise ValueError("caps.max_attempts is no positive number")
    limits = document.get("limits") or {}
    if not isinstance(limits, dict):
        raise ValueError("limits is no JSON object")
    if any((document.get("access") or {}).values()):  # a promise that would not be kept
        raise ValueError("access is not enforced by this version: leave it out")
    known, mgmt = document.get("known"), environ.get("GW_MGMT") or document.get("mgmt")
    return Config(
        name=_text("GW_NAME", environ.get("GW_NAME") or document.get("name")),
        listen=address("GW_LISTEN", environ.get("GW_LISTEN") or document.get("listen")),
        discovery=address("GW_DISCOVERY", environ.get("GW_DISCOVERY") or document.get("discovery")),
        mgmt=address("GW_MGMT", mgmt) if mgmt else None,
        seed=_seed(document.get("seed", "0")),
        # Discovery on sockets answers only when asked, whatever mode the deployment's simulator has.
        settings=replace(
            settings,
            polls_endpoint_list=True,
            endpoint_list_expires=True,
            has_local_discovery_agent=not settings.polls_endpoint_list,
            reservations=_room(document),
        ),
        class_names=class_names,
        offered=frozenset(class_names),
        zones=tuple(pairs.items("zones")),
        kinds=tuple(pairs.items("shapes")),
        report_fields=dict(zip(pairs.items("load_info.fields"), meanings, strict=True)),
        connect_timeout_ns=pairs.whole("caps.connect_timeout_ns", 250_000_000),
        max_open=pairs.whole("caps.max_open", 10_000),
        sockets=_limit(limits, "sockets", 1024, LEAST_SOCKETS),
        memory_mb=_limit(limits, "memory_mb", 192, LEAST_MEMORY_MB),
        known=_known(known),
        lease=api.LeaseState(),
        document=document,
    )


def _known(told: object) -> EndpointList:
    """The list as it was last had; it only helps at the start: a torn one is left out and asked anew."""
    try:
        return EndpointList(0, True, ()) if told is None else endpoint_list_from_json(told)
    except MessageError as error:
        log.warning("known is left out: %s", error)
        return EndpointList(0, True, ())


def _limit(limits: dict[str, Any], name: str, default: int, least: int) -> int:
    value = limits.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int) or value < least:
        raise ValueError(f"limits.{name} is no whole number from {least} up: {value!r}")
    return value


def _text(name: str, value: object) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError(f"{name} is not set")
    return value


def _seed(value: object) -> int:
    try:
        return int(str(value), 16)
    except ValueError:
        raise ValueError(f"seed is no hexadecimal number: {value!r}") from None


def address(name: str, value: object) -> Address:
    """HOST:PORT as an address."""
    host, colon, port = _text(name, value).rpartition(":")
    if not colon or not host or not port.isdecimal() or int(port) > MAX_PORT:
        raise ValueError(f"{name} is no HOST:PORT: {value!r}")
    return Address(host.strip("[]"), int(port))
