"""Estimation of the load of the endpoints from the latencies of their responses."""

from __future__ import annotations

import math

from crowpost.decisions.context import Context
from crowpost.decisions.estimators import Rate

# Latencies are kept below TARGET_RATIO of the latency objective, less for inner tiers, or, where the
# objective leaves little room, below TARGET_FACTOR times the baseline latency.
TARGET_RATIO = 0.4
TARGET_FACTOR = 1.6
MAX_LATENCY_RATIO = 1.2  # A very late response counts as at most this many objectives
# Latencies are also kept below BASELINE_FACTOR times the baseline latency, or BASELINE_FACTOR_SPARSE times
# where a node has so few responses that load is averaged over only five.
BASELINE_FACTOR = 2.0
BASELINE_FACTOR_SPARSE = 1.5
# A mean latency counts as a baseline after this many responses, and this many mean latencies after the first
# send, as the first responses to come back are the fast ones.
MIN_BASELINE_RESPONSES = 10
MIN_BASELINE_LATENCIES = 20.0
BASELINE_STEP = 0.00003  # Part by which the baseline moves toward the long mean latency at each response
# Load is averaged over about twenty responses (MIN_STEP), or, where those take longer than STEP_OBJECTIVES
# latency objectives, over as many as come in that time, but at least five (MAX_STEP): at full size twenty
# responses of one node came only after the overload.
MIN_STEP = 0.05
STEP_OBJECTIVES = 2.0
MAX_STEP = 0.2
PEAK_DECAY_OBJECTIVES = 4.0  # Time constant of the decay of the peak rate, in latency objectives


class LoadEstimator:
    """Compares mean latencies with the baseline (unloaded) latency and the objective.  Times are in ms."""

    def __init__(self, context: Context, send_rate: Rate) -> None:
        self._context = context
        self._send_rate = send_rate
        settings = context.settings
        self._tier_target = TARGET_RATIO * (settings.tiers - settings.tier) / settings.tiers
        self.load_ratio = 0.0  # Latencies relative to their target; above 1 is overload
        self.baseline_latency = math.inf
        self.mean_latency = 0.0  # Averaged over the same span as the load
        self.mean_in_flight = 0.0
        self.peak_rate = 0.0  # Best recent rate of responses per millisecond
        self._peak_at = 0.0
        self._response_rate = Rate(context.latency_objective_ms)
        self._responses = 0
        self._long_mean_latency = 0.0  # Averaged over about twenty responses
        self._latency_ratio = 0.0  # Mean latency as a part of the objective
        self._baseline_latency_ratio = 1.0
        self._step = MIN_STEP
        self._updated_at = 0.0

    def is_baseline_known(self) -> bool:
        """Return whether there are enough responses, as the first to come back are the fast ones."""
        start = self._send_rate.start
        too_early = start is None or self._responses < MIN_BASELINE_RESPONSES
        return (
            not too_early and self._context.now - (start or 0.0) >= MIN_BASELINE_LATENCIES * self.mean_latency
        )

    def peak_decay(self) -> float:
        """Return the decay of the peak rate by its age, as in an overload there may be no responses."""
        age = self._context.now - self._peak_at
        return math.exp(-age / (PEAK_DECAY_OBJECTIVES * self._context.latency_objective_ms))

    def observe_response(self, latency: float) -> None:
        """Update the mean latency, the baseline and the peak rate with a response."""
        now = self._context.now
        self._responses += 1
        self.mean_latency += max(self._step, 1.0 / self._responses) * (latency - self.mean_latency)
        # The minimum of a short average lies far below the mean, so the baseline uses a longer one.
        long_step = max(MIN_STEP, 1.0 / self._responses)
        self._long_mean_latency += long_step * (latency - self._long_mean_latency)
        self._response_rate.add(1.0, now)
        decay = self.peak_decay()
        self._peak_at = now
        if not self.is_baseline_known():
            return
        # A count of n has a standard deviation of sqrt(n): the best rate of few responses is mostly chance.
        rate = self._response_rate.per_ms(now)
        self.peak_rate = max(self.peak_rate * decay, rate - math.sqrt(rate / self._response_rate.span))
        self.baseline_latency = min(self.baseline_latency, self._long_mean_latency)
        self.baseline_latency += BASELINE_STEP * (self._long_mean_latency - self.baseline_latency)
        self._baseline_latency_ratio = min(self._baseline_latency_ratio, self._latency_ratio)
        self._baseline_latency_ratio += BASELINE_STEP * (self._latency_ratio - self._baseline_latency_ratio)

    def update(self, latency_ratio: float, in_flight: int) -> None:
        """Update the load ratio with an attempt's latency in objectives, and the mean number in flight."""
        now = self._context.now
        elapsed_fraction = (now - self._updated_at) / (STEP_OBJECTIVES * self._context.latency_objective_ms)
        self._updated_at = now
        self._step += MAX_STEP * (min(max(elapsed_fraction, MIN_STEP), MAX_STEP) - self._step)
        self._latency_ratio += self._step * (min(latency_ratio, MAX_LATENCY_RATIO) - self._latency_ratio)
        self.mean_in_flight += self._step * (in_flight - self.mean_in_flight)
        # Sparse responses show an overload late, so a lower ratio already counts as one.
        sparse = (self._step - MIN_STEP) / (MAX_STEP - MIN_STEP)
        factor = BASELINE_FACTOR + sparse * (BASELINE_FACTOR_SPARSE - BASELINE_FACTOR)
        max_latency = factor * self.baseline_latency
        by_baseline = self.mean_latency / max_latency if max_latency > 0 else 0.0
        target = self._tier_target
        if self.baseline_latency < math.inf:
            # Where even the lowest latencies are near the target, enforcing it would reject requests forever.
            target = max(target, TARGET_FACTOR * self._baseline_latency_ratio)
        self.load_ratio = max(self._latency_ratio / target, by_baseline)
