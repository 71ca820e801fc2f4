"""Reads the [feed] table of a TOML configuration file; each error names file and key in one line."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from crowpost.config_feed.errors import FeedError
from crowpost.config_feed.identity import NODE_ROLE, PUBLISHER_ROLE, RELAY_ROLE
from crowpost.config_feed.scopes import Subscription, parse_scope
from crowpost.config_feed.tuning import Tuning
from crowpost.config_feed.upstream_server import UpstreamServer
from crowpost.tables import Table, TableError, read_file, read_numbers

ROLES = (NODE_ROLE, RELAY_ROLE, PUBLISHER_ROLE)
MAX_TIER = 9
MAX_PORT = 65_535
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
"""Keys of the table [feed], in the order in which an error message lists them."""

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
"""Maps fields of `Tuning` to their keys in [feed.tuning], where the two names differ."""


@dataclass(frozen=True, slots=True)
class FeedConfig:
    """The values of the table [feed].  Addresses are host:port; `listen` may have port 0."""

    cluster: str
    name: str
    role: str = NODE_ROLE
    region: str = ""
    zone: str = ""
    service: str = ""
    # Relays and publishers only: the address on which they accept followers.
    listen: str = ""
    # Distribution servers that this process may follow.
    upstreams: tuple[UpstreamServer, ...] = ()
    # The document cache of a node, or the store of a publisher.
    directory: Path | None = None
    # The region whose publisher writes the scopes `all` and `service/S`.
    home_region: str = ""
    # The name of the publisher of each region, by region.
    publishers: Mapping[str, str] = field(default_factory=dict)
    # A node's configuration file, against which a publisher validates documents.
    sample_file: str = ""
    # A publisher's log that reaches this size is replaced by a snapshot.
    snapshot_bytes: int = SNAPSHOT_BYTES
    tuning: Tuning = field(default_factory=Tuning)

    @property
    def subscription(self) -> Subscription:
        """The documents that this process subscribes to."""
        if self.role != NODE_ROLE:
            return Subscription(all_scopes=True)
        return Subscription(self.region, self.service, self.name)


def load(path: str, name: str = "", *, roles: tuple[str, ...] = ROLES) -> FeedConfig:
    """Return the table [feed] of a file.  Raise FeedError where the file or a value is invalid.

    name: the name of the process where the file has none; roles: the roles that are allowed.
    """
    try:
        config = _read(read_file(path), name)
    except (TableError, FeedError) as error:
        raise FeedError(f"{path}: {error}") from error
    if config.role not in roles:
        raise FeedError(f"{path}: feed.role: must be {' or '.join(roles)} here, not {config.role!r}")
    return config


def split_address(text: str) -> tuple[str, int]:
    """Return host and port of 'host:port'.  Raise FeedError for anything else."""
    host, _, port = text.rpartition(":")
    if not host or not (port.isascii() and port.isdigit()) or int(port) > MAX_PORT:
        raise FeedError(f"not an address and a port: {text!r}")
    return host, int(port)


def _read(raw: dict[str, Any], name: str) -> FeedConfig:
    table = Table("feed", raw.get("feed"), FEED_KEYS)
    directory = table.text("directory")
    config = FeedConfig(
        cluster=table.text("cluster", required=True),
        name=table.text("name", name, required=True),
        role=table.choice("role", NODE_ROLE, ROLES),
        region=table.text("region", required=True),
        zone=table.text("zone"),
        service=table.text("service"),
        listen=table.text("listen"),
        upstreams=_read_upstreams(table.get("upstreams")),
        directory=Path(directory) if directory else None,
        home_region=table.text("home"),
        publishers=table.mapping("publishers"),
        sample_file=table.text("sample"),
        snapshot_bytes=int(table.number("snapshot_bytes", SNAPSHOT_BYTES, 10_000.0, 1e9)),
        tuning=Tuning(**read_numbers("feed.tuning", table.get("tuning") or {}, Tuning, TUNING_KEYS)),
    )
    _check(config)
    return config


def _check(config: FeedConfig) -> None:
    """Raise FeedError for names or addresses that are invalid, or settings that the role lacks."""
    for key, value in (("name", config.name), ("region", config.region), ("service", config.service)):
        if value:
            _check_name(f"feed.{key}", value)
    if config.role != NODE_ROLE:
        if not config.listen:
            raise FeedError("feed.listen: is missing")
        _check_address("feed.listen", config.listen)
    if config.role != PUBLISHER_ROLE and not config.upstreams:
        raise FeedError("feed.upstreams: a node or relay needs at least one")
    if config.role == PUBLISHER_ROLE:
        _check_publisher(config)


def _check_publisher(config: FeedConfig) -> None:
    if config.directory is None:
        raise FeedError("feed.directory: is missing")
    if config.home_region not in config.publishers:
        raise FeedError(
            f"feed.home: must be one of the regions in feed.publishers, not {config.home_region!r}"
        )
    if config.publishers.get(config.region) != config.name:
        raise FeedError(
            f"feed.publishers.{config.region}: must be {config.name!r}, the publisher of this region"
        )


def _read_upstreams(raw: object) -> tuple[UpstreamServer, ...]:
    if raw is None:
        return ()
    if not isinstance(raw, list):
        raise FeedError("feed.upstreams: must be a list of tables")
    return tuple(_read_upstream(f"feed.upstreams[{number}]", item) for number, item in enumerate(raw))


def _read_upstream(name: str, raw: object) -> UpstreamServer:
    table = Table(name, raw, ("address", "region", "zone", "tier"))
    address = table.text("address", required=True)
    _check_address(f"{name}.address", address)
    tier = int(table.number("tier", 0, 0, MAX_TIER))
    return UpstreamServer(address, table.text("region"), table.text("zone"), tier)


def _check_address(key: str, address: str) -> None:
    try:
        split_address(address)
    except FeedError as error:
        raise FeedError(f"{key}: {error}") from error


def _check_name(key: str, name: str) -> None:
    try:
        parse_scope(f"node/{name}")
    except FeedError as error:
        raise FeedError(f"{key}: letters, digits and ._- only, not {name!r}") from error
