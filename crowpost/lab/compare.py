"""Paired experiments: every policy plays the same seeds over all cores, and differences get an interval."""

from __future__ import annotations

import os
from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from typing import Any

import numpy as np
from hdrh.histogram import HdrHistogram
from scipy import stats

from crowpost.lab.measure import histogram
from crowpost.lab.policies import factory
from crowpost.lab.runs import play
from crowpost.lab.scenario import Scenario

CONFIDENCE = 0.95


@dataclass(frozen=True, slots=True)
class Interval:
    """A mean and the interval that holds it with 95%, by Student's t over paired seeds."""

    mean: float
    low: float
    high: float

    def apart(self) -> bool:
        """Whether 0 lies outside."""
        return self.low > 0.0 or self.high < 0.0

    def __str__(self) -> str:
        return f"{self.mean:+.3f} [{self.low:+.3f}, {self.high:+.3f}]"


@dataclass(frozen=True, slots=True)
class Row:
    """One policy over all seeds; `against` is the difference of each seed from the first policy."""

    policy: str
    goal: float
    served: float
    worst_tenth: float  # mean goal of the worst tenth of seeds, one at the least
    against: Interval | None
    against_served: Interval | None
    p50: float
    p99: float
    p999: float
    handshakes_each: float
    wasted: float  # of all work
    attempts_each: float
    refused: float  # of all requests
    breaches: int


def seeds(text: str) -> list[int]:
    """Seeds from `3`, `1-20` or `1,4,9-12`; ValueError for anything else."""
    found: list[int] = []
    for part in text.split(","):
        first, dash, last = part.strip().partition("-")
        if not (first.isdigit() and (last.isdigit() or not dash)):
            raise ValueError(f"not seeds: {text!r}; write 3, 1-20 or 1,4,9-12")
        found.extend(range(int(first), int(last or first) + 1))
    if not found or len(found) > 10_000:
        raise ValueError(f"not seeds: {text!r} names {len(found)} of them")
    return sorted(set(found))


def interval(values: Sequence[float]) -> Interval:
    """The mean of paired differences with its 95% interval; without width for less than two values."""
    mean = float(np.mean(values))
    if len(values) < 2:
        return Interval(mean, -np.inf, np.inf)
    error = float(stats.sem(values))
    if error == 0.0:
        return Interval(mean, mean, mean)
    low, high = stats.t.interval(CONFIDENCE, len(values) - 1, loc=mean, scale=error)
    return Interval(mean, float(low), float(high))


def _job(job: tuple[Scenario, int, str]) -> dict[str, Any]:
    scenario, seed, policy = job
    return play(scenario, seed, policy)


def play_all(
    scenario: Scenario, policies: Sequence[str], numbers: Sequence[int], jobs: int = 0
) -> Iterator[dict[str, Any]]:
    """Results in the order of seeds, then policies, on any number of processes (0: one a core)."""
    for policy in policies:
        factory(policy)  # an unknown name is an error now, not in a worker
    work = [(scenario, seed, policy) for seed in numbers for policy in policies]
    count = min(jobs or os.cpu_count() or 1, len(work))
    if count == 1:
        yield from map(_job, work)
        return
    with ProcessPoolExecutor(count) as pool:
        yield from pool.map(_job, work)


def _merged(runs: Sequence[dict[str, Any]]) -> HdrHistogram:
    total = histogram()
    for run in runs:
        total.add(HdrHistogram.decode(run["histogram"].encode()))
    return total


def rows(runs: Sequence[dict[str, Any]], policies: Sequence[str]) -> list[Row]:
    """One row a policy; differences are taken seed by seed from the first policy."""
    by_policy = {
        p: sorted((r for r in runs if r["policy"] == p), key=lambda r: int(r["seed"])) for p in policies
    }
    first = by_policy[policies[0]]
    table = []
    for policy in policies:
        mine = by_policy[policy]
        if [r["seed"] for r in mine] != [r["seed"] for r in first]:
            raise ValueError(f"{policy} has not played the seeds of {policies[0]}")
        goals = sorted(r["goal"] for r in mine)
        latency = _merged(mine)

        def per(key: str, by: str, of: Sequence[dict[str, Any]] = mine) -> float:
            return float(sum(r[key] for r in of) / max(sum(r[by] for r in of), 1e-9))

        def differences(
            get: Callable[[dict[str, Any]], float], of: Sequence[dict[str, Any]] = mine
        ) -> Interval:
            return interval([get(a) - get(b) for a, b in zip(of, first, strict=True)])

        table.append(
            Row(
                policy,
                float(np.mean(goals)),
                float(np.mean([r["served"] for r in mine])),
                float(np.mean(goals[: max(1, len(goals) // 10)])),
                None if policy == policies[0] else differences(lambda r: float(r["goal"])),
                None if policy == policies[0] else differences(lambda r: float(r["served"])),
                latency.get_value_at_percentile(50) / 1000.0,
                latency.get_value_at_percentile(99) / 1000.0,
                latency.get_value_at_percentile(99.9) / 1000.0,
                per("handshakes", "calls"),
                per("wasted_ms", "work_ms"),
                per("attempts", "calls"),
                float(sum(r["ends"]["refused"] for r in mine) / max(sum(r["requests"] for r in mine), 1)),
                sum(r["breaches"] for r in mine),
            )
        )
    return table
