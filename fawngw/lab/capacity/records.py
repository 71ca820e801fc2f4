"""What others measured, from their committed records; what nobody measured, from a table of assumptions.

A record that is not there is None; one that cannot be read is a RecordError of one line.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

import msgspec
import numpy as np
from msgspec import Struct, field
from scipy.special import stdtrit

from fawngw.lab.capacity.figures import Figure, Origin
from fawngw.lab.scenario import ScenarioError
from fawngw.tables import Table, TableError, read_file

SOURCES = ("hollow", "real", "simulated")
FORMS = ("linear", "log", "power", "other")  # other: none of them fits, and the line stands for what is
CONFIDENCE = 0.95
LEAST_POINTS = 3  # below that a line has no residual, and so no interval
TOLD_APART = 0.02  # of the largest value: by more a fit is not the one that its points give
MEASURES = {
    "core_ms_per_s": ("core time", "%", 0.1),  # ms of a core in a second, as percent of it
    "memory_bytes": ("memory", "B", 1.0),
    "bytes_per_s": ("bytes", "B/s", 1.0),
    "messages_per_s": ("messages", "/s", 1.0),
}


class RecordError(ScenarioError):
    """A record or a table of assumptions that cannot be used; its text is one line."""


class Point(Struct):
    """One measured size or rate: `x` in the duty's unit, and the cost of one member there."""

    x: float
    source: str
    seconds: float
    measure: dict[str, float | None]
    members: int = 0  # of the cluster, where x is not that


class Fit(Struct):
    """The line through a measure's points, as mid, low, high; form: what fits better than the line."""

    intercept: tuple[float, float, float]
    slope: tuple[float, float, float]
    form: str = "linear"
    linear: bool = True
    source: str = "hollow"
    residuals: list[float] = field(default_factory=list)


class Agreement(Struct):
    """Hollow beside real processes at one size."""

    x: float
    measure: str
    hollow: tuple[float, float, float]
    real: tuple[float, float, float]
    agree: bool


class Duty(Struct):
    """A control duty as it was measured alone, in difference from idle within one run."""

    unit: str
    about: str = ""
    points: list[Point] = field(default_factory=list)
    fits: dict[str, Fit] = field(default_factory=dict)
    agreement: list[Agreement] = field(default_factory=list)


class Trouble(Struct):
    """One kind of failure as it was played.  speed: of time; 2 is twice as fast as in life."""

    kind: str
    members: int
    source: str
    messages: float | None = None
    bytes_per_member: float | None = None
    settled_s: float | None = None
    lost: str = ""
    speed: float = 1.0
    seconds: float | None = None  # that it lasted


class Slopes(Struct):
    """`docs/capacity/slopes.json`."""

    schema: int
    revision: str
    at: str
    command: str = ""
    cores: int = 0
    seed: int = 0
    duties: dict[str, Duty] = field(default_factory=dict)
    troubles: list[Trouble] = field(default_factory=list)


class OverheadRun(Struct):
    """What a node adds to a call, in one run of `crowpost lab overhead`."""

    chain: int
    requests: int
    added: dict[str, float | None]
    rate: float | None = None  # None in a closed loop
    version: str = "now"
    servers: int = 0
    loop: str = ""
    machine_moves: dict[str, float | None] = field(default_factory=dict)
    core_us_per_request: float | None = None
    added_95: dict[str, tuple[float, float] | None] = field(default_factory=dict)  # low and high


class Overhead(Struct):
    """`docs/capacity/overhead.json`."""

    schema: int
    revision: str
    at: str
    cores: int = 0
    runs: list[OverheadRun] = field(default_factory=list)


class FeedRun(Struct):
    """One run of the feed with `nodes` followers."""

    case: str
    nodes: int
    source: str
    in_force_s: dict[str, float | None]
    seed: int = 0
    node_bytes_per_s: float | None = None
    node_core_percent: float | None = None
    relay_bytes_per_s: float | None = None
    publisher_bytes_per_s: float | None = None
    unreached: int = 0
    revision: str = ""  # of this run, where the record does not name one for all
    at: str = ""


class Feed(Struct):
    """`docs/capacity/feed.json`."""

    schema: int
    revision: str = ""
    at: str = ""
    runs: list[FeedRun] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Records:
    """All that the page stands on beside the target."""

    slopes: Slopes | None
    overhead: Overhead | None
    feed: Feed | None
    assumed: dict[str, Figure]


T = TypeVar("T")


