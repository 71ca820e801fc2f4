"""One run from scenario, seed and policy to a result, and run folders that keep results."""

from __future__ import annotations

import json
import subprocess
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

import msgspec

from crowpost.lab.faults import Faults
from crowpost.lab.measure import ENDS, Measure
from crowpost.lab.membership.front_nodes import FrontMembership
from crowpost.lab.nodes import SimNode
from crowpost.lab.platform import Platform
from crowpost.lab.policies import MEMBERS, factory
from crowpost.lab.restored_state import VARIANTS, FrontNodeStates
from crowpost.lab.scenario import Scenario
from crowpost.lab.traffic import PlannedRequest

SCHEMA = 1
SCENARIO, RUNS = "scenario.json", "runs.jsonl"


class RunFolderError(Exception):
    """A run folder that cannot be read or written; its text is one line."""


def version() -> str:
    """The git revision of this checkout, with + if it was changed; `unversioned` outside one."""
    root = Path(__file__).parent
    try:
        args = ["git", "describe", "--always", "--dirty=+", "--abbrev=10", "--exclude=*"]
        done = subprocess.run(args, cwd=root, capture_output=True, text=True, check=True)
    except (OSError, subprocess.CalledProcessError):
        return "unversioned"
    return done.stdout.strip()


def play(scenario: Scenario, seed: int, policy: str) -> dict[str, Any]:
    """Play one run in simulated time; equal arguments give an equal result, whatever the machine does."""
    platform = Platform(scenario, seed, factory(policy))
    Faults(platform)
    if policy.endswith(MEMBERS):
        FrontMembership(platform, seed)
    variant = next((v for v in VARIANTS if policy.endswith(v)), None)
    if variant is not None:
        FrontNodeStates(platform, variant, seed)
    platform.run()
    return result(platform, policy)


def _nodes(platform: Platform) -> list[SimNode]:
    inner = [s.node for tier in platform.tiers for s in tier if s.node is not None]
    return [*platform.nodes[0], *inner, *platform.retired]


@dataclass
class Counts:
    """What a run cost, over all tiers; work in ms of a core of speed 1."""

    calls: int = 0  # requests of all nodes
    attempts: int = 0
    copies: int = 0  # attempts sent while another of the same request was out
    handshakes: int = 0
    probes: int = 0
    work_ms: float = 0.0
    wasted_ms: float = 0.0
    crowded_s: float = 0.0


def outcome(scenario: Scenario, seed: int, policy: str, measure: Measure, counts: Counts) -> dict[str, Any]:
    """What runs in simulated time and on sockets have in common, as JSON values."""
    each = max(counts.calls, 1)
    return {
        "schema": SCHEMA,
        "scenario": scenario.name,
        "digest": scenario.digest(),
        "seed": seed,
        "policy": policy,
        **measure.goal(counts.calls, counts.handshakes, counts.probes, counts.wasted_ms),
        **asdict(counts),
        "attempts_each": counts.attempts / each,
        "served": measure.whole.share(),
        "requests": measure.requests,
        "tries": measure.tries,
        "ends": {end: sum(measure.ends[end]) for end in ENDS},
        "latency_ms": measure.percentiles(),
        "histogram": measure.latency.encode().decode(),  # HDR's own base64 form
        "classes": {name: s.share() for name, s in sorted(measure.classes.items())},
        "tenants": {name: s.share() for name, s in sorted(measure.tenants.items())},
        "faults": [{"kind": f.kind, "at_s": f.at_s, "for_s": f.for_s} for f in scenario.faults]
        + [
            {"kind": f"traffic x{p.times:g}", "at_s": p.from_s, "for_s": p.to_s - p.from_s}
            for p in scenario.traffic.phases
        ],
    }


