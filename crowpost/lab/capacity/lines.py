"""What a duty costs by its points: lines with intervals, means, and slopes for what happens now and then.

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
JOINED, JOINED_DUTY = "just joined", "joined"
LEAST_POINTS = 3  # below that a line has no residual, and so no interval


def _axis(form: str, x: float) -> float:
    return math.log(x) if form in ("log", "power") else x


def _axes(form: str, xs: Sequence[float], ys: Sequence[float]) -> tuple[list[float], list[float]]:
    return [_axis(form, x) for x in xs], [math.log(y) if form == "power" else y for y in ys]


def points_of(slopes: Slopes, name: str, measure: str, fit: Fit) -> list[Point]:
    """The points that a fit was laid through.

    Its source names them: of one kind of process, those of hollow ones moved to real ones, or those of real
    ones with more of real ones that had just joined, which the record keeps as a duty of its own.
    """
    kind, _, more = fit.source.partition(", ")
    found = [p for p in slopes.duties[name].points if p.source == kind]
    if JOINED in more and JOINED_DUTY in slopes.duties:
        found += slopes.duties[JOINED_DUTY].points
    return [p for p in found if p.measure.get(measure) is not None]


def values(points: Sequence[Point], measure: str, fit: Fit) -> tuple[list[float], list[float]]:
    """Where the points are, and what they are, moved as the fit is."""
    kept = [(p.x, p.measure.get(measure)) for p in points]
    return [x for x, y in kept if y is not None], [y + fit.moved_by for _, y in kept if y is not None]


def _slack(duty: Duty, measure: str) -> float:
    """How wide the moving is itself: the worst of the sizes where both kinds were measured."""
    both = [a for a in duty.agreement if a.measure == measure]
    return max((math.hypot(a.real[2] - a.real[0], a.hollow[2] - a.hollow[0]) for a in both), default=0.0)


def fits(form: str, xs: Sequence[float], ys: Sequence[float]) -> bool:
    """Whether a line of this form can be laid through the points, with something left to tell its error."""
    if len(xs) < LEAST_POINTS or len(set(xs)) < 2:
        return False
    return form not in ("log", "power") or (min(xs) > 0.0 and (form == "log" or min(ys) > 0.0))


def line(form: str, xs: Sequence[float], ys: Sequence[float]) -> tuple[float, float]:
    """Intercept and slope by least squares, in the form's own axes."""
    u, y = _axes(form, xs, ys)
    u_mid, y_mid = fmean(u), fmean(y)
    slope = sum((a - u_mid) * (b - y_mid) for a, b in zip(u, y, strict=True)) / _spread(u)
    return y_mid - slope * u_mid, slope


def _spread(values: Sequence[float]) -> float:
    mid = fmean(values)
    return sum((value - mid) ** 2 for value in values)


def _error(form: str, xs: Sequence[float], ys: Sequence[float]) -> float:
    """The standard deviation of what the line leaves, with two degrees of freedom spent on it."""
    u, y = _axes(form, xs, ys)
    intercept, slope = line(form, xs, ys)
    left = sum((b - intercept - slope * a) ** 2 for a, b in zip(u, y, strict=True))
    return math.sqrt(left / (len(xs) - 2))


def _origin(slopes: Slopes, name: str, how: str, points: Sequence[Point], more: str = "") -> Origin:
    unit = slopes.duties[name].unit
    xs = [p.x for p in points]
    span = f"at {xs[0]:g}" if len(set(xs)) == 1 else f"from {min(xs):g} to {max(xs):g}"
    about = (
        f"slopes.json, {name}: {how}, {len(points)} points {span} {unit} "
        f"in {sum(p.seconds for p in points):.0f} s, revision {slopes.revision[:12]} of {slopes.at[:10]}"
        + more
    )
    return Origin("measured", name, about)


def _points(duty: Duty, measure: str, source: str) -> list[Point]:
    return [p for p in duty.points if p.source == source and p.measure.get(measure) is not None]


