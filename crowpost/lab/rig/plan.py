"""Fault schedules, read from TOML files, and the victims that are drawn from a seed.

A schedule says how many processes there are and which fault happens when.

Victims are drawn before anything starts: equal file and seed give equal victims and times.
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
FaultKind = Literal[
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


class Fault(Struct, forbid_unknown_fields=True, frozen=True):
    """A fault of `part` of the processes, or of their links for the kinds that are about links.

    for_s: for kill and power_loss the time until the next start; for upgrade how long both processes run;
    otherwise how long the fault lasts.
    size: for loss, duplicate and reorder the share of datagrams; for starve the share of time in which the
    process runs.
    ms: for delay the largest delay; for reorder the delay of a reordered datagram.
    bytes_per_s: for slow_link only.
    """

    kind: FaultKind
    at_s: NotNegative
    for_s: Positive = 10.0
    part: Share = 0.1
    size: NotNegative = 0.1
    ms: NotNegative = 50.0
    bytes_per_s: Positive = 4_000.0


class FaultSchedule(Struct, forbid_unknown_fields=True, frozen=True):
    """A cluster of processes and its faults.

    quiet_s: the longest time after the last fault in which all views have to agree.
    state: whether each node has a state directory.
    tuning: values of members.toml.
    """

    schema: int
    name: str
    about: str
    processes: Annotated[int, Meta(ge=2, le=200)]
    duration_s: Annotated[float, Meta(gt=0.0, le=3_600.0)]
    quiet_s: Positive = 20.0
    zones: Count = 2
    program: Literal["node", "member"] = "node"
    state: bool = False
    bad: tuple[Fault, ...] = ()
    tuning: dict[str, float] = msgspec.field(default_factory=dict)


def shipped() -> dict[str, Path]:
    """Return the fault schedules that come with the package, by name."""
    return scenario.shipped("storms")


def load(name: str) -> FaultSchedule:
    """Return a shipped fault schedule by name, or one from a file.

    Raise ScenarioError, with a message of one line, if it cannot be run.
    """
    path = shipped().get(name) or Path(name)
    try:
        schedule = msgspec.convert(tomllib.loads(path.read_text(encoding="utf-8")), FaultSchedule)
    except FileNotFoundError:
        known = ", ".join(shipped())
        raise ScenarioError(f"{path}: no such file, and no shipped fault schedule: {known}") from None
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise ScenarioError(f"{path}: {' '.join(str(error).split())}") from None
    if schedule.schema != SCHEMA:
        raise ScenarioError(f"{path}: schema: {schedule.schema} is not known, this version reads {SCHEMA}")
    for i, fault in enumerate(schedule.bad):
        if fault.at_s + fault.for_s > schedule.duration_s:
            raise ScenarioError(
                f"{path}: bad[{i}].for_s: the fault ends after the schedule of {schedule.duration_s} s"
            )
        if fault.kind in ("loss", "duplicate", "reorder", "starve") and fault.size > 1.0:
            raise ScenarioError(f"{path}: bad[{i}].size: a share of {fault.size} is more than 1")
        if fault.kind in ("power_loss", "evacuate") and not (schedule.state and schedule.program == "node"):
            raise ScenarioError(f"{path}: bad[{i}].kind: {fault.kind} needs nodes with state = true")
    return schedule


def kinds() -> tuple[str, ...]:
    """Return every kind of fault that a schedule may contain."""
    return tuple(get_args(FaultKind))


@dataclass(frozen=True)
class ScheduledFault:
    """A fault with its victims; times are in seconds from the moment at which all processes have joined.

    victims: processes, also for faults of links, where they are the first ends.
    links: directed pairs of processes, for faults of links only.
    """

    fault: Fault
    victims: tuple[str, ...]
    links: frozenset[tuple[str, str]] = field(default_factory=frozenset)

    @property
    def until_s(self) -> float:
        """Return when the fault is over, in seconds from the start."""
        return self.fault.at_s + self.fault.for_s


def draw_faults(schedule: FaultSchedule, seed: int) -> list[ScheduledFault]:
    """Return every fault with its victims, in order of time."""
    rng = Random(f"{schedule.name} {seed}")
    names = [f"n{i}" for i in range(schedule.processes)]
    scheduled = []
    for fault in sorted(schedule.bad, key=lambda entry: (entry.at_s, entry.kind)):
        count = min(len(names) - 1, max(1, round(fault.part * len(names))))
        victims = tuple(sorted(rng.sample(names, count), key=names.index))
        affected = set(victims)
        links: frozenset[tuple[str, str]] = frozenset()
        if fault.kind == "partition":
            links = frozenset(
                (sender, receiver)
                for sender in names
                for receiver in names
                if (sender in affected) != (receiver in affected)
            )
        elif fault.kind in ("loss", "delay", "duplicate", "reorder", "slow_link"):
            links = frozenset(
                (sender, receiver)
                for sender in names
                for receiver in names
                if sender != receiver and (sender in affected or receiver in affected)
            )
        elif fault.kind == "one_way":
            # Each victim loses the link to one other process, but not the link back.
            receivers = {victim: rng.choice([name for name in names if name != victim]) for victim in victims}
            links = frozenset(receivers.items())
        scheduled.append(ScheduledFault(fault, victims, links))
    return scheduled
