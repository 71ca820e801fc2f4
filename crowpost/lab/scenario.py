"""Scenarios: TOML files that say how large a platform is, what is asked of it, and what goes wrong when.

Every key names its unit.  A file may extend another: its tables are laid over that one's, its lists replace
them.  It is checked whole: an unknown key, a wrong type or an impossible value is a ScenarioError of one line
with the file and the key.
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
Span = tuple[NotNegative, NotNegative]  # least and most, drawn evenly
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


# Keys of the scenario files, which are told apart from the names of fields.
SCENARIO_KEYS = {
    "latency_objective_ms": "aim_ms",
    "priority_weight": "worth",
    "idempotency_window_ms": "window_ms",
    "warm_up_ms": "cold_ms",
    "overload_factor": "fall_multiple",
    "overload_window_ms": "fall_window_ms",
}


class ScenarioError(Exception):
    """A scenario that cannot be played; its text names file and key in one line."""


class Phase(Struct, forbid_unknown_fields=True, frozen=True):
    """From one time to another the rate of requests is multiplied."""

    from_s: NotNegative
    to_s: Positive
    times: NotNegative


class Traffic(Struct, forbid_unknown_fields=True, frozen=True):
    """Open-loop arrivals: requests come when they come, whatever became of those before."""

    requests_per_s: Positive
    arrivals: Literal["poisson", "steady", "bursty"] = "poisson"
    burst_mean_s: Positive = 2.0  # bursty: how long each rate holds, in the mean
    burst_swing: Share = 0.3  # and how far it lies from the mean
    phases: tuple[Phase, ...] = ()


class Clients(Struct, forbid_unknown_fields=True, frozen=True):
    """What clients do when an answer does not come or is no."""

    retries: Annotated[int, Meta(ge=0, le=20)] = 2
    backoff: Literal["none", "fixed", "exponential"] = "exponential"
    backoff_ms: NotNegative = 300.0
    honour_retry_after: Share = 0.8
    patience: tuple[Share, Share] = (0.6, 1.0)  # of the class's deadline
    marks_retry: bool = False


class Network(Struct, forbid_unknown_fields=True, frozen=True):
    """Delays between machines, and what a connection costs."""

    zones: Count = 1
    one_way_ms: NotNegative = 0.2
    cross_zone_ms: NotNegative = 0.6
    jitter: Share = 0.2
    client_ms: NotNegative = 0.8
    handshake_round_trips: NotNegative = 2.0
    connect_timeout_ms: Positive = 250.0
    idle_ms: Positive = 30_000.0


class Discovery(Struct, forbid_unknown_fields=True, frozen=True):
    """How late news of the list reaches each node."""

    add_ms: Span = (600.0, 3000.0)
    drain_ms: Span = (100.0, 500.0)
    gone_ms: Span = (1000.0, 5000.0)


class Limits(Struct, forbid_unknown_fields=True, frozen=True, rename=SCENARIO_KEYS):
    """What nodes may do, and the figures of the rules."""

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
    """One of those who share the service; what it asks beyond its quota is worth little."""

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
    """So many calls waiting for each core over this time turn a server slow until it has rested."""

    waiting_per_core: Positive = 6.0
    after_ms: Positive = 2000.0
    slower: Annotated[float, Meta(ge=1.0, le=1000.0)] = 3.0
    rest_ms: Positive = 3500.0
    at_most_ms: Positive = 25_000.0


class Tier(Struct, forbid_unknown_fields=True, frozen=True):
    """Servers that do a part of a request's work and call the next tier, one call after another."""

    name: str
    servers: Count
    work_part: Positive
    kinds: Annotated[tuple[Kind, ...], Meta(min_length=1)]
    calls: Span = (0.0, 0.0)  # calls of the next tier for each request, drawn for each
    cell_size: Count = 6
    report_ms: Positive = 100.0
    drops_cancelled: bool = False  # whether a call that waits is dropped when it is cancelled
    crowding: Crowding | None = Crowding()

    def kind_index(self, place: int) -> int:
        """The kind of the server at a place: each kind has its part of the tier, whatever the seed."""
        left = (place + 0.5) / self.servers * sum(k.part for k in self.kinds)
        for i, kind in enumerate(self.kinds):
            if left < kind.part:
                return i
            left -= kind.part
        return len(self.kinds) - 1


class Fault(Struct, forbid_unknown_fields=True, frozen=True):
    """What goes wrong with `part` of the tier's servers, or of the nodes where the kind names nodes."""

    kind: FaultKind
    at_s: NotNegative
    for_s: Positive = 10.0
    tier: str = ""  # empty: every tier
    part: Share = 0.1
    size: NotNegative = (
        0.5  # errors, spoilt: share of calls; neighbour: share of the machine; slow, burst: times
    )
    pause_ms: Positive = 300.0
    every_ms: Positive = 2000.0
    down_ms: NotNegative = 1000.0  # crash, release, restart_nodes: from end to start
    steps: Count = 4  # release, join: how many turns it takes


