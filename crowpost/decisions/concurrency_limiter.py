"""An adaptive concurrency limit: how many attempts may be in flight at once."""

from __future__ import annotations

import math

from crowpost.decision_api import Log
from crowpost.decisions.context import Context
from crowpost.decisions.endpoint_set import EndpointSet
from crowpost.decisions.estimators import ExpectedLatency
from crowpost.decisions.load_estimation import BASELINE_FACTOR, LoadEstimator

# A decrease divides the limit by the load ratio, within these two factors.
MAX_DECREASE_FACTOR = 0.9
MIN_DECREASE_FACTOR = 0.5
INCREASE_FACTOR = 1.05
INITIAL_INCREASE_FACTOR = 1.2  # Increase factor until the first overload
INCREASE_STEP = 1.0
# By Little's law the number in flight without a queue is the best recent rate times the baseline latency.
# The limit grows to GROWTH_MARGIN_FACTOR times that, plus its root for chance; a decrease leaves at least
# DECREASE_MARGIN_FACTOR times that.
GROWTH_MARGIN_FACTOR = 1.65
DECREASE_MARGIN_FACTOR = 1.2
# With a smaller part of the limit in flight, latencies do not show whether a higher limit would do.
MIN_USED_FRACTION = 0.8
# The limit for each endpoint before any response, so that a restart does not flood the endpoints.
INITIAL_LIMIT = 6.0
# A restored limit is at most this many times the initial limit, and at least the initial limit divided by it.
MAX_RESTORED_FACTOR = 2.0


