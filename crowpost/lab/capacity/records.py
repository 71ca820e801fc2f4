"""What others measured, from their committed records; what nobody measured, from a table of assumptions.

A record that is not there is None; one that cannot be read is a RecordError of one line.
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

SOURCES = ("hollow", "real", "simulated")
FORMS = ("linear", "log", "power", "other")  # other: none of them fits, and the line stands for what is
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
    moved_by: float = 0.0  # added to the points of hollow nodes, to come to where real ones lie
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
            unit, source = table.text("unit"), table.text("source", required=True)
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
