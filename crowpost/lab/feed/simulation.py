"""Measures how long a simulated fleet takes to apply a change of configuration, with and without faults.

The layout of the fleet is the operators' target: 2 regions with 4 and 3 zones, 76 services of skewed sizes, a
relay in each zone and a publisher in each region.  Equal arguments give an equal run.
"""

from __future__ import annotations

import gc
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

import numpy as np

from crowpost.config_feed.errors import FeedError
from crowpost.config_feed.tuning import Tuning
from crowpost.config_feed.upstream_server import UpstreamServer
from crowpost.config_feed.write_authority import WriteAuthority
from crowpost.lab.feed.network import NetworkConditions
from crowpost.lab.feed.publishing import Publishing
from crowpost.lab.feed.world import World

ZONES = (("east", ("e1", "e2", "e3", "e4")), ("west", ("w1", "w2", "w3")))
SERVICES = 76
BODY_BYTES = 2_000  # size of a change
WARM_UP_MS = 15_000.0
WINDOW_S = 10  # length of the busiest interval, reported beside the mean


class Fleet:
    """Publishers, relays and nodes in one simulation."""

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
        self.rng = random.Random(seed)
        self.regions = regions
        self.zones = [(region, zone) for region, zones in regions for zone in zones]
        self.nodes: list[str] = []
        relays = self._add_servers()
        self._add_nodes(nodes, relays)

    def _add_servers(self) -> tuple[UpstreamServer, ...]:
        """Add publishers and relays; return the relays."""
        addresses = {f"p-{region}": f"10.0.{i}.1:7000" for i, (region, _) in enumerate(self.regions)}
        addresses |= {
            f"r-{zone}": f"10.0.{len(self.regions) + i}.1:7000" for i, (_, zone) in enumerate(self.zones)
        }
        first_zones = {region: zones[0] for region, zones in self.regions}
        relays = {zone: UpstreamServer(addresses[f"r-{zone}"], region, zone) for region, zone in self.zones}
        publishers = {
            region: UpstreamServer(addresses[f"p-{region}"], region, zone)
            for region, zone in first_zones.items()
        }
        for region, zone in first_zones.items():
            others = tuple(server for name, server in publishers.items() if name != region)
            self.world.add(f"p-{region}", "publisher", region, zone, others)
        for region, zone in self.zones:
            upstreams = [publishers[region]]
            upstreams += [replace(server, tier=1) for name, server in publishers.items() if name != region]
            upstreams += [replace(server, tier=2) for name, server in relays.items() if name != zone]
            self.world.add(f"r-{zone}", "relay", region, zone, tuple(upstreams))
        for name, address in addresses.items():
            assert self.world.specs[name].address == address
        return tuple(relays.values())

    def _add_nodes(self, count: int, relays: tuple[UpstreamServer, ...]) -> None:
        weights = [1.0 / (rank + 1) for rank in range(SERVICES)]
        for i in range(count):
            region, zone = self.zones[i % len(self.zones)]
            service = f"s{self.rng.choices(range(SERVICES), weights)[0]}"
            name = f"n{i}"
            self.world.add(name, "node", region, zone, relays, service)
            self.nodes.append(name)

    def in_zone(self, zone: str) -> list[str]:
        """Return the names of all processes of a zone."""
        return [name for name, spec in self.world.specs.items() if spec.zone == zone]

    def body(self, size: int = BODY_BYTES) -> bytes:
        """Return a random body of a change."""
        return self.rng.randbytes(size)

    def publish(self, scope: str, by: str = "p-east", size: int = BODY_BYTES, crash: str = "") -> None:
        """Publish a change now."""
        self.publishing.publish(by, scope, self.body(size), crash=crash)

    def scope(self) -> tuple[str, str]:
        """Return the scope and the publisher of a routine change; half of the scopes are `all`."""
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

    def publish_routine_changes(self, count: int, over_ms: float) -> None:
        """Publish routine changes, spread evenly from now on."""
        for i in range(count):
            scope, by = self.scope()
            self.world.engine.after(over_ms * (i + 1) / count, self.publish, scope, by)