def _record(path: Path, kind: type[T]) -> T | None:
    try:
        return msgspec.json.decode(path.read_bytes(), type=kind)
    except FileNotFoundError:
        return None
    except (OSError, msgspec.DecodeError) as error:
        raise RecordError(f"{path}: {' '.join(str(error).split())}") from None


def _assumed(path: Path) -> dict[str, Figure]:
    try:
        raw = read_file(str(path))
        found = {}
        for name in raw:
            table = Table(name, raw[name], ("value", "unit", "source"))
            value = table.number("value", math.nan, -1e15, 1e15)
            unit, source = table.text("unit"), table.text("source", needed=True)
            bare = Figure(value, value, value, unit, (Origin("assumed", name, source),))
            origin = Origin("assumed", f"{name.replace('_', ' ')} {bare.text()}", f"assumed: {source}")
            found[name] = Figure(value, value, value, unit, (origin,))
    except TableError as error:
        raise RecordError(f"{path}: {error}") from None
    return found


def read(folder: Path) -> Records:
    """The records of a folder, `docs/capacity` as it is shipped."""
    return Records(
        _record(folder / "slopes.json", Slopes),
        _record(folder / "overhead.json", Overhead),
        _record(folder / "feed.json", Feed),
        _assumed(folder / "assumed.toml"),
    )


# ------------------------------------------------------------ a duty's cost from its points


def _axis(form: str, x: Any) -> Any:
    return np.log(x) if form in ("log", "power") else x


def _values(duty: Duty, measure: str, source: str) -> tuple[list[float], list[float]]:
    """The points of a source that hold the measure: where, and what."""
    kept = [(p.x, p.measure.get(measure)) for p in duty.points if p.source == source]
    return [x for x, y in kept if y is not None], [y for _, y in kept if y is not None]


def _fits(form: str, xs: Sequence[float], ys: Sequence[float]) -> bool:
    """Whether a line of this form can be laid through the points, with something left to tell its error."""
    if len(xs) < LEAST_POINTS or len(set(xs)) < 2:
        return False
    return form not in ("log", "power") or (min(xs) > 0.0 and (form == "log" or min(ys) > 0.0))


def _line(form: str, xs: Sequence[float], ys: Sequence[float]) -> tuple[float, float]:
    """Intercept and slope by least squares, in the form's own axes."""
    y = np.log(ys) if form == "power" else np.asarray(ys)
    slope, intercept = np.polyfit(_axis(form, np.asarray(xs, dtype=float)), y, 1)
    return float(intercept), float(slope)


