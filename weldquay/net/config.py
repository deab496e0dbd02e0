"""The configuration of a dispatcher process: GW_* variables and the JSON file named by GW_CONFIG."""

from __future__ import annotations

import logging
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

# Fields of `Config` that a reload updates from the file.
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
# Fields whose change needs a restart, with their external names, in the order of a reload's report.
RESTART_FIELDS = {
    "name": "name",
    "listen": "listen",
    "mgmt": "mgmt",
    "sockets": "sockets",
    "memory_mb": "memory_mb",
    "lease": "lease",
}
START_ONLY_KEYS = {"seed", "known"}  # keys of the file that are read only at startup
OPTIONAL_KEYS = {"room", "origin"}  # keys of the file that a reload may add, remove or change freely

DEFAULT_CONNECT_TIMEOUT_NS = 250_000_000
DEFAULT_MAX_OPEN = 10_000  # open requests
DEFAULT_SOCKETS = 1024  # file descriptors
DEFAULT_MEMORY_MB = 192

log = logging.getLogger(__name__)


class ConfigError(OperatorError):
    """The configuration is invalid, at startup or on reload; the text is one line for operators."""

    error_code = "config-error"
    remedy = "correct the named value; `weldquay config check FILE` lists all errors"


class ConfigUnset(ConfigError):
    """GW_CONFIG is not set."""

    error_code = "config-unset"
    remedy = "set GW_CONFIG to the path of the configuration file; see example/config.json"


class ConfigUnreadable(ConfigError):
    """The file cannot be read, or is not a JSON object."""

    error_code = "config-unreadable"
    remedy = "check that the file exists, is complete and readable by this user; restore a damaged one"


class SiteMismatch(ConfigError):
    """The file contradicts the catalogue of the site named by GW_CATALOGUE."""

    error_code = "site-mismatch"
    remedy = "correct the value, or set another site; `weldquay config explain RULE` gives the reason"


class ReloadRefused(ConfigError):
    """A running dispatcher cannot apply the file, and keeps its current configuration."""

    error_code = "reload-refused"
    remedy = "restore the named value and send SIGHUP; `weldquay config diff OLD NEW` shows the differences"


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
    mgmt: Address | None  # address of the listener for operators; None: there is none
    seed: int
    settings: api.Settings
    class_names: tuple[str, ...]  # the index of a name is the number of the class
    offered: frozenset[str]  # names of the classes that requests may use; a reload can remove some
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    report_fields: dict[str, str]  # the meaning of each field of a load report
    connect_timeout_ns: int
    max_open: int  # limit on open requests
    sockets: int  # limit on file descriptors
    memory_mb: int
    known: EndpointList  # the cached endpoint list
    lease: api.LeaseState  # lease of an earlier process on the cached list
    document: dict[str, Any]  # the JSON object of the file


def load(environ: Mapping[str, str]) -> Config:
    """Read and check the configuration file named by GW_CONFIG.  Raises ConfigError."""
    path = environ.get("GW_CONFIG")
    if not path:
        raise ConfigUnset("GW_CONFIG, the path of the configuration file, is not set")
    try:
        document = reading.parse(reading.decode(reading.read_file(Path(path))))
    except reading.ReadingError as error:
        raise ConfigUnreadable(str(error), f"GW_CONFIG: {path}") from None
    if not isinstance(document, dict):
        raise ConfigUnreadable("the content is not a JSON object", path)
    try:
        reservations_path = environ.get("GW_ROOM")
        if reservations_path:
            document["room"] = _read_reservations_file(reservations_path)
        config = config_from_document(environ, document)
        site = environ.get("GW_CATALOGUE")
        if site:
            _check_site(document, site)
    except (ValueError, MessageError) as error:
        raise ConfigError(" ".join(str(error).split())) from None
    return config


def _check_site(document: dict[str, Any], site: str) -> None:
    """Check a document against the catalogue of a site, by the checker's rules.  Raises SiteMismatch."""
    from weldquay.config import catalogue, checking  # imported only if a site is set

    errors = checking.errors(document, catalogue.load(site))
    if errors:
        first = errors[0]
        others = f" (and {len(errors) - 1} more: weldquay config check)" if len(errors) > 1 else ""
        raise SiteMismatch(f"{first.rule}: {first.path}: {first.text}{others}")


def _read_reservations_file(path: str) -> dict[str, Any]:
    """Return the JSON object of a separate file of reservation settings."""
    # Imported only if needed, since its dependency takes memory.
    from weldquay.reservations import settings as reservation_settings

    return reservation_settings.read_document(Path(path))


