"""What a run comes to: worth served, latencies, and the cost of getting there, whole and by second."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import numpy as np
from hdrh.histogram import HdrHistogram

WINDOW_S = 10  # the worst stretch of this length counts
# The goal and its prices, in shares of one: as the operators' brief weighs them.
WHOLE, WORST_WINDOW, WORST_CLASS, WORST_TENANT = 0.4, 0.3, 0.2, 0.1
HANDSHAKE_PRICE, WASTE_PRICE, PROBE_PRICE = 0.061, 0.046, 0.014
ENDS = ("served", "late", "refused", "failed", "timed_out")


def histogram() -> HdrHistogram:
    """Latencies in microseconds from 1 us to 120 s, to two significant digits."""
    return HdrHistogram(1, 120_000_000, 2)


@dataclass(slots=True)
class Sum:
    """Worth asked for and worth served within the aim."""

    asked: float = 0.0
    served: float = 0.0

    def share(self) -> float:
        """Served of asked; 1 where nothing was asked."""
        return self.served / self.asked if self.asked else 1.0


@dataclass
class Measure:
    """Counts of one run.  Seconds are those in which a first try was due; times are ms."""

    seconds: int
    latency: HdrHistogram = field(default_factory=histogram)
    whole: Sum = field(default_factory=Sum)
    classes: dict[str, Sum] = field(default_factory=dict)
    tenants: dict[str, Sum] = field(default_factory=dict)
    work_asked: float = 0.0
    requests: int = 0
    tries: int = 0

    def __post_init__(self) -> None:
        self.asked = np.zeros(self.seconds)
        self.served = np.zeros(self.seconds)
        self.ends = {end: [0] * self.seconds for end in ENDS}

    def ended(
        self,
        due: float,
        latency: float,
        end: str,
        priority_weight: float,
        work: float,
        name: str,
        tenant: str,
        inside: bool,
    ) -> None:
        """A first try and all its repeats are over: how, how long after it was due, what it was worth."""
        second = min(int(due / 1000.0), self.seconds - 1)
        good = priority_weight if end == "served" else 0.0
        self.requests += 1
        self.work_asked += work
        self.asked[second] += priority_weight
        self.served[second] += good
        self.ends[end][second] += 1
        sums = [self.whole, self.classes.setdefault(name, Sum())]
        if tenant and inside:
            sums.append(self.tenants.setdefault(tenant, Sum()))
        for total in sums:
            total.asked += priority_weight
            total.served += good
        if end in ("served", "late"):
            self.latency.record_value(max(1, int(latency * 1000.0)))

    def series(self) -> dict[str, list[Any]]:
        """Worth asked for and served, and how first tries ended, by the second in which they were due."""
        return {"worth_asked": self.asked.tolist(), "worth_served": self.served.tolist(), **self.ends}

    def worst_window(self) -> tuple[float, int]:
        """The least share served in any stretch of ten seconds, and the second it begins at."""
        span = min(WINDOW_S, self.seconds)
        asked = np.convolve(self.asked, np.ones(span), "valid")
        served = np.convolve(self.served, np.ones(span), "valid")
        shares = np.where(asked > 0, served / np.maximum(asked, 1e-12), 1.0)
        at = int(np.argmin(shares))
        return float(shares[at]), at

    def goal(self, first_attempts: int, handshakes: int, probes: int, wasted: float) -> dict[str, Any]:
        """G, its parts and its prices.

        handshakes are counted against requests of all tiers (`first_attempts`), wasted is work in ms done for
        answers that no client got in time.
        """
        worst, at = self.worst_window()
        worst_class = min((s.share() for s in self.classes.values()), default=1.0)
        worst_tenant = min((s.share() for s in self.tenants.values() if s.asked), default=1.0)
        each = max(first_attempts, 1)
        prices = {
            "handshake": HANDSHAKE_PRICE * min(1.0, handshakes / each),
            "waste": WASTE_PRICE * min(1.0, wasted / max(self.work_asked, 1e-9)),
            "probe": PROBE_PRICE * min(1.0, probes / each),
        }
        parts = {
            "whole": self.whole.share(),
            "worst_window": worst,
            "worst_window_from_s": at,
            "worst_class": worst_class,
            "worst_tenant": worst_tenant,
        }
        gross = WHOLE * self.whole.share() + WORST_WINDOW * worst
        gross += WORST_CLASS * worst_class + WORST_TENANT * worst_tenant
        return {"goal": gross - sum(prices.values()), "parts": parts, "prices": prices}

    def percentiles(self) -> dict[str, float]:
        """Latency in ms of what was answered, counted from when the first try was due."""
        return {f"p{p:g}": self.latency.get_value_at_percentile(p) / 1000.0 for p in (50, 90, 99, 99.9)}
