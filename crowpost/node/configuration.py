"""The configuration of a node: its environment and its configuration file, checked.

Errors name the field.
"""

from __future__ import annotations

import json
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any

from crowpost.decision_api import InvalidSettingsError, Settings, SettingsError, read_settings
from crowpost.node.discovery.endpoint_list import ListError, Listing, Naming

if TYPE_CHECKING:
    from crowpost.config_feed.configuration import FeedConfig
    from crowpost.membership.configuration import MembershipConfig
    from crowpost.node.configuration_overlays import ConfigurationOverlays
    from crowpost.storage.config import StateConfig

DEFAULT_CONN_IDLE_MS = 15_000.0
# With fewer no request can be served.  A tight limit is the platform's to set, and no reason not to start:
# a node that wanted 64 MB at the least did not come up on a machine of 48.
_MIN_SOCKETS = 16
_SEED_MASK = 2**64 - 1


class ConfigError(Exception):
    """A configuration that cannot be used; its text names the field."""


@dataclass(frozen=True, slots=True)
class Limits:
    """What the platform allows one node."""

    memory_mb: int
    sockets: int


@dataclass(frozen=True, slots=True)
class Config:
    """Everything that a node knows when it starts."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    limits: Limits
    settings: Settings
    naming: Naming
    known: Listing | None
    conn_idle_ms: float
    path: str  # of the file, which the platform may replace while the node runs
    management: tuple[str, int] | None = None
    accept_fd: int | None = None  # of the clients' listening socket, where the platform holds it
    members: MembershipConfig | None = None  # None: no membership
    state: StateConfig | None = None  # None: nothing is stored
    feed: FeedConfig | None = None  # None: no configuration feed
    overlays: ConfigurationOverlays | None = None  # the documents of the feed on the file, where there is one


def load(environment: Mapping[str, str]) -> Config:
    """Return the configuration of this process; raise ConfigError that names the field."""
    path = _variable(environment, "NODE_CONFIG")
    raw = read_file(path)
    name = environment.get("NODE_NAME") or str(raw.get("name", ""))
    feed = _feed(environment, name)
    overlays = None
    if feed is not None:
        overlays = _overlays(environment, raw, path, feed)
        inputs = overlays.start_inputs
        environment = inputs.environment
        raw = inputs.raw
    config = read_config(environment, raw, path)
    return replace(
        config,
        members=_members(environment, name),
        state=_state(environment, name),
        feed=feed,
        overlays=overlays,
    )


def read_config(environment: Mapping[str, str], raw: Mapping[str, Any], path: str) -> Config:
    """Return what the environment and the file's object say, without the parts that have files of their own.

    Raise ConfigError that names the field.
    """
    settings_raw = _member(raw, "settings", dict)
    values = dict(flat(settings_raw))
    try:
        settings = read_settings(values)
    except (SettingsError, InvalidSettingsError) as error:
        raise ConfigError(str(error)) from None
    naming = Naming(_names(settings_raw, "azs"), _names(settings_raw, "models"))
    limits = _member(raw, "limits", dict)
    return Config(
        name=environment.get("NODE_NAME") or _member(raw, "name", str),
        listen=_address(environment, raw, "NODE_LISTEN", "listen"),
        discovery=_address(environment, raw, "NODE_DISCOVERY", "discovery"),
        seed=_seed(_member(raw, "seed", str)),
        limits=Limits(_limit(limits, "memory_mb", 1), _limit(limits, "sockets", _MIN_SOCKETS)),
        settings=settings,
        naming=naming,
        known=_known(raw.get("known"), naming),
        conn_idle_ms=_conn_idle(values),
        path=path,
        management=_management(environment, raw),
        accept_fd=_descriptor(environment.get("NODE_ACCEPT_FD", "")),
    )


def read_discovery(path: str) -> tuple[str, int]:
    """Return discovery's address in a configuration file that was replaced.

    The environment has only the address at the start.  Raise ConfigError if there is none.
    """
    return _address({}, read_file(path), "discovery", "discovery")


def _variable(environment: Mapping[str, str], name: str) -> str:
    value = environment.get(name, "")
    if not value:
        raise ConfigError(f"{name} is not set")
    return value


def read_file(path: str) -> dict[str, Any]:
    """Return the object that a configuration file holds; raise ConfigError if it holds none."""
    try:
        with open(path, encoding="utf-8") as file:
            raw = json.load(file)
    except (OSError, ValueError) as error:
        raise ConfigError(f"NODE_CONFIG: {path} cannot be read: {error}") from None
    if not isinstance(raw, dict):
        raise ConfigError(f"NODE_CONFIG: {path} holds no object")
    return raw


def _member(raw: Mapping[str, Any], name: str, kind: type) -> Any:
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
    except ValueError:
        raise ConfigError(f"seed is not a hexadecimal number: {text!r}") from None


def _address(
    environment: Mapping[str, str], raw: Mapping[str, Any], variable: str, member: str
) -> tuple[str, int]:
    text = environment.get(variable) or _member(raw, member, str)
    try:
        return parse_address(text)
    except ValueError:
        raise ConfigError(f"{variable} is not an address and a port: {text!r}") from None


def _management(environment: Mapping[str, str], raw: Mapping[str, Any]) -> tuple[str, int] | None:
    """Return the address of the admin server; None if the platform names none."""
    if not environment.get("NODE_MANAGEMENT") and raw.get("management") is None:
        return None
    return _address(environment, raw, "NODE_MANAGEMENT", "management")


def _members(environment: Mapping[str, str], name: str) -> MembershipConfig | None:
    """Return the configuration of membership, if a file for it is named."""
    path = environment.get("NODE_MEMBERS", "")
    if not path:
        return None
    from crowpost.membership.configuration import load as load_members
    from crowpost.membership.errors import MembershipError

    try:
        return load_members(path, name)
    except MembershipError as error:
        raise ConfigError(f"NODE_MEMBERS: {error}") from None


def _state(environment: Mapping[str, str], name: str) -> StateConfig | None:
    """Return the configuration of the state directory, if a file for it is named."""
    path = environment.get("NODE_STATE", "")
    if not path:
        return None
    from crowpost.storage.config import load as load_state
    from crowpost.storage.errors import StoreError

    try:
        return load_state(path, name)
    except StoreError as error:
        raise ConfigError(f"NODE_STATE: {error}") from None


def _feed(environment: Mapping[str, str], name: str) -> FeedConfig | None:
    """Return the configuration of the configuration feed, if a file for it is named."""
    path = environment.get("NODE_FEED", "")
    if not path:
        return None
    from crowpost.config_feed.configuration import load as load_feed
    from crowpost.config_feed.errors import FeedError

    try:
        return load_feed(path, name, roles=("node",))
    except FeedError as error:
        raise ConfigError(f"NODE_FEED: {error}") from None


def _overlays(
    environment: Mapping[str, str], raw: dict[str, Any], path: str, feed: FeedConfig
) -> ConfigurationOverlays:
    """Return the file with the documents that were last in force on it."""
    from crowpost.config_feed.document_cache import DocumentCache
    from crowpost.config_feed.errors import FeedError
    from crowpost.node.configuration_overlays import ConfigurationOverlays

    if feed.directory is None:
        return ConfigurationOverlays(environment, raw, path)
    try:
        documents, notes = DocumentCache(feed.directory, (feed.cluster, feed.name)).load()
    except FeedError as error:
        raise ConfigError(f"NODE_FEED: {error}") from None
    overlays = ConfigurationOverlays(
        environment, raw, path, [d for d in documents if feed.subscription.includes(d.header.scope)]
    )
    overlays.notes += notes
    return overlays


def _descriptor(text: str) -> int | None:
    if not text:
        return None
    if not (text.isascii() and text.isdigit()):
        raise ConfigError(f"NODE_ACCEPT_FD is not a descriptor: {text!r}")
    return int(text)


def parse_address(text: str) -> tuple[str, int]:
    """Return host and port of 'host:port'; raise ValueError if the text is not of this form."""
    host, _, port = text.rpartition(":")
    number = int(port)
    if not host or not 0 <= number < 65536:
        raise ValueError(text)
    return host, number


def _known(raw: Any, naming: Naming) -> Listing | None:
    if raw is None:
        return None
    try:
        return naming.read(raw)
    except ListError as error:
        raise ConfigError(f"known: {error}") from None


def _conn_idle(values: Mapping[str, str]) -> float:
    text = values.get("policyLimits.connIdleMs", str(DEFAULT_CONN_IDLE_MS))
    try:
        idle = float(text)
    except ValueError:
        idle = -1.0
    if not 0 < idle < float("inf"):
        raise ConfigError(f"settings: policyLimits.connIdleMs is out of range: {text}")
    return idle


def _names(settings: Mapping[str, Any], key: str) -> tuple[str, ...]:
    value = settings.get(key, [])
    if not isinstance(value, list):
        raise ConfigError(f"settings: {key} is not a list: {value!r}")
    return tuple(str(name) for name in value)


def flat(value: Any, path: str = "") -> Iterator[tuple[str, str]]:
    """Yield nested JSON as the path and value pairs of the simulator's first message."""
    if isinstance(value, dict):
        for name, member in value.items():
            yield from flat(member, f"{path}.{name}" if path else name)
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
