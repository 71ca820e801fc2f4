"""Measures failure detection in simulated time.

Measured are the times until a death is first detected and until all members know it, false deaths (running
members that are declared dead), and the bytes that each member sends.
"""

from __future__ import annotations

from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from functools import partial

import numpy as np

from crowpost.lab.membership.simulation import NetworkConditions, SimulatedCluster, SimulatedProcess
from crowpost.membership import counters
from crowpost.membership.model import Liveness, StateChange
from crowpost.membership.settings import ProtocolSettings

WARM_UP_MS = 3_000.0  # time before the first kill
COOL_DOWN_MS = 30_000.0  # time after the last kill, for all members to learn of it


@dataclass
class KilledProcess:
    """A process that was killed, and when the other processes declared it dead."""

    name: str
    killed_at_ms: float
    unaware: set[str]  # processes that have yet to declare it dead
    first_known_ms: float | None = None
    known_to_all_ms: float | None = None


@dataclass(frozen=True)
class FalseDeath:
    """A running member that was declared dead, with the first observer that did so."""

    at_ms: float
    observer: str
    member: str
    reason: str


@dataclass
class RunResult:
    """The measurements of one or more runs."""

    members: int
    simulated_s: float
    deaths: list[KilledProcess]
    false_deaths: list[FalseDeath]
    mean_bytes_per_s: float  # mean over members of the bytes sent
    max_bytes_per_s: float
    suspicions: int
    counts: Counter[str] = field(default_factory=Counter)

    def percentiles(self) -> dict[str, float]:
        """Return the seconds until a death was first detected and until all knew it, median and 99%.

        They are NaN if some death was not known to all.
        """
        if not self.deaths:
            return {}
        first = [_elapsed_s(death, death.first_known_ms) for death in self.deaths]
        everywhere = [_elapsed_s(death, death.known_to_all_ms) for death in self.deaths]
        return {
            "first_p50_s": float(np.percentile(first, 50)),
            "first_p99_s": float(np.percentile(first, 99)),
            "all_p50_s": float(np.percentile(everywhere, 50)),
            "all_p99_s": float(np.percentile(everywhere, 99)),
        }


def _elapsed_s(death: KilledProcess, at_ms: float | None) -> float:
    return (at_ms - death.killed_at_ms) / 1000 if at_ms else float("nan")


def measure_all(
    members: int,
    seconds: float,
    seeds: int,
    *,
    loss: float,
    starved: float,
    kills: int,
    jobs: int,
) -> dict[str, object]:
    """Return the combined results of runs with seeds from 1 on, which worker processes execute."""
    run_one = partial(_measure_seed, members, seconds, loss, starved, kills)
    with ProcessPoolExecutor(jobs) as pool:
        results = list(pool.map(run_one, range(1, seeds + 1)))
    total = _combine(results)
    return {
        "members": members,
        "simulated_s": total.simulated_s,
        "loss": loss,
        "starved": starved,
        "deaths": len(total.deaths),
        "unnoticed": sum(death.known_to_all_ms is None for death in total.deaths),
        **{name: round(value, 2) for name, value in total.percentiles().items()},
        "false_deaths": len(total.false_deaths),
        "suspicions": total.suspicions,
        "bytes_each_s": round(total.mean_bytes_per_s),
        "bytes_most_s": round(total.max_bytes_per_s),
    }


def _combine(results: list[RunResult]) -> RunResult:
    return RunResult(
        results[0].members,
        results[0].simulated_s * len(results),
        [death for result in results for death in result.deaths],
        [false_death for result in results for false_death in result.false_deaths],
        float(np.mean([result.mean_bytes_per_s for result in results])),
        max(result.max_bytes_per_s for result in results),
        sum(result.suspicions for result in results),
    )


def _measure_seed(
    members: int, seconds: float, loss: float, starved: float, kills: int, seed: int
) -> RunResult:
    return measure(members, seconds, seed, loss=loss, starved=starved, kills=kills)


def measure(
    members: int,
    seconds: float,
    seed: int,
    *,
    loss: float,
    starved: float,
    kills: int,
    settings: ProtocolSettings | None = None,
) -> RunResult:
    """Run members that know each other under constant conditions, and kill some one after another."""
    conditions = NetworkConditions(loss_rate=loss, starved_fraction=starved)
    cluster = SimulatedCluster(seed, conditions, settings)
    cluster.keep_history = False
    cluster.start_joined(members)
    starved_names = cluster.starve()
    observer = _DeathObserver(cluster)
    cluster.on_change = observer.on_change
    victims = cluster.rng.sample([name for name in cluster.processes if name not in starved_names], kills)
    span_ms = seconds * 1000.0 - WARM_UP_MS - COOL_DOWN_MS
    for index, name in enumerate(victims):
        at_ms = WARM_UP_MS + span_ms * (index + cluster.rng.random()) / max(kills, 1)
        cluster.engine.at(at_ms, observer.kill, name)
    cluster.run(seconds * 1000.0)
    counts: Counter[str] = Counter()
    for process in cluster.processes.values():
        counts.update(process.core.counts)
    sent = [process.core.counts[counters.BYTES_OUT] / seconds for process in cluster.running()]
    return RunResult(
        members,
        seconds,
        list(observer.deaths.values()),
        list(observer.false_deaths.values()),
        float(np.mean(sent)),
        max(sent),
        counts[counters.SUSPICIONS],
        counts,
    )


class _DeathObserver:
    """Kills processes, and records which process declares which other dead."""

    def __init__(self, cluster: SimulatedCluster) -> None:
        self._cluster = cluster
        self.deaths: dict[str, KilledProcess] = {}
        self.false_deaths: dict[tuple[str, int], FalseDeath] = {}  # keyed by name and incarnation

    def kill(self, name: str) -> None:
        self._cluster.kill(name)
        for death in self.deaths.values():
            death.unaware.discard(name)
        unaware = {process.name for process in self._cluster.running()}
        self.deaths[name] = KilledProcess(name, self._cluster.engine.now, unaware)

    def on_change(self, process: SimulatedProcess, change: StateChange) -> None:
        if change.after != Liveness.DEAD.label:
            return
        death = self.deaths.get(change.name)
        if death is None:
            self._record_false_death(process, change)
            return
        death.unaware.discard(process.name)
        death.first_known_ms = death.first_known_ms or change.at_ms
        if not death.unaware:
            death.known_to_all_ms = death.known_to_all_ms or change.at_ms

    def _record_false_death(self, process: SimulatedProcess, change: StateChange) -> None:
        if self._cluster.processes[change.name].up:
            key = (change.name, change.incarnation)
            false_death = FalseDeath(change.at_ms, process.name, change.name, change.reason)
            self.false_deaths.setdefault(key, false_death)