@dataclass
class Meter:
    """Records the total bytes of each process every second."""

    fleet: Fleet
    series: dict[str, list[int]] = field(default_factory=dict)

    def start(self) -> None:
        """Start recording."""
        self._sample()

    def _sample(self) -> None:
        world = self.fleet.world
        for name in world.specs:
            self.series.setdefault(name, []).append(world.traffic(name))
        world.engine.after(1_000.0, self._sample)

    def rates(self, role: str) -> tuple[float, float, float]:
        """Return bytes per second of a role: mean, mean of the busiest process, and busiest interval."""
        means: list[float] = []
        max_rate = 0.0
        for name, spec in self.fleet.world.specs.items():
            if spec.role == role:
                totals = self.series[name]
                means.append((totals[-1] - totals[0]) / (len(totals) - 1))
                width = min(WINDOW_S, len(totals) - 1)
                increases = [end - start for start, end in zip(totals, totals[width:], strict=False)]
                max_rate = max(max_rate, max(increases) / width)
        return float(np.mean(means)), max(means), max_rate


Case = Callable[[Fleet], None]


def _calm(fleet: Fleet) -> None:
    fleet.publish_routine_changes(24, 48_000.0)
    fleet.world.run(60_000.0)


def _burst(fleet: Fleet) -> None:
    for i in range(100):
        fleet.world.engine.after(600.0 * i, fleet.publish, "all")
    fleet.world.run(80_000.0)


def _burst_mixed(fleet: Fleet) -> None:
    fleet.publish_routine_changes(100, 60_000.0)
    fleet.world.run(80_000.0)


def _with_relay_fault(fleet: Fleet, fault: Callable[[], None]) -> None:
    fleet.publish_routine_changes(24, 48_000.0)
    fleet.world.engine.after(12_050.0, fault)
    fleet.world.engine.after(12_060.0, fleet.publish, "all")
    fleet.world.run(75_000.0)


def _relay_dies(fleet: Fleet) -> None:
    world = fleet.world
    world.engine.after(40_000.0, world.restart_process, "r-e2")
    _with_relay_fault(fleet, lambda: world.kill("r-e2"))


def _relay_unreachable(fleet: Fleet) -> None:
    world = fleet.world
    world.engine.after(40_000.0, world.restart_process, "r-e2")
    _with_relay_fault(fleet, lambda: world.kill("r-e2", unreachable=True))


def _relay_stalls(fleet: Fleet) -> None:
    _with_relay_fault(fleet, lambda: fleet.world.suspend("r-e2", 15_000.0))


def _relay_truncates(fleet: Fleet) -> None:
    process = fleet.world.processes["r-e2"]

    def set_truncation(enabled: bool) -> None:
        process.truncates_bodies = enabled

    fleet.world.engine.after(40_000.0, set_truncation, False)
    _with_relay_fault(fleet, lambda: set_truncation(True))


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


def _zone_unreachable(fleet: Fleet) -> None:
    """Make a zone in the region of the home publisher unreachable for half a minute."""
    world = fleet.world

    def make_unreachable() -> None:
        for name in fleet.in_zone("e3"):
            world.kill(name, unreachable=True)

    def restart() -> None:
        for name in fleet.in_zone("e3"):
            world.restart(name)

    fleet.publish_routine_changes(24, 48_000.0)
    world.engine.after(10_050.0, make_unreachable)
    world.engine.after(10_060.0, fleet.publish, "all")
    world.engine.after(40_000.0, restart)
    world.run(75_000.0)


def _one_relay(fleet: Fleet) -> None:
    """Kill all relays but one within a second, without a restart."""
    world = fleet.world
    for i, (_, zone) in enumerate(fleet.zones[1:]):
        world.engine.after(10_000.0 + 150.0 * i, world.kill, f"r-{zone}")
    fleet.publish_routine_changes(24, 48_000.0)
    world.run(75_000.0)


