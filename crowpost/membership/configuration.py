"""The membership configuration of a process, read from a TOML file.

The text of each error is one line that names the file and the key.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from crowpost.membership.errors import MembershipError
from crowpost.membership.model import Profile, split_address
from crowpost.membership.settings import ProtocolSettings
from crowpost.membership.work_share import DEFAULT_MIN_NODE_FRACTION, DEFAULT_SETTLE_MS
from crowpost.tables import Table, TableError, read_file, read_numbers

DEFAULT_ROLE = "node"
MAX_SETTLE_MS = 3_600_000.0

# Keys of the table [members], in the order in which error messages list them.
TABLE_KEYS = (
    "cluster",
    "name",
    "listen",
    "advertise",
    "join",
    "zone",
    "role",
    "feed",
    "settle_ms",
    "least_part",
    "facts",
    "tuning",
)

# Keys of the table [members.tuning], by the fields of ProtocolSettings that they set.
TUNING_KEYS = {
    "probe_interval_ms": "probe_ms",
    "indirect_probes": "helpers",
    "suspicion_multiplier": "suspicion",
    "max_suspicion_factor": "suspicion_most",
    "expected_confirmations": "confirmations",
    "gossip_interval_ms": "gossip_ms",
    "gossip_fanout": "fanout",
    "retransmit_multiplier": "repeats",
    "sync_interval_ms": "sync_ms",
    "mismatch_sync_ms": "mismatch_ms",
    "dead_probe_interval_ms": "rejoin_ms",
    "dead_retention_ms": "forget_ms",
    "max_members": "most_members",
    "max_dead_members": "most_gone",
    "max_datagram_bytes": "datagram_bytes",
    "send_rate_bytes_per_s": "bytes_per_s",
    "burst_bytes": "bytes_saved",
}


@dataclass(frozen=True, slots=True)
class MembershipConfig:
    """The table [members].  Addresses are host:port; the port of `listen` may be 0."""

    cluster: str
    name: str
    listen: str
    advertise: str = ""  # Address at which others reach this process; empty: the bound address
    join: tuple[str, ...] = ()
    zone: str = ""
    role: str = DEFAULT_ROLE
    share_work: bool = False  # Whether node count and index follow the members that are present
    settle_ms: float = DEFAULT_SETTLE_MS
    min_node_fraction: float = DEFAULT_MIN_NODE_FRACTION
    facts: dict[str, str] = field(default_factory=dict)
    protocol: ProtocolSettings = field(default_factory=ProtocolSettings)


def load(path: str, default_name: str = "") -> MembershipConfig:
    """Return the configuration from a file; raise MembershipError if it is invalid.

    `default_name` is the name of the process if the file does not set one.
    """
    try:
        return _read(read_file(path), default_name)
    except (TableError, MembershipError) as error:
        raise MembershipError(f"{path}: {error}") from error


def _read(raw: dict[str, Any], default_name: str) -> MembershipConfig:
    table = Table("members", raw.get("members"), TABLE_KEYS)
    config = MembershipConfig(
        cluster=table.text("cluster", required=True),
        name=table.text("name", default_name, required=True),
        listen=table.text("listen", required=True),
        advertise=table.text("advertise"),
        join=table.texts("join", "addresses"),
        zone=table.text("zone"),
        role=table.text("role", DEFAULT_ROLE),
        share_work=table.flag("feed", False),
        settle_ms=table.number("settle_ms", DEFAULT_SETTLE_MS, 0.0, MAX_SETTLE_MS),
        min_node_fraction=table.number("least_part", DEFAULT_MIN_NODE_FRACTION, 0.0, 1.0),
        facts=dict(table.mapping("facts")),
        protocol=_read_tuning(table.get("tuning")),
    )
    _check_addresses(config)
    # Creating the profile checks its limits.
    Profile(config.name, config.advertise or config.listen, config.zone, config.role, facts=config.facts)
    return config


def _read_tuning(raw: object) -> ProtocolSettings:
    return ProtocolSettings(**read_numbers("members.tuning", raw or {}, ProtocolSettings, TUNING_KEYS))


def _check_addresses(config: MembershipConfig) -> None:
    _check_address("members.listen", config.listen)
    for address in config.join:
        _check_address("members.join", address)
    if config.advertise:
        _check_address("members.advertise", config.advertise)


def _check_address(key: str, address: str) -> None:
    try:
        split_address(address)
    except MembershipError as error:
        raise MembershipError(f"{key}: {error}") from error
