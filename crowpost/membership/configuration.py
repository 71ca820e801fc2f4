"""The membership of a process as its TOML file says it; errors name file and key in one line."""

from __future__ import annotations

from dataclasses import dataclass, field, fields
from typing import Any

from crowpost.membership.model import MemberError, Profile, Tuning, split_address
from crowpost.membership.work_share import LEAST_PART, SETTLE_MS
from crowpost.tables import Table, TableError, numbers, read_file


@dataclass(frozen=True, slots=True)
class MembersConfig:
    """What the table [members] holds.  Addresses are host:port; listen may name port 0."""

    cluster: str
    name: str
    listen: str
    advertise: str = ""  # what others reach it at; empty: where it listens
    join: tuple[str, ...] = ()
    zone: str = ""
    role: str = "node"
    feed: bool = False  # whether the nodes present take the place of the counts in the settings
    settle_ms: float = SETTLE_MS
    least_part: float = LEAST_PART
    facts: dict[str, str] = field(default_factory=dict)
    tuning: Tuning = field(default_factory=Tuning)


def load(path: str, name: str = "") -> MembersConfig:
    """The file's [members]; name: where the file has none.  MemberError for what cannot be used."""
    try:
        return _read(read_file(path), name)
    except (TableError, MemberError) as error:
        raise MemberError(f"{path}: {error}") from None


def _read(raw: dict[str, Any], name: str) -> MembersConfig:
    table = Table("members", raw.get("members"), [f.name for f in fields(MembersConfig)])
    config = MembersConfig(
        cluster=table.text("cluster", needed=True),
        name=table.text("name", name, needed=True),
        listen=table.text("listen", needed=True),
        advertise=table.text("advertise"),
        join=table.texts("join", "addresses"),
        zone=table.text("zone"),
        role=table.text("role", "node"),
        feed=table.flag("feed", False),
        settle_ms=table.number("settle_ms", SETTLE_MS, 0.0, 3_600_000.0),
        least_part=table.number("least_part", LEAST_PART, 0.0, 1.0),
        facts=dict(table.mapping("facts")),
        tuning=Tuning(**numbers("members.tuning", table.get("tuning") or {}, Tuning)),
    )
    for key, address in (("listen", config.listen), *(("join", a) for a in config.join)):
        _address(f"members.{key}", address)
    if config.advertise:
        _address("members.advertise", config.advertise)
    Profile(config.name, config.advertise or config.listen, config.zone, config.role, facts=config.facts)
    return config


def _address(key: str, text: str) -> None:
    try:
        split_address(text)
    except MemberError as error:
        raise MemberError(f"{key}: {error}") from None
