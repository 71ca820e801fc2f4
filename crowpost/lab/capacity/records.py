"""Reads the committed records of measurements, and a table of assumptions for what is not measured.

A missing record is None; one that cannot be read raises a RecordError with a message of one line.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from pathlib import Path
from typing import TypeVar

import msgspec
from msgspec import Struct, field

from crowpost.lab.capacity.figures import Figure, Origin
from crowpost.lab.scenario import ScenarioError
from crowpost.tables import Table, TableError, read_file

SOURCES = ("hollow", "real", "simulated")  # "hollow": a simulated node.
FORMS = ("linear", "log", "power", "other")  # "other": no form fits, and the straight line is used.
MEASURES = {
    "core_ms_per_s": ("core time", "%", 0.1),  # Converts ms of core time per second to percent of a core.
    "memory_bytes": ("memory", "B", 1.0),
    "bytes_per_s": ("bytes", "B/s", 1.0),
    "messages_per_s": ("messages", "/s", 1.0),
}


class RecordError(ScenarioError):
    """Raised for a record or table of assumptions that cannot be used; the message is one line."""


class Point(Struct):
    """One measured size or rate: `x` in the duty's unit, and the cost of one member there."""

    x: float
    source: str
    seconds: float
    measure: dict[str, float | None]
    members: int = 0  # Size of the cluster; 0 where x already is that size.


class Fit(Struct):
    """The line fitted to the points of a measure; each coefficient is mid, low and high.

    form: the form that fits best, which the coefficients do not describe unless it is linear.
    """

    intercept: tuple[float, float, float]
    slope: tuple[float, float, float]
    form: str = "linear"
    linear: bool = True
    source: str = "hollow"
    moved_by: float = 0.0  # Added to points of simulated nodes to match those of real processes.
    residuals: list[float] = field(default_factory=list)


class Agreement(Struct):
    """Comparison of simulated nodes ("hollow") and real processes at one size."""

    x: float
    measure: str
    hollow: tuple[float, float, float]
    real: tuple[float, float, float]
    agree: bool


class Duty(Struct):
    """A control duty measured alone, as the difference from an idle process within one run."""

    unit: str
    about: str = ""
    points: list[Point] = field(default_factory=list)
    fits: dict[str, Fit] = field(default_factory=dict)
    agreement: list[Agreement] = field(default_factory=list)


class FaultMeasurement(Struct):
    """One kind of failure as measured.  speed: how fast time passes; 2 is twice real time."""

    kind: str
    members: int
    source: str
    messages: float | None = None
    bytes_per_member: float | None = None
    settled_s: float | None = None
    lost: str = ""
    speed: float = 1.0
    seconds: float | None = None  # Duration of the failure.


class Slopes(Struct):
    """Content of `docs/capacity/slopes.json`."""

    schema: int
    revision: str
    at: str
    command: str = ""
    cores: int = 0
    seed: int = 0
    duties: dict[str, Duty] = field(default_factory=dict)
    troubles: list[FaultMeasurement] = field(default_factory=list)


class OverheadRun(Struct):
    """What a node adds to a call in one run of `crowpost lab overhead`."""

    chain: int
    requests: int
    added: dict[str, float | None]
    rate: float | None = None  # Calls per second; None in a closed loop.
    version: str = "now"
    servers: int = 0
    loop: str = ""
    machine_moves: dict[str, float | None] = field(default_factory=dict)
    core_us_per_request: float | None = None
    # The ends of the 95% interval of each percentile.
    added_95: dict[str, tuple[float, float] | None] = field(default_factory=dict)


class Overhead(Struct):
    """Content of `docs/capacity/overhead.json`."""

    schema: int
    revision: str
    at: str
    cores: int = 0
    runs: list[OverheadRun] = field(default_factory=list)


class FeedRun(Struct):
    """One run of the configuration feed with `nodes` followers."""

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
    revision: str = ""  # Set where the record has no common revision for all runs.
    at: str = ""


class Feed(Struct):
    """Content of `docs/capacity/feed.json`."""

    schema: int
    revision: str = ""
    at: str = ""
    runs: list[FeedRun] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Records:
    """All inputs of the page except the target."""

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
        entries = read_file(str(path))
        assumptions = {}
        for name in entries:
            table = Table(name, entries[name], ("value", "unit", "source"))
            value = table.number("value", math.nan, -1e15, 1e15)
            unit, source = table.text("unit"), table.text("source", required=True)
            unlabelled = Figure(value, value, value, unit, (Origin("assumed", name, source),))
            origin = Origin("assumed", f"{name.replace('_', ' ')} {unlabelled.text()}", f"assumed: {source}")
            assumptions[name] = Figure(value, value, value, unit, (origin,))
    except TableError as error:
        raise RecordError(f"{path}: {error}") from None
    return assumptions


def read(folder: Path) -> Records:
    """Return the records of a folder; the committed ones are in `docs/capacity`."""
    return Records(
        _record(folder / "slopes.json", Slopes),
        _record(folder / "overhead.json", Overhead),
        _record(folder / "feed.json", Feed),
        _assumed(folder / "assumed.toml"),
    )
