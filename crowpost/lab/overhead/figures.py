"""Statistics of a run: percentiles, their differences within the run, and intervals of these."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

import numpy as np
from numpy.typing import NDArray

PERCENTILES = {"p50_ms": 50.0, "p90_ms": 90.0, "p99_ms": 99.0, "p999_ms": 99.9}
RESAMPLES = 1000
MAX_VALUES_DRAWN = 20_000_000  # Limit over all resamples of one interval, as a closed loop has many values.
CONFIDENCE = 95.0
Rounds = Sequence[Sequence[float]]  # Latencies in ms, by round.


def percentiles(values: Sequence[float] | NDArray[np.float64]) -> dict[str, float | None]:
    """Return the four percentiles, interpolated linearly between ranks; None if there are no values."""
    if not len(values):
        return dict.fromkeys(PERCENTILES)
    found = np.percentile(values, list(PERCENTILES.values()))
    return {name: round(float(ms), 4) for name, ms in zip(PERCENTILES, found, strict=True)}


def difference(more: Mapping[str, float | None], less: Mapping[str, float | None]) -> dict[str, float | None]:
    """Return the difference of each percentile; None where one of the two is None."""
    return {
        name: None if larger is None or (smaller := less[name]) is None else round(larger - smaller, 4)
        for name, larger in more.items()
    }


def intervals(more: Rounds, less: Rounds, seed: int) -> dict[str, list[float] | None]:
    """Return 95% intervals of the differences of percentiles, by a bootstrap that draws whole rounds.

    The same rounds are drawn for both sides, so that machine effects of a round count for both.  Requests of
    one round are not treated as independent.  Source: Davison and Hinkley, Bootstrap Methods, 1997, 3.8.
    """
    if len(more) != len(less):
        raise ValueError(f"{len(more)} rounds against {len(less)}")
    if len(more) < 2 or not any(map(len, more)) or not any(map(len, less)):
        return dict.fromkeys(PERCENTILES)
    rng = np.random.default_rng(seed)
    more_rounds, less_rounds = (
        [np.asarray(values, float) for values in more],
        [np.asarray(values, float) for values in less],
    )
    wanted = list(PERCENTILES.values())
    differences = []
    size = sum(map(len, more_rounds)) + sum(map(len, less_rounds))
    for _ in range(min(RESAMPLES, max(200, MAX_VALUES_DRAWN // size))):
        drawn = rng.integers(0, len(more_rounds), len(more_rounds))
        more_drawn, less_drawn = (
            np.concatenate([more_rounds[index] for index in drawn]),
            np.concatenate([less_rounds[index] for index in drawn]),
        )
        if len(more_drawn) and len(less_drawn):
            differences.append(np.percentile(more_drawn, wanted) - np.percentile(less_drawn, wanted))
    tail = (100.0 - CONFIDENCE) / 2.0
    low, high = np.percentile(differences, [tail, 100.0 - tail], axis=0)
    return {
        name: [round(float(lower), 4), round(float(upper), 4)]
        for name, lower, upper in zip(PERCENTILES, low, high, strict=True)
    }


def by_round(
    slices: Sequence[Mapping[str, Any]], arms: Sequence[int], key: str, within: int | None = None
) -> list[list[float]]:
    """Return the values of some arms by round; only for rounds that have the arm `within`, if it is given."""
    values: dict[int, list[float]] = {
        entry["round"]: [] for entry in slices if within is None or entry["arm"] == within
    }
    for entry in slices:
        if entry["arm"] in arms and entry["round"] in values:
            values[entry["round"]].extend(entry[key])
    return [values[number] for number in sorted(values)]


def concatenated(rounds: Rounds) -> list[float]:
    """Return the values of all rounds in one list."""
    return [value for one in rounds for value in one]


def summary(
    slices: Sequence[Mapping[str, Any]], arm: int, seed: int, *, concurrent: bool = False
) -> dict[str, Any]:
    """Return the comparison of one arm through nodes with the two direct arms (0 and 1) of the same rounds.

    `concurrent`: whether the arms of a round ran concurrently, not one after another.
    """
    direct, through, *each = (
        by_round(slices, arms, "latency_ms", arm) for arms in ((0, 1), (arm,), (0,), (1,))
    )
    direct_arms = [percentiles(concatenated(half)) for half in each]
    arrival = [
        percentiles(concatenated(by_round(slices, arms, "there_ms", arm))) for arms in ((0, 1), (arm,))
    ]
    overall = percentiles(concatenated(direct)), percentiles(concatenated(through))
    arm_slices = [entry for entry in slices if entry["arm"] == arm]
    rounds = {entry["round"] for entry in arm_slices}
    direct_slices = [entry for entry in slices if entry["arm"] in (0, 1) and entry["round"] in rounds]
    direct_s = sum(entry["seconds"] for entry in direct_slices) / (2.0 if concurrent else 1.0)
    served = sum(entry["ends"].get("served", 0) for entry in arm_slices)
    seconds = sum(entry["seconds"] for entry in arm_slices)
    ends: dict[str, int] = {}
    for entry in arm_slices:
        for end, count in entry["ends"].items():
            ends[end] = ends.get(end, 0) + count
    return {
        "requests": sum(entry["sent"] for entry in arm_slices),
        "ends": ends,
        "direct": overall[0],
        "through": overall[1],
        "added": difference(overall[1], overall[0]),
        "added_95": intervals(through, direct, seed),
        "added_there": difference(arrival[1], arrival[0]),
        "machine_moves": difference(direct_arms[1], direct_arms[0]),
        "core_us_per_request": round(sum(entry["core_ns"] for entry in arm_slices) / served / 1000.0, 1)
        if served
        else None,
        "requests_per_s": round(served / seconds, 1),
        "direct_per_s": round(sum(entry["ends"].get("served", 0) for entry in direct_slices) / direct_s, 1),
        "late_ms": round(max(entry["late_ms"] for entry in (*arm_slices, *direct_slices)), 3),
    }
