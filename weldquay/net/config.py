"""The configuration of a real dispatcher: GW_* variables and the JSON file that GW_CONFIG names."""

from __future__ import annotations

import logging
from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple

from weldquay import interface as api
from weldquay.config import reading
from weldquay.errors import OperatorError
from weldquay.limits import MAX_PORT, MIN_MEMORY_MB, MIN_SOCKETS
from weldquay.net.messages import EndpointList, MessageError, endpoint_list_from_json
from weldquay.settings import FlatSettings, decode_settings

if TYPE_CHECKING:
    from weldquay.reservations.settings import ReservationSettings

# Fields of `Config` that a reload takes from the file.
RELOADABLE_FIELDS = (
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
)
# Fields that need a restart, in the order in which a reload reports them, with their external names.
RESTART_FIELDS = {
    "name": "name",
    "listen": "listen",
    "mgmt": "mgmt",
    "sockets": "sockets",
    "memory_mb": "memory_mb",
    "lease": "lease",
}
START_ONLY_KEYS = {"seed", "known"}  # keys of the file that are used at a start only
OPTIONAL_KEYS = {"room", "origin"}  # keys of the file that a reload may add, remove or change in any way

DEFAULT_CONNECT_TIMEOUT_NS = 250_000_000
DEFAULT_MAX_OPEN = 10_000  # requests
DEFAULT_SOCKETS = 1024  # file descriptors
DEFAULT_MEMORY_MB = 192

log = logging.getLogger(__name__)


class ConfigError(OperatorError):
    """The configuration is invalid, at a start or a reload; the text is one line for operators."""

    error_code = "config-error"
    remedy = "correct the value that is named; `weldquay config check FILE` lists all that is wrong"


class ConfigUnset(ConfigError):
    """No configuration file is named."""

    error_code = "config-unset"
    remedy = "set GW_CONFIG to the path of the configuration file; example/config.json is one"


class ConfigUnreadable(ConfigError):
    """The file cannot be read, or is no JSON object."""

    error_code = "config-unreadable"
    remedy = "see that the file is there, whole and readable for this user; write it anew where it is torn"


class SiteMismatch(ConfigError):
    """The file contradicts the facts of the site that GW_CATALOGUE names."""

    error_code = "site-mismatch"
    remedy = "correct the value, or name another site; `weldquay config explain RULE` tells why"


class ReloadRefused(ConfigError):
    """A running dispatcher cannot apply the file; it continues with its current configuration."""

    error_code = "reload-refused"
    remedy = "put back what is named and send SIGHUP; `weldquay config diff OLD NEW` shows what differs"