def _restart_all_nodes(fleet: Fleet) -> None:
    """Kill all nodes, publish changes while they are down, and restart all within a second."""
    world = fleet.world
    for name in fleet.nodes:
        world.kill(name)
    for scope, by in (("all", "p-east"), ("region/east", "p-east"), ("region/west", "p-west")):
        fleet.publish(scope, by)
    world.run(5_000.0)
    for name in fleet.nodes:
        world.engine.after(fleet.rng.uniform(0.0, 1_000.0), world.restart_process, name)
    world.run(40_000.0)


def _partition_regions(fleet: Fleet, for_ms: float) -> None:
    """Partition the regions; both change their own scopes, and the home region also the scope `all`."""
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
    # Latency counts from the end of the partition for nodes that could not be reached before.
    for change in world.changes:
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
    "relay-dark": (_relay_unreachable, NetworkConditions()),
    "relay-stalls": (_relay_stalls, NetworkConditions()),
    "relay-half": (_relay_truncates, NetworkConditions()),
    "publisher-killed": (_publisher_killed, NetworkConditions()),
    "zone": (_zone_unreachable, NetworkConditions()),
    "one-relay": (_one_relay, NetworkConditions()),
    "all-back": (_restart_all_nodes, NetworkConditions()),
    "cut": (lambda fleet: _partition_regions(fleet, 60_000.0), NetworkConditions()),
    "cut-hour": (lambda fleet: _partition_regions(fleet, 3_600_000.0), NetworkConditions()),
}


def play(case: str, nodes: int, seed: int, tuning: Tuning | None = None) -> dict[str, Any]:
    """Return one run of a case, as docs/capacity/feed.json has it.  Raise FeedError for an unknown case."""
    if case not in CASES:
        raise FeedError(f"no case {case!r}; there are {', '.join(CASES)}")
    run_case, conditions = CASES[case]
    fleet = Fleet(nodes, seed, conditions, tuning)
    world = fleet.world
    fleet.publish("all")
    fleet.publish("region/east")
    fleet.publish("region/west", "p-west")
    world.run(WARM_UP_MS)
    world.start_starvation()
    first_change = len(world.changes)
    meter = Meter(fleet)
    meter.start()
    started_at = world.engine.now
    gc.collect()
    gc.freeze()  # no object of the fleet is freed before the run ends
    run_case(fleet)
    gc.unfreeze()
    return {
        "case": case,
        "nodes": nodes,
        "seed": seed,
        "source": "simulated",
        "command": f"crowpost lab feed {case} --nodes {nodes} --seed {seed}",
        "simulated_s": round((world.engine.now - started_at) / 1000.0, 1),
        **_results(fleet, meter, first_change),
    }


def _results(fleet: Fleet, meter: Meter, first_change: int) -> dict[str, Any]:
    """Return the results of a run, leaving out the changes before the first measured one."""
    world = fleet.world
    latencies_s = sorted(
        ms / 1000.0 for change in world.changes[first_change:] for ms in change.latency_ms.values()
    )
    node, relay, publisher = (meter.rates(role) for role in ("node", "relay", "publisher"))
    return {
        "changes": len(world.changes) - first_change,
        "taken": len(latencies_s),
        "in_force_s": {
            name: _percentile(latencies_s, percent)
            for name, percent in (("p50", 50), ("p99", 99), ("worst", 100))
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
        "counts": _counts(world),
        "trace": world.trace()[:16],
    }


def _counts(world: World) -> dict[str, int]:
    """Return the counters of all processes, summed up by role."""
    counts: Counter[str] = Counter()
    for process in world.processes.values():
        for core in (process.follower, process.distribution_server):
            if core is not None:
                for key, count in core.counts.items():
                    counts[f"{process.spec.role} {key}"] += count
    return dict(sorted(counts.items()))


def _percentile(seconds: list[float], percent: int) -> float | None:
    return round(float(np.percentile(seconds, percent)), 3) if seconds else None
