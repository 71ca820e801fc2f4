"""The decision module of a git revision, run beside the present one.

A revision is loaded as a whole, under a package name of its own, with the events and actions that it had. A
policy translates between those and the present ones, so types, fields and members may be renamed: `ALIASES`
lists their earlier names.
"""

from __future__ import annotations

import dataclasses
import importlib
import importlib.util
import io
import re
import sys
import tarfile
import tomllib
from collections.abc import Callable, Sequence
from enum import Enum
from functools import cache
from pathlib import Path
from types import ModuleType
from typing import Any, cast

import crowpost.decision_api as api
from crowpost.decision_api import Action, Event, RememberedEndpoint, Settings
from crowpost.lab.checkout import PACKAGES, ROOT, GitError, commit_of, git, package_archive, package_of
from crowpost.lab.nodes import Policy

# modules that have defined events and actions, the present one first
INTERFACES = ("decision_api", "interface")
LEFT_OUT = ("lab", "cli")  # subpackages that no decision needs

# Earlier names by present name: of a type, or of a field or member as "Type.name".
ALIASES: dict[str, tuple[str, ...]] = {
    "AttemptEnded.body_consumed": ("spent",),
    "EndpointEntry": ("ServerEntry",),
    "EndpointList": ("ServerList",),
    "HealthCheck": ("Probe",),
    "HealthCheckEnded": ("ProbeEnded",),
    "IdempotencyScope": ("RepeatGroup",),
    "Outcome.NOT_SENT": ("MOOT",),
    "Reject": ("Refuse",),
    "RememberedEndpoint": ("ServerMemory",),
    "RememberedEndpoint.share_ratio": ("ratio",),
    "RequestAbandoned": ("RequestGone",),
    "RequestArrived": ("Arrival",),
    "RequestArrived.body_streamed": ("streamed",),
    "RequestClass.idempotency_scope": ("group",),
    "RequestClass.idempotency_window_ms": ("window_ms",),
    "RequestClass.late_value_fraction": ("late_share",),
    "RequestClass.latency_objective_ms": ("aim_ms",),
    "RequestClass.objective_stretch": ("aim_stretch",),
    "RequestClass.priority_weight": ("worth",),
    "ResponseStarted": ("AnswerStarted",),
    "Settings.load_report_columns": ("load_columns",),
    "Settings.list_poll_ms": ("must_ask_ms",),
    "Settings.may_check_health": ("may_probe",),
    "Settings.may_hedge": ("may_duplicate",),
    "Settings.node_count": ("balancers",),
    "Settings.node_index": ("ordinal",),
    "Settings.overload_factor": ("fall_multiple",),
    "Settings.overload_window_ms": ("fall_window_ms",),
    "Settings.over_quota_weight": ("over_share_worth",),
    "Settings.poll_for_list": ("ask_for_list",),
    "Settings.priority_by_work": ("worth_by_work",),
    "Settings.slow_start_fraction": ("cold_start_share",),
    "Settings.tier": ("stage",),
    "Settings.tiers": ("stages",),
    "Settings.warm_up_ms": ("cold_ms",),
    "StateRestored": ("Remembered",),
    "StateRestored.endpoints": ("servers",),
    "NodesPresent.node_count": ("present",),
    "NodesPresent.node_index": ("ordinal",),
}


class PolicyError(Exception):
    """An unknown policy, or a revision whose module cannot be run; the text is one line."""


# ---------------------------------------------------------------- loading


class _Sources:
    """Imports modules from sources in memory: text and whether it is a package, by dotted name."""

    def __init__(self, sources: dict[str, tuple[str, bool]]) -> None:
        self._sources = sources

    def find_spec(self, fullname: str, _path: object = None, _target: object = None) -> Any:
        """Return the spec of a module, or None for a module that is not in memory."""
        if fullname not in self._sources:
            return None
        is_package = self._sources[fullname][1]
        return importlib.util.spec_from_loader(fullname, cast(Any, self), is_package=is_package)

    def create_module(self, spec: object) -> None:
        """Let the import system create the module."""

    def exec_module(self, module: ModuleType) -> None:
        """Run the source of the module."""
        source, _ = self._sources[module.__name__]
        exec(compile(source, f"<{module.__name__}>", "exec"), module.__dict__)


