"""Estimators of rates and latencies, and a token bucket."""

from __future__ import annotations

import math
from dataclasses import dataclass

MEAN_STEP = 0.1  # part of its distance to a new value by which a mean moves
MIN_OVERDUE_DEVIATIONS = 4.0  # an attempt is overdue after the mean and so many deviations (RFC 6298)
MIN_OVERDUE_FACTOR = 2.0  # and after so many means at the least, for work that always takes the same time
MS_PER_S = 1000.0


@dataclass(slots=True)
class Rate:
    """An exponentially fading count of units a millisecond, true from its first moments on."""

    span: float  # ms
    start: float | None = None
    count: float = 0.0
    at: float = 0.0

    def add(self, units: float, now: float) -> None:
        """Count units at a time in ms; those below 0 take back what was counted a moment ago."""
        if self.start is None:
            self.start = now
        self.count = self._faded(now) + units
        self.at = now

    def per_ms(self, now: float) -> float:
        """Return units a millisecond by now, 0 before the first."""
        if self.start is None:
            return 0.0
        count = max(0.0, self._faded(now))
        return count / (self.span * (1.0 - math.exp(-max(now - self.start, 1.0) / self.span)))

    def _faded(self, now: float) -> float:
        return self.count * math.exp(-(now - self.at) / self.span) if self.count else 0.0


@dataclass(slots=True)
class ExpectedLatency:
    """Mean and mean deviation of latencies in ms, as in TCP's time-out (RFC 6298)."""

    deviations: float = MIN_OVERDUE_DEVIATIONS
    min_factor: float = MIN_OVERDUE_FACTOR
    mean: float = 0.0
    deviation: float = 0.0

    def observe(self, latency: float) -> None:
        """Take in one more latency."""
        if self.mean == 0.0:
            self.mean = latency
            self.deviation = latency / 2
        else:
            self.deviation += MEAN_STEP * (abs(latency - self.mean) - self.deviation)
            self.mean += MEAN_STEP * (latency - self.mean)

    def overdue_after(self) -> float:
        """Return the time in ms from which on an attempt is overdue; infinity before the first latency."""
        bound = max(self.mean + self.deviations * self.deviation, self.min_factor * self.mean)
        return bound if self.mean else math.inf


@dataclass(slots=True)
class TokenBucket:
    """A token bucket that holds a second's tokens at the most."""

    per_s: float
    tokens: float
    at: float = 0.0  # ms

    def take(self, now: float) -> bool:
        """Take a token at a time in ms, if there is one; a bucket without a rate is never empty."""
        self.tokens = min(self.per_s, self.tokens + (now - self.at) * self.per_s / MS_PER_S)
        self.at = now
        inside = self.tokens >= 1.0 or self.per_s <= 0.0
        self.tokens -= inside
        return inside
