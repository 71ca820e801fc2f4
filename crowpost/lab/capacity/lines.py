"""The cost of a duty by its measured points: fitted lines with intervals, means, and slopes for events.

Ordinary least squares with Student's t (Draper and Smith, Applied Regression Analysis, 1998, chapter 1).
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from functools import cache
from statistics import fmean, stdev

from scipy.special import stdtrit

from crowpost.lab.capacity.figures import Figure, Origin
from crowpost.lab.capacity.records import FORMS, MEASURES, SOURCES, Duty, Fit, Point, Slopes

CONFIDENCE = 0.95
JUST_JOINED, JOINED_DUTY = "just joined", "joined"
MIN_POINTS = 3  # With fewer points a line has no residual, and so no interval.


def _transform(form: str, x: float) -> float:
    return math.log(x) if form in ("log", "power") else x


def _transform_points(form: str, xs: Sequence[float], ys: Sequence[float]) -> tuple[list[float], list[float]]:
    return [_transform(form, x) for x in xs], [math.log(y) if form == "power" else y for y in ys]


def fitted_points(slopes: Slopes, name: str, measure: str, fit: Fit) -> list[Point]:
    """Return the points that a fit is computed from, as the source of the fit names them.

    They are those of one kind of process, those of simulated nodes ("hollow") shifted to match real ones, or
    those of real processes plus real ones that had just joined, which the record keeps as a separate duty.
    """
    source, _, details = fit.source.partition(", ")
    points = [point for point in slopes.duties[name].points if point.source == source]
    if JUST_JOINED in details and JOINED_DUTY in slopes.duties:
        points += slopes.duties[JOINED_DUTY].points
    return [point for point in points if point.measure.get(measure) is not None]


def coordinates(points: Sequence[Point], measure: str, fit: Fit) -> tuple[list[float], list[float]]:
    """Return the x and y coordinates of the points, with y shifted as in the fit."""
    pairs = [(point.x, point.measure.get(measure)) for point in points]
    return [x for x, y in pairs if y is not None], [y + fit.moved_by for _, y in pairs if y is not None]


def _shift_uncertainty(duty: Duty, measure: str) -> float:
    """Return the uncertainty of the shift: the largest over the sizes where both kinds were measured."""
    compared = [sample for sample in duty.agreement if sample.measure == measure]
    return max(
        (
            math.hypot(sample.real[2] - sample.real[0], sample.hollow[2] - sample.hollow[0])
            for sample in compared
        ),
        default=0.0,
    )


def can_fit(form: str, xs: Sequence[float], ys: Sequence[float]) -> bool:
    """Return whether a line of this form can be fitted to the points, with residuals left for its error."""
    if len(xs) < MIN_POINTS or len(set(xs)) < 2:
        return False
    return form not in ("log", "power") or (min(xs) > 0.0 and (form == "log" or min(ys) > 0.0))


def fit_line(form: str, xs: Sequence[float], ys: Sequence[float]) -> tuple[float, float]:
    """Return intercept and slope by least squares, on the transformed axes of the form."""
    axis_xs, axis_ys = _transform_points(form, xs, ys)
    x_mean, y_mean = fmean(axis_xs), fmean(axis_ys)
    slope = sum(
        (x - x_mean) * (y - y_mean) for x, y in zip(axis_xs, axis_ys, strict=True)
    ) / _squared_deviations(axis_xs)
    return y_mean - slope * x_mean, slope


def _squared_deviations(numbers: Sequence[float]) -> float:
    mean = fmean(numbers)
    return sum((value - mean) ** 2 for value in numbers)


def _residual_deviation(form: str, xs: Sequence[float], ys: Sequence[float]) -> float:
    """Return the standard deviation of the residuals, with two degrees of freedom used by the line."""
    axis_xs, axis_ys = _transform_points(form, xs, ys)
    intercept, slope = fit_line(form, xs, ys)
    squares = sum((y - intercept - slope * x) ** 2 for x, y in zip(axis_xs, axis_ys, strict=True))
    return math.sqrt(squares / (len(xs) - 2))


def _origin(slopes: Slopes, name: str, method: str, points: Sequence[Point], suffix: str = "") -> Origin:
    unit = slopes.duties[name].unit
    xs = [point.x for point in points]
    span = f"at {xs[0]:g}" if len(set(xs)) == 1 else f"from {min(xs):g} to {max(xs):g}"
    about = (
        f"slopes.json, {name}: {method}, {len(points)} points {span} {unit} "
        f"in {sum(p.seconds for p in points):.0f} s, revision {slopes.revision[:12]} of {slopes.at[:10]}"
        + suffix
    )
    return Origin("measured", name, about)


def _points_from(duty: Duty, measure: str, source: str) -> list[Point]:
    return [
        point for point in duty.points if point.source == source and point.measure.get(measure) is not None
    ]


def cost_at(slopes: Slopes, name: str, measure: str, x: float) -> Figure | None:
    """Return the cost of the duty for one member at x, with its 95% interval (Student's t, of the mean at x).

    The line is fitted again to the points, in the form that the record names, as the interval at x needs all
    points.  Where real processes were found to differ from simulated nodes ("hollow"), the real ones count:
    their difference or their ratio at the size where both were measured, whichever costs more, is applied at
    x, unless the fit is of real processes itself.  A duty measured at only one x has the mean there.
    """
    duty = slopes.duties.get(name)
    if duty is None or measure not in MEASURES:
        return None
    _, unit, factor = MEASURES[measure]
    fit = duty.fits.get(measure)
    if fit is None:
        return _mean(slopes, name, measure)
    points = fitted_points(slopes, name, measure, fit)
    xs, ys = coordinates(points, measure, fit)
    if fit.form not in FORMS or not can_fit(fit.form, xs, ys):
        return None
    mid, half_width = _predict(fit.form, xs, ys, x)
    if fit.moved_by:
        half_width = math.hypot(half_width, _shift_uncertainty(duty, measure))
    offset, factor_by_real, suffix = 0.0, 1.0, ""
    disagreements = [sample for sample in duty.agreement if sample.measure == measure and not sample.agree]
    if disagreements and fit.source == "hollow":
        largest = max(disagreements, key=lambda sample: sample.x)
        simulated = largest.hollow[0]
        ratio = largest.real[0] / simulated if simulated > 0.0 else 1.0
        if mid * ratio >= mid + largest.real[0] - simulated:
            factor_by_real = ratio
        else:
            offset = largest.real[0] - simulated
        suffix = f"; real processes differ at {largest.x:g}, and count"
    low, high = (
        max(0.0, (mid - half_width) * factor_by_real + offset),
        max(0.0, (mid + half_width) * factor_by_real + offset),
    )
    origin = _origin(slopes, name, f"{fit.source}, {fit.form}", points, suffix)
    value = max(0.0, mid * factor_by_real + offset)
    return Figure(
        value * factor, low * factor, high * factor, unit, (origin,), extrapolated=x > max(xs) * 1.001
    )


def _mean(slopes: Slopes, name: str, measure: str) -> Figure | None:
    """Return the mean of all points at one x, of real processes if there are any."""
    duty = slopes.duties[name]
    source = next(
        (candidate for candidate in ("real", *SOURCES) if len(_points_from(duty, measure, candidate)) > 1),
        None,
    )
    if source is None:
        return None
    points = _points_from(duty, measure, source)
    if len({point.x for point in points}) > 1:
        return None
    _, unit, factor = MEASURES[measure]
    _, ys = coordinates(points, measure, Fit((0.0, 0.0, 0.0), (0.0, 0.0, 0.0)))
    half_width = _t_quantile(len(ys) - 1) * stdev(ys) / math.sqrt(len(ys))
    mean = fmean(ys)
    low, high = max(0.0, mean - half_width) * factor, (mean + half_width) * factor
    return Figure(mean * factor, low, high, unit, (_origin(slopes, name, f"{source}, mean", points),))


def cost_of_events(slopes: Slopes, name: str, measure: str, x: float, members: float) -> Figure | None:
    """Return what x events per second add, by the slope of the line alone, with its 95% interval.

    members: size of the cluster in question; if it exceeds the measured one, the figure is extrapolated.
    """
    duty = slopes.duties.get(name)
    fit = duty.fits.get(measure) if duty is not None else None
    if duty is None or fit is None or measure not in MEASURES:
        return None
    points = fitted_points(slopes, name, measure, fit)
    xs, ys = coordinates(points, measure, fit)
    if not can_fit("linear", xs, ys):
        return None
    _, slope = fit_line("linear", xs, ys)
    half_width = (
        _t_quantile(len(xs) - 2) * _residual_deviation("linear", xs, ys) / math.sqrt(_squared_deviations(xs))
    )
    _, unit, factor = MEASURES[measure]
    low, mid, high = (
        max(0.0, value) * x * factor for value in (slope - half_width, slope, slope + half_width)
    )
    measured_members = max(point.members for point in points)
    origin = _origin(
        slopes,
        name,
        f"{fit.source}, slope",
        points,
        f"; {measured_members} members" if measured_members else "",
    )
    return Figure(
        mid,
        low,
        high,
        unit,
        (origin,),
        extrapolated=bool(measured_members) and members > measured_members * 1.001,
    )


@cache
def _t_quantile(degrees_of_freedom: int) -> float:
    """Return the quantile of Student's t for the interval."""
    return float(stdtrit(degrees_of_freedom, 0.5 + CONFIDENCE / 2))


def _predict(form: str, xs: Sequence[float], ys: Sequence[float], x: float) -> tuple[float, float]:
    """Return the value at x and half its interval; for the power form the wider (upper) half."""
    intercept, slope = fit_line(form, xs, ys)
    axis_xs, _ = _transform_points(form, xs, ys)
    axis_x = _transform(form, x)
    half_width = (
        _t_quantile(len(xs) - 2)
        * _residual_deviation(form, xs, ys)
        * math.sqrt(1 / len(xs) + (axis_x - fmean(axis_xs)) ** 2 / _squared_deviations(axis_xs))
    )
    value = intercept + slope * axis_x
    if form == "power":
        return math.exp(value), math.exp(value) * math.expm1(half_width)
    return value, half_width
