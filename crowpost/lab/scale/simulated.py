"""Membership and faults in simulated time, where real time or this machine is not enough.

Only messages and bytes are measured.
"""

from __future__ import annotations

from random import Random
from typing import Any

from crowpost.lab.membership.simulation import NetworkConditions, SimulatedCluster
from crowpost.lab.scale.places import places
from crowpost.lab.scale.slopes import PartResult
from crowpost.lab.scale.target import Topology
from crowpost.membership import counters

WARM_UP_MS = 5_000.0
STEP_MS = 1_000.0
SETTLE_STEPS = 300
STABLE_STEPS = 3


def measure_quiet_cluster(result: PartResult, size: int, seconds: float, seed: int) -> None:
    """Measure a cluster without changes and add a point to the membership duty."""
    cluster = SimulatedCluster(seed, NetworkConditions())
    cluster.keep_history = False
    cluster.start_joined(size)
    cluster.run(WARM_UP_MS)
    before = _sent_totals(cluster)
    cluster.run(seconds * 1000.0)
    after = _sent_totals(cluster)
    messages, sent = ((end - start) / seconds / size for start, end in zip(before, after, strict=True))
    measure = {"bytes_per_s": sent, "messages_per_s": messages}
    result.add_point("membership", size, "simulated", f"seed {seed}", seconds, measure)


def _sent_totals(cluster: SimulatedCluster) -> tuple[float, float]:
    counts = [process.core.counts for process in cluster.processes.values()]
    datagrams = sum(count[counters.DATAGRAMS_OUT] for count in counts)
    sent_bytes = sum(count[counters.BYTES_OUT] for count in counts)
    return float(datagrams), float(sent_bytes)


def region_partition(topology: Topology, size: int, for_s: float, seed: int) -> dict[str, Any]:
    """Return the results of a partition between regions and its end, with a sample each second."""
    cluster = SimulatedCluster(seed, NetworkConditions())
    cluster.keep_history = False
    node_places = places(topology, size)
    rng = Random(f"cut {seed}")
    for place in node_places:
        cluster.start(place.name, zone=f"z{place.zone}")
    cluster.preload_views()
    region_of = {place.name: place.region for place in node_places}
    sizes = {region: list(region_of.values()).count(region) for region in set(region_of.values())}
    started_ms = WARM_UP_MS + 5_000.0 * rng.random()
    cluster.run(started_ms)
    series: list[tuple[float, float]] = []
    first = _sent_totals(cluster)
    last = first

    def step() -> bool:
        """Simulate one second; return whether all members have the same view."""
        nonlocal last
        cluster.run(STEP_MS)
        now = _sent_totals(cluster)
        series.append(
            ((cluster.engine.now - started_ms) / 1000.0, (now[1] - last[1]) / size * 1000.0 / STEP_MS)
        )
        last = now
        return len({process.core.view.digest for process in cluster.processes.values()}) == 1

    def regions_separated() -> bool:
        """Return whether each region considers exactly its own members alive."""
        return all(
            process.core.view.alive_count == sizes[region_of[process.name]]
            for process in cluster.processes.values()
        )

    def all_alive() -> bool:
        """Return whether all members consider all members alive."""
        return all(process.core.view.alive_count == size for process in cluster.processes.values())

    cluster.may_pass = lambda sender, receiver: region_of[sender] == region_of[receiver]
    separated_s: float | None = None
    for _ in range(int(for_s)):
        step()
        if separated_s is None and regions_separated():
            separated_s = (cluster.engine.now - started_ms) / 1000.0
    cluster.may_pass = lambda _sender, _receiver: True
    healed_ms = cluster.engine.now
    stable_steps, converged_s = 0, None
    for _ in range(SETTLE_STEPS):
        stable_steps = (
            stable_steps + 1
            if step() and all(process.core.view.alive_count == size for process in cluster.processes.values())
            else 0
        )
        if stable_steps == 1:
            converged_s = (cluster.engine.now - healed_ms) / 1000.0
        if stable_steps == STABLE_STEPS:
            break
    quiet_bytes = first[1] / started_ms * 1000.0
    elapsed_s = (cluster.engine.now - started_ms) / 1000.0
    return {
        "kind": "region_cut",
        "members": size,
        "victims": 0,
        "source": "simulated",
        "seconds": for_s,
        "messages": round(last[0] - first[0] - first[0] / started_ms * 1000.0 * elapsed_s),
        "bytes_per_member": round((last[1] - first[1] - quiet_bytes * elapsed_s) / size, 1),
        "quiet_bytes_per_s": round(quiet_bytes / size, 1),
        "most_bytes_per_s": round(max(rate for _, rate in series), 1),
        "settled_s": converged_s if stable_steps == STABLE_STEPS else None,
        "settled_within_s": separated_s,
        "settled_after_s": converged_s if stable_steps == STABLE_STEPS else None,
        "lost": "each region considered the other dead during the partition, and for a while after",
        "speed": 1.0,
        "series": _downsampled(series),
    }


def zone_loss(topology: Topology, size: int, for_s: float, seed: int) -> dict[str, Any]:
    """Return the results of the permanent loss of a zone, with a sample each second until all know it."""
    cluster = SimulatedCluster(seed, NetworkConditions())
    cluster.keep_history = False
    node_places = places(topology, size)
    for place in node_places:
        cluster.start(place.name, zone=f"z{place.zone}")
    cluster.preload_views()
    cluster.run(WARM_UP_MS)
    zone = Random(f"zone {seed}").choice(node_places).zone
    victims = [place.name for place in node_places if place.zone == zone]
    first = last = _sent_totals(cluster)
    for name in victims:
        cluster.kill(name)
    survivors = cluster.running()
    survivor_count, started_ms, series = len(survivors), cluster.engine.now, []
    known_s: float | None = None
    for second in range(1, int(for_s) + 1):
        cluster.run(STEP_MS)
        now = _sent_totals(cluster)
        series.append((float(second), (now[1] - last[1]) / survivor_count * 1000.0 / STEP_MS))
        last = now
        if all(process.core.view.alive_count == survivor_count for process in survivors):
            known_s = float(second)
            break
    elapsed_s, quiet_bytes = (cluster.engine.now - started_ms) / 1000.0, first[1] / started_ms * 1000.0
    return {
        "kind": "zone",
        "members": size,
        "victims": len(victims),
        "source": "simulated",
        "seconds": elapsed_s,
        "messages": round(last[0] - first[0] - first[0] / started_ms * 1000.0 * elapsed_s),
        "bytes_per_member": round((last[1] - first[1] - quiet_bytes * elapsed_s) / survivor_count, 1),
        "quiet_bytes_per_s": round(quiet_bytes / size, 1),
        "most_bytes_per_s": round(max(rate for _, rate in series), 1),
        "settled_s": known_s,
        "settled_within_s": known_s,
        "settled_after_s": None,
        "lost": "until all considered them dead, each still counted members of a zone that had gone",
        "speed": 1.0,
        "series": _downsampled(series),
    }


def _downsampled(series: list[tuple[float, float]], max_points: int = 400) -> list[list[float]]:
    """Return at most `max_points` points, each the mean of consecutive points."""
    width = -(-len(series) // max_points)
    parts = [series[start : start + width] for start in range(0, len(series), width)]
    return [[round(part[-1][0], 1), round(sum(value for _, value in part) / len(part), 1)] for part in parts]
