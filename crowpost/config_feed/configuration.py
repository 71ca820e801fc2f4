"""The feed of a process as its TOML file says it; errors name file and key in one line."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, fields
from pathlib import Path
from typing import Any

from crowpost.config_feed.documents import FeedError, Interest, Server, Tuning, split_scope
from crowpost.tables import Table, TableError, numbers, read_file

ROLES = ("node", "relay", "publisher")
SNAPSHOT_BYTES = 4 << 20


@dataclass(frozen=True, slots=True)
class FeedConfig:
    """What the table [feed] holds.  Addresses are host:port; listen may name port 0."""

    cluster: str
    name: str
    role: str = ROLES[0]
    region: str = ""
    zone: str = ""
    service: str = ""
    listen: str = ""  # of a relay or publisher
    upstreams: tuple[Server, ...] = ()  # who may be watched
    directory: Path | None = None  # a node's last good documents, a publisher's state
    home: str = ""  # the region whose publisher writes `all` and the services
    publishers: Mapping[str, str] = field(default_factory=dict)  # the name of each region's publisher
    sample: str = ""  # a node's configuration file, by which a publisher judges what nodes would refuse
    snapshot_bytes: int = SNAPSHOT_BYTES  # a publisher's log of this size gives way to a snapshot
    tuning: Tuning = field(default_factory=Tuning)

    @property
    def interest(self) -> Interest:
        """What this process watches."""
        if self.role != "node":
            return Interest(everything=True)
        return Interest(self.region, self.service, self.name)


def load(path: str, name: str = "", *, roles: tuple[str, ...] = ROLES) -> FeedConfig:
    """The file's [feed]; name: where the file has none.  FeedError for what cannot be used."""
    try:
        config = _read(read_file(path), name)
        if config.role not in roles:
            raise TableError(f"feed.role: {' or '.join(roles)} here, not {config.role!r}")
        return config
    except (TableError, FeedError) as error:
        raise FeedError(f"{path}: {error}") from None


def split_address(text: str) -> tuple[str, int]:
    """Host and port of 'host:port'; FeedError where there is none."""
    host, _, port = text.rpartition(":")
    if not host or not (port.isascii() and port.isdigit()) or int(port) > 65_535:
        raise FeedError(f"not an address and a port: {text!r}")
    return host, int(port)


def _read(raw: dict[str, Any], name: str) -> FeedConfig:
    table = Table("feed", raw.get("feed"), [f.name for f in fields(FeedConfig)])
    directory = table.text("directory")
    config = FeedConfig(
        cluster=table.text("cluster", needed=True),
        name=table.text("name", name, needed=True),
        role=table.choice("role", ROLES[0], ROLES),
        region=table.text("region", needed=True),
        zone=table.text("zone"),
        service=table.text("service"),
        listen=table.text("listen"),
        upstreams=_upstreams(table.get("upstreams")),
        directory=Path(directory) if directory else None,
        home=table.text("home"),
        publishers=table.mapping("publishers"),
        sample=table.text("sample"),
        snapshot_bytes=int(table.number("snapshot_bytes", SNAPSHOT_BYTES, 10_000.0, 1e9)),
        tuning=Tuning(**numbers("feed.tuning", table.get("tuning") or {}, Tuning)),
    )
    for key in ("name", "region", "service"):
        value = getattr(config, key)
        if value:
            _named(f"feed.{key}", value)
    if config.role != "node":
        if not config.listen:
            raise FeedError("feed.listen: is missing")
        _at("feed.listen", config.listen)
    if config.role != "publisher" and not config.upstreams:
        raise FeedError("feed.upstreams: a node or relay needs at least one")
    if config.role == "publisher":
        _check_publisher(config)
    return config


def _check_publisher(config: FeedConfig) -> None:
    if config.directory is None:
        raise FeedError("feed.directory: is missing")
    if config.home not in config.publishers:
        raise FeedError(f"feed.home: one of the regions in feed.publishers, not {config.home!r}")
    if config.publishers.get(config.region) != config.name:
        raise FeedError(f"feed.publishers.{config.region}: {config.name!r}, the publisher of this region")


def _upstreams(raw: object) -> tuple[Server, ...]:
    if raw is None:
        return ()
    if not isinstance(raw, list):
        raise FeedError("feed.upstreams: a list of tables")
    found = []
    for number, item in enumerate(raw):
        table = Table(f"feed.upstreams[{number}]", item, ("address", "region", "zone", "tier"))
        address = table.text("address", needed=True)
        _at(f"{table.name}.address", address)
        tier = int(table.number("tier", 0, 0, 9))
        found.append(Server(address, table.text("region"), table.text("zone"), tier))
    return tuple(found)


def _at(key: str, address: str) -> None:
    try:
        split_address(address)
    except FeedError as error:
        raise FeedError(f"{key}: {error}") from None


def _named(key: str, name: str) -> None:
    try:
        split_scope(f"node/{name}")
    except FeedError:
        raise FeedError(f"{key}: letters, digits and ._- only, not {name!r}") from None
