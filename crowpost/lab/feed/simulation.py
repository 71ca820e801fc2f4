"""A simulated fleet: how long a change of configuration takes to be applied, with and without faults.

The fleet is laid out as the operators' target: 2 regions with 4 and 3 zones, 76 services of skewed sizes, a
relay in each zone and a publisher in each region.  Equal arguments give an equal run.
"""

from __future__ import annotations

import gc
import json
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import numpy as np

from crowpost.config_feed.errors import FeedError
from crowpost.config_feed.tuning import Tuning
from crowpost.config_feed.upstream_server import UpstreamServer
from crowpost.config_feed.write_authority import WriteAuthority
from crowpost.lab.feed.gossip_cost import cost
from crowpost.lab.feed.network import NetworkConditions
from crowpost.lab.feed.publishing import Publishing
from crowpost.lab.feed.world import World

ZONES = (("east", ("e1", "e2", "e3", "e4")), ("west", ("w1", "w2", "w3")))
SERVICES = 76
BODY_BYTES = 2_000  # of a change
WARM_UP_MS = 15_000.0
GOSSIP_MEMBERS = (50, 200, 790, 1_580)  # for which the cost of gossip is computed
WINDOW_S = 10  # of the busiest interval, shown beside the mean


class Fleet:
    """Publishers, relays and nodes in one world."""

    def __init__(
        self,
        nodes: int,
        seed: int,
        conditions: NetworkConditions | None = None,
        tuning: Tuning | None = None,
        regions: tuple[tuple[str, tuple[str, ...]], ...] = ZONES,
    ) -> None:
        self.world = World(seed, conditions, tuning)
        by_region = {region: f"p-{region}" for region, _ in regions}
        home_region = regions[0][0]
        authorities = {name: WriteAuthority(name, home_region, by_region) for name in by_region.values()}
        self.publishing = Publishing(self.world, authorities)
        self.rng, self.regions = random.Random(seed), regions
        self.zones = [(region, zone) for region, zones in regions for zone in zones]
        at = {f"p-{region}": f"10.0.{i}.1:7000" for i, (region, _) in enumerate(regions)}
        at |= {f"r-{zone}": f"10.0.{len(regions) + i}.1:7000" for i, (_, zone) in enumerate(self.zones)}
        home = {region: zones[0] for region, zones in regions}
        relays = {zone: UpstreamServer(at[f"r-{zone}"], region, zone) for region, zone in self.zones}
        publishers = {
            region: UpstreamServer(at[f"p-{region}"], region, home[region]) for region, _ in regions
        }
        for region, _ in regions:
            others = tuple(server for name, server in publishers.items() if name != region)
            self.world.add(f"p-{region}", "publisher", region, home[region], others)
        for region, zone in self.zones:
            above = [publishers[region]]
            above += [
                UpstreamServer(p.address, p.region, p.zone, 1) for r, p in publishers.items() if r != region
            ]
            above += [UpstreamServer(r.address, r.region, r.zone, 2) for z, r in relays.items() if z != zone]
            self.world.add(f"r-{zone}", "relay", region, zone, tuple(above))
        for name, address in at.items():
            assert self.world.specs[name].address == address
        sizes = [1.0 / (k + 1) for k in range(SERVICES)]
        self.nodes: list[str] = []
        for i in range(nodes):
            region, zone = self.zones[i % len(self.zones)]
            service = f"s{self.rng.choices(range(SERVICES), sizes)[0]}"
            name = f"n{i}"
            self.world.add(name, "node", region, zone, tuple(relays.values()), service)
            self.nodes.append(name)

    def in_zone(self, zone: str) -> list[str]:
        """Return the names of all processes of a zone."""
        return [name for name, spec in self.world.specs.items() if spec.zone == zone]

    def body(self, size: int = BODY_BYTES) -> bytes:
        """Return the body of a change, no two alike."""
        return self.rng.randbytes(size)

    def publish(self, scope: str, by: str = "p-east", size: int = BODY_BYTES, crash: str = "") -> None:
        """Publish a change now."""
        self.publishing.publish(by, scope, self.body(size), crash=crash)

    def scope(self) -> tuple[str, str]:
        """Return a scope for a change of an ordinary day, and its publisher; half of them are `all`."""
        region, _ = self.rng.choice(self.regions)
        kind = self.rng.choice(("all", "all", "all", "region", "service", "node"))
        if kind == "all":
            return "all", "p-east"
        if kind == "region":
            return f"region/{region}", f"p-{region}"
        node = self.world.specs[self.rng.choice(self.nodes)]
        return (
            (f"service/{node.service}", "p-east")
            if kind == "service"
            else (f"node/{node.name}", f"p-{node.region}")
        )

    def day(self, count: int, over_ms: float) -> None:
        """Publish changes of an ordinary day, spread evenly from now on."""
        for i in range(count):
            scope, by = self.scope()
            self.world.engine.after(over_ms * (i + 1) / count, self.publish, scope, by)


