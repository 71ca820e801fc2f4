"""Lines through measured points, with 95% intervals, and whether a line is what they lie on.

Ordinary least squares with Student's t; the lack-of-fit test sets the squares left by the line at each x
against those among points of equal x (Draper and Smith, Applied Regression Analysis, 1998, chapter 2).
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import Any

import numpy as np
from scipy import stats

SURE = 0.95
NEAR = 0.05  # of the mean: a line that no mean of an x lies further from is one for all that matters here

Interval = list[float]  # middle, low, high


def mean(values: Sequence[float]) -> Interval:
    """Mean with its 95% interval; of one value nothing is known, and the interval is NaN."""
    found = np.asarray(values, dtype=float)
    middle = float(found.mean())
    if len(found) < 2:
        return [middle, math.nan, math.nan]
    half = float(stats.t.ppf(0.5 + SURE / 2, len(found) - 1) * found.std(ddof=1) / math.sqrt(len(found)))
    return [middle, middle - half, middle + half]


def line(x: Sequence[float], y: Sequence[float]) -> dict[str, Any]:
    """Intercept and slope as [middle, low, high], residuals, and the form that the points have.

    ValueError for fewer than three points or a single x.
    """
    xs, ys = np.asarray(x, dtype=float), np.asarray(y, dtype=float)
    if len(xs) < 3 or len(set(xs.tolist())) < 2:
        raise ValueError("a line needs three points, at two values of x")
    intercept, slope, errors = _least_squares(xs, ys)
    wide = float(stats.t.ppf(0.5 + SURE / 2, len(xs) - 2))
    residuals = ys - intercept - slope * xs
    lack = _lack_of_fit(xs, ys, residuals)
    off = _furthest(xs, ys, residuals)
    linear = lack >= 1.0 - SURE or off < NEAR
    form = "linear" if linear else _form(xs, ys, float(np.sum(residuals**2)))
    return {
        "intercept": [intercept, intercept - wide * errors[0], intercept + wide * errors[0]],
        "slope": [slope, slope - wide * errors[1], slope + wide * errors[1]],
        "residuals": [float(r) for r in residuals],
        "points": len(xs),
        "lack_of_fit_p": lack,
        "furthest_part": off,
        "linear": bool(linear),
        "form": form,
    }


def _least_squares(xs: np.ndarray[Any, Any], ys: np.ndarray[Any, Any]) -> tuple[float, float, list[float]]:
    middle = float(xs.mean())
    spread = float(np.sum((xs - middle) ** 2))
    slope = float(np.sum((xs - middle) * (ys - ys.mean())) / spread)
    intercept = float(ys.mean() - slope * middle)
    left = float(np.sum((ys - intercept - slope * xs) ** 2)) / max(len(xs) - 2, 1)
    return (
        intercept,
        slope,
        [math.sqrt(left * (1 / len(xs) + middle**2 / spread)), math.sqrt(left / spread)],
    )


def _lack_of_fit(
    xs: np.ndarray[Any, Any], ys: np.ndarray[Any, Any], residuals: np.ndarray[Any, Any]
) -> float:
    """The p of the test; without repeats that of a curved term; 1 where neither can be had."""
    levels = sorted(set(xs.tolist()))
    pure = sum(float(np.sum((ys[xs == v] - ys[xs == v].mean()) ** 2)) for v in levels)
    free = len(xs) - len(levels)
    left = float(np.sum(residuals**2))
    if left <= 1e-18 * max(1.0, float(np.sum(ys**2))):
        return 1.0
    if len(levels) > 2 and free > 0:
        if pure <= 0.0:
            return 0.0
        ratio = ((left - pure) / (len(levels) - 2)) / (pure / free)
        return float(stats.f.sf(ratio, len(levels) - 2, free))
    if len(xs) < 4 or len(levels) < 3:
        return 1.0
    scaled = (xs - xs.mean()) / xs.std()
    curved = float(np.sum((ys - np.polyval(np.polyfit(scaled, ys, 2), scaled)) ** 2))
    if curved <= 1e-18 * max(1.0, float(np.sum(ys**2))):
        return 0.0
    ratio = (left - curved) / (curved / (len(xs) - 3))
    return float(stats.f.sf(ratio, 1, len(xs) - 3))


def _furthest(xs: np.ndarray[Any, Any], ys: np.ndarray[Any, Any], residuals: np.ndarray[Any, Any]) -> float:
    """How far the mean at any x lies from the line, as a part of the mean of all."""
    most = max(abs(float(residuals[xs == v].mean())) for v in set(xs.tolist()))
    whole = abs(float(ys.mean()))
    return most / whole if whole > 0.0 else math.inf


def _form(xs: np.ndarray[Any, Any], ys: np.ndarray[Any, Any], left: float) -> str:
    """Log for a + b ln x, power for a x^b, by the squares left; other where the line leaves fewest."""
    found = {"linear": left}
    if xs.min() > 0.0:
        a, b, _ = _least_squares(np.log(xs), ys)
        found["log"] = float(np.sum((ys - a - b * np.log(xs)) ** 2))
        if ys.min() > 0.0:
            a, b, _ = _least_squares(np.log(xs), np.log(ys))
            found["power"] = float(np.sum((ys - np.exp(a) * xs**b) ** 2))
    nearest = min(found, key=lambda form: found[form])
    return "other" if nearest == "linear" else nearest
