"""Fault-injection plans, read from TOML files, and the timetable drawn from a seed.

A plan says how many processes there are and which fault happens when.

The timetable is made before anything starts: equal file and seed give equal victims and times.
"""

from __future__ import annotations

import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Annotated, Literal, get_args

import msgspec
from msgspec import Meta, Struct

from crowpost.lab import scenario
from crowpost.lab.scenario import Count, NotNegative, Positive, ScenarioError, Share

SCHEMA = 1
BadKind = Literal[
    "loss",
    "delay",
    "duplicate",
    "reorder",
    "slow_link",
    "one_way",
    "partition",
    "kill",
    "restart",
    "upgrade",
    "stop",
    "starve",
    "replay",
    "junk",
    "power_loss",
    "evacuate",
]


class Bad(Struct, forbid_unknown_fields=True, frozen=True):
    """What goes wrong with `part` of the processes, or of the links where the kind names links."""

    kind: BadKind
    at_s: NotNegative
    for_s: Positive = 10.0  # kill, power_loss: until the next start; upgrade: both run; else how long
    part: Share = 0.1
    size: NotNegative = (
        0.1  # loss, duplicate, reorder: share of datagrams; starve: share of time that it runs
    )
    ms: NotNegative = 50.0  # delay: at the most; reorder: by how much
    bytes_per_s: Positive = 4_000.0  # slow_link


class Storm(Struct, forbid_unknown_fields=True, frozen=True):
    """A cluster of processes and its troubles.  quiet_s: after the last of them, for views to become one."""

    schema: int
    name: str
    about: str
    processes: Annotated[int, Meta(ge=2, le=200)]
    duration_s: Annotated[float, Meta(gt=0.0, le=3_600.0)]
    quiet_s: Positive = 20.0
    zones: Count = 2
    program: Literal["node", "member"] = "node"
    state: bool = False  # nodes keep a state directory each
    bad: tuple[Bad, ...] = ()
    tuning: dict[str, float] = msgspec.field(default_factory=dict)  # of members.toml


def shipped() -> dict[str, Path]:
    """The storms that come with the package, by name."""
    return scenario.shipped("storms")


def load(name: str) -> Storm:
    """A shipped storm by name, or one in a file; ScenarioError with one line if it cannot be played."""
    path = shipped().get(name) or Path(name)
    try:
        storm = msgspec.convert(tomllib.loads(path.read_text(encoding="utf-8")), Storm)
    except FileNotFoundError:
        known = ", ".join(shipped())
        raise ScenarioError(f"{path}: no such file, and no shipped storm: {known}") from None
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise ScenarioError(f"{path}: {' '.join(str(error).split())}") from None
    if storm.schema != SCHEMA:
        raise ScenarioError(f"{path}: schema: {storm.schema} is not known, this version reads {SCHEMA}")
    for i, bad in enumerate(storm.bad):
        if bad.at_s + bad.for_s > storm.duration_s:
            raise ScenarioError(f"{path}: bad[{i}].for_s: it ends past the storm's end, {storm.duration_s} s")
        if bad.kind in ("loss", "duplicate", "reorder", "starve") and bad.size > 1.0:
            raise ScenarioError(f"{path}: bad[{i}].size: a share of {bad.size}")
        if bad.kind in ("power_loss", "evacuate") and not (storm.state and storm.program == "node"):
            raise ScenarioError(f"{path}: bad[{i}].kind: {bad.kind} needs nodes with state = true")
    return storm


def kinds() -> tuple[str, ...]:
    """Every kind of trouble that a storm may hold."""
    return tuple(get_args(BadKind))


@dataclass(frozen=True)
class Act:
    """One trouble with its victims.  Times are seconds from the moment at which all have joined."""

    bad: Bad
    victims: tuple[str, ...]  # processes; for links: those at their first ends
    links: frozenset[tuple[str, str]] = field(default_factory=frozenset)  # directed, for kinds of links

    @property
    def until_s(self) -> float:
        """When the fault is over, in seconds from the start."""
        return self.bad.at_s + self.bad.for_s


def timetable(storm: Storm, seed: int) -> list[Act]:
    """Every trouble with its victims, in the order of time."""
    rng = Random(f"{storm.name} {seed}")
    names = [f"n{i}" for i in range(storm.processes)]
    acts = []
    for bad in sorted(storm.bad, key=lambda b: (b.at_s, b.kind)):
        count = min(len(names) - 1, max(1, round(bad.part * len(names))))
        victims = tuple(sorted(rng.sample(names, count), key=names.index))
        inside = set(victims)
        links: frozenset[tuple[str, str]] = frozenset()
        if bad.kind == "partition":
            links = frozenset((a, b) for a in names for b in names if (a in inside) != (b in inside))
        elif bad.kind in ("loss", "delay", "duplicate", "reorder", "slow_link"):
            links = frozenset((a, b) for a in names for b in names if a != b and (a in inside or b in inside))
        elif bad.kind == "one_way":
            # Each victim loses the way to another process, not the way back.
            others = {v: rng.choice([n for n in names if n != v]) for v in victims}
            links = frozenset(others.items())
        acts.append(Act(bad, victims, links))
    return acts
