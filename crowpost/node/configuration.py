"""The configuration of a node: reads and validates its environment and its configuration file.

Errors name the invalid field.
"""

from __future__ import annotations

import json
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any

from crowpost.decision_api import InvalidSettingsError, Settings, SettingsError, read_settings
from crowpost.node.discovery.endpoint_list import ListError, Listing, Naming
from crowpost.node.errors import NodeError

if TYPE_CHECKING:
    from crowpost.config_feed.configuration import FeedConfig
    from crowpost.membership.configuration import MembershipConfig
    from crowpost.node.configuration_overlays import ConfigurationOverlays
    from crowpost.storage.config import StateConfig

DEFAULT_CONN_IDLE_MS = 15_000.0
# With fewer sockets no request can be served.  Other tight limits are accepted, as the platform sets them: a
# node that required at least 64 MB did not start on a machine with 48 MB.
_MIN_SOCKETS = 16
_SEED_MASK = 2**64 - 1
# The keys by which an entry of an endpoint list is recognised.
ENDPOINT_KEYS = frozenset({"instanceId", "hostPort"})


class ConfigError(NodeError):
    """The configuration is invalid; the text names the field."""


@dataclass(frozen=True, slots=True)
class Limits:
    """The resource limits that the platform sets for one node."""

    memory_mb: int
    sockets: int


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration that a node starts with."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    limits: Limits
    settings: Settings
    naming: Naming
    known: Listing | None
    conn_idle_ms: float
    path: str  # configuration file, which the platform may replace while the node runs
    management: tuple[str, int] | None = None
    accept_fd: int | None = None  # listening socket for clients, if it is inherited from the platform
    shared_directory: str | None = None  # shared with the other process that accepts from that socket
    members: MembershipConfig | None = None  # None: membership is off
    state: StateConfig | None = None  # None: no state is stored
    feed: FeedConfig | None = None  # None: the configuration feed is off
    overlays: ConfigurationOverlays | None = None  # feed documents applied to the file; None without a feed


def load(environment: Mapping[str, str]) -> Config:
    """Return the configuration of this process; raise ConfigError, which names the invalid field."""
    path = _required_variable(environment, "NODE_CONFIG")
    raw = read_file(path)
    name = environment.get("NODE_NAME") or str(raw.get("name", ""))
    feed = _load_feed(environment, name)
    overlays = None
    if feed is not None:
        overlays = _load_overlays(environment, raw, path, feed)
        inputs = overlays.start_inputs
        environment = inputs.environment
        raw = inputs.raw
    config = read_config(environment, raw, path)
    if overlays is not None:
        overlays.forget_endpoint_list()
    return replace(
        config,
        members=_load_membership(environment, name),
        state=_load_state(environment, name),
        feed=feed,
        overlays=overlays,
    )


def read_config(environment: Mapping[str, str], raw: Mapping[str, Any], path: str) -> Config:
    """Return the configuration in the environment and the file, without the parts that have their own files.

    Raise ConfigError, which names the invalid field.
    """
    settings_raw = _required_field(raw, "settings", dict)
    values = dict(flat(settings_raw))
    try:
        settings = read_settings(values)
    except (SettingsError, InvalidSettingsError) as error:
        raise ConfigError(str(error)) from error
    naming = Naming(_name_list(settings_raw, "azs"), _name_list(settings_raw, "models"))
    if environment.get("NODE_STATE"):
        from crowpost.node.state.records import pack_instance

        naming.pack = pack_instance
    limits = _required_field(raw, "limits", dict)
    return Config(
        name=environment.get("NODE_NAME") or _required_field(raw, "name", str),
        listen=_address(environment, raw, "NODE_LISTEN", "listen"),
        discovery=_address(environment, raw, "NODE_DISCOVERY", "discovery"),
        seed=_seed(_required_field(raw, "seed", str)),
        limits=Limits(_limit(limits, "memory_mb", 1), _limit(limits, "sockets", _MIN_SOCKETS)),
        settings=settings,
        naming=naming,
        known=_known_endpoints(raw.get("known"), naming),
        conn_idle_ms=_conn_idle_timeout(values),
        path=path,
        management=_management(environment, raw),
        accept_fd=_accept_descriptor(environment.get("NODE_ACCEPT_FD", "")),
        shared_directory=_shared_directory(environment),
    )


