"""Figures of a run: percentiles, differences within the run, and how sure they are."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

import numpy as np
from numpy.typing import NDArray

PERCENTILES = {"p50_ms": 50.0, "p90_ms": 90.0, "p99_ms": 99.0, "p999_ms": 99.9}
RESAMPLES = 1000
VALUES_DRAWN = 20_000_000  # at most, in all resamples of one interval; a closed loop has many values
CONFIDENCE = 95.0
Rounds = Sequence[Sequence[float]]  # latencies in ms, by round


def percentiles(values: Sequence[float] | NDArray[np.float64]) -> dict[str, float | None]:
    """The four percentiles, linear between ranks; None where there is no value."""
    if not len(values):
        return dict.fromkeys(PERCENTILES)
    found = np.percentile(values, list(PERCENTILES.values()))
    return {name: round(float(ms), 4) for name, ms in zip(PERCENTILES, found, strict=True)}


def difference(more: Mapping[str, float | None], less: Mapping[str, float | None]) -> dict[str, float | None]:
    """Percentile by percentile; None where one of the two is."""
    return {
        name: None if a is None or (b := less[name]) is None else round(a - b, 4) for name, a in more.items()
    }


def intervals(more: Rounds, less: Rounds, seed: int) -> dict[str, list[float] | None]:
    """95% intervals of the differences of percentiles, by a bootstrap that draws whole rounds.

    Both sides keep their rounds together, so that what the machine did in a round counts for both; requests
    of one round are not taken for independent.  Source: Davison and Hinkley, Bootstrap Methods, 1997, 3.8.
    """
    if len(more) != len(less):
        raise ValueError(f"{len(more)} rounds against {len(less)}")
    if len(more) < 2 or not any(map(len, more)) or not any(map(len, less)):
        return dict.fromkeys(PERCENTILES)
    rng = np.random.default_rng(seed)
    a, b = [np.asarray(r, float) for r in more], [np.asarray(r, float) for r in less]
    wanted = list(PERCENTILES.values())
    found = []
    size = sum(map(len, a)) + sum(map(len, b))
    for _ in range(min(RESAMPLES, max(200, VALUES_DRAWN // size))):
        drawn = rng.integers(0, len(a), len(a))
        left, right = np.concatenate([a[i] for i in drawn]), np.concatenate([b[i] for i in drawn])
        if len(left) and len(right):
            found.append(np.percentile(left, wanted) - np.percentile(right, wanted))
    tail = (100.0 - CONFIDENCE) / 2.0
    low, high = np.percentile(found, [tail, 100.0 - tail], axis=0)
    return {
        name: [round(float(x), 4), round(float(y), 4)]
        for name, x, y in zip(PERCENTILES, low, high, strict=True)
    }


def by_round(
    slices: Sequence[Mapping[str, Any]], arms: Sequence[int], key: str, within: int | None = None
) -> list[list[float]]:
    """The values of some arms, joined by round; only of rounds in which an arm `within` was played."""
    found: dict[int, list[float]] = {s["round"]: [] for s in slices if within is None or s["arm"] == within}
    for s in slices:
        if s["arm"] in arms and s["round"] in found:
            found[s["round"]].extend(s[key])
    return [found[number] for number in sorted(found)]


def joined(rounds: Rounds) -> list[float]:
    """All values."""
    return [value for one in rounds for value in one]


def summary(
    slices: Sequence[Mapping[str, Any]], arm: int, seed: int, *, at_once: bool = False
) -> dict[str, Any]:
    """What one arm of calls through nodes shows beside the two direct arms (0 and 1) of the same rounds.

    `at_once`: whether the arms of a round were played at once, not one after another.
    """
    direct, through, *each = (
        by_round(slices, arms, "latency_ms", arm) for arms in ((0, 1), (arm,), (0,), (1,))
    )
    halves = [percentiles(joined(half)) for half in each]
    there = [percentiles(joined(by_round(slices, arms, "there_ms", arm))) for arms in ((0, 1), (arm,))]
    alone = percentiles(joined(direct)), percentiles(joined(through))
    mine = [s for s in slices if s["arm"] == arm]
    rounds = {s["round"] for s in mine}
    plain = [s for s in slices if s["arm"] in (0, 1) and s["round"] in rounds]
    direct_s = sum(s["seconds"] for s in plain) / (2.0 if at_once else 1.0)
    served = sum(s["ends"].get("served", 0) for s in mine)
    seconds = sum(s["seconds"] for s in mine)
    ends: dict[str, int] = {}
    for s in mine:
        for end, count in s["ends"].items():
            ends[end] = ends.get(end, 0) + count
    return {
        "requests": sum(s["sent"] for s in mine),
        "ends": ends,
        "direct": alone[0],
        "through": alone[1],
        "added": difference(alone[1], alone[0]),
        "added_95": intervals(through, direct, seed),
        "added_there": difference(there[1], there[0]),
        "machine_moves": difference(halves[1], halves[0]),
        "core_us_per_request": round(sum(s["core_ns"] for s in mine) / served / 1000.0, 1)
        if served
        else None,
        "requests_per_s": round(served / seconds, 1),
        "direct_per_s": round(sum(s["ends"].get("served", 0) for s in plain) / direct_s, 1),
        "late_ms": round(max(s["late_ms"] for s in (*mine, *plain)), 3),
    }
