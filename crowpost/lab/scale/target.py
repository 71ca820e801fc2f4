"""The target file: the size that is coming, its topology, and what is run of it.

Every key names its unit and has a default in the shipped file only: a file given by hand is whole.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, fields, replace
from importlib import resources
from typing import Any

from crowpost.lab.scenario import ScenarioError
from crowpost.tables import Table, TableError, read_file

KINDS = ("machine", "rack", "zone", "zone_back", "region_cut", "replacements")
MOST_MEMBERS = 5_000
BIG = 1e9


class ScaleError(ScenarioError):
    """A target or a run that cannot be used; its text is one line."""


@dataclass(frozen=True, slots=True)
class NodeBudget:
    """What control may cost a node: percent of a core, MB, and bytes a second."""

    core_percent: float
    memory_mb: float
    bytes_per_s: float


@dataclass(frozen=True, slots=True)
class Machines:
    """Machines beside those of the servers."""

    set_aside: int


@dataclass(frozen=True, slots=True)
class Failures:
    """What goes wrong how often."""

    machines_per_day: float
    replacements_per_day: float
    rack_days: float
    zone_per_year: float
    region_cut_s: float
    region_cuts_per_year: float


@dataclass(frozen=True, slots=True)
class Size:
    """The platform that is to be carried."""

    servers: int
    services: int
    regions: int
    zones: int
    calls_per_s: float
    depth: int
    added_p99_ms: float
    changes_per_day: float
    in_force_s: float
    node_budget: NodeBudget
    machines: Machines
    failures: Failures


@dataclass(frozen=True, slots=True)
class Topology:
    """How servers stand in regions, zones and racks, and services call each other."""

    zones_per_region: tuple[int, ...]
    racks_per_zone: int
    service_skew: float
    callees_per_service: int


@dataclass(frozen=True, slots=True)
class Run:
    """What a run measures; see the comments in the shipped file."""

    sizes: tuple[int, ...]
    rates: tuple[float, ...]
    rate_members: int
    config_rates: tuple[float, ...]
    seconds: float
    settle_s: float
    workers: int
    real: int
    carriers: int
    trouble_members: int
    seed: int


@dataclass(frozen=True, slots=True)
class Trouble:
    """One kind of failure: when it comes in its own run, and for how long, in seconds."""

    kind: str
    at_s: float
    for_s: float


@dataclass(frozen=True, slots=True)
class Target:
    """The whole file; `run` for the full form, `short` for the short one."""

    target: Size
    topology: Topology
    run: Run
    short: Run
    troubles: tuple[Trouble, ...]


def load(path: str | None = None) -> Target:
    """The file of this path, or the one shipped; ScaleError with one line for what cannot be used."""
    name = path or str(resources.files("crowpost.lab.scale").joinpath("target.toml"))
    try:
        return _read(read_file(name))
    except TableError as error:
        raise ScaleError(f"{name}: {error}") from None


def _names(kind: Any) -> list[str]:
    return [f.name for f in fields(kind)]


def _read(raw: dict[str, Any]) -> Target:
    tables = ("target", "topology", "run", "troubles")
    top = Table("file", raw, tables)
    run_raw = top.get("run")
    run = _run(Table("run", run_raw, (*_names(Run), "short")), None)
    short = run_raw.get("short", {})
    target = Target(
        target=_size(Table("target", top.get("target"), _names(Size))),
        topology=_topology(Table("topology", top.get("topology"), _names(Topology))),
        run=run,
        short=_run(Table("run.short", short, _names(Run)), run),
        troubles=_troubles(top.get("troubles")),
    )
    if len(target.topology.zones_per_region) != target.target.regions:
        raise TableError(f"topology.zones_per_region: one number for each of {target.target.regions} regions")
    if sum(target.topology.zones_per_region) != target.target.zones:
        raise TableError(f"topology.zones_per_region: {target.target.zones} zones in all")
    return target


def _count(table: Table, key: str, least: int = 1, most: int = 10_000_000) -> int:
    return _whole(table, key, table.number(key, -1.0, least, most))


def _whole(table: Table, key: str, value: float) -> int:
    if value != int(value):
        raise TableError(f"{table.name}.{key}: a whole number, not {value!r}")
    return int(value)


def _positive(table: Table, key: str) -> float:
    return table.number(key, -1.0, 1e-9, BIG)


def _not_negative(table: Table, key: str) -> float:
    return table.number(key, -1.0, 0.0, BIG)


def _numbers(table: Table, key: str, low: float, high: float) -> tuple[float, ...]:
    value = table.get(key)
    fits = isinstance(value, list) and value
    if not fits or not all(
        isinstance(v, int | float) and not isinstance(v, bool) and low <= v <= high for v in value
    ):
        raise TableError(f"{table.name}.{key}: a list of numbers from {low:g} to {high:g}, not {value!r}")
    return tuple(float(v) for v in value)


def _counts(table: Table, key: str, low: int, high: int) -> tuple[int, ...]:
    return tuple(_whole(table, key, v) for v in _numbers(table, key, low, high))


def _size(table: Table) -> Size:
    budget = Table("target.node_budget", table.get("node_budget"), _names(NodeBudget))
    machines = Table("target.machines", table.get("machines"), _names(Machines))
    failures = Table("target.failures", table.get("failures"), _names(Failures))
    return Size(
        servers=_count(table, "servers"),
        services=_count(table, "services"),
        regions=_count(table, "regions", 1, 16),
        zones=_count(table, "zones", 1, 64),
        calls_per_s=_positive(table, "calls_per_s"),
        depth=_count(table, "depth"),
        added_p99_ms=_positive(table, "added_p99_ms"),
        changes_per_day=_positive(table, "changes_per_day"),
        in_force_s=_positive(table, "in_force_s"),
        node_budget=NodeBudget(**{key: _positive(budget, key) for key in _names(NodeBudget)}),
        machines=Machines(_count(machines, "set_aside", 0)),
        failures=Failures(**{key: _not_negative(failures, key) for key in _names(Failures)}),
    )


def _topology(table: Table) -> Topology:
    return Topology(
        zones_per_region=_counts(table, "zones_per_region", 1, 64),
        racks_per_zone=_count(table, "racks_per_zone", 1, 1_000),
        service_skew=table.number("service_skew", -1.0, 0.0, 3.0),
        callees_per_service=_count(table, "callees_per_service", 0, 1_000),
    )


def _run(table: Table, full: Run | None) -> Run:
    """The run of a table; full: what keys stand for that it leaves out."""
    readers: dict[str, Any] = {
        "sizes": lambda: _counts(table, "sizes", 2, MOST_MEMBERS),
        "rates": lambda: _numbers(table, "rates", 0.0, 1_000.0),
        "rate_members": lambda: _count(table, "rate_members", 4, MOST_MEMBERS),
        "config_rates": lambda: _numbers(table, "config_rates", 0.0, 100.0),
        "seconds": lambda: table.number("seconds", -1.0, 1.0, 3_600.0),
        "settle_s": lambda: table.number("settle_s", -1.0, 0.0, 600.0),
        "workers": lambda: _count(table, "workers", 1, 64),
        "real": lambda: _count(table, "real", 2, 60),
        "carriers": lambda: _count(table, "carriers", 1, 20),
        "trouble_members": lambda: _count(table, "trouble_members", 14, MOST_MEMBERS),
        "seed": lambda: _count(table, "seed", 0),
    }
    wanted: Collection[str] = readers if full is None else [key for key in readers if key in table]
    values = {key: readers[key]() for key in wanted}
    return Run(**values) if full is None else replace(full, **values)


def _troubles(raw: Any) -> tuple[Trouble, ...]:
    if not isinstance(raw, list):
        raise TableError("troubles: a list of tables")
    found = []
    for i, one in enumerate(raw):
        table = Table(f"troubles[{i}]", one, _names(Trouble))
        kind = table.choice("kind", "", KINDS)
        at_s, for_s = table.number("at_s", -1.0, 0.0, 3_600.0), table.number("for_s", -1.0, 1.0, 3_600.0)
        found.append(Trouble(kind, at_s, for_s))
    return tuple(found)
