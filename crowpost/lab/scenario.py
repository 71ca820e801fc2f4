"""Scenarios: TOML files that describe a platform, its traffic and its faults.

Every key names its unit. A file may extend another: its tables are merged over the tables of that file, its
lists replace them. The whole file is checked: an unknown key, a wrong type or an impossible value raises a
ScenarioError of one line with the file and the key.
"""

from __future__ import annotations

import hashlib
import tomllib
from importlib import resources
from pathlib import Path
from typing import Annotated, Any, Literal, get_args

import msgspec
from msgspec import Meta, Struct, field

SCHEMA = 1
REPORT_COLUMNS = ("outstanding", "backlog", "errors_per_s")

Share = Annotated[float, Meta(ge=0.0, le=1.0)]
Positive = Annotated[float, Meta(gt=0.0, le=1e9)]
NotNegative = Annotated[float, Meta(ge=0.0, le=1e9)]
Count = Annotated[int, Meta(ge=1, le=100_000)]
Span = tuple[NotNegative, NotNegative]  # minimum and maximum of a uniform distribution
FaultKind = Literal[
    "errors",
    "slow",
    "neighbour",
    "pauses",
    "silent",
    "crash",
    "release",
    "join",
    "zone_loss",
    "discovery_stall",
    "reports_late",
    "spoilt",
    "early_close",
    "hot_caller",
    "burst",
    "restart_nodes",
    "upgrade_nodes",
]


# TOML key by field name, for the fields whose key has another name.
SCENARIO_KEYS = {
    "latency_objective_ms": "aim_ms",
    "priority_weight": "worth",
    "idempotency_window_ms": "window_ms",
    "warm_up_ms": "cold_ms",
    "overload_factor": "fall_multiple",
    "overload_window_ms": "fall_window_ms",
}


class ScenarioError(Exception):
    """A scenario that cannot be loaded; the text names file and key in one line."""


class Phase(Struct, forbid_unknown_fields=True, frozen=True):
    """Multiplies the request rate between two times."""

    from_s: NotNegative
    to_s: Positive
    times: NotNegative


class Traffic(Struct, forbid_unknown_fields=True, frozen=True):
    """Open-loop arrivals: a request is sent at its time, whether earlier ones have ended or not."""

    requests_per_s: Positive
    arrivals: Literal["poisson", "steady", "bursty"] = "poisson"
    burst_mean_s: Positive = 2.0  # bursty: mean duration of each rate
    burst_swing: Share = 0.3  # bursty: relative distance of both rates from the mean
    phases: tuple[Phase, ...] = ()


class Clients(Struct, forbid_unknown_fields=True, frozen=True):
    """How clients wait and retry."""

    retries: Annotated[int, Meta(ge=0, le=20)] = 2
    backoff: Literal["none", "fixed", "exponential"] = "exponential"
    backoff_ms: NotNegative = 300.0
    honour_retry_after: Share = 0.8
    # range of the time a client waits, as a part of the class deadline
    patience: tuple[Share, Share] = (0.6, 1.0)
    marks_retry: bool = False


class Network(Struct, forbid_unknown_fields=True, frozen=True):
    """Network delays between machines, and the cost of a connection."""

    zones: Count = 1
    one_way_ms: NotNegative = 0.2
    cross_zone_ms: NotNegative = 0.6
    jitter: Share = 0.2
    client_ms: NotNegative = 0.8
    handshake_round_trips: NotNegative = 2.0
    connect_timeout_ms: Positive = 250.0
    idle_ms: Positive = 30_000.0


class Discovery(Struct, forbid_unknown_fields=True, frozen=True):
    """Delays in ms after which a change of the endpoint list reaches a node."""

    add_ms: Span = (600.0, 3000.0)
    drain_ms: Span = (100.0, 500.0)
    gone_ms: Span = (1000.0, 5000.0)


class Limits(Struct, forbid_unknown_fields=True, frozen=True, rename=SCENARIO_KEYS):
    """What nodes are allowed to do, and the parameters of the rules."""

    max_attempts: Count = 5
    second_copies: bool = True
    cancel: bool = True
    probes: bool = True
    retry_after: bool = True
    max_retry_after_ms: NotNegative = 2000.0
    drain_grace_ms: NotNegative = 250.0
    answer_slack_ms: NotNegative = 50.0
    overload_factor: Positive = 4.0
    overload_window_ms: Positive = 3000.0


class Class(Struct, forbid_unknown_fields=True, frozen=True, rename=SCENARIO_KEYS):
    """A class of requests; work is in ms of a core of speed 1, over all tiers."""

    name: str
    share: Positive
    work_ms: Positive
    latency_objective_ms: Positive
    deadline_ms: Positive
    priority_weight: NotNegative = 1.0
    work_spread: Literal["exponential", "lognormal", "constant"] = "lognormal"
    work_cv: NotNegative = 1.0
    effect: Literal["safe", "keyed", "unsafe"] = "safe"
    group: Literal["all", "zone", "cell"] = "all"
    idempotency_window_ms: NotNegative = 10_000.0