class Address(NamedTuple):
    """An address to listen on or to connect to."""

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of one dispatcher process."""

    name: str
    listen: Address
    discovery: Address
    mgmt: Address | None  # of the operators' interface
    seed: int
    settings: api.Settings
    class_names: tuple[str, ...]  # by class number
    offered: frozenset[str]  # the classes that requests may name; a reload may have removed some
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    report_fields: dict[str, str]  # the meaning of each field in a load report
    connect_timeout_ns: int
    max_open: int  # limit of open requests
    sockets: int  # limit of file descriptors
    memory_mb: int
    known: EndpointList  # the cached endpoint list
    lease: api.LeaseState  # of an earlier process, on the cached list
    document: dict[str, Any]  # the file's JSON object


def numbered(names: tuple[str, ...]) -> dict[str, int]:
    """The numbers of names, in their order; looking up another name gives it the next number."""
    numbers: defaultdict[str, int] = defaultdict(lambda: len(numbers))
    numbers.update({name: number for number, name in enumerate(names)})
    return numbers


def load(environ: Mapping[str, str]) -> Config:
    """Read and check the configuration that GW_CONFIG names.  Raises ConfigError."""
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
        reservations_path = environ.get("GW_ROOM")
        if reservations_path:
            document["room"] = _read_reservations_file(reservations_path)
        config = read(environ, document)
        site = environ.get("GW_CATALOGUE")
        if site:
            _check_site(document, site)
    except (ValueError, MessageError) as error:
        raise ConfigError(" ".join(str(error).split())) from None
    return config


def _check_site(document: dict[str, Any], site: str) -> None:
    """Check a document against a site's facts, by the checker's rules.  Raises SiteMismatch."""
    from weldquay.config import catalogue, checking  # imported only if a site is named

    errors = checking.errors(document, catalogue.load(site))
    if errors:
        first = errors[0]
        others = f" (and {len(errors) - 1} more: weldquay config check)" if len(errors) > 1 else ""
        raise SiteMismatch(f"{first.rule}: {first.path}: {first.text}{others}")


def _read_reservations_file(path: str) -> dict[str, Any]:
    """The reservation settings of a file of their own, as a JSON object."""
    # Imported only if used: its library takes memory.
    from weldquay.reservations import settings as reservation_settings

    return reservation_settings.read_document(Path(path))


def _reservations(document: dict[str, Any]) -> ReservationSettings | None:
    """The reservation settings of a document; None if it has none."""
    settings = document.get("room")
    if settings is None:
        return None
    from weldquay.reservations import settings as reservation_settings

    return reservation_settings.parse_settings(settings, "room")


def load_saved(environ: Mapping[str, str], document: object) -> Config | None:
    """The configuration of a document that an older process saved; None if it is invalid."""
    try:
        return read(environ, document) if isinstance(document, dict) else None
    except (ValueError, MessageError):
        return None


def reload(environ: Mapping[str, str], running: Config) -> tuple[Config, list[str]]:
    """The running configuration with the file's reloadable fields, and the changes that need a restart.

    The changes are the external names of the fields.  For the reloadable fields the file has precedence over
    the variables, which cannot change in a running process.
    Raises ConfigError; ReloadRefused if the file itself is valid.
    """
    fresh = load({name: value for name, value in environ.items() if name != "GW_DISCOVERY"})
    _check_complete("", running.document, fresh.document)
    if fresh.zones[: len(running.zones)] != running.zones:
        raise ReloadRefused("zones may be added to, but not changed, while the dispatcher runs")
    if fresh.kinds[: len(running.kinds)] != running.kinds:
        raise ReloadRefused("kinds may be added to, but not changed, while the dispatcher runs")
    fresh = _renumber_classes(fresh, running)
    reloaded = replace(running, **{name: getattr(fresh, name) for name in RELOADABLE_FIELDS})
    needs_restart = [
        external_name
        for name, external_name in RESTART_FIELDS.items()
        if getattr(fresh, name) != getattr(running, name)
    ]
    return reloaded, needs_restart


def _check_complete(path: str, running: object, fresh: object) -> None:
    """Check that a file has all keys of the running one, with values of the same types.

    In a list of objects each must have the keys that all objects have in the running file.
    Raises ReloadRefused.
    """
    if isinstance(running, dict) and isinstance(fresh, dict):
        for name, value in running.items():
            if name not in START_ONLY_KEYS | OPTIONAL_KEYS and value is not None:
                key = f"{path}.{name}" if path else name
                if fresh.get(name) is None:
                    raise ReloadRefused(f"missing key {key}")
                _check_complete(key, value, fresh[name])
    elif isinstance(running, list) and isinstance(fresh, list):
        common = _common_keys(running)
        if common is not None:
            for number, item in enumerate(fresh):
                _check_complete(f"{path}.{number}", common, item)
    elif _json_type(running) is not _json_type(fresh):
        raise ReloadRefused(f"{path} is no longer a {_json_type(running).__name__}: {fresh!r}")


def _common_keys(items: list[object]) -> dict[str, object] | None:
    """The keys that all objects of a list have, with the first one's values; None for other lists."""
    objects = [item for item in items if isinstance(item, dict)]
    if not objects or len(objects) < len(items):
        return None
    return {name: value for name, value in objects[0].items() if all(name in item for item in objects)}


def _json_type(value: object) -> type:
    """The type of a JSON value; an integer counts as a float."""
    return float if isinstance(value, int) and not isinstance(value, bool) else type(value)


def _renumber_classes(fresh: Config, running: Config) -> Config:
    """The fresh configuration with the class numbers of the running one; new classes come last.

    A removed class keeps its number and its settings, for the requests that were submitted with it.
    """
    classes = {
        name: replace(job_class, is_offered=False)
        for name, job_class in zip(running.class_names, running.settings.classes, strict=True)
    }
    classes.update(zip(fresh.class_names, fresh.settings.classes, strict=True))
    return replace(
        fresh,
        class_names=tuple(classes),
        settings=replace(fresh.settings, classes=tuple(classes.values())),
    )


