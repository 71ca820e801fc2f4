"""Slow start: after its start an endpoint gets a rising part of the load of a warm one."""

from __future__ import annotations

from crowpost.decision_api import Settings
from crowpost.decisions.endpoint_state import Endpoint


class SlowStart:
    """The load ramp of endpoints that are warming up.  Times are milliseconds."""

    def __init__(self, settings: Settings) -> None:
        self._initial_fraction = settings.slow_start_fraction
        self._warm_up_ms = settings.warm_up_ms
        self._window_ms = settings.overload_window_ms

    def is_warming_up(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether the endpoint's process was started less than the warm-up time ago."""
        started = endpoint.entry.started_ms
        return started > 0 and now - started < self._warm_up_ms

    def capacity_fraction(self, endpoint: Endpoint, now: float) -> float:
        """Return the least part of its capacity that a warming endpoint has by now."""
        low = self._initial_fraction
        age = now - endpoint.entry.started_ms
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
