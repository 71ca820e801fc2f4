"""The feed of a process as its TOML file says it; errors name file and key in one line."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from crowpost.config_feed.documents import FeedError, Subscription, UpstreamServer, split_scope
from crowpost.config_feed.tuning import Tuning
from crowpost.tables import Table, TableError, numbers, read_file

ROLES = ("node", "relay", "publisher")
SNAPSHOT_BYTES = 4 << 20
FEED_KEYS = (
    "cluster",
    "name",
    "role",
    "region",
    "zone",
    "service",
    "listen",
    "upstreams",
    "directory",
    "home",
    "publishers",
    "sample",
    "snapshot_bytes",
    "tuning",
)
"""Keys of the table [feed], in the order in which an error lists them."""

TUNING_KEYS = {
    "upstream_connections": "watches",
    "heartbeat_ms": "beat_ms",
    "server_timeout_ms": "silent_ms",
    "follower_timeout_ms": "follower_silent_ms",
    "connect_timeout_ms": "dial_ms",
    "max_backoff_ms": "backoff_most_ms",
    "nearer_server_check_ms": "improve_ms",
    "prefer_nearest_ms": "near_ms",
    "stall_timeout_ms": "take_over_ms",
    "slow_server_ms": "slow_ms",
    "resync_ms": "vector_ms",
    "max_resync_ms": "vector_most_ms",
    "suspend_threshold_ms": "late_ms",
    "burst_bytes": "bytes_saved",
    "connection_bytes_per_s": "link_bytes_per_s",
    "connection_burst_bytes": "link_bytes_saved",
    "relay_burst_bytes": "relay_bytes_saved",
    "server_bytes_per_s": "hub_bytes_per_s",
    "server_burst_bytes": "hub_bytes_saved",
    "chunk_bytes": "piece_bytes",
    "max_document_bytes": "document_bytes",
    "max_documents": "documents",
    "max_table_bytes": "table_bytes",
    "concurrent_bodies": "fetches",
    "max_queued_fetches": "queue",
    "concurrent_fetches": "wants",
    "relay_concurrent_fetches": "relay_wants",
    "max_connections": "followers",
    "max_damaged_frames": "damaged",
    "status_timeout_ms": "status_ms",
}
"""Keys of [feed.tuning] by the field of `Tuning`, where the two differ."""


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
    upstreams: tuple[UpstreamServer, ...] = ()  # who may be watched
    directory: Path | None = None  # a node's last good documents, a publisher's state
    home: str = ""  # the region whose publisher writes `all` and the services
    publishers: Mapping[str, str] = field(default_factory=dict)  # the name of each region's publisher
    sample: str = ""  # a node's configuration file, by which a publisher judges what nodes would refuse
    snapshot_bytes: int = SNAPSHOT_BYTES  # a publisher's log of this size gives way to a snapshot
    tuning: Tuning = field(default_factory=Tuning)

    @property
    def interest(self) -> Subscription:
        """What this process watches."""
        if self.role != "node":
            return Subscription(all_scopes=True)
        return Subscription(self.region, self.service, self.name)


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
    table = Table("feed", raw.get("feed"), FEED_KEYS)
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
        tuning=Tuning(**numbers("feed.tuning", table.get("tuning") or {}, Tuning, TUNING_KEYS)),
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


def _upstreams(raw: object) -> tuple[UpstreamServer, ...]:
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
        found.append(UpstreamServer(address, table.text("region"), table.text("zone"), tier))
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
