"""How loaded the endpoints are, by the latencies of their responses."""

from __future__ import annotations

import math

from crowpost.decisions.context import Context
from crowpost.decisions.estimators import Rate

TARGET_RATIO = 0.4  # latencies are kept below this part of the objective, less for inner tiers
TARGET_FACTOR = 1.6  # and so many times the baseline latency ratio, where the objective leaves little room
MAX_LATENCY_RATIO = 1.2  # what one very late response counts at most, in objectives
BASELINE_FACTOR = 2.0  # and latencies are kept below this many times the baseline latency
BASELINE_FACTOR_SPARSE = 1.5  # where a node has so few responses that load is averaged over five
MIN_BASELINE_RESPONSES = 10  # responses before a mean latency counts as a baseline
MIN_BASELINE_LATENCIES = (
    20.0  # and mean latencies since the first send: the first responses are the quick ones
)
BASELINE_FADE = 0.00003  # by which the baseline follows the present mean at each response
MIN_STEP = 0.05  # load is averaged over about twenty responses
STEP_OBJECTIVES = (
    2.0  # but where those take longer than this many objectives, over as many as come in that time,
)
MAX_STEP = 0.2  # five at the least: at full size twenty responses of one node come after the overload
PEAK_FADE_OBJECTIVES = 4.0  # the best rate fades over this many objectives


class LoadEstimator:
    """Mean latencies against the baseline latency (unloaded) and the latency objective.  Times are ms."""

    def __init__(self, context: Context, send_rate: Rate) -> None:
        self._context = context
        self._send_rate = send_rate
        self.load_ratio = 0.0  # of latencies against their target: above 1 is overload
        self.baseline_latency = math.inf
        self.mean_latency = 0.0  # over the span that load is averaged on
        self.mean_in_flight = 0.0
        self.peak_rate = 0.0  # best recent rate of responses a millisecond
        self._peak_at = 0.0
        self._response_rate = Rate(context.latency_objective_ms)
        self._responses = 0
        self._long_mean_latency = 0.0  # over about twenty responses
        self._latency_ratio = 0.0  # mean latency as a part of the objective
        self._baseline_latency_ratio = 1.0
        self._step = MIN_STEP
        self._updated_at = 0.0

    def is_baseline_known(self) -> bool:
        """Return whether there are enough responses: the first to come back are the quick ones."""
        start = self._send_rate.start
        too_early = start is None or self._responses < MIN_BASELINE_RESPONSES
        return (
            not too_early and self._context.now - (start or 0.0) >= MIN_BASELINE_LATENCIES * self.mean_latency
        )

    def peak_fade(self) -> float:
        """Return the factor by which the peak rate has faded: with time, as in an overload none respond."""
        age = self._context.now - self._peak_at
        return math.exp(-age / (PEAK_FADE_OBJECTIVES * self._context.latency_objective_ms))

    def observe_response(self, latency: float) -> None:
        """Follow the mean latency, the baseline, and the best rate of responses."""
        now = self._context.now
        self._responses += 1
        self.mean_latency += max(self._step, 1.0 / self._responses) * (latency - self.mean_latency)
        # The least of a short average lies far below any mean: the baseline is judged by a longer one.
        long_step = max(MIN_STEP, 1.0 / self._responses)
        self._long_mean_latency += long_step * (latency - self._long_mean_latency)
        self._response_rate.add(1.0, now)
        fade = self.peak_fade()
        self._peak_at = now
        if not self.is_baseline_known():
            return
        # A count of n is known to within its root: the best of few responses is mostly luck.
        rate = self._response_rate.per_ms(now)
        self.peak_rate = max(self.peak_rate * fade, rate - math.sqrt(rate / self._response_rate.span))
        self.baseline_latency = min(self.baseline_latency, self._long_mean_latency)
        self.baseline_latency += BASELINE_FADE * (self._long_mean_latency - self.baseline_latency)
        self._baseline_latency_ratio = min(self._baseline_latency_ratio, self._latency_ratio)
        self._baseline_latency_ratio += BASELINE_FADE * (self._latency_ratio - self._baseline_latency_ratio)

    def update(self, latency_ratio: float, in_flight: int) -> None:
        """Update the load ratio by an attempt's latency in objectives, and by the attempts in flight."""
        now = self._context.now
        part = (now - self._updated_at) / (STEP_OBJECTIVES * self._context.latency_objective_ms)
        self._updated_at = now
        self._step += MAX_STEP * (min(max(part, MIN_STEP), MAX_STEP) - self._step)
        self._latency_ratio += self._step * (min(latency_ratio, MAX_LATENCY_RATIO) - self._latency_ratio)
        self.mean_in_flight += self._step * (in_flight - self.mean_in_flight)
        # Few responses tell late: by then an overload is under way, so less than that is called one.
        sparse = (self._step - MIN_STEP) / (MAX_STEP - MIN_STEP)
        factor = BASELINE_FACTOR + sparse * (BASELINE_FACTOR_SPARSE - BASELINE_FACTOR)
        max_latency = factor * self.baseline_latency
        by_baseline = self.mean_latency / max_latency if max_latency > 0 else 0.0
        self.load_ratio = max(self._latency_ratio / self._target_ratio(), by_baseline)

    def _target_ratio(self) -> float:
        settings = self._context.settings
        target = TARGET_RATIO * (settings.tiers - settings.tier) / settings.tiers
        if self.baseline_latency < math.inf:
            # Where even the least latencies are near the target, holding to it would shed without end.
            target = max(target, TARGET_FACTOR * self._baseline_latency_ratio)
        return target
