"""Slow start: after its start an endpoint gets a rising part of the load of a warm one."""

from __future__ import annotations

from crowpost.decision_api import Settings
from crowpost.decisions.endpoint_state import Endpoint

# A start that is told later than this after it, or before it, has a time of a clock that is wrong.
MAX_TOLD_DELAY_MS = 60_000.0


def believed_start(started_ms: float, now: float, *, told_at_once: bool) -> float:
    """Return the time from which an endpoint is taken to warm up, in ms; 0 if it started long ago.

    The machines of an endpoint and of this node may have clocks that were set forward or back.  A time that
    cannot be right is replaced by the time at which the start was told: the endpoint is no colder than that.

    told_at_once: whether the start was told as a change, so that it cannot be old.
    """
    if started_ms <= 0.0:
        return 0.0
    age = now - started_ms
    if age < 0.0 or (told_at_once and age > MAX_TOLD_DELAY_MS):
        return now
    return started_ms


class SlowStart:
    """The load ramp of endpoints that are warming up.  Times are milliseconds."""

    def __init__(self, settings: Settings) -> None:
        self._initial_fraction = settings.slow_start_fraction
        self._warm_up_ms = settings.warm_up_ms
        self._window_ms = settings.overload_window_ms

    def is_warming_up(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether the endpoint's process was started less than the warm-up time ago."""
        return endpoint.started_at > 0 and now - endpoint.started_at < self._warm_up_ms

    def capacity_fraction(self, endpoint: Endpoint, now: float) -> float:
        """Return the least part of its capacity that a warming endpoint has by now."""
        low = self._initial_fraction
        age = now - endpoint.started_at
        return low + (1.0 - low) * max(age, 0.0) / self._warm_up_ms

    def permits(self, endpoint: Endpoint, units: float, warm_rate: float, now: float) -> bool:
        """Return whether rule 4 allows an attempt: the endpoint gets a rising part of a warm one's load.

        Every node applies this on its own.  All nodes together then send the endpoint its part of what warm
        endpoints get, and the multiple of its capacity that rule 4 allows remains as a margin for chance and
        for heavy requests.  warm_rate: units per millisecond that this node sends to a warm endpoint.
        """
        fraction = self.capacity_fraction(endpoint, now)
        max_tokens = max(1.0, fraction * warm_rate * self._window_ms)
        earned = fraction * warm_rate * (now - endpoint.slow_start_tokens_at)
        endpoint.slow_start_tokens = min(max_tokens, endpoint.slow_start_tokens + earned)
        endpoint.slow_start_tokens_at = now
        return endpoint.slow_start_tokens >= min(units, max_tokens)