def _shared_directory(environment: Mapping[str, str]) -> str | None:
    """Return the directory that two processes share while they accept from one socket."""
    directory = environment.get("TMPDIR")
    return directory if directory and environment.get("NODE_ACCEPT_FD") else None


def read_discovery(path: str) -> tuple[str, int]:
    """Return the discovery address in a replaced configuration file.

    The environment is not read, as it contains only the address at the start.  Raise ConfigError if the file
    has no valid address.
    """
    return _address({}, read_file(path), "discovery", "discovery")


def _required_variable(environment: Mapping[str, str], name: str) -> str:
    value = environment.get(name, "")
    if not value:
        raise ConfigError(f"{name} is not set")
    return value


def read_file(path: str) -> dict[str, Any]:
    """Return the JSON object in a configuration file; raise ConfigError if there is none.

    The entries of its endpoint list are JSON texts: thousands of dictionaries would take megabytes, of which
    the process would keep a part.
    """
    try:
        with open(path, encoding="utf-8") as file:
            raw = json.load(file, object_hook=_pack_endpoint)
    except (OSError, ValueError) as error:
        raise ConfigError(f"NODE_CONFIG: {path} cannot be read: {error}") from error
    if not isinstance(raw, dict):
        raise ConfigError(f"NODE_CONFIG: {path} does not contain a JSON object")
    return raw


def _pack_endpoint(value: dict[str, Any]) -> dict[str, Any] | bytes:
    """Return the JSON text of an entry of an endpoint list; any other object stays as it is."""
    return json.dumps(value).encode() if value.keys() >= ENDPOINT_KEYS else value


def _required_field(raw: Mapping[str, Any], name: str, kind: type) -> Any:
    value = raw.get(name)
    if not isinstance(value, kind):
        raise ConfigError(f"{name} is missing or not of type {kind.__name__}: {value!r}")
    return value


def _limit(raw: Mapping[str, Any], name: str, minimum: int) -> int:
    value: object = raw.get(name)
    if not isinstance(value, int | float) or isinstance(value, bool) or not minimum <= value < float("inf"):
        raise ConfigError(f"limits.{name} is not a number of at least {minimum}: {value!r}")
    return int(value)


def _seed(text: str) -> int:
    try:
        return int(text, 16) & _SEED_MASK
    except ValueError as error:
        raise ConfigError(f"seed is not a hexadecimal number: {text!r}") from error


def _address(
    environment: Mapping[str, str], raw: Mapping[str, Any], variable: str, field: str
) -> tuple[str, int]:
    text = environment.get(variable) or _required_field(raw, field, str)
    try:
        return parse_address(text)
    except ValueError as error:
        raise ConfigError(f"{variable} is not an address and a port: {text!r}") from error


def _management(environment: Mapping[str, str], raw: Mapping[str, Any]) -> tuple[str, int] | None:
    """Return the address of the admin server; None if none is configured."""
    if not environment.get("NODE_MANAGEMENT") and raw.get("management") is None:
        return None
    return _address(environment, raw, "NODE_MANAGEMENT", "management")


def _load_membership(environment: Mapping[str, str], name: str) -> MembershipConfig | None:
    """Return the configuration of membership; None if NODE_MEMBERS is not set."""
    path = environment.get("NODE_MEMBERS", "")
    if not path:
        return None
    from crowpost.membership.configuration import load as load_members
    from crowpost.membership.errors import MembershipError

    try:
        return load_members(path, name)
    except MembershipError as error:
        raise ConfigError(f"NODE_MEMBERS: {error}") from error


def _load_state(environment: Mapping[str, str], name: str) -> StateConfig | None:
    """Return the configuration of the state directory; None if NODE_STATE is not set."""
    path = environment.get("NODE_STATE", "")
    if not path:
        return None
    from crowpost.storage.config import load as load_state
    from crowpost.storage.errors import StoreError

    try:
        return load_state(path, name)
    except StoreError as error:
        raise ConfigError(f"NODE_STATE: {error}") from error


