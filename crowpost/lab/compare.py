"""Paired experiments: every policy runs on the same seeds, with confidence intervals of the differences."""

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
    """A mean and its 95% confidence interval, by Student's t over paired seeds."""

    mean: float
    low: float
    high: float

    def apart(self) -> bool:
        """Return whether the interval excludes 0."""
        return self.low > 0.0 or self.high < 0.0

    def __str__(self) -> str:
        return f"{self.mean:+.3f} [{self.low:+.3f}, {self.high:+.3f}]"


@dataclass(frozen=True, slots=True)
class Row:
    """One policy over all seeds; `against` is the difference from the first policy, paired by seed."""

    policy: str
    goal: float
    served: float
    worst_tenth: float  # mean goal of the worst tenth of the seeds, at least one
    against: Interval | None
    against_served: Interval | None
    p50: float
    p99: float
    p999: float
    handshakes_each: float
    wasted: float  # share of all work
    attempts_each: float
    refused: float  # share of all requests
    breaches: int


def seeds(text: str) -> list[int]:
    """Return the seeds of `3`, `1-20` or `1,4,9-12`; raise ValueError for anything else."""
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
    """Return the mean of paired differences with its 95% interval, which is infinite for a single value."""
    mean = float(np.mean(values))
    if len(values) < 2:
        return Interval(mean, -np.inf, np.inf)
    error = float(stats.sem(values))
    if error == 0.0:
        return Interval(mean, mean, mean)
    low, high = stats.t.interval(CONFIDENCE, len(values) - 1, loc=mean, scale=error)
    return Interval(mean, float(low), float(high))


def _job(arguments: tuple[Scenario, int, str]) -> dict[str, Any]:
    scenario, seed, policy = arguments
    return play(scenario, seed, policy)


def play_all(
    scenario: Scenario, policies: Sequence[str], seed_numbers: Sequence[int], jobs: int = 0
) -> Iterator[dict[str, Any]]:
    """Yield results in the order of seeds, then policies, from several processes (0: one for each core)."""
    for policy in policies:
        factory(policy)  # raises for an unknown name here rather than in a worker process
    all_jobs = [(scenario, seed, policy) for seed in seed_numbers for policy in policies]
    count = min(jobs or os.cpu_count() or 1, len(all_jobs))
    if count == 1:
        yield from map(_job, all_jobs)
        return
    with ProcessPoolExecutor(count) as pool:
        yield from pool.map(_job, all_jobs)


def _merged(runs: Sequence[dict[str, Any]]) -> HdrHistogram:
    total = histogram()
    for run in runs:
        total.add(HdrHistogram.decode(run["histogram"].encode()))
    return total


def rows(runs: Sequence[dict[str, Any]], policies: Sequence[str]) -> list[Row]:
    """Return one row for each policy; differences from the first policy are taken seed by seed."""
    by_policy = {
        policy_name: sorted(
            (run for run in runs if run["policy"] == policy_name), key=lambda run: int(run["seed"])
        )
        for policy_name in policies
    }
    reference_runs = by_policy[policies[0]]
    result_rows = []
    for policy in policies:
        policy_runs = by_policy[policy]
        if [run["seed"] for run in policy_runs] != [run["seed"] for run in reference_runs]:
            raise ValueError(f"{policy} has not run the seeds of {policies[0]}")
        goals = sorted(run["goal"] for run in policy_runs)
        latency = _merged(policy_runs)

        def ratio(
            numerator: str, denominator: str, selected_runs: Sequence[dict[str, Any]] = policy_runs
        ) -> float:
            return float(
                sum(run[numerator] for run in selected_runs)
                / max(sum(run[denominator] for run in selected_runs), 1e-9)
            )

        def differences(
            get: Callable[[dict[str, Any]], float], selected_runs: Sequence[dict[str, Any]] = policy_runs
        ) -> Interval:
            return interval(
                [
                    get(run) - get(reference)
                    for run, reference in zip(selected_runs, reference_runs, strict=True)
                ]
            )

        result_rows.append(
            Row(
                policy,
                float(np.mean(goals)),
                float(np.mean([run["served"] for run in policy_runs])),
                float(np.mean(goals[: max(1, len(goals) // 10)])),
                None if policy == policies[0] else differences(lambda run: float(run["goal"])),
                None if policy == policies[0] else differences(lambda run: float(run["served"])),
                latency.get_value_at_percentile(50) / 1000.0,
                latency.get_value_at_percentile(99) / 1000.0,
                latency.get_value_at_percentile(99.9) / 1000.0,
                ratio("handshakes", "calls"),
                ratio("wasted_ms", "work_ms"),
                ratio("attempts", "calls"),
                float(
                    sum(run["ends"]["refused"] for run in policy_runs)
                    / max(sum(run["requests"] for run in policy_runs), 1)
                ),
                sum(run["breaches"] for run in policy_runs),
            )
        )
    return result_rows