@dataclass
class Meter:
    """Records the bytes of each process second by second."""

    fleet: Fleet
    series: dict[str, list[int]] = field(default_factory=dict)

    def start(self) -> None:
        """Record each second from now on."""
        self._sample()

    def _sample(self) -> None:
        world = self.fleet.world
        for name in world.specs:
            self.series.setdefault(name, []).append(world.traffic(name))
        world.engine.after(1_000.0, self._sample)

    def rates(self, role: str) -> tuple[float, float, float]:
        """Return bytes a second of a role: mean, mean of the busiest process, and its busiest interval."""
        means, most = [], 0.0
        for name, spec in self.fleet.world.specs.items():
            if spec.role == role:
                seen = self.series[name]
                means.append((seen[-1] - seen[0]) / (len(seen) - 1))
                width = min(WINDOW_S, len(seen) - 1)
                steps = [b - a for a, b in zip(seen, seen[width:], strict=False)]
                most = max(most, max(steps) / width)
        return float(np.mean(means)), max(means), most


Case = Callable[[Fleet], None]


def _calm(fleet: Fleet) -> None:
    fleet.day(24, 48_000.0)
    fleet.world.run(60_000.0)


def _burst(fleet: Fleet) -> None:
    for i in range(100):
        fleet.world.engine.after(600.0 * i, fleet.publish, "all")
    fleet.world.run(80_000.0)


def _burst_mixed(fleet: Fleet) -> None:
    fleet.day(100, 60_000.0)
    fleet.world.run(80_000.0)


def _relay(fleet: Fleet, fault: Callable[[], None]) -> None:
    fleet.day(24, 48_000.0)
    fleet.world.engine.after(12_050.0, fault)
    fleet.world.engine.after(12_060.0, fleet.publish, "all")
    fleet.world.run(75_000.0)


def _relay_dies(fleet: Fleet) -> None:
    world = fleet.world
    world.engine.after(40_000.0, world.restart_process, "r-e2")
    _relay(fleet, lambda: world.kill("r-e2"))


def _relay_dark(fleet: Fleet) -> None:
    world = fleet.world
    world.engine.after(40_000.0, world.restart_process, "r-e2")
    _relay(fleet, lambda: world.kill("r-e2", unreachable=True))


def _relay_stalls(fleet: Fleet) -> None:
    _relay(fleet, lambda: fleet.world.suspend("r-e2", 15_000.0))


def _relay_half(fleet: Fleet) -> None:
    process = fleet.world.processes["r-e2"]

    def truncates_bodies(on: bool) -> None:
        process.truncates_bodies = on

    fleet.world.engine.after(40_000.0, truncates_bodies, False)
    _relay(fleet, lambda: truncates_bodies(True))


