"""The target file: the planned platform size, its topology, and what a scale run measures of it.

Key names include their unit. Defaults exist only in the shipped file: a user's file must be complete.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, fields, replace
from importlib import resources
from typing import Any

from crowpost.lab.scenario import ScenarioError
from crowpost.tables import Table, TableError, read_file

FAULT_KINDS = ("machine", "rack", "zone", "zone_back", "region_cut", "replacements")
MOST_MEMBERS = 5_000
MAX_VALUE = 1e9


class ScaleError(ScenarioError):
    """An invalid target file or an impossible run; the message is one line."""


@dataclass(frozen=True, slots=True)
class NodeBudget:
    """Limits on what the control plane may cost a node: percent of a core, MB, and bytes per second."""

    core_percent: float
    memory_mb: float
    bytes_per_s: float


@dataclass(frozen=True, slots=True)
class Machines:
    """Machines in addition to those of the servers."""

    set_aside: int


@dataclass(frozen=True, slots=True)
class Failures:
    """How often each kind of failure happens."""

    machines_per_day: float
    replacements_per_day: float
    rack_days: float
    zone_per_year: float
    region_cut_s: float
    region_cuts_per_year: float


@dataclass(frozen=True, slots=True)
class Size:
    """The planned platform."""

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
    """How servers are spread over regions, zones and racks, and how services call each other."""

    zones_per_region: tuple[int, ...]
    racks_per_zone: int
    service_skew: float
    callees_per_service: int


@dataclass(frozen=True, slots=True)
class Run:
    """What a run measures; the shipped file describes each key."""

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
class Fault:
    """One kind of fault: when it starts within its own run and how long it lasts, in seconds."""

    kind: str
    at_s: float
    for_s: float


@dataclass(frozen=True, slots=True)
class Target:
    """The complete file; `run` is the full form of a run, `short` the short one."""

    target: Size
    topology: Topology
    run: Run
    short: Run
    troubles: tuple[Fault, ...]


def load(path: str | None = None) -> Target:
    """Return the target in a file, or the shipped one; raise ScaleError with one line if it is invalid."""
    name = path or str(resources.files("crowpost.lab.scale").joinpath("target.toml"))
    try:
        return _read(read_file(name))
    except TableError as error:
        raise ScaleError(f"{name}: {error}") from None


def _field_names(dataclass_type: Any) -> list[str]:
    return [field.name for field in fields(dataclass_type)]


def _read(raw: dict[str, Any]) -> Target:
    tables = ("target", "topology", "run", "troubles")
    root = Table("file", raw, tables)
    run_raw = root.get("run")
    run = _run(Table("run", run_raw, (*_field_names(Run), "short")), None)
    short_raw = run_raw.get("short", {})
    target = Target(
        target=_size(Table("target", root.get("target"), _field_names(Size))),
        topology=_topology(Table("topology", root.get("topology"), _field_names(Topology))),
        run=run,
        short=_run(Table("run.short", short_raw, _field_names(Run)), run),
        troubles=_faults(root.get("troubles")),
    )
    if len(target.topology.zones_per_region) != target.target.regions:
        raise TableError(f"topology.zones_per_region: one number for each of {target.target.regions} regions")
    if sum(target.topology.zones_per_region) != target.target.zones:
        raise TableError(f"topology.zones_per_region: {target.target.zones} zones in all")
    return target


def _count(table: Table, key: str, minimum: int = 1, maximum: int = 10_000_000) -> int:
    return _integer(table, key, table.number(key, -1.0, minimum, maximum))


def _integer(table: Table, key: str, value: float) -> int:
    if value != int(value):
        raise TableError(f"{table.name}.{key}: a whole number, not {value!r}")
    return int(value)


def _positive(table: Table, key: str) -> float:
    return table.number(key, -1.0, 1e-9, MAX_VALUE)


def _not_negative(table: Table, key: str) -> float:
    return table.number(key, -1.0, 0.0, MAX_VALUE)


def _numbers(table: Table, key: str, minimum: float, maximum: float) -> tuple[float, ...]:
    value = table.get(key)
    is_filled_list = isinstance(value, list) and value
    if not is_filled_list or not all(
        isinstance(number, int | float) and not isinstance(number, bool) and minimum <= number <= maximum
        for number in value
    ):
        raise TableError(
            f"{table.name}.{key}: a list of numbers from {minimum:g} to {maximum:g}, not {value!r}"
        )
    return tuple(float(number) for number in value)


def _counts(table: Table, key: str, minimum: int, maximum: int) -> tuple[int, ...]:
    return tuple(_integer(table, key, number) for number in _numbers(table, key, minimum, maximum))


def _size(table: Table) -> Size:
    budget = Table("target.node_budget", table.get("node_budget"), _field_names(NodeBudget))
    machines = Table("target.machines", table.get("machines"), _field_names(Machines))
    failures = Table("target.failures", table.get("failures"), _field_names(Failures))
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
        node_budget=NodeBudget(**{key: _positive(budget, key) for key in _field_names(NodeBudget)}),
        machines=Machines(_count(machines, "set_aside", 0)),
        failures=Failures(**{key: _not_negative(failures, key) for key in _field_names(Failures)}),
    )


def _topology(table: Table) -> Topology:
    return Topology(
        zones_per_region=_counts(table, "zones_per_region", 1, 64),
        racks_per_zone=_count(table, "racks_per_zone", 1, 1_000),
        service_skew=table.number("service_skew", -1.0, 0.0, 3.0),
        callees_per_service=_count(table, "callees_per_service", 0, 1_000),
    )


def _run(table: Table, defaults: Run | None) -> Run:
    """Return the run of a table.

    defaults: the run that provides the keys missing from the table; without one, all keys are required.
    """
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
    keys: Collection[str] = readers if defaults is None else [key for key in readers if key in table]
    values = {key: readers[key]() for key in keys}
    return Run(**values) if defaults is None else replace(defaults, **values)


def _faults(raw: Any) -> tuple[Fault, ...]:
    if not isinstance(raw, list):
        raise TableError("troubles: a list of tables")
    faults = []
    for position, entry in enumerate(raw):
        table = Table(f"troubles[{position}]", entry, _field_names(Fault))
        kind = table.choice("kind", "", FAULT_KINDS)
        at_s, for_s = table.number("at_s", -1.0, 0.0, 3_600.0), table.number("for_s", -1.0, 1.0, 3_600.0)
        faults.append(Fault(kind, at_s, for_s))
    return tuple(faults)
