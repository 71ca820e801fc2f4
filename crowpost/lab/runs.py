"""One run from scenario, seed and policy to a result, and run folders that store results."""

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
    """A run folder that cannot be read or written; the text is one line."""


def version() -> str:
    """Return the git revision of this checkout, with + if it was changed, or `unversioned` outside of one."""
    root = Path(__file__).parent
    try:
        args = ["git", "describe", "--always", "--dirty=+", "--abbrev=10", "--exclude=*"]
        done = subprocess.run(args, cwd=root, capture_output=True, text=True, check=True)
    except (OSError, subprocess.CalledProcessError):
        return "unversioned"
    return done.stdout.strip()


def play(scenario: Scenario, seed: int, policy: str) -> dict[str, Any]:
    """Run a scenario in simulated time; equal arguments give equal results on any machine."""
    platform = Platform(scenario, seed, factory(policy))
    Faults(platform)
    if policy.endswith(MEMBERS):
        FrontMembership(platform, seed)
    variant = next((suffix for suffix in VARIANTS if policy.endswith(suffix)), None)
    if variant is not None:
        FrontNodeStates(platform, variant, seed)
    platform.run()
    return result(platform, policy)


def _all_nodes(platform: Platform) -> list[SimNode]:
    server_nodes = [server.node for tier in platform.tiers for server in tier if server.node is not None]
    return [*platform.nodes[0], *server_nodes, *platform.retired]


@dataclass
class Counts:
    """Costs of a run, over all tiers; work in ms of a core of speed 1."""

    calls: int = 0  # requests of all nodes
    attempts: int = 0
    copies: int = 0  # attempts sent while another of the same request was in flight
    handshakes: int = 0
    probes: int = 0
    work_ms: float = 0.0
    wasted_ms: float = 0.0
    crowded_s: float = 0.0


def outcome(scenario: Scenario, seed: int, policy: str, measure: Measure, counts: Counts) -> dict[str, Any]:
    """Return the part of a result that simulated runs and runs on sockets share, as JSON values."""
    call_count = max(counts.calls, 1)
    return {
        "schema": SCHEMA,
        "scenario": scenario.name,
        "digest": scenario.digest(),
        "seed": seed,
        "policy": policy,
        **measure.goal(counts.calls, counts.handshakes, counts.probes, counts.wasted_ms),
        **asdict(counts),
        "attempts_each": counts.attempts / call_count,
        "served": measure.whole.share(),
        "requests": measure.requests,
        "tries": measure.tries,
        "ends": {end: sum(measure.ends[end]) for end in ENDS},
        "latency_ms": measure.percentiles(),
        # HDR's own base64 form
        "histogram": measure.latency.encode().decode(),
        "classes": {name: weights.share() for name, weights in sorted(measure.classes.items())},
        "tenants": {name: weights.share() for name, weights in sorted(measure.tenants.items())},
        "faults": [
            {"kind": fault.kind, "at_s": fault.at_s, "for_s": fault.for_s} for fault in scenario.faults
        ]
        + [
            {"kind": f"traffic x{phase.times:g}", "at_s": phase.from_s, "for_s": phase.to_s - phase.from_s}
            for phase in scenario.traffic.phases
        ],
    }


def result(platform: Platform, policy: str) -> dict[str, Any]:
    """Return the result of a simulated run as JSON values. Times are ms or s as their names say."""
    all_node_counts = [node.counts for node in _all_nodes(platform)]
    servers = [server for tier in platform.tiers for server in tier]
    counts = Counts(
        calls=sum(node_counts.requests for node_counts in all_node_counts),
        attempts=sum(node_counts.attempts for node_counts in all_node_counts),
        copies=sum(node_counts.hedges for node_counts in all_node_counts),
        handshakes=sum(node_counts.handshakes for node_counts in all_node_counts),
        probes=sum(node_counts.health_checks for node_counts in all_node_counts),
        work_ms=sum(server.work for server in servers),
        crowded_s=sum(server.contention.slow_ms for server in servers) / 1000.0,
    )
    counts.wasted_ms = max(
        0.0, counts.work_ms - useful_ms(platform.scenario, platform.clients.planned_requests)
    )
    front = [node for node in _all_nodes(platform) if node.stage == 0]
    return {
        **outcome(platform.scenario, platform.seed, policy, platform.measure, counts),
        "series": {**platform.measure.series(), **platform.samples},
        "servers": [[server.name.decode() for server in tier] for tier in platform.tiers],
        "breaches": platform.rules.count,
        "stories": [breach.lines() for breach in platform.rules.breaches],
        "log": [[round(at, 1), node.name, text] for node in front for at, text in node.counts.log][:200],
        "events": platform.engine.handled,
    }


