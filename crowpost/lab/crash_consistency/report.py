"""Many seeds of the crash states, and every fault of the list, over all cores."""

from __future__ import annotations

import time
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from functools import partial

from crowpost.lab.crash_consistency.checker import Tally, play, play_broken
from crowpost.lab.crash_consistency.seeded_faults import FAULTS


@dataclass(frozen=True, slots=True)
class Discovery:
    """How a fault that was put in was found; breach empty: it was not."""

    name: str
    breach: str
    seed: int
    states: int
    seconds: float  # of one core


def whole(seeds: Sequence[int], flip_step: int, jobs: int) -> Tally:
    """The tally of all seeds; equal seeds give an equal one on any number of workers."""
    tally = Tally()
    with ProcessPoolExecutor(jobs) as pool:
        for one in pool.map(partial(play, flip_step=flip_step), seeds):
            tally.add(one)
    return tally


def broken(seeds: int, jobs: int) -> list[Discovery]:
    """Each fault of the list on at most so many seeds."""
    with ProcessPoolExecutor(jobs) as pool:
        return list(pool.map(partial(_broken, seeds), FAULTS))


def _broken(seeds: int, name: str) -> Discovery:
    began = time.perf_counter()
    seed, tally = play_broken(name, seeds)
    breach = next(iter(tally.breaches), "")
    return Discovery(name, breach, seed, sum(tally.states.values()), time.perf_counter() - began)