def _dotted(path: str) -> str:
    return path.removesuffix(".py").removesuffix("/__init__").replace("/", ".")


def _package_sources(root: Path, commit: str, package: str) -> dict[str, str]:
    """Return the revision's Python files by path, without subpackages that no decision needs."""
    sources: dict[str, str] = {}
    with tarfile.open(fileobj=io.BytesIO(package_archive(root, commit, package))) as archive:
        for member in archive:
            parts = member.name.split("/")
            file = archive.extractfile(member)
            if file is None or not member.name.endswith(".py") or parts[1] in LEFT_OUT:
                continue
            sources[member.name] = file.read().decode()
    return sources


def _install(sources: dict[str, str], package: str, prefix: str) -> None:
    """Make the sources importable as the package `prefix`."""
    renamed = {
        _dotted(path).replace(package, prefix, 1): (
            re.sub(rf"\b{package}\b(?!\.py)", prefix, source),
            path.endswith("/__init__.py"),
        )
        for path, source in sources.items()
    }
    if prefix not in renamed:
        renamed[prefix] = ("", True)
    sys.meta_path.insert(0, cast(Any, _Sources(renamed)))


def _import_first(names: Sequence[str], description: str) -> ModuleType:
    for name in names:
        if importlib.util.find_spec(name) is not None:
            return importlib.import_module(name)
    raise PolicyError(f"rev: there is no {description} among {', '.join(names)}")


@cache
def revision(name: str, root: Path = ROOT) -> Callable[[Settings, int], Policy]:
    """Return a function that builds the policy of a git revision from settings and a seed.

    The decision module is the class `Balancer` in the policy files that the revision's own deploy file names.
    Raises PolicyError if there is no such revision, or if its module cannot be run.
    """
    try:
        commit = commit_of(root, name)
        files = tomllib.loads(git(root, "show", f"{commit}:deploy/balancer.toml").decode())["policy"]
        package = package_of(root, commit)
        sources = _package_sources(root, commit, package)
    except GitError as error:
        raise PolicyError(f"rev: {error}") from error
    prefix = f"{PACKAGES[0]}_{commit[:12]}"
    _install(sources, package, prefix)
    policy_paths = [
        path
        for path in sources
        if any(path == policy_file or path.startswith(f"{policy_file}/") for policy_file in files)
    ]
    try:
        interface = _import_first([f"{prefix}.{module}" for module in INTERFACES], "module of events")
        for path in sorted(policy_paths):
            module = importlib.import_module(_dotted(path).replace(package, prefix, 1))
            if hasattr(module, "Balancer"):
                balancer = module.Balancer
                return lambda settings, seed: RevisionPolicy(balancer, interface, settings, seed)
    except ImportError as error:
        raise PolicyError(f"rev: {name} cannot be loaded: {error}") from error
    raise PolicyError(f"rev: {name} has no Balancer in {', '.join(files)}")


# ---------------------------------------------------------------- translating


def _known_as(name: str) -> tuple[str, ...]:
    """Return the names that a type, field or member has had, the present one first."""
    return (name.rpartition(".")[2], *ALIASES.get(name, ()))


def _is_present(kind: type[Any]) -> bool:
    """Return whether a type belongs to the present interface rather than to that of a revision."""
    return f"{kind.__module__}.".startswith(f"{api.__name__}.")