class Tenant(Struct, forbid_unknown_fields=True, frozen=True):
    """A tenant of the service; requests beyond its quota have a low weight."""

    name: str
    share: Positive
    quota_per_s: NotNegative = 0.0
    over_quota_worth: Share = 0.05


class Kind(Struct, forbid_unknown_fields=True, frozen=True, rename=SCENARIO_KEYS):
    """A kind of machine in a tier."""

    name: str
    part: Positive = 1.0
    cores: Count = 1
    speed: Span = (1.0, 1.0)
    slots: Count = 24
    waiting_room: Annotated[int, Meta(ge=0, le=100_000)] = 20
    error_rate: Share = 0.0
    cold_from: Share = 0.4
    warm_up_ms: Positive = 6000.0
    connections: Count = 700
    handshake_work_ms: NotNegative = 1.0
    probe_work_ms: NotNegative = 0.15


class Crowding(Struct, forbid_unknown_fields=True, frozen=True):
    """Contention: too many calls waiting per core for too long slow a server down until it has rested."""

    waiting_per_core: Positive = 6.0
    after_ms: Positive = 2000.0
    slower: Annotated[float, Meta(ge=1.0, le=1000.0)] = 3.0
    rest_ms: Positive = 3500.0
    at_most_ms: Positive = 25_000.0


class Tier(Struct, forbid_unknown_fields=True, frozen=True):
    """Servers that do a part of the work of a request and call the next tier, one call after another."""

    name: str
    servers: Count
    work_part: Positive
    kinds: Annotated[tuple[Kind, ...], Meta(min_length=1)]
    calls: Span = (0.0, 0.0)  # calls to the next tier for each request, drawn for each
    cell_size: Count = 6
    report_ms: Positive = 100.0
    drops_cancelled: bool = False  # whether a waiting call is dropped when it is cancelled
    crowding: Crowding | None = Crowding()

    def kind_index(self, place: int) -> int:
        """Return the kind of the server at an index: each kind has its part of the tier under any seed."""
        offset = (place + 0.5) / self.servers * sum(kind.part for kind in self.kinds)
        for i, kind in enumerate(self.kinds):
            if offset < kind.part:
                return i
            offset -= kind.part
        return len(self.kinds) - 1


class Fault(Struct, forbid_unknown_fields=True, frozen=True):
    """A fault of `part` of the tier's servers, or of that part of the nodes for kinds that affect nodes."""

    kind: FaultKind
    at_s: NotNegative
    for_s: Positive = 10.0
    tier: str = ""  # empty: every tier
    part: Share = 0.1
    size: NotNegative = (
        0.5  # errors, spoilt: share of calls; neighbour: share of the machine; slow, burst: factor
    )
    pause_ms: Positive = 300.0
    every_ms: Positive = 2000.0
    down_ms: NotNegative = 1000.0  # crash, release, restart_nodes: time from stop to start
    steps: Count = 4  # release, join: number of batches


class Scenario(Struct, forbid_unknown_fields=True, frozen=True):
    """A whole run: the platform, its traffic and its faults."""

    schema: int
    name: str
    about: str
    duration_s: Annotated[float, Meta(gt=0.0, le=86_400.0)]
    traffic: Traffic
    nodes: Count
    classes: Annotated[tuple[Class, ...], Meta(min_length=1)]
    tiers: Annotated[tuple[Tier, ...], Meta(min_length=1)]
    tenants: tuple[Tenant, ...] = ()
    clients: Clients = Clients()
    network: Network = Network()
    discovery: Discovery = Discovery()
    limits: Limits = Limits()
    faults: tuple[Fault, ...] = field(default=())

    def digest(self) -> str:
        """Return 16 hex digits that identify the content: equal scenarios have equal digests."""
        return hashlib.blake2b(msgspec.json.encode(self), digest_size=8).hexdigest()


def shipped(folder: str = "scenarios") -> dict[str, Path]:
    """Return the shipped scenarios, or the TOML files of another folder of the lab, by name."""
    paths = Path(str(resources.files("crowpost.lab") / folder)).glob("*.toml")
    return {path.stem: path for path in sorted(paths)}


def load(name: str) -> Scenario:
    """Return a shipped scenario by name, or one of a file; raise a one-line ScenarioError if invalid."""
    path = shipped().get(name) or Path(name)
    raw = _read(path, ())
    try:
        scenario = msgspec.convert(raw, Scenario)
    except msgspec.ValidationError as error:
        raise ScenarioError(f"{path}: {_key_first(str(error))}") from None
    for key, text in _inconsistencies(scenario):
        raise ScenarioError(f"{path}: {key}: {text}")
    return scenario