def _publisher_killed(fleet: Fleet) -> None:
    """Kill a publisher at each step of a publication in turn, and restart it after five seconds."""
    world = fleet.world
    for i, step in enumerate(("received", "appended", "synced", "announced")):
        at = 12_000.0 * i
        world.engine.after(at + 1_000.0, fleet.publish, "all", "p-east", BODY_BYTES, step)
        world.engine.after(at + 1_000.0, fleet.publish, "region/west", "p-west")
        world.engine.after(at + 6_000.0, world.restart_process, "p-east")
        world.engine.after(at + 8_000.0, fleet.publish, "all")
    world.run(75_000.0)


def _zone(fleet: Fleet) -> None:
    """Make a zone next to the home publisher's unreachable for half a minute."""
    world = fleet.world

    def lose() -> None:
        for name in fleet.in_zone("e3"):
            world.kill(name, unreachable=True)

    def back() -> None:
        for name in fleet.in_zone("e3"):
            world.restart(name)

    fleet.day(24, 48_000.0)
    world.engine.after(10_050.0, lose)
    world.engine.after(10_060.0, fleet.publish, "all")
    world.engine.after(40_000.0, back)
    world.run(75_000.0)


def _one_relay(fleet: Fleet) -> None:
    """Kill all relays but one within a second, for good."""
    world = fleet.world
    for i, (_, zone) in enumerate(fleet.zones[1:]):
        world.engine.after(10_000.0 + 150.0 * i, world.kill, f"r-{zone}")
    fleet.day(24, 48_000.0)
    world.run(75_000.0)


def _all_back(fleet: Fleet) -> None:
    """Kill all nodes, publish changes meanwhile, and restart all within a second."""
    world = fleet.world
    for name in fleet.nodes:
        world.kill(name)
    for scope, by in (("all", "p-east"), ("region/east", "p-east"), ("region/west", "p-west")):
        fleet.publish(scope, by)
    world.run(5_000.0)
    for name in fleet.nodes:
        world.engine.after(fleet.rng.uniform(0.0, 1_000.0), world.restart_process, name)
    world.run(40_000.0)


def _cut(fleet: Fleet, for_ms: float) -> None:
    """Partition the regions; both change their own scopes, and the home region also what applies to all."""
    world = fleet.world
    world.network.partition("east", "west")
    for i in range(8):
        at = 1_000.0 + (for_ms - 2_000.0) * i / 8
        world.engine.after(at, fleet.publish, "region/east", "p-east")
        world.engine.after(at, fleet.publish, "region/west", "p-west")
        world.engine.after(at, fleet.publish, "all", "p-east")
    world.run(for_ms)
    world.network.heal("east", "west")
    now = world.engine.now
    for change in world.changes:  # they could not be reached before
        for name in change.pending:
            if world.specs[name].region == "west":
                change.pending[name] = now
    for i in range(4):
        world.engine.after(8_000.0 + 1_000.0 * i, fleet.publish, *fleet.scope())
    world.run(40_000.0)


CASES: dict[str, tuple[Case, NetworkConditions]] = {
    "calm": (_calm, NetworkConditions()),
    "loss": (_calm, NetworkConditions(loss_fraction=0.1, starved_fraction=0.05)),
    "burst": (_burst, NetworkConditions()),
    "burst-mixed": (_burst_mixed, NetworkConditions()),
    "burst-loss": (_burst_mixed, NetworkConditions(loss_fraction=0.1, starved_fraction=0.05)),
    "relay-dies": (_relay_dies, NetworkConditions()),
    "relay-dark": (_relay_dark, NetworkConditions()),
    "relay-stalls": (_relay_stalls, NetworkConditions()),
    "relay-half": (_relay_half, NetworkConditions()),
    "publisher-killed": (_publisher_killed, NetworkConditions()),
    "zone": (_zone, NetworkConditions()),
    "one-relay": (_one_relay, NetworkConditions()),
    "all-back": (_all_back, NetworkConditions()),
    "cut": (lambda fleet: _cut(fleet, 60_000.0), NetworkConditions()),
    "cut-hour": (lambda fleet: _cut(fleet, 3_600_000.0), NetworkConditions()),
}