class ConcurrencyLimiter:
    """Decreases the limit on overload, increases it without, and scales it with the capacity of the list."""

    def __init__(self, context: Context, endpoints: EndpointSet, expected: ExpectedLatency) -> None:
        self._context = context
        self._endpoints = endpoints
        self._expected = expected
        self.load = LoadEstimator(context, endpoints.send_rate)
        self.sharers = 1  # Number of nodes that share the limit
        self.limit = 0.0  # Set by the first endpoint list
        self._capacity = 0.0  # Capacity of the listed endpoints, in units of one warm endpoint
        self._has_been_overloaded = False
        self._adjusted_at = 0.0
        self._is_shedding = False
        self.set_nodes()

    def set_nodes(self) -> None:
        """Split the limit over the nodes of the first tier; in inner tiers each node has it whole."""
        before = self.sharers
        self.sharers = 1 if self._context.settings.tier else self._endpoints.node_count
        self.limit *= before / self.sharers
        self.load.peak_rate *= before / self.sharers

    def admits(self, in_flight: int, fraction: float) -> bool:
        """Return whether the limit admits one more attempt in addition to those in flight.

        If many nodes share few requests, the limit of each is a few or less than one.  Rounding it would
        admit far too many or too few over all nodes, so each request carries a random `fraction` in [0, 1),
        which admits it with the probability of the limit's fractional part.
        """
        return in_flight + fraction < self.limit or self._has_unused_capacity(fraction)

    def _has_unused_capacity(self, fraction: float) -> bool:
        """Return whether fresh load reports show that less is in flight than all nodes together may send.

        This applies only until the baseline is known.  Until then the limit is this node's part of an
        estimate for all nodes.  The part of a peer that drains or restarts goes unused, while its requests
        come here.
        """
        if self.sharers == 1 or self.load.load_ratio > 1.0 or self.load.is_baseline_known():
            return False
        return 0.0 < self._endpoints.reports.in_flight < INITIAL_LIMIT * self._capacity - fraction

    def follow_capacity(self) -> None:
        """Keep the limit in proportion to the capacity of the endpoints as they come, go and warm up.

        When the set loses half of its capacity, latencies show it only once the remaining endpoints are
        overloaded, as all that was admitted for the whole set is then in flight there.
        """
        capacity = self._endpoints.capacity
        if not capacity:
            return  # The limit stays in proportion to the last capacity until endpoints are listed again
        before = self._capacity
        self._capacity = capacity
        if before:
            self.limit = self.limit * capacity / before
        else:
            # All nodes of the first tier start alike, and each gets its part of what may be in flight.  A
            # node of an inner tier uses the limit of the whole set: its requests were admitted at the first
            # tier, and rejecting one there would waste all the work done for it so far.
            self.limit = INITIAL_LIMIT * max(1.0, capacity / self.sharers)

    @property
    def limit_each(self) -> float:
        """The limit for each unit of capacity in this node's part of the endpoints."""
        return self.limit / max(1.0, self._capacity / self.sharers) if self._capacity else 0.0

    def restore(self, limit_each: float, trust: float) -> None:
        """Start from an earlier process's limit, weighted by `trust` and kept near the initial limit."""
        if limit_each > 0.0 and self._capacity:
            min_limit = INITIAL_LIMIT / MAX_RESTORED_FACTOR
            bounded = min(max(limit_each, min_limit), INITIAL_LIMIT * MAX_RESTORED_FACTOR)
            self.limit *= 1.0 + trust * (bounded / INITIAL_LIMIT - 1.0)

    def update(self, latency_ratio: float, in_flight: int) -> None:
        """Record an attempt's latency, in latency objectives, and adjust the limit if that is due."""
        load = self.load
        load.update(latency_ratio, in_flight)
        now = self._context.now
        # The mean latency alone would not do: in an overload it grows to the clients' deadline, so that the
        # limit was decreased only every five seconds, while four hundred nodes kept sending requests that
        # were already lost.
        pause = min(
            self._expected.mean, BASELINE_FACTOR * load.baseline_latency, self._context.latency_objective_ms
        )
        if now - self._adjusted_at < pause:
            return
        self._adjusted_at = now
        settings = self._context.settings
        # An endpoint holds its slot while it waits for the tiers behind it, and needs a request for each of
        # those tiers to keep its core busy.  With a minimum limit of one request for each endpoint, a first
        # tier whose baseline latency was low by chance at the start rejected 40% of the requests all day.
        min_limit = (settings.tiers - settings.tier) * len(self._endpoints.listed) / self.sharers
        if load.load_ratio > 1.0:
            self._decrease(min_limit)
        elif in_flight + 1 >= MIN_USED_FRACTION * self.limit and load.is_baseline_known():
            self._increase(min_limit)
        if (load.load_ratio > 1.0) is not self._is_shedding:
            self._log_change()

    def _decrease(self, min_limit: float) -> None:
        load = self.load
        self._has_been_overloaded = True
        # Decrease at most to what is in flight at the best recent rate without a queue, times a margin.
        # Repeated decreases without such a bound rejected requests at random, and those admitted again
        # afterwards overloaded the endpoints again.
        needed = DECREASE_MARGIN_FACTOR * load.peak_rate * load.peak_decay()
        needed *= min(load.baseline_latency, load.mean_latency)
        factor = min(MAX_DECREASE_FACTOR, max(MIN_DECREASE_FACTOR, 1.0 / load.load_ratio))
        # The mean in flight plus its standard deviation: if few are in flight on average, there may be far
        # fewer at any one moment.
        max_in_flight = max(1.0, load.mean_in_flight + math.sqrt(load.mean_in_flight))
        self.limit = max(min_limit, needed, min(self.limit, max_in_flight) * factor)

    def _increase(self, min_limit: float) -> None:
        load = self.load
        factor = INCREASE_FACTOR if self._has_been_overloaded else INITIAL_INCREASE_FACTOR
        increased = self.limit * factor + INCREASE_STEP
        # By Little's law more in flight than this, at the best rate so far, means a queue.  Latencies show it
        # only afterwards, and by then the limit had doubled once too often.
        max_limit = max(
            GROWTH_MARGIN_FACTOR * load.baseline_latency * load.peak_rate, INITIAL_LIMIT * min_limit
        )
        max_limit += math.sqrt(max_limit)
        self.limit = max(self.limit, min(increased, max_limit))

    def _log_change(self) -> None:
        load = self.load
        self._is_shedding = not self._is_shedding
        # Recorded runs contain this line, so its wording must stay.
        text = (
            f"admission limit {'on' if self._is_shedding else 'off'}: {self.limit:.1f} calls"
            f", strain {load.load_ratio:.2f}, mean latency {load.mean_latency:.0f} ms"
            f", calmest {load.baseline_latency:.0f} ms"
        )
        self._context.actions.append(Log(text))