class Translator:
    """Translates events to a revision's types, and its actions to the present types, by name."""

    def __init__(self, interface: ModuleType) -> None:
        self._interface = interface
        self._to_revision: dict[type[Any], Callable[[Any], Any]] = {}
        self._to_present: dict[type[Any], Callable[[Any], Any]] = {}
        self._present_types = {
            earlier: kind
            for kind in vars(api).values()
            if isinstance(kind, type) and _is_present(kind)
            for earlier in _known_as(kind.__name__)
        }

    def to_revision(self, value: Any) -> Any:
        """Return a value in the revision's types; None for an event that the revision does not have."""
        kind = type(value)
        if kind not in self._to_revision:
            self._to_revision[kind] = self._translation(kind, self._revision_type(kind), self.to_revision)
        return self._to_revision[kind](value)

    def to_present(self, value: Any) -> Any:
        """Return a value of the revision in the present types."""
        kind = type(value)
        if kind not in self._to_present:
            present = self._present_types.get(kind.__name__)
            if present is None and (dataclasses.is_dataclass(kind) or issubclass(kind, Enum)):
                raise PolicyError(f"rev: {kind.__name__} has no present counterpart")
            self._to_present[kind] = self._translation(kind, present, self.to_present)
        return self._to_present[kind](value)

    def _revision_type(self, kind: type[Any]) -> type[Any] | None:
        for name in _known_as(kind.__name__):
            found = getattr(self._interface, name, None)
            if isinstance(found, type):
                return found
        return None

    def _translation(
        self, source: type[Any], target: type[Any] | None, inner: Callable[[Any], Any]
    ) -> Callable[[Any], Any]:
        """Return a function that translates a value of one type to its counterpart."""
        if issubclass(source, Enum):
            return lambda value: _member(cast(type[Enum], target), value)
        if dataclasses.is_dataclass(source):
            if target is None:
                return lambda _value: None
            present = source if _is_present(source) else target
            pairs = _field_pairs(source, target, present)
            constructor = target
            return lambda value: constructor(
                **{target_name: inner(getattr(value, source_name)) for source_name, target_name in pairs}
            )
        if source is tuple:
            return lambda value: tuple(inner(item) for item in value)
        return lambda value: value


def _member(target: type[Enum], value: Enum) -> Enum:
    """Return the counterpart of an enum member, by its value or else by a name that it has had."""
    try:
        return target(value.value)
    except ValueError:
        pass
    present = target.__name__ if _is_present(target) else type(value).__name__
    for name in target.__members__:
        pair = (name, value.name) if _is_present(target) else (value.name, name)
        if pair[1] in _known_as(f"{present}.{pair[0]}"):
            return target[name]
    raise PolicyError(f"rev: {type(value).__name__}.{value.name} has no counterpart")


def _field_pairs(source: type[Any], target: type[Any], present: type[Any]) -> list[tuple[str, str]]:
    """Return pairs of source and target field names; fields that the target lacks are left out."""
    names = {field.name for field in dataclasses.fields(target)}
    pairs = []
    for field in dataclasses.fields(source):
        if source is present:
            known = _known_as(f"{present.__name__}.{field.name}")
        else:
            known = tuple(
                other.name
                for other in dataclasses.fields(present)
                if field.name in _known_as(f"{present.__name__}.{other.name}")
            )
        found = next((name for name in known if name in names), None)
        if found is not None:
            pairs.append((field.name, found))
    return pairs


class RevisionPolicy:
    """A revision's decision module behind the present interface. limit: its limit of concurrent calls."""

    def __init__(self, balancer: Any, interface: ModuleType, settings: Settings, seed: int) -> None:
        self._translator = Translator(interface)
        self._balancer = balancer(self._translator.to_revision(settings), seed)

    @property
    def limit(self) -> float | None:
        """The limit of concurrent calls; None if the revision has none."""
        return getattr(self._balancer, "limit", None)

    @property
    def limit_each(self) -> float:
        """The limit for each unit of capacity that is this node's part."""
        return float(self._balancer.limit_each)

    @property
    def pool_size(self) -> int:
        """The number of endpoints that it knows."""
        return int(self._balancer.pool_size)

    def remember(self, first: int, most: int) -> list[RememberedEndpoint]:
        """Return what it knows of up to `most` endpoints, from the index `first` of its order."""
        return [self._translator.to_present(memory) for memory in self._balancer.remember(first, most)]

    def handle(self, event: Event, now: float) -> list[Action]:
        """Return the actions that follow from an event at a time in ms; none for an event unknown to it."""
        translated = self._translator.to_revision(event)
        if translated is None:
            return []
        return [self._translator.to_present(action) for action in self._balancer.handle(translated, now)]