def useful_ms(scenario: Scenario, planned_requests: Sequence[PlannedRequest]) -> float:
    """Return the work in ms that the answers given in time needed, counting each tier's calls once."""
    total = 0.0
    for planned in planned_requests:
        if planned.in_time:
            calls, work_per_request = 1.0, 0.0
            for stage, tier in enumerate(scenario.tiers):
                work_per_request += calls * tier.work_part
                calls *= planned.calls[stage]
            total += planned.work * work_per_request
    return total


class Folder:
    """A run folder: the scenario, and one line of JSON for each run."""

    def __init__(self, path: Path) -> None:
        self.path = path

    def begin(self, scenario: Scenario) -> None:
        """Create the folder, or continue one of the same scenario; raise RunFolderError for any other."""
        header = {"schema": SCHEMA, "version": version(), "digest": scenario.digest()}
        try:
            self.path.mkdir(parents=True, exist_ok=True)
            if (self.path / SCENARIO).exists():
                old = self._header()
                if old["digest"] != header["digest"]:
                    raise RunFolderError(
                        f"{self.path}: contains runs of another scenario, {old['scenario']['name']}"
                    )
                return
            content = {**header, "scenario": msgspec.to_builtins(scenario)}
            (self.path / SCENARIO).write_text(json.dumps(content, sort_keys=True) + "\n")
        except OSError as error:
            raise RunFolderError(f"{self.path}: {error.strerror}") from None

    def add(self, run: dict[str, Any]) -> None:
        """Append one run; the line is written as a whole as far as the file system allows."""
        line = json.dumps({**run, "version": version()}, sort_keys=True) + "\n"
        try:
            with (self.path / RUNS).open("a") as file:
                file.write(line)
        except OSError as error:
            raise RunFolderError(f"{self.path}: {error.strerror}") from None

    def _header(self) -> dict[str, Any]:
        try:
            header = json.loads((self.path / SCENARIO).read_text())
        except (OSError, ValueError) as error:
            raise RunFolderError(f"{self.path}: not a run folder: {error}") from None
        if (
            not isinstance(header, dict)
            or header.get("schema") != SCHEMA
            or not header.keys() >= {"digest", "scenario"}
        ):
            raise RunFolderError(f"{self.path}: the schema of {SCENARIO} is not {SCHEMA}")
        return header

    def scenario(self) -> dict[str, Any]:
        """Return the scenario of the runs as JSON values."""
        scenario: dict[str, Any] = self._header()["scenario"]
        return scenario

    def read(self) -> list[dict[str, Any]]:
        """Return every run of the folder; RunFolderError names a damaged line or one of another scenario."""
        digest = self._header()["digest"]
        runs = []
        try:
            lines = (self.path / RUNS).read_text().splitlines()
        except (OSError, UnicodeDecodeError) as error:
            raise RunFolderError(f"{self.path}: {error}") from None
        for number, line in enumerate(lines, 1):
            try:
                run = json.loads(line)
            except ValueError:
                raise RunFolderError(f"{self.path / RUNS}: line {number} is not JSON") from None
            if not isinstance(run, dict) or run.get("schema") != SCHEMA or run.get("digest") != digest:
                raise RunFolderError(
                    f"{self.path / RUNS}: line {number} is not a run of this folder's scenario"
                )
            runs.append(run)
        return runs
