"""Estimators of rates and latencies, and a token bucket."""

from __future__ import annotations

import math
from dataclasses import dataclass

MEAN_STEP = 0.1  # A mean moves by this part of its distance to a new value
# An attempt is overdue after the mean plus this many mean deviations (RFC 6298).
MIN_OVERDUE_DEVIATIONS = 4.0
# An attempt is never overdue before this many means, for work that always takes the same time.
MIN_OVERDUE_FACTOR = 2.0
MS_PER_S = 1000.0


@dataclass(slots=True)
class Rate:
    """An exponentially decaying rate in units per millisecond, unbiased from the first units on."""

    span: float  # Time constant in ms
    start: float | None = None
    count: float = 0.0
    at: float = 0.0

    def add(self, units: float, now: float) -> None:
        """Count units at a time in ms; negative units cancel ones that were counted shortly before."""
        if self.start is None:
            self.start = now
        self.count = self._decayed(now) + units
        self.at = now

    def per_ms(self, now: float) -> float:
        """Return the units per millisecond at time `now`; 0 before the first units."""
        if self.start is None:
            return 0.0
        count = max(0.0, self._decayed(now))
        return count / (self.span * (1.0 - math.exp(-max(now - self.start, 1.0) / self.span)))

    def _decayed(self, now: float) -> float:
        return self.count * math.exp(-(now - self.at) / self.span) if self.count else 0.0


@dataclass(slots=True)
class ExpectedLatency:
    """Mean and mean deviation of latencies in ms, as for the retransmission timeout of TCP (RFC 6298)."""

    deviations: float = MIN_OVERDUE_DEVIATIONS
    min_factor: float = MIN_OVERDUE_FACTOR
    mean: float = 0.0
    deviation: float = 0.0

    def observe(self, latency: float) -> None:
        """Update the mean and the mean deviation with one latency."""
        if self.mean == 0.0:
            self.mean = latency
            self.deviation = latency / 2
        else:
            self.deviation += MEAN_STEP * (abs(latency - self.mean) - self.deviation)
            self.mean += MEAN_STEP * (latency - self.mean)

    def overdue_after(self) -> float:
        """Return the time in ms after which an attempt is overdue; infinity before the first latency."""
        bound = max(self.mean + self.deviations * self.deviation, self.min_factor * self.mean)
        return bound if self.mean else math.inf


@dataclass(slots=True)
class TokenBucket:
    """A token bucket that holds at most the tokens of one second."""

    per_s: float
    tokens: float
    at: float = 0.0  # Time of the last update in ms

    def take(self, now: float) -> bool:
        """Take a token at a time in ms and return whether there was one; without a rate there always is."""
        self.tokens = min(self.per_s, self.tokens + (now - self.at) * self.per_s / MS_PER_S)
        self.at = now
        available = self.tokens >= 1.0 or self.per_s <= 0.0
        self.tokens -= available
        return available