def _load_feed(environment: Mapping[str, str], name: str) -> FeedConfig | None:
    """Return the configuration of the configuration feed; None if NODE_FEED is not set."""
    path = environment.get("NODE_FEED", "")
    if not path:
        return None
    from crowpost.config_feed.configuration import load as load_feed
    from crowpost.config_feed.errors import FeedError

    try:
        return load_feed(path, name, roles=("node",))
    except FeedError as error:
        raise ConfigError(f"NODE_FEED: {error}") from error


def _load_overlays(
    environment: Mapping[str, str], raw: dict[str, Any], path: str, feed: FeedConfig
) -> ConfigurationOverlays:
    """Return the file with the cached documents of the feed applied."""
    from crowpost.config_feed.document_cache import DocumentCache
    from crowpost.config_feed.errors import FeedError
    from crowpost.node.configuration_overlays import ConfigurationOverlays

    if feed.directory is None:
        return ConfigurationOverlays(environment, raw, path)
    try:
        documents, notes = DocumentCache(feed.directory, (feed.cluster, feed.name)).load()
    except FeedError as error:
        raise ConfigError(f"NODE_FEED: {error}") from error
    overlays = ConfigurationOverlays(
        environment, raw, path, [d for d in documents if feed.subscription.includes(d.header.scope)]
    )
    overlays.notes += notes
    return overlays


def _accept_descriptor(text: str) -> int | None:
    if not text:
        return None
    if not (text.isascii() and text.isdigit()):
        raise ConfigError(f"NODE_ACCEPT_FD is not a descriptor: {text!r}")
    return int(text)


def parse_address(text: str) -> tuple[str, int]:
    """Return host and port of 'host:port'; raise ValueError if the text does not have this form."""
    host, _, port = text.rpartition(":")
    number = int(port)
    if not host or not 0 <= number < 65536:
        raise ValueError(text)
    return host, number


def _known_endpoints(raw: Any, naming: Naming) -> Listing | None:
    if raw is None:
        return None
    try:
        return naming.read(_with_unpacked_endpoints(raw))
    except ListError as error:
        raise ConfigError(f"known: {error}") from error


def _with_unpacked_endpoints(raw: Any) -> Any:
    """Return an endpoint list whose packed entries are unpacked one at a time, as they are read."""
    if not (isinstance(raw, dict) and isinstance(raw.get("instances"), list)):
        return raw
    unpacked = (json.loads(item) if isinstance(item, bytes) else item for item in raw["instances"])
    return {**raw, "instances": unpacked}


def _conn_idle_timeout(values: Mapping[str, str]) -> float:
    text = values.get("policyLimits.connIdleMs", str(DEFAULT_CONN_IDLE_MS))
    try:
        idle = float(text)
    except ValueError:
        idle = -1.0
    if not 0 < idle < float("inf"):
        raise ConfigError(f"settings: policyLimits.connIdleMs is out of range: {text}")
    return idle


def _name_list(settings: Mapping[str, Any], key: str) -> tuple[str, ...]:
    value = settings.get(key, [])
    if not isinstance(value, list):
        raise ConfigError(f"settings: {key} is not a list: {value!r}")
    return tuple(str(name) for name in value)


def flat(value: Any, path: str = "") -> Iterator[tuple[str, str]]:
    """Yield nested JSON as pairs of path and value, in the form of the first message of the simulator."""
    if isinstance(value, dict):
        for name, nested in value.items():
            yield from flat(nested, f"{path}.{name}" if path else name)
    elif isinstance(value, list) and any(isinstance(item, dict) for item in value):
        yield f"{path}.count", str(len(value))
        for i, item in enumerate(value):
            yield from flat(item, f"{path}.{i}")
    elif isinstance(value, list):
        yield path, ",".join(str(item).replace(",", "_") for item in value)
    elif isinstance(value, bool):
        yield path, "true" if value else "false"
    elif value is not None:
        yield path, str(value)