class Scenario(Struct, forbid_unknown_fields=True, frozen=True):
    """A whole day of a platform."""

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
        """Sixteen hex digits of the whole content: equal scenarios have equal digests."""
        return hashlib.blake2b(msgspec.json.encode(self), digest_size=8).hexdigest()


def shipped(folder: str = "scenarios") -> dict[str, Path]:
    """The scenarios, or other files of such a folder, that come with the package, by name."""
    found = Path(str(resources.files("crowpost.lab") / folder)).glob("*.toml")
    return {path.stem: path for path in sorted(found)}


def load(name: str) -> Scenario:
    """A shipped scenario by name, or one in a file; ScenarioError with one line if it cannot be played."""
    path = shipped().get(name) or Path(name)
    raw = _read(path, ())
    try:
        scenario = msgspec.convert(raw, Scenario)
    except msgspec.ValidationError as error:
        raise ScenarioError(f"{path}: {_named(str(error))}") from None
    for key, text in _impossible(scenario):
        raise ScenarioError(f"{path}: {key}: {text}")
    return scenario


def _read(path: Path, above: tuple[Path, ...]) -> dict[str, Any]:
    """A file's tables over those of the scenario that it `extends`; lists are replaced whole."""
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
        raise ScenarioError(f"{path}: extends: the name of a scenario, not {base!r}")
    below = shipped().get(base) or path.parent / base
    if below in (path, *above):
        raise ScenarioError(f"{path}: extends: {base} extends this file in turn")
    return _merged(_read(below, (path, *above)), raw)


def _merged(under: dict[str, Any], over: dict[str, Any]) -> dict[str, Any]:
    merged = dict(under)
    for key, value in over.items():
        old = merged.get(key)
        merged[key] = _merged(old, value) if isinstance(old, dict) and isinstance(value, dict) else value
    return merged


def _one_line(error: Exception) -> str:
    return " ".join(str(error).split())


def _named(text: str) -> str:
    """The validation library's message with its path, `$.tiers[0].servers`, in front as the key."""
    said, at, key = text.partition(" - at `")
    key = key.rstrip("`").removeprefix("$").removeprefix(".")
    return f"{key}: {said}" if at else said


def _impossible(scenario: Scenario) -> list[tuple[str, str]]:
    """What no single field can show: key and what is wrong."""
    found: list[tuple[str, str]] = []
    if scenario.schema != SCHEMA:
        found.append(("schema", f"{scenario.schema} is not known, this version reads {SCHEMA}"))
    for i, phase in enumerate(scenario.traffic.phases):
        if phase.to_s <= phase.from_s:
            found.append((f"traffic.phases[{i}].to_s", f"{phase.to_s} is not after from_s {phase.from_s}"))
    if scenario.clients.patience[0] > scenario.clients.patience[1]:
        found.append(("clients.patience", "the least is above the most"))
    if scenario.clients.patience[0] <= 0.0:
        found.append(("clients.patience", "clients that wait for no time ask nothing"))
    for i, kind in enumerate(scenario.classes):
        if kind.deadline_ms < kind.latency_objective_ms:
            found.append(
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
            found.append((label, "two have the same name"))
    for i, tier in enumerate(scenario.tiers):
        last = i == len(scenario.tiers) - 1
        if last and tier.calls[1] > 0:
            found.append((f"tiers[{i}].calls", "there is no next tier to call"))
        if not last and tier.calls[1] <= 0:
            found.append((f"tiers[{i}].calls", "the next tier would never be called"))
        for j, machine in enumerate(tier.kinds):
            if machine.speed[0] <= 0 or machine.speed[0] > machine.speed[1]:
                found.append((f"tiers[{i}].kinds[{j}].speed", f"no such range: {list(machine.speed)}"))
            if machine.cold_from <= 0:
                found.append(
                    (f"tiers[{i}].kinds[{j}].cold_from", "a server that starts with nothing never warms")
                )
    for i, fault in enumerate(scenario.faults):
        if fault.tier and fault.tier not in names:
            found.append((f"faults[{i}].tier", f"{fault.tier!r} is none of {', '.join(sorted(names))}"))
        if fault.at_s >= scenario.duration_s:
            found.append((f"faults[{i}].at_s", f"{fault.at_s} is past the end, {scenario.duration_s}"))
        if fault.kind in ("errors", "spoilt", "neighbour", "hot_caller") and fault.size > 1.0:
            found.append((f"faults[{i}].size", f"a share of {fault.size}"))
        if fault.kind == "zone_loss" and scenario.network.zones < 2:
            found.append((f"faults[{i}].kind", "zone_loss needs network.zones of at least 2"))
    return found


def fault_kinds() -> tuple[str, ...]:
    """Every kind of fault that a scenario may hold."""
    return tuple(get_args(FaultKind))