def _read(path: Path, extending: tuple[Path, ...]) -> dict[str, Any]:
    """Return the tables of a file merged over those of the scenario that it `extends`; lists are replaced."""
    try:
        raw = tomllib.loads(path.read_text(encoding="utf-8"))
    except FileNotFoundError:
        known = ", ".join(shipped())
        raise ScenarioError(f"{path}: no such file, and no shipped scenario: {known}") from None
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise ScenarioError(f"{path}: {_one_line(error)}") from None
    base = raw.pop("extends", None)
    if base is None:
        return raw
    if not isinstance(base, str):
        raise ScenarioError(f"{path}: extends: expected the name of a scenario, got {base!r}")
    base_path = shipped().get(base) or path.parent / base
    if base_path in (path, *extending):
        raise ScenarioError(f"{path}: extends: {base} extends this file in turn")
    return _merged(_read(base_path, (path, *extending)), raw)


def _merged(base: dict[str, Any], overrides: dict[str, Any]) -> dict[str, Any]:
    merged = dict(base)
    for key, value in overrides.items():
        old = merged.get(key)
        merged[key] = _merged(old, value) if isinstance(old, dict) and isinstance(value, dict) else value
    return merged


def _one_line(error: Exception) -> str:
    return " ".join(str(error).split())


def _key_first(text: str) -> str:
    """Return a message of the validation library with its path, `$.tiers[0].servers`, first, as the key."""
    message, at, key = text.partition(" - at `")
    key = key.rstrip("`").removeprefix("$").removeprefix(".")
    return f"{key}: {message}" if at else message


def _inconsistencies(scenario: Scenario) -> list[tuple[str, str]]:
    """Return key and problem of each inconsistency that no single field shows."""
    problems: list[tuple[str, str]] = []
    if scenario.schema != SCHEMA:
        problems.append(("schema", f"{scenario.schema} is not known, this version reads {SCHEMA}"))
    for i, phase in enumerate(scenario.traffic.phases):
        if phase.to_s <= phase.from_s:
            problems.append((f"traffic.phases[{i}].to_s", f"{phase.to_s} is not after from_s {phase.from_s}"))
    if scenario.clients.patience[0] > scenario.clients.patience[1]:
        problems.append(("clients.patience", "the minimum is above the maximum"))
    if scenario.clients.patience[0] <= 0.0:
        problems.append(("clients.patience", "the minimum must be above 0, or clients would not wait at all"))
    for i, kind in enumerate(scenario.classes):
        if kind.deadline_ms < kind.latency_objective_ms:
            problems.append(
                (
                    f"classes[{i}].deadline_ms",
                    f"{kind.deadline_ms} is below aim_ms {kind.latency_objective_ms}",
                )
            )
    names = {tier.name for tier in scenario.tiers}
    for label, items in (
        ("classes", scenario.classes),
        ("tiers", scenario.tiers),
        ("tenants", scenario.tenants),
    ):
        seen = [item.name for item in items]
        if len(set(seen)) < len(seen):
            problems.append((label, "names must be unique"))
    for i, tier in enumerate(scenario.tiers):
        last = i == len(scenario.tiers) - 1
        if last and tier.calls[1] > 0:
            problems.append((f"tiers[{i}].calls", "there is no next tier to call"))
        if not last and tier.calls[1] <= 0:
            problems.append((f"tiers[{i}].calls", "must be above 0, or the next tier would never be called"))
        for j, machine in enumerate(tier.kinds):
            if machine.speed[0] <= 0 or machine.speed[0] > machine.speed[1]:
                problems.append((f"tiers[{i}].kinds[{j}].speed", f"no range above 0: {list(machine.speed)}"))
            if machine.cold_from <= 0:
                problems.append(
                    (f"tiers[{i}].kinds[{j}].cold_from", "must be above 0, or the server would never warm up")
                )
    for i, fault in enumerate(scenario.faults):
        if fault.tier and fault.tier not in names:
            problems.append((f"faults[{i}].tier", f"{fault.tier!r} is none of {', '.join(sorted(names))}"))
        if fault.at_s >= scenario.duration_s:
            problems.append((f"faults[{i}].at_s", f"{fault.at_s} is past the end, {scenario.duration_s}"))
        if fault.kind in ("errors", "spoilt", "neighbour", "hot_caller") and fault.size > 1.0:
            problems.append((f"faults[{i}].size", f"{fault.size} is not a share: it must be at most 1"))
        if fault.kind == "zone_loss" and scenario.network.zones < 2:
            problems.append((f"faults[{i}].kind", "zone_loss needs network.zones of at least 2"))
    return problems


def fault_kinds() -> tuple[str, ...]:
    """Return every kind of fault that a scenario may contain."""
    return tuple(get_args(FaultKind))
