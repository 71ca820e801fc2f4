"""Numbers of the page, each with its value, 95% interval, unit and the entries that it is computed from.

Arithmetic keeps all four.  Intervals are combined by their ends, which is wider than independent errors would
be.  All quantities are at least zero, so a product's lower end is the product of the lower ends.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, replace

NOT_MEASURED = "not measured"
_SCALES = {"B": (1000.0, ("B", "kB", "MB", "GB")), "B/s": (1000.0, ("B/s", "kB/s", "MB/s", "GB/s"))}


@dataclass(frozen=True, slots=True)
class Origin:
    """The source of a number.  kind: target, measured, assumed or code; entry: its name in that source."""

    kind: str
    entry: str
    about: str  # Details that identify the run, or that help to judge the assumption.


@dataclass(frozen=True, slots=True)
class Figure:
    """The value `mid` and its interval, in `unit`.  extrapolated: for a size beyond those measured."""

    mid: float
    low: float
    high: float
    unit: str
    origins: tuple[Origin, ...]
    extrapolated: bool = False

    def __post_init__(self) -> None:
        if not self.origins:
            raise ValueError("a figure needs at least one origin")

    def _operand(self, other: Figure | float, unit: str | None) -> tuple[Figure, str]:
        if not isinstance(other, Figure):
            other = Figure(other, other, other, "", self.origins)
        return other, self.unit if unit is None else unit

    def times(self, other: Figure | float, unit: str | None = None) -> Figure:
        """Return the product."""
        operand, unit = self._operand(other, unit)
        return _derived(
            self.mid * operand.mid, self.low * operand.low, self.high * operand.high, unit, (self, operand)
        )

    def over(self, other: Figure | float, unit: str | None = None) -> Figure:
        """Return the quotient, which is infinite for a divisor of zero."""
        operand, unit = self._operand(other, unit)
        return _derived(
            _quotient(self.mid, operand.mid),
            _quotient(self.low, operand.high),
            _quotient(self.high, operand.low),
            unit,
            (self, operand),
        )

    def inverse(self, unit: str) -> Figure:
        """Return the reciprocal."""
        return _derived(
            _quotient(1.0, self.mid), _quotient(1.0, self.high), _quotient(1.0, self.low), unit, (self,)
        )

    def plus(self, other: Figure | float) -> Figure:
        """Return the sum, in the unit of this figure."""
        operand, unit = self._operand(other, None)
        return _derived(
            self.mid + operand.mid, self.low + operand.low, self.high + operand.high, unit, (self, operand)
        )

    def minus(self, other: Figure | float) -> Figure:
        """Return the difference, in the unit of this figure; it may be negative."""
        operand, unit = self._operand(other, None)
        return _derived(
            self.mid - operand.mid, self.low - operand.high, self.high - operand.low, unit, (self, operand)
        )

    def with_unit(self, unit: str) -> Figure:
        """Return the same number labelled with another unit, without conversion."""
        return replace(self, unit=unit)

    def text(self) -> str:
        """Return the text shown in the page: value, unit, and the interval if there is one."""
        factor, unit = _scale(self.unit, max(abs(self.mid), abs(self.high) / 10.0))
        shown = _number(self.mid / factor)
        if self.high > self.low:
            shown += f" [{_number(self.low / factor)}, {_number(self.high / factor)}]"
        return f"{shown}{'' if unit == '%' or not unit else ' '}{unit}{' *' if self.extrapolated else ''}"


def _quotient(numerator: float, denominator: float) -> float:
    return numerator / denominator if denominator else math.inf


def _derived(mid: float, low: float, high: float, unit: str, parts: Iterable[Figure]) -> Figure:
    parts = list(parts)
    origins = tuple(dict.fromkeys(origin for part in parts for origin in part.origins))
    return Figure(mid, low, high, unit, origins, any(part.extrapolated for part in parts))


def _scale(unit: str, size: float) -> tuple[float, str]:
    if unit not in _SCALES or math.isinf(size):
        return 1.0, unit
    step, names = _SCALES[unit]
    index = min(len(names) - 1, max(0, int(math.log(size, step) + 1e-9))) if size >= 1.0 else 0
    return step**index, names[index]


def _number(value: float) -> str:
    """Format with three significant digits, from 100 on as a whole number."""
    if math.isinf(value):
        return "no end"
    if abs(value) >= 100.0 or value == int(value):
        return f"{value:,.0f}"
    return f"{float(f'{value:.3g}'):.{max(0, 2 - math.floor(math.log10(abs(value))))}f}" if value else "0"


def total(figures: Iterable[Figure | None]) -> tuple[Figure | None, bool]:
    """Return the sum of the known figures, and whether all of them are known."""
    sum_of_known: Figure | None = None
    complete = True
    for figure in figures:
        if figure is None:
            complete = False
        else:
            sum_of_known = figure if sum_of_known is None else sum_of_known.plus(figure)
    return sum_of_known, complete


def text(figure: Figure | None) -> str:
    """Return the text of a figure, or NOT_MEASURED for None."""
    return NOT_MEASURED if figure is None else figure.text()
