"""The same in simulated time, where real time or this machine does not suffice: messages and bytes only."""

from __future__ import annotations

from random import Random
from typing import Any

from crowpost.lab.membership.simulation import NetworkConditions, SimulatedCluster
from crowpost.lab.scale.places import places
from crowpost.lab.scale.slopes import Piece
from crowpost.lab.scale.target import Topology
from crowpost.membership import counters

WARM_MS = 5_000.0
STEP_MS = 1_000.0
SETTLE_STEPS = 300
CALM_STEPS = 3


def quiet(piece: Piece, size: int, seconds: float, seed: int) -> None:
    """A quiet cluster of x members: a point of the duty membership."""
    swarm = SimulatedCluster(seed, NetworkConditions())
    swarm.keep_history = False
    swarm.start_joined(size)
    swarm.run(WARM_MS)
    before = _sent(swarm)
    swarm.run(seconds * 1000.0)
    after = _sent(swarm)
    messages, sent = ((b - a) / seconds / size for a, b in zip(before, after, strict=True))
    measure = {"bytes_per_s": sent, "messages_per_s": messages}
    piece.point("membership", size, "simulated", f"seed {seed}", seconds, measure)


def _sent(swarm: SimulatedCluster) -> tuple[float, float]:
    counts = [process.core.counts for process in swarm.processes.values()]
    datagrams = sum(count[counters.DATAGRAMS_OUT] for count in counts)
    sent_bytes = sum(count[counters.BYTES_OUT] for count in counts)
    return float(datagrams), float(sent_bytes)


def region_cut(topology: Topology, size: int, for_s: float, seed: int) -> dict[str, Any]:
    """The regions cut off from each other for so long, and joined; looked at once a second."""
    swarm = SimulatedCluster(seed, NetworkConditions())
    swarm.keep_history = False
    spots = places(topology, size)
    rng = Random(f"cut {seed}")
    for place in spots:
        swarm.start(place.name, zone=f"z{place.zone}")
    swarm.preload_views()
    region = {place.name: place.region for place in spots}
    sizes = {r: list(region.values()).count(r) for r in set(region.values())}
    begins = WARM_MS + 5_000.0 * rng.random()
    swarm.run(begins)
    series: list[tuple[float, float]] = []
    first = _sent(swarm)
    last = first

    def step() -> bool:
        """A second on; whether all hold the same."""
        nonlocal last
        swarm.run(STEP_MS)
        now = _sent(swarm)
        series.append(((swarm.engine.now - begins) / 1000.0, (now[1] - last[1]) / size * 1000.0 / STEP_MS))
        last = now
        return len({p.core.view.digest for p in swarm.processes.values()}) == 1

    def apart() -> bool:
        """Whether each region holds just its own members alive."""
        return all(p.core.view.alive_count == sizes[region[p.name]] for p in swarm.processes.values())

    def together() -> bool:
        """Whether all hold all members alive."""
        return all(p.core.view.alive_count == size for p in swarm.processes.values())

    swarm.may_pass = lambda a, b: region[a] == region[b]
    known: float | None = None
    for _ in range(int(for_s)):
        step()
        if known is None and apart():
            known = (swarm.engine.now - begins) / 1000.0
    swarm.may_pass = lambda _sender, _receiver: True
    joined = swarm.engine.now
    calm, whole = 0, None
    for _ in range(SETTLE_STEPS):
        calm = (
            calm + 1
            if step() and all(p.core.view.alive_count == size for p in swarm.processes.values())
            else 0
        )
        if calm == 1:
            whole = (swarm.engine.now - joined) / 1000.0
        if calm == CALM_STEPS:
            break
    quiet_bytes = first[1] / begins * 1000.0
    spent = (swarm.engine.now - begins) / 1000.0
    return {
        "kind": "region_cut",
        "members": size,
        "victims": 0,
        "source": "simulated",
        "seconds": for_s,
        "messages": round(last[0] - first[0] - first[0] / begins * 1000.0 * spent),
        "bytes_per_member": round((last[1] - first[1] - quiet_bytes * spent) / size, 1),
        "quiet_bytes_per_s": round(quiet_bytes / size, 1),
        "most_bytes_per_s": round(max(rate for _, rate in series), 1),
        "settled_s": whole if calm == CALM_STEPS else None,
        "settled_within_s": known,
        "settled_after_s": whole if calm == CALM_STEPS else None,
        "lost": "each region held the other dead for as long as it was cut off, and a while after",
        "speed": 1.0,
        "series": _thinned(series),
    }


def zone_loss(topology: Topology, size: int, for_s: float, seed: int) -> dict[str, Any]:
    """All of a zone are killed and stay so: when all others hold them dead, looked at once a second."""
    swarm = SimulatedCluster(seed, NetworkConditions())
    swarm.keep_history = False
    spots = places(topology, size)
    for place in spots:
        swarm.start(place.name, zone=f"z{place.zone}")
    swarm.preload_views()
    swarm.run(WARM_MS)
    zone = Random(f"zone {seed}").choice(spots).zone
    victims = [place.name for place in spots if place.zone == zone]
    first = last = _sent(swarm)
    for name in victims:
        swarm.kill(name)
    living = swarm.running()
    left, begins, series = len(living), swarm.engine.now, []
    known: float | None = None
    for second in range(1, int(for_s) + 1):
        swarm.run(STEP_MS)
        now = _sent(swarm)
        series.append((float(second), (now[1] - last[1]) / left * 1000.0 / STEP_MS))
        last = now
        if all(p.core.view.alive_count == left for p in living):
            known = float(second)
            break
    spent, quiet_bytes = (swarm.engine.now - begins) / 1000.0, first[1] / begins * 1000.0
    return {
        "kind": "zone",
        "members": size,
        "victims": len(victims),
        "source": "simulated",
        "seconds": spent,
        "messages": round(last[0] - first[0] - first[0] / begins * 1000.0 * spent),
        "bytes_per_member": round((last[1] - first[1] - quiet_bytes * spent) / left, 1),
        "quiet_bytes_per_s": round(quiet_bytes / size, 1),
        "most_bytes_per_s": round(max(rate for _, rate in series), 1),
        "settled_s": known,
        "settled_within_s": known,
        "settled_after_s": None,
        "lost": "until all held them dead, each still counted some of a zone that was gone",
        "speed": 1.0,
        "series": _thinned(series),
    }


def _thinned(series: list[tuple[float, float]], most: int = 400) -> list[list[float]]:
    """At the most so many points, each the mean of a stretch."""
    width = -(-len(series) // most)
    parts = [series[i : i + width] for i in range(0, len(series), width)]
    return [[round(p[-1][0], 1), round(sum(v for _, v in p) / len(p), 1)] for p in parts]
