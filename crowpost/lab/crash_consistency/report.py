"""Crash consistency checks with many seeds, and of every seeded fault, in parallel processes."""

from __future__ import annotations

import time
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from functools import partial

from crowpost.lab.crash_consistency.checker import check_fault, check_seed
from crowpost.lab.crash_consistency.results import CheckResults
from crowpost.lab.crash_consistency.seeded_faults import FAULTS


@dataclass(frozen=True, slots=True)
class FaultReport:
    """How the checks found a seeded fault; the fields are the keys of the command's --json."""

    name: str
    breach: str  # the kind of the first violation; empty if the fault was not found
    seed: int
    states: int
    seconds: float  # wall-clock time of the checks, which use one core


def check_seeds(seeds: Sequence[int], flip_step: int, jobs: int) -> CheckResults:
    """Return the results of all seeds; they do not depend on the number of worker processes."""
    total = CheckResults()
    with ProcessPoolExecutor(jobs) as pool:
        for results in pool.map(partial(check_seed, flip_step=flip_step), seeds):
            total.add(results)
    return total


def check_faults(seeds: int, jobs: int) -> list[FaultReport]:
    """Run the checks with each seeded fault, on at most `seeds` seeds."""
    with ProcessPoolExecutor(jobs) as pool:
        return list(pool.map(partial(_check_fault, seeds), FAULTS))


def _check_fault(seeds: int, name: str) -> FaultReport:
    started = time.perf_counter()
    seed, results = check_fault(name, seeds)
    violation = next(iter(results.violations), "")
    return FaultReport(name, violation, seed, results.state_count, time.perf_counter() - started)
