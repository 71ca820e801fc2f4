"""A number of the page: its value, its 95% interval, its unit, and the entries that it was worked out from.

Arithmetic keeps all four.  Intervals are combined by their ends, which is wider than independent errors would
be; all quantities are at least zero, so the least of one goes with the least of the other.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, replace

NOT_MEASURED = "not measured"
_SCALES = {"B": (1000.0, ("B", "kB", "MB", "GB")), "B/s": (1000.0, ("B/s", "kB/s", "MB/s", "GB/s"))}


@dataclass(frozen=True, slots=True)
class Origin:
    """Where a number is from.  kind: target, measured, assumed or code; entry: what it is called there."""

    kind: str
    entry: str
    about: str  # what a reader needs to find the run, or to judge the assumption


@dataclass(frozen=True, slots=True)
class Figure:
    """mid with low and high, in `unit`.  beyond: worked out for a size that nobody has measured."""

    mid: float
    low: float
    high: float
    unit: str
    origins: tuple[Origin, ...]
    beyond: bool = False

    def __post_init__(self) -> None:
        if not self.origins:
            raise ValueError("a figure without an origin")

    def _join(self, other: Figure | float, unit: str | None) -> tuple[Figure, str]:
        if not isinstance(other, Figure):
            other = Figure(other, other, other, "", self.origins)
        return other, self.unit if unit is None else unit

    def times(self, other: Figure | float, unit: str | None = None) -> Figure:
        """The product."""
        by, unit = self._join(other, unit)
        return _made(self.mid * by.mid, self.low * by.low, self.high * by.high, unit, (self, by))

    def over(self, other: Figure | float, unit: str | None = None) -> Figure:
        """The quotient; infinite over nothing."""
        by, unit = self._join(other, unit)
        return _made(
            _over(self.mid, by.mid), _over(self.low, by.high), _over(self.high, by.low), unit, (self, by)
        )

    def inverse(self, unit: str) -> Figure:
        """One over it."""
        return _made(_over(1.0, self.mid), _over(1.0, self.high), _over(1.0, self.low), unit, (self,))

    def plus(self, other: Figure | float) -> Figure:
        """The sum, in this one's unit."""
        by, unit = self._join(other, None)
        return _made(self.mid + by.mid, self.low + by.low, self.high + by.high, unit, (self, by))

    def minus(self, other: Figure | float) -> Figure:
        """The difference, in this one's unit; it may fall below zero."""
        by, unit = self._join(other, None)
        return _made(self.mid - by.mid, self.low - by.high, self.high - by.low, unit, (self, by))

    def to(self, unit: str) -> Figure:
        """The same number under another unit's name."""
        return replace(self, unit=unit)

    def text(self) -> str:
        """As it stands in the page: value, unit, and the interval where there is one."""
        factor, unit = _scale(self.unit, max(abs(self.mid), abs(self.high) / 10.0))
        shown = _number(self.mid / factor)
        if self.high > self.low:
            shown += f" [{_number(self.low / factor)}, {_number(self.high / factor)}]"
        return f"{shown}{'' if unit == '%' or not unit else ' '}{unit}{' *' if self.beyond else ''}"


def _over(a: float, b: float) -> float:
    return a / b if b else math.inf


def _made(mid: float, low: float, high: float, unit: str, parts: Iterable[Figure]) -> Figure:
    parts = list(parts)
    origins = tuple(dict.fromkeys(origin for part in parts for origin in part.origins))
    return Figure(mid, low, high, unit, origins, any(part.beyond for part in parts))


def _scale(unit: str, size: float) -> tuple[float, str]:
    if unit not in _SCALES or math.isinf(size):
        return 1.0, unit
    step, names = _SCALES[unit]
    place = min(len(names) - 1, max(0, int(math.log(size, step) + 1e-9))) if size >= 1.0 else 0
    return step**place, names[place]


def _number(value: float) -> str:
    """Three figures that count, no more; whole numbers from a hundred on."""
    if math.isinf(value):
        return "no end"
    if abs(value) >= 100.0 or value == int(value):
        return f"{value:,.0f}"
    return f"{float(f'{value:.3g}'):.{max(0, 2 - math.floor(math.log10(abs(value))))}f}" if value else "0"


def total(figures: Iterable[Figure | None]) -> tuple[Figure | None, bool]:
    """The sum of those that are known, and whether all of them are."""
    found: Figure | None = None
    whole = True
    for figure in figures:
        if figure is None:
            whole = False
        else:
            found = figure if found is None else found.plus(figure)
    return found, whole


def text(figure: Figure | None) -> str:
    """A figure's text, or that there is none."""
    return NOT_MEASURED if figure is None else figure.text()