def read(environ: Mapping[str, str], document: dict[str, Any]) -> Config:
    """The configuration of a document; the variables have precedence.

    Raises ValueError or MessageError if a value is missing or malformed.
    """
    flat = FlatSettings.from_nested(document.get("settings"))
    settings, field_meanings = decode_settings(flat)
    class_names = _class_names(flat, settings)
    if flat.integer("caps.max_attempts", 1) < 1:
        raise ValueError("caps.max_attempts is no positive number")
    limits = _section(document, "limits")
    if any((document.get("access") or {}).values()):
        raise ValueError("access is not enforced by this version: leave it out")
    mgmt = environ.get("GW_MGMT") or document.get("mgmt")
    return Config(
        name=_text("GW_NAME", environ.get("GW_NAME") or document.get("name")),
        listen=address("GW_LISTEN", environ.get("GW_LISTEN") or document.get("listen")),
        discovery=address("GW_DISCOVERY", environ.get("GW_DISCOVERY") or document.get("discovery")),
        mgmt=address("GW_MGMT", mgmt) if mgmt else None,
        seed=_seed(document.get("seed", "0")),
        settings=_socket_settings(settings, document),
        class_names=class_names,
        offered=frozenset(class_names),
        zones=tuple(flat.items("zones")),
        kinds=tuple(flat.items("shapes")),
        report_fields=dict(zip(flat.items("load_info.fields"), field_meanings, strict=True)),
        connect_timeout_ns=flat.integer("caps.connect_timeout_ns", DEFAULT_CONNECT_TIMEOUT_NS),
        max_open=flat.integer("caps.max_open", DEFAULT_MAX_OPEN),
        sockets=_limit(limits, "sockets", DEFAULT_SOCKETS, MIN_SOCKETS),
        memory_mb=_limit(limits, "memory_mb", DEFAULT_MEMORY_MB, MIN_MEMORY_MB),
        known=_known_list(document.get("known")),
        lease=api.LeaseState(),
        document=document,
    )


def _section(document: dict[str, Any], name: str) -> dict[str, Any]:
    """A JSON object in the document; empty if it is absent.  Raises ValueError if it is another value."""
    section = document.get(name) or {}
    if isinstance(section, dict):
        return section
    raise ValueError(f"{name} is no JSON object")


def _class_names(flat: FlatSettings, settings: api.Settings) -> tuple[str, ...]:
    """The names of the job classes by number.  Raises ValueError for a repeated name or a bad deadline."""
    names = tuple(flat.text(f"services.{number}.name") for number in range(len(settings.classes)))
    if len(set(names)) < len(names):
        raise ValueError("two classes have the same name")
    for name, job_class in zip(names, settings.classes, strict=True):
        if job_class.client_timeout_ns <= 0 or job_class.latency_objective_ns <= 0:
            raise ValueError(f"class {name} has a deadline that is no positive number")
    return names


def _socket_settings(settings: api.Settings, document: dict[str, Any]) -> api.Settings:
    """The decoded settings, adapted to discovery over HTTP.

    It only responds to polls, whatever mode the settings name for the simulator; in the mode `push` an agent
    on this machine has the list.
    """
    return replace(
        settings,
        polls_endpoint_list=True,
        endpoint_list_expires=True,
        has_local_discovery_agent=not settings.polls_endpoint_list,
        reservations=_reservations(document),
    )


def _known_list(document: object) -> EndpointList:
    """The cached endpoint list; an invalid one is ignored, since it only shortens the start."""
    empty = EndpointList(0, True, ())
    if document is None:
        return empty
    try:
        return endpoint_list_from_json(document)
    except MessageError as error:
        log.warning("known is left out: %s", error)
        return empty


def _limit(limits: dict[str, Any], name: str, default: int, min_value: int) -> int:
    value = limits.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int) or value < min_value:
        raise ValueError(f"limits.{name} is no whole number from {min_value} up: {value!r}")
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
    """The address of HOST:PORT; name: of the setting, for errors.  Raises ValueError."""
    host, colon, port = _text(name, value).rpartition(":")
    if not colon or not host or not port.isdecimal() or int(port) > MAX_PORT:
        raise ValueError(f"{name} is no HOST:PORT: {value!r}")
    return Address(host.strip("[]"), int(port))