def result(platform: Platform, policy: str) -> dict[str, Any]:
    """All that is kept of a simulated run, as JSON values.  Times are ms or s as their names say."""
    tallies = [n.tally for n in _nodes(platform)]
    servers = [s for tier in platform.tiers for s in tier]
    counts = Counts(
        calls=sum(t.requests for t in tallies),
        attempts=sum(t.attempts for t in tallies),
        copies=sum(t.copies for t in tallies),
        handshakes=sum(t.handshakes for t in tallies),
        probes=sum(t.probes for t in tallies),
        work_ms=sum(s.work for s in servers),
        crowded_s=sum(s.crowd.slow_ms for s in servers) / 1000.0,
    )
    counts.wasted_ms = max(
        0.0, counts.work_ms - useful_ms(platform.scenario, platform.clients.planned_requests)
    )
    front = [n for n in _nodes(platform) if n.stage == 0]
    return {
        **outcome(platform.scenario, platform.seed, policy, platform.measure, counts),
        "series": {**platform.measure.series(), **platform.samples},
        "servers": [[s.name.decode() for s in tier] for tier in platform.tiers],
        "breaches": platform.rules.count,
        "stories": [b.lines() for b in platform.rules.breaches],
        "log": [[round(at, 1), node.name, text] for node in front for at, text in node.tally.log][:200],
        "events": platform.engine.handled,
    }


def useful_ms(scenario: Scenario, planned_requests: Sequence[PlannedRequest]) -> float:
    """The work in ms that the answers given in time needed, each tier's calls once."""
    total = 0.0
    for planned in planned_requests:
        if planned.in_time:
            count, each = 1.0, 0.0
            for stage, tier in enumerate(scenario.tiers):
                each += count * tier.work_part
                count *= planned.calls[stage]
            total += planned.work * each
    return total


class Folder:
    """A run folder: the scenario as played, and one line of JSON for each run."""

    def __init__(self, path: Path) -> None:
        self.path = path

    def begin(self, scenario: Scenario) -> None:
        """Create it, or go on in one that holds the same scenario; RunFolderError for any other."""
        head = {"schema": SCHEMA, "version": version(), "digest": scenario.digest()}
        try:
            self.path.mkdir(parents=True, exist_ok=True)
            if (self.path / SCENARIO).exists():
                old = self._head()
                if old["digest"] != head["digest"]:
                    raise RunFolderError(
                        f"{self.path}: holds runs of another scenario, {old['scenario']['name']}"
                    )
                return
            whole = {**head, "scenario": msgspec.to_builtins(scenario)}
            (self.path / SCENARIO).write_text(json.dumps(whole, sort_keys=True) + "\n")
        except OSError as error:
            raise RunFolderError(f"{self.path}: {error.strerror}") from None

    def add(self, run: dict[str, Any]) -> None:
        """Append one run; a line is written whole or not at all as far as the file system allows."""
        line = json.dumps({**run, "version": version()}, sort_keys=True) + "\n"
        try:
            with (self.path / RUNS).open("a") as file:
                file.write(line)
        except OSError as error:
            raise RunFolderError(f"{self.path}: {error.strerror}") from None

    def _head(self) -> dict[str, Any]:
        try:
            head = json.loads((self.path / SCENARIO).read_text())
        except (OSError, ValueError) as error:
            raise RunFolderError(f"{self.path}: no run folder: {error}") from None
        if (
            not isinstance(head, dict)
            or head.get("schema") != SCHEMA
            or not head.keys() >= {"digest", "scenario"}
        ):
            raise RunFolderError(f"{self.path}: {SCENARIO} is of another schema than {SCHEMA}")
        return head

    def scenario(self) -> dict[str, Any]:
        """The scenario as it was played, as JSON values."""
        scenario: dict[str, Any] = self._head()["scenario"]
        return scenario

    def read(self) -> list[dict[str, Any]]:
        """Every run of the folder; RunFolderError names the line that is broken or foreign."""
        digest = self._head()["digest"]
        runs = []
        try:
            lines = (self.path / RUNS).read_text().splitlines()
        except (OSError, UnicodeDecodeError) as error:
            raise RunFolderError(f"{self.path}: {error}") from None
        for number, line in enumerate(lines, 1):
            try:
                run = json.loads(line)
            except ValueError:
                raise RunFolderError(f"{self.path / RUNS}: line {number} is no JSON") from None
            if not isinstance(run, dict) or run.get("schema") != SCHEMA or run.get("digest") != digest:
                raise RunFolderError(f"{self.path / RUNS}: line {number} is no run of this folder's scenario")
            runs.append(run)
        return runs