def at(slopes: Slopes, name: str, measure: str, x: float) -> Figure | None:
    """What one member spends on the duty at x, with its 95% interval (Student's t, of the mean at x).

    Worked out anew from the points, in the form that the record names: the interval at x needs them all.
    Where real processes were found to differ from hollow ones, the real ones count: the dearer of their
    difference and their ratio at the size where both were measured is carried over to x, unless the fit is
    of real ones itself.  A duty that was measured at one x alone is told by the mean there.
    """
    duty = slopes.duties.get(name)
    if duty is None or measure not in MEASURES:
        return None
    _, unit, factor = MEASURES[measure]
    fit = duty.fits.get(measure)
    if fit is None:
        return _mean(slopes, name, measure)
    points = points_of(slopes, name, measure, fit)
    xs, ys = values(points, measure, fit)
    if fit.form not in FORMS or not fits(fit.form, xs, ys):
        return None
    mid, half = _predict(fit.form, xs, ys, x)
    if fit.moved_by:
        half = math.hypot(half, _slack(duty, measure))
    add, times, more = 0.0, 1.0, ""
    apart = [a for a in duty.agreement if a.measure == measure and not a.agree]
    if apart and fit.source == "hollow":
        one = max(apart, key=lambda a: a.x)
        hollow = one.hollow[0]
        ratio = one.real[0] / hollow if hollow > 0.0 else 1.0
        if mid * ratio >= mid + one.real[0] - hollow:
            times = ratio
        else:
            add = one.real[0] - hollow
        more = f"; real processes differ at {one.x:g}, and count"
    low, high = max(0.0, (mid - half) * times + add), max(0.0, (mid + half) * times + add)
    origin = _origin(slopes, name, f"{fit.source}, {fit.form}", points, more)
    value = max(0.0, mid * times + add)
    return Figure(value * factor, low * factor, high * factor, unit, (origin,), beyond=x > max(xs) * 1.001)


def _mean(slopes: Slopes, name: str, measure: str) -> Figure | None:
    """The mean of all points at one x, of real processes where there are any."""
    duty = slopes.duties[name]
    source = next((s for s in ("real", *SOURCES) if len(_points(duty, measure, s)) > 1), None)
    if source is None:
        return None
    points = _points(duty, measure, source)
    if len({p.x for p in points}) > 1:
        return None
    _, unit, factor = MEASURES[measure]
    _, ys = values(points, measure, Fit((0.0, 0.0, 0.0), (0.0, 0.0, 0.0)))
    half = _wide(len(ys) - 1) * stdev(ys) / math.sqrt(len(ys))
    mid = fmean(ys)
    low, high = max(0.0, mid - half) * factor, (mid + half) * factor
    return Figure(mid * factor, low, high, unit, (_origin(slopes, name, f"{source}, mean", points),))


def rise(slopes: Slopes, name: str, measure: str, x: float, members: float) -> Figure | None:
    """What x events a second add, by the slope of the line alone, with its 95% interval.

    members: of the cluster that it is wanted for; one larger than the measured one is beyond what is known.
    """
    duty = slopes.duties.get(name)
    fit = duty.fits.get(measure) if duty is not None else None
    if duty is None or fit is None or measure not in MEASURES:
        return None
    points = points_of(slopes, name, measure, fit)
    xs, ys = values(points, measure, fit)
    if not fits("linear", xs, ys):
        return None
    _, slope = line("linear", xs, ys)
    half = _wide(len(xs) - 2) * _error("linear", xs, ys) / math.sqrt(_spread(xs))
    _, unit, factor = MEASURES[measure]
    low, mid, high = (max(0.0, value) * x * factor for value in (slope - half, slope, slope + half))
    size = max(p.members for p in points)
    origin = _origin(slopes, name, f"{fit.source}, slope", points, f"; {size} members" if size else "")
    return Figure(mid, low, high, unit, (origin,), beyond=bool(size) and members > size * 1.001)


@cache
def _wide(freedom: int) -> float:
    """Student's t for the interval."""
    return float(stdtrit(freedom, 0.5 + CONFIDENCE / 2))


def _predict(form: str, xs: Sequence[float], ys: Sequence[float], x: float) -> tuple[float, float]:
    """The value at x and half its interval; for a power that of its logarithm, the wider side."""
    intercept, slope = line(form, xs, ys)
    u, _ = _axes(form, xs, ys)
    to = _axis(form, x)
    half = (
        _wide(len(xs) - 2) * _error(form, xs, ys) * math.sqrt(1 / len(xs) + (to - fmean(u)) ** 2 / _spread(u))
    )
    mid = intercept + slope * to
    if form == "power":
        return math.exp(mid), math.exp(mid) * math.expm1(half)
    return mid, half
