"""Least-squares lines through measured points, with 95% intervals and a test of linearity.

Intervals use Student's t. The lack-of-fit test compares the squared deviations of the means at each x from
the line with those among points of equal x (Draper and Smith, Applied Regression Analysis, 1998, chapter 2).
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import Any

import numpy as np
from scipy import stats

CONFIDENCE = 0.95
# A line counts as linear if the mean at every x deviates by less than this fraction of the overall mean.
LINEARITY_TOLERANCE = 0.05

# Middle, low, high.
Interval = list[float]


def mean(values: Sequence[float]) -> Interval:
    """Return the mean with its 95% interval; the interval of a single value is NaN."""
    data = np.asarray(values, dtype=float)
    centre = float(data.mean())
    if len(data) < 2:
        return [centre, math.nan, math.nan]
    half_width = float(
        stats.t.ppf(0.5 + CONFIDENCE / 2, len(data) - 1) * data.std(ddof=1) / math.sqrt(len(data))
    )
    return [centre, centre - half_width, centre + half_width]


def line(x: Sequence[float], y: Sequence[float]) -> dict[str, Any]:
    """Return intercept and slope as [middle, low, high], the residuals, and the form of the curve.

    Raises ValueError for fewer than three points or a single x.
    """
    xs, ys = np.asarray(x, dtype=float), np.asarray(y, dtype=float)
    if len(xs) < 3 or len(set(xs.tolist())) < 2:
        raise ValueError("a line needs three points, at two values of x")
    intercept, slope, standard_errors = _least_squares(xs, ys)
    t_quantile = float(stats.t.ppf(0.5 + CONFIDENCE / 2, len(xs) - 2))
    residuals = ys - intercept - slope * xs
    lack_of_fit_p = _lack_of_fit(xs, ys, residuals)
    largest_deviation = _largest_relative_deviation(xs, ys, residuals)
    linear = lack_of_fit_p >= 1.0 - CONFIDENCE or largest_deviation < LINEARITY_TOLERANCE
    form = "linear" if linear else _form(xs, ys, float(np.sum(residuals**2)))
    return {
        "intercept": [
            intercept,
            intercept - t_quantile * standard_errors[0],
            intercept + t_quantile * standard_errors[0],
        ],
        "slope": [slope, slope - t_quantile * standard_errors[1], slope + t_quantile * standard_errors[1]],
        "residuals": [float(residual) for residual in residuals],
        "points": len(xs),
        "lack_of_fit_p": lack_of_fit_p,
        "furthest_part": largest_deviation,
        "linear": bool(linear),
        "form": form,
    }


def _least_squares(xs: np.ndarray[Any, Any], ys: np.ndarray[Any, Any]) -> tuple[float, float, list[float]]:
    mean_x = float(xs.mean())
    spread = float(np.sum((xs - mean_x) ** 2))
    slope = float(np.sum((xs - mean_x) * (ys - ys.mean())) / spread)
    intercept = float(ys.mean() - slope * mean_x)
    variance = float(np.sum((ys - intercept - slope * xs) ** 2)) / max(len(xs) - 2, 1)
    return (
        intercept,
        slope,
        [math.sqrt(variance * (1 / len(xs) + mean_x**2 / spread)), math.sqrt(variance / spread)],
    )


def _lack_of_fit(
    xs: np.ndarray[Any, Any], ys: np.ndarray[Any, Any], residuals: np.ndarray[Any, Any]
) -> float:
    """Return the p-value of the lack-of-fit test.

    Without repeated x values it is the p-value of a quadratic term; 1 if neither test is possible.
    """
    x_values = sorted(set(xs.tolist()))
    pure_error = sum(float(np.sum((ys[xs == value] - ys[xs == value].mean()) ** 2)) for value in x_values)
    degrees_of_freedom = len(xs) - len(x_values)
    residual_squares = float(np.sum(residuals**2))
    if residual_squares <= 1e-18 * max(1.0, float(np.sum(ys**2))):
        return 1.0
    if len(x_values) > 2 and degrees_of_freedom > 0:
        if pure_error <= 0.0:
            return 0.0
        f_statistic = ((residual_squares - pure_error) / (len(x_values) - 2)) / (
            pure_error / degrees_of_freedom
        )
        return float(stats.f.sf(f_statistic, len(x_values) - 2, degrees_of_freedom))
    if len(xs) < 4 or len(x_values) < 3:
        return 1.0
    scaled = (xs - xs.mean()) / xs.std()
    quadratic_squares = float(np.sum((ys - np.polyval(np.polyfit(scaled, ys, 2), scaled)) ** 2))
    if quadratic_squares <= 1e-18 * max(1.0, float(np.sum(ys**2))):
        return 0.0
    f_statistic = (residual_squares - quadratic_squares) / (quadratic_squares / (len(xs) - 3))
    return float(stats.f.sf(f_statistic, 1, len(xs) - 3))


def _largest_relative_deviation(
    xs: np.ndarray[Any, Any], ys: np.ndarray[Any, Any], residuals: np.ndarray[Any, Any]
) -> float:
    """Return the largest distance of the mean at an x from the line, as a fraction of the overall mean."""
    largest = max(abs(float(residuals[xs == value].mean())) for value in set(xs.tolist()))
    overall_mean = abs(float(ys.mean()))
    return largest / overall_mean if overall_mean > 0.0 else math.inf


def _form(xs: np.ndarray[Any, Any], ys: np.ndarray[Any, Any], linear_squares: float) -> str:
    """Return the form with the least squared residuals: "log" for a + b ln x, "power" for a x^b.

    Returns "other" if the line has the least.
    """
    squares_by_form = {"linear": linear_squares}
    if xs.min() > 0.0:
        a, b, _ = _least_squares(np.log(xs), ys)
        squares_by_form["log"] = float(np.sum((ys - a - b * np.log(xs)) ** 2))
        if ys.min() > 0.0:
            a, b, _ = _least_squares(np.log(xs), np.log(ys))
            squares_by_form["power"] = float(np.sum((ys - np.exp(a) * xs**b) ** 2))
    best_form = min(squares_by_form, key=lambda form: squares_by_form[form])
    return "other" if best_form == "linear" else best_form