def play(case: str, nodes: int, seed: int, tuning: Tuning | None = None) -> dict[str, Any]:
    """Return one run of a case, as docs/capacity/feed.json keeps it.  Raise FeedError for an unknown case."""
    if case not in CASES:
        raise FeedError(f"no case {case!r}; there are {', '.join(CASES)}")
    run, conditions = CASES[case]
    fleet = Fleet(nodes, seed, conditions, tuning)
    world = fleet.world
    fleet.publish("all")
    fleet.publish("region/east")
    fleet.publish("region/west", "p-west")
    world.run(WARM_UP_MS)
    world.start_starvation()
    first = len(world.changes)
    meter = Meter(fleet)
    meter.start()
    began = world.engine.now
    gc.collect()
    gc.freeze()  # nothing of the fleet goes before the run is over: it need not be looked through
    run(fleet)
    gc.unfreeze()
    latencies_s = sorted(ms / 1000.0 for change in world.changes[first:] for ms in change.latency_ms.values())
    counts: dict[str, int] = {}
    for process in world.processes.values():
        for core in (process.follower, process.distribution_server):
            if core is not None:
                for key, count in core.counts.items():
                    counts[f"{process.spec.role} {key}"] = counts.get(f"{process.spec.role} {key}", 0) + count
    node, relay, publisher = (meter.rates(role) for role in ("node", "relay", "publisher"))
    return {
        "case": case,
        "nodes": nodes,
        "seed": seed,
        "source": "simulated",
        "command": f"crowpost lab feed {case} --nodes {nodes} --seed {seed}",
        "simulated_s": round((world.engine.now - began) / 1000.0, 1),
        "changes": len(world.changes) - first,
        "taken": len(latencies_s),
        "in_force_s": {
            name: _figure(latencies_s, q) for name, q in (("p50", 50), ("p99", 99), ("worst", 100))
        },
        "node_bytes_per_s": round(node[1]),
        "node_bytes_per_s_mean": round(node[0]),
        "node_bytes_per_s_busiest_10s": round(node[2]),
        "node_core_percent": None,
        "relay_bytes_per_s": round(relay[1]),
        "relay_bytes_per_s_busiest_10s": round(relay[2]),
        "publisher_bytes_per_s": round(publisher[1]),
        "publisher_bytes_per_s_busiest_10s": round(publisher[2]),
        "unreached": sum(len(names) for names in world.unreached().values()),
        "faults": world.faults[:5],
        "converged": world.converged(),
        "counts": dict(sorted(counts.items())),
        "trace": world.trace()[:16],
    }


def read_record(path: Path) -> dict[str, Any]:
    """Return a record of runs.  Raise FeedError where the file is none."""
    try:
        record: dict[str, Any] = json.loads(path.read_text())
        for run in record["runs"]:
            _key(run)
    except (OSError, ValueError, KeyError, TypeError) as error:
        raise FeedError(f"{path}: no record of runs: {error!r}") from None
    return record


def put_into(path: Path, run: dict[str, Any]) -> None:
    """Put a run into a record, in place of one of the same case, size, seed and source.

    Raise FeedError where the file exists and is no record.
    """
    record = read_record(path) if path.exists() else {"schema": 1, "runs": []}
    runs = [old for old in record.pop("runs") if _key(old) != _key(run)]
    lines = ",\n".join(json.dumps(one, sort_keys=True) for one in sorted([*runs, run], key=_key))
    record["gossip"] = [cost(members) for members in GOSSIP_MEMBERS]
    start = json.dumps(record, sort_keys=True)[:-1]
    path.write_text(f'{start}, "runs": [\n{lines}\n]}}\n')


def _key(run: dict[str, Any]) -> tuple[str, str, int, int]:
    return str(run["source"]), str(run["case"]), int(run["nodes"]), int(run["seed"])


def _figure(seconds: list[float], percent: int) -> float | None:
    return round(float(np.percentile(seconds, percent)), 3) if seconds else None