def _reservation_settings(document: dict[str, Any]) -> ReservationSettings | None:
    """Return the reservation settings of a document, or None if it has none."""
    settings = document.get("room")
    if settings is None:
        return None
    from weldquay.reservations import settings as reservation_settings

    return reservation_settings.parse_settings(settings, "room")


def load_saved(environ: Mapping[str, str], document: object) -> Config | None:
    """Return the configuration of a document saved by an older process, or None if it is invalid."""
    try:
        return config_from_document(environ, document) if isinstance(document, dict) else None
    except (ValueError, MessageError):
        return None


def reload(environ: Mapping[str, str], running: Config) -> tuple[Config, list[str]]:
    """Apply the file's reloadable fields to the running configuration.

    Returns the new configuration, and the external names of changed fields that need a restart.  For
    reloadable fields the file has precedence over the environment variables, which cannot change in a running
    process.
    Raises ConfigError; ReloadRefused if the file itself is valid.
    """
    new = load({name: value for name, value in environ.items() if name != "GW_DISCOVERY"})
    _check_same_keys("", running.document, new.document)
    if new.zones[: len(running.zones)] != running.zones:
        raise ReloadRefused("a reload can append zones, but not change existing ones")
    if new.kinds[: len(running.kinds)] != running.kinds:
        raise ReloadRefused("a reload can append kinds, but not change existing ones")
    new = _renumber_classes(new, running)
    reloaded = replace(running, **{name: getattr(new, name) for name in RELOADABLE_FIELDS})
    needs_restart = [
        external_name
        for name, external_name in RESTART_FIELDS.items()
        if getattr(new, name) != getattr(running, name)
    ]
    return reloaded, needs_restart


def _check_same_keys(path: str, running: object, new: object) -> None:
    """Check that a new document has all keys of the running one, with values of the same types.

    In a list of objects, each must have the keys that all objects of the running list have.
    Raises ReloadRefused.
    """
    if isinstance(running, dict) and isinstance(new, dict):
        for name, value in running.items():
            if name not in START_ONLY_KEYS | OPTIONAL_KEYS and value is not None:
                key = f"{path}.{name}" if path else name
                if new.get(name) is None:
                    raise ReloadRefused(f"missing key {key}")
                _check_same_keys(key, value, new[name])
    elif isinstance(running, list) and isinstance(new, list):
        common_keys = _common_keys(running)
        if common_keys is not None:
            for number, item in enumerate(new):
                _check_same_keys(f"{path}.{number}", common_keys, item)
    elif _json_type(running) is not _json_type(new):
        raise ReloadRefused(f"{path} must stay a {_json_type(running).__name__}: {new!r}")


def _common_keys(items: list[object]) -> dict[str, object] | None:
    """Return the keys that all objects of a list have, with the first one's values; None for other lists."""
    objects = [item for item in items if isinstance(item, dict)]
    if not objects or len(objects) < len(items):
        return None
    return {name: value for name, value in objects[0].items() if all(name in item for item in objects)}


def _json_type(value: object) -> type:
    """Return the type of a JSON value; integers count as floats."""
    return float if isinstance(value, int) and not isinstance(value, bool) else type(value)


def _renumber_classes(new: Config, running: Config) -> Config:
    """Return the new configuration with the class numbers of the running one; new classes come last.

    A removed class keeps its number and settings for the requests that already use it.
    """
    classes = {
        name: replace(job_class, is_offered=False)
        for name, job_class in zip(running.class_names, running.settings.classes, strict=True)
    }
    classes.update(zip(new.class_names, new.settings.classes, strict=True))
    return replace(
        new,
        class_names=tuple(classes),
        settings=replace(new.settings, classes=tuple(classes.values())),
    )


def add_retired_class(config: Config, name: str, job_class: api.JobClass) -> Config:
    """Return the configuration with a class that only requests of an older process have."""
    retired_class = replace(job_class, is_offered=False)
    return replace(
        config,
        class_names=(*config.class_names, name),
        settings=replace(config.settings, classes=(*config.settings.classes, retired_class)),
    )


