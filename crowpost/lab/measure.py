"""Results of a run: priority weight served, latencies and costs, over the run and by second."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import numpy as np
from hdrh.histogram import HdrHistogram

WINDOW_S = 10  # length of the window of which the worst one counts
# Weights of the parts of the goal, which sum to 1, and the prices of its costs, as set by the operators.
WHOLE_WEIGHT, WORST_WINDOW_WEIGHT, WORST_CLASS_WEIGHT, WORST_TENANT_WEIGHT = 0.4, 0.3, 0.2, 0.1
HANDSHAKE_PRICE, WASTE_PRICE, PROBE_PRICE = 0.061, 0.046, 0.014
ENDS = ("served", "late", "refused", "failed", "timed_out")


def histogram() -> HdrHistogram:
    """Return a histogram of latencies in microseconds, from 1 us to 120 s, with two significant digits."""
    return HdrHistogram(1, 120_000_000, 2)


@dataclass(slots=True)
class WeightSum:
    """Priority weight of the requests, and of those served within the latency objective."""

    asked: float = 0.0
    served: float = 0.0

    def share(self) -> float:
        """Return the share served; 1 if nothing was asked."""
        return self.served / self.asked if self.asked else 1.0


@dataclass
class Measure:
    """Counts of one run. The second of a request is that in which its first try was due; times are ms."""

    seconds: int
    latency: HdrHistogram = field(default_factory=histogram)
    whole: WeightSum = field(default_factory=WeightSum)
    classes: dict[str, WeightSum] = field(default_factory=dict)
    tenants: dict[str, WeightSum] = field(default_factory=dict)
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
        class_name: str,
        tenant: str,
        within_quota: bool,
    ) -> None:
        """Record the end of a request with all its retries; latency: ms since it was due."""
        second = min(int(due / 1000.0), self.seconds - 1)
        served_weight = priority_weight if end == "served" else 0.0
        self.requests += 1
        self.work_asked += work
        self.asked[second] += priority_weight
        self.served[second] += served_weight
        self.ends[end][second] += 1
        sums = [self.whole, self.classes.setdefault(class_name, WeightSum())]
        if tenant and within_quota:
            sums.append(self.tenants.setdefault(tenant, WeightSum()))
        for total in sums:
            total.asked += priority_weight
            total.served += served_weight
        if end in ("served", "late"):
            self.latency.record_value(max(1, int(latency * 1000.0)))

    def series(self) -> dict[str, list[Any]]:
        """Return the weight asked and served, and the ends of requests, by the second they were due in."""
        return {"worth_asked": self.asked.tolist(), "worth_served": self.served.tolist(), **self.ends}

    def worst_window(self) -> tuple[float, int]:
        """Return the least share served in any window of 10 s, and the second at which that window begins."""
        span = min(WINDOW_S, self.seconds)
        asked = np.convolve(self.asked, np.ones(span), "valid")
        served = np.convolve(self.served, np.ones(span), "valid")
        shares = np.where(asked > 0, served / np.maximum(asked, 1e-12), 1.0)
        start = int(np.argmin(shares))
        return float(shares[start]), start

    def goal(self, first_attempts: int, handshakes: int, probes: int, wasted: float) -> dict[str, Any]:
        """Return the goal G, its parts and its prices.

        handshakes and probes are relative to the requests of all tiers (`first_attempts`); wasted is the work
        in ms for answers that no client got in time.
        """
        worst, start = self.worst_window()
        worst_class = min((weights.share() for weights in self.classes.values()), default=1.0)
        worst_tenant = min(
            (weights.share() for weights in self.tenants.values() if weights.asked), default=1.0
        )
        request_count = max(first_attempts, 1)
        prices = {
            "handshake": HANDSHAKE_PRICE * min(1.0, handshakes / request_count),
            "waste": WASTE_PRICE * min(1.0, wasted / max(self.work_asked, 1e-9)),
            "probe": PROBE_PRICE * min(1.0, probes / request_count),
        }
        parts = {
            "whole": self.whole.share(),
            "worst_window": worst,
            "worst_window_from_s": start,
            "worst_class": worst_class,
            "worst_tenant": worst_tenant,
        }
        gross = WHOLE_WEIGHT * self.whole.share() + WORST_WINDOW_WEIGHT * worst
        gross += WORST_CLASS_WEIGHT * worst_class + WORST_TENANT_WEIGHT * worst_tenant
        return {"goal": gross - sum(prices.values()), "parts": parts, "prices": prices}

    def percentiles(self) -> dict[str, float]:
        """Return latency percentiles in ms of answered requests, measured from when the first try was due."""
        return {
            f"p{percentile:g}": self.latency.get_value_at_percentile(percentile) / 1000.0
            for percentile in (50, 90, 99, 99.9)
        }