def _origin(slopes: Slopes, name: str, how: str, points: Sequence[Point], more: str = "") -> Origin:
    unit = slopes.duties[name].unit
    xs = [p.x for p in points]
    span = f"at {xs[0]:g}" if len(set(xs)) == 1 else f"from {min(xs):g} to {max(xs):g}"
    about = (
        f"slopes.json, {name}: {points[0].source}, {how}, {len(points)} points {span} {unit} "
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
    xs, ys = _values(duty, measure, fit.source)
    if fit.form not in FORMS or not _fits(fit.form, xs, ys):
        return None
    mid, half = _predict(fit.form, xs, ys, x)
    add, times, more = 0.0, 1.0, ""
    apart = [a for a in duty.agreement if a.measure == measure and not a.agree]
    if apart and fit.source != "real":
        one = max(apart, key=lambda a: a.x)
        hollow = one.hollow[0]
        ratio = one.real[0] / hollow if hollow > 0.0 else 1.0
        if mid * ratio >= mid + one.real[0] - hollow:
            times = ratio
        else:
            add = one.real[0] - hollow
        more = f"; real processes differ at {one.x:g}, and count"
    low, high = max(0.0, (mid - half) * times + add), max(0.0, (mid + half) * times + add)
    origin = _origin(slopes, name, fit.form, _points(duty, measure, fit.source), more)
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
    _, ys = _values(duty, measure, source)
    half = _wide(len(ys) - 1) * float(np.std(ys, ddof=1)) / math.sqrt(len(ys))
    mid = float(np.mean(ys))
    low, high = max(0.0, mid - half) * factor, (mid + half) * factor
    return Figure(mid * factor, low, high, unit, (_origin(slopes, name, "mean", points),))


def rise(slopes: Slopes, name: str, measure: str, x: float, members: float) -> Figure | None:
    """What x events a second add, by the slope of the line alone, with its 95% interval.

    members: of the cluster that it is wanted for; one larger than the measured one is beyond what is known.
    """
    duty = slopes.duties.get(name)
    fit = duty.fits.get(measure) if duty is not None else None
    if duty is None or fit is None or measure not in MEASURES:
        return None
    xs, ys = _values(duty, measure, fit.source)
    if not _fits("linear", xs, ys):
        return None
    intercept, slope = _line("linear", xs, ys)
    u, y = np.asarray(xs, dtype=float), np.asarray(ys, dtype=float)
    spread = float(np.sum((u - u.mean()) ** 2))
    error = math.sqrt(float(np.sum((y - intercept - slope * u) ** 2)) / (len(xs) - 2) / spread)
    half = _wide(len(xs) - 2) * error
    _, unit, factor = MEASURES[measure]
    low, mid, high = (max(0.0, value) * x * factor for value in (slope - half, slope, slope + half))
    points = _points(duty, measure, fit.source)
    size = max(p.members for p in points)
    origin = _origin(slopes, name, "slope", points, f"; {size} members" if size else "")
    return Figure(mid, low, high, unit, (origin,), beyond=bool(size) and members > size * 1.001)


def _wide(freedom: int) -> float:
    """Student's t for the interval."""
    return float(stdtrit(freedom, 0.5 + CONFIDENCE / 2))


def _predict(form: str, xs: Sequence[float], ys: Sequence[float], x: float) -> tuple[float, float]:
    """The value at x and half its interval; for a power that of its logarithm, the wider side."""
    intercept, slope = _line(form, xs, ys)
    u = _axis(form, np.asarray(xs, dtype=float))
    y = np.log(ys) if form == "power" else np.asarray(ys)
    spread = float(np.sum((u - u.mean()) ** 2))
    freedom = len(xs) - 2
    error = math.sqrt(float(np.sum((y - intercept - slope * u) ** 2)) / freedom)
    to = float(_axis(form, np.float64(x)))
    half = (
        float(stdtrit(freedom, 0.5 + CONFIDENCE / 2))
        * error
        * math.sqrt(1 / len(xs) + (to - float(u.mean())) ** 2 / spread)
    )
    mid = intercept + slope * to
    if form == "power":
        return math.exp(mid), math.exp(mid) * math.expm1(half)
    return mid, half


# ------------------------------------------------------------ whether there is a run behind what is told


def unbacked(records: Records) -> list[str]:
    """One line for each thing in the records that no run stands behind."""
    found = []
    for name, record in (("slopes", records.slopes), ("overhead", records.overhead)):
        if record is not None and not (record.revision and record.at):
            found.append(f"{name}.json: names no revision or date")
    if records.slopes is not None:
        if not records.slopes.command:
            found.append("slopes.json: names no command")
        for name, duty in records.slopes.duties.items():
            found += [f"slopes.json, {name}: {line}" for line in _unbacked_duty(duty)]
        for t in records.slopes.troubles:
            if not any(source in t.source for source in SOURCES) or t.members < 1:
                found.append(f"slopes.json, trouble {t.kind}: no source or no members")
    for i, run in enumerate(records.overhead.runs if records.overhead else ()):
        if run.requests < 1:
            found.append(f"overhead.json, run {i}: no requests were made")
    for i, one in enumerate(records.feed.runs if records.feed else ()):
        if records.feed and not ((one.revision or records.feed.revision) and (one.at or records.feed.at)):
            found.append(f"feed.json, run {i}: names no revision or date")
        if one.source not in SOURCES or one.nodes < 1:
            found.append(f"feed.json, run {i}: no source or no nodes")
    return found


def _unbacked_duty(duty: Duty) -> list[str]:
    found = []
    for p in duty.points:
        if p.source not in SOURCES or p.seconds <= 0.0:
            found.append(f"the point at {p.x:g} has no source or no seconds")
    for measure, fit in duty.fits.items():
        xs, ys = _values(duty, measure, fit.source)
        if fit.form not in FORMS:
            found.append(f"{measure} as {fit.form}: no such form")
        elif not _fits(fit.form, xs, ys):
            found.append(f"the fit of {measure} has {len(xs)} points of {fit.source} behind it")
        else:
            intercept, slope = _line("linear", xs, ys)  # the record holds the line, whatever form fits better
            most = max(max(abs(y) for y in ys), 1e-12)
            for x in xs:
                told = fit.intercept[0] + fit.slope[0] * x
                if abs(told - intercept - slope * x) > TOLD_APART * most:
                    found.append(f"the fit of {measure} is not what its points give at {x:g}")
                    break
    return found