def config_from_document(environ: Mapping[str, str], document: dict[str, Any]) -> Config:
    """Return the configuration of a document; environment variables have precedence.

    Raises ValueError or MessageError if a value is missing or malformed.
    """
    flat = FlatSettings.from_nested(document.get("settings"))
    settings, field_meanings = decode_settings(flat)
    class_names = _class_names(flat, settings)
    if flat.integer("caps.max_attempts", 1) < 1:
        raise ValueError("caps.max_attempts must be at least 1")
    limits = _section(document, "limits")
    if any((document.get("access") or {}).values()):
        raise ValueError("access is not enforced by this version: remove it")
    mgmt = environ.get("GW_MGMT") or document.get("mgmt")
    return Config(
        name=_required_text("GW_NAME", environ.get("GW_NAME") or document.get("name")),
        listen=parse_address("GW_LISTEN", environ.get("GW_LISTEN") or document.get("listen")),
        discovery=parse_address("GW_DISCOVERY", environ.get("GW_DISCOVERY") or document.get("discovery")),
        mgmt=parse_address("GW_MGMT", mgmt) if mgmt else None,
        seed=_parse_seed(document.get("seed", "0")),
        settings=_settings_for_http_discovery(settings, document),
        class_names=class_names,
        offered=frozenset(class_names),
        zones=tuple(flat.items("zones")),
        kinds=tuple(flat.items("shapes")),
        report_fields=dict(zip(flat.items("load_info.fields"), field_meanings, strict=True)),
        connect_timeout_ns=flat.integer("caps.connect_timeout_ns", DEFAULT_CONNECT_TIMEOUT_NS),
        max_open=flat.integer("caps.max_open", DEFAULT_MAX_OPEN),
        sockets=_limit(limits, "sockets", DEFAULT_SOCKETS, MIN_SOCKETS),
        memory_mb=_limit(limits, "memory_mb", DEFAULT_MEMORY_MB, MIN_MEMORY_MB),
        known=_cached_endpoint_list(document.get("known")),
        lease=api.LeaseState(),
        document=document,
    )


def _section(document: dict[str, Any], name: str) -> dict[str, Any]:
    """Return a JSON object of the document, empty if absent.  Raises ValueError for another type."""
    section = document.get(name) or {}
    if isinstance(section, dict):
        return section
    raise ValueError(f"{name} is not a JSON object")


def _class_names(flat: FlatSettings, settings: api.Settings) -> tuple[str, ...]:
    """Return the job class names by number.  Raises ValueError for a duplicate name or invalid deadline."""
    names = tuple(flat.text(f"services.{number}.name") for number in range(len(settings.classes)))
    if len(set(names)) < len(names):
        raise ValueError("duplicate class name")
    for name, job_class in zip(names, settings.classes, strict=True):
        if job_class.client_timeout_ns <= 0 or job_class.latency_objective_ns <= 0:
            raise ValueError(f"class {name} has a deadline that is not positive")
    return names


def _settings_for_http_discovery(settings: api.Settings, document: dict[str, Any]) -> api.Settings:
    """Return the decoded settings, adapted to discovery over HTTP.

    Discovery over HTTP only responds to polls, whatever mode the settings select for the simulator.  In the
    mode `push`, an agent on this machine provides the list.
    """
    return replace(
        settings,
        polls_endpoint_list=True,
        endpoint_list_expires=True,
        has_local_discovery_agent=not settings.polls_endpoint_list,
        reservations=_reservation_settings(document),
    )


def _cached_endpoint_list(document: object) -> EndpointList:
    """Return the cached endpoint list; an invalid one is ignored, since it only shortens the startup."""
    empty = EndpointList(0, True, ())
    if document is None:
        return empty
    try:
        return endpoint_list_from_json(document)
    except MessageError as error:
        log.warning("ignoring the invalid endpoint list in known: %s", error)
        return empty


def _limit(limits: dict[str, Any], name: str, default: int, min_value: int) -> int:
    value = limits.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int) or value < min_value:
        raise ValueError(f"limits.{name} must be an integer of at least {min_value}: {value!r}")
    return value


def _required_text(name: str, value: object) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError(f"{name} is not set")
    return value


def _parse_seed(value: object) -> int:
    try:
        return int(str(value), 16)
    except ValueError:
        raise ValueError(f"seed is not a hexadecimal number: {value!r}") from None


def parse_address(name: str, value: object) -> Address:
    """Parse HOST:PORT.  Raises ValueError with the name of the setting."""
    host, colon, port = _required_text(name, value).rpartition(":")
    if not colon or not host or not port.isdecimal() or int(port) > MAX_PORT:
        raise ValueError(f"{name} is not of the form HOST:PORT: {value!r}")
    return Address(host.strip("[]"), int(port))
