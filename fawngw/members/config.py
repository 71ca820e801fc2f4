"""The membership of a process as its TOML file says it; errors name file and key in one line."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass, field, fields
from pathlib import Path
from typing import Any

from fawngw.members.model import MemberError, Profile, Tuning, split_address
from fawngw.members.presence import LEAST_PART, SETTLE_MS


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
        raw = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise MemberError(f"{path}: {' '.join(str(error).split())}") from None
    try:
        return _read(raw, name)
    except MemberError as error:
        raise MemberError(f"{path}: {error}") from None


def _read(raw: dict[str, Any], name: str) -> MembersConfig:
    table = raw.get("members")
    if not isinstance(table, dict):
        raise MemberError("members: the table is missing")
    known = {f.name: f for f in fields(MembersConfig)}
    for key in table:
        if key not in known:
            raise MemberError(f"members.{key}: no such key; known are {', '.join(known)}")
    values = dict(table)
    values.setdefault("name", name)
    for key in ("cluster", "name", "listen"):
        if not values.get(key):
            raise MemberError(f"members.{key}: is missing")
    for key in ("cluster", "name", "listen", "advertise", "zone", "role"):
        if not isinstance(values.get(key, ""), str):
            raise MemberError(f"members.{key}: a text, not {values[key]!r}")
    if not isinstance(values.get("feed", False), bool):
        raise MemberError(f"members.feed: true or false, not {values['feed']!r}")
    values["settle_ms"] = _number("members.settle_ms", values.get("settle_ms", SETTLE_MS), 0.0, 3_600_000.0)
    values["least_part"] = _number("members.least_part", values.get("least_part", LEAST_PART), 0.0, 1.0)
    join = values.get("join", [])
    if not isinstance(join, list) or not all(isinstance(a, str) for a in join):
        raise MemberError(f"members.join: a list of addresses, not {join!r}")
    values["join"] = tuple(join)
    facts = values.get("facts", {})
    if not isinstance(facts, dict) or not all(isinstance(v, str) for v in facts.values()):
        raise MemberError("members.facts: a table of texts")
    for key, address in (("listen", values["listen"]), *(("join", a) for a in join)):
        _address(f"members.{key}", address)
    if values.get("advertise"):
        _address("members.advertise", values["advertise"])
    values["tuning"] = _tuning(values.get("tuning", {}))
    config = MembersConfig(**values)
    Profile(config.name, config.advertise or config.listen, config.zone, config.role, facts=config.facts)
    return config


def _address(key: str, text: str) -> None:
    try:
        split_address(text)
    except MemberError as error:
        raise MemberError(f"{key}: {error}") from None


def _number(key: str, value: object, low: float, high: float) -> float:
    if not isinstance(value, int | float) or isinstance(value, bool) or not low <= value <= high:
        raise MemberError(f"{key}: a number from {low:g} to {high:g}, not {value!r}")
    return float(value)


def _tuning(table: Any) -> Tuning:
    if not isinstance(table, dict):
        raise MemberError("members.tuning: a table")
    known = {f.name: f.type for f in fields(Tuning)}
    values: dict[str, Any] = {}
    for key, value in table.items():
        if key not in known:
            raise MemberError(f"members.tuning.{key}: no such key; known are {', '.join(known)}")
        number = _number(f"members.tuning.{key}", value, 1e-3, 1e9)
        if known[key] == "int":
            if number != int(number):
                raise MemberError(f"members.tuning.{key}: a whole number, not {value!r}")
            number = int(number)
        values[key] = number
    return Tuning(**values)
