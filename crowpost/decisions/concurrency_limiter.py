"""An adaptive concurrency limit: how many attempts may be in flight at once."""

from __future__ import annotations

import math

from crowpost.decision_api import Log
from crowpost.decisions.context import Context
from crowpost.decisions.endpoint_set import EndpointSet
from crowpost.decisions.estimators import ExpectedLatency
from crowpost.decisions.load_estimation import BASELINE_FACTOR, LoadEstimator

MAX_DECREASE_FACTOR = 0.9
MIN_DECREASE_FACTOR = 0.5  # a cut is as deep as the load ratio, down to this
INCREASE_FACTOR = 1.05
INITIAL_INCREASE_FACTOR = 1.2  # until the first overload
INCREASE_STEP = 1.0
MAX_LITTLE_FACTOR = 1.65  # times what the best rate needs at the baseline latency: no growth beyond
DECREASE_MARGIN_FACTOR = 1.2  # over what the best recent rate needs at the baseline latency
MIN_USED_FRACTION = 0.8  # of the limit: where less is in flight, nothing tells that more would do
INITIAL_LIMIT = 6.0  # for each endpoint before anything is known, so that a restart opens no flood
MAX_RESTORED_FACTOR = 2.0  # times the initial limit, or less by as much: a remembered limit goes no further


class ConcurrencyLimiter:
    """The limit: overload cuts it, the lack of load lifts it, and it follows the capacity of the list."""

    def __init__(self, context: Context, endpoints: EndpointSet, expected: ExpectedLatency) -> None:
        self._context = context
        self._endpoints = endpoints
        self._expected = expected
        self.load = LoadEstimator(context, endpoints.send_rate)
        self.sharers = 1  # nodes that share the limit
        self.limit = 0.0  # set by the first list
        self._capacity = 0.0  # of the listed endpoints, in warm ones
        self._has_been_overloaded = False
        self._adjusted_at = 0.0
        self._is_shedding = False
        self.set_nodes()

    def set_nodes(self) -> None:
        """Split what the first tier admits over its nodes; further in each node stands for itself."""
        before = self.sharers
        self.sharers = 1 if self._context.settings.tier else self._endpoints.node_count
        self.limit *= before / self.sharers
        self.load.peak_rate *= before / self.sharers

    def admits(self, in_flight: int, fraction: float) -> bool:
        """Return whether the limit leaves room for one more beside those in flight.

        Where many nodes share few requests the limit is a few or less than one: whole numbers would admit
        far too many or too few over all nodes, so each request carries the drawn `fraction` that settles it.
        """
        return in_flight + fraction < self.limit or self._is_unused(fraction)

    def _is_unused(self, fraction: float) -> bool:
        """Return whether endpoints hold less than all nodes together may send, by fresh load reports.

        Only until the baseline is known: up to then the limit is this node's part of a guess for all, and the
        part of a peer that drains or restarts goes unused, while all its requests come here.
        """
        if self.sharers == 1 or self.load.load_ratio > 1.0 or self.load.is_baseline_known():
            return False
        return 0.0 < self._endpoints.reports.held < INITIAL_LIMIT * self._capacity - fraction

    def follow_capacity(self) -> None:
        """Keep the limit in proportion to what the endpoints bear while they come, go and warm up.

        Latencies tell of a set that has lost half of its capacity only once the rest is overloaded: what was
        admitted for all is then with those that stayed.
        """
        capacity = self._endpoints.capacity
        if not capacity:
            return  # whatever is listed next, the limit stands for what was listed last
        before = self._capacity
        self._capacity = capacity
        if before:
            self.limit = self.limit * capacity / before
        else:
            # All nodes of the first tier start alike: each takes its part of what the set may hold.  Further
            # in a node limits itself by the whole set: what it sends was admitted at the first tier, and a
            # request held back there costs all the work done for it so far.
            self.limit = INITIAL_LIMIT * max(1.0, capacity / self.sharers)

    @property
    def limit_each(self) -> float:
        """The limit for each unit of capacity that is this node's part."""
        return self.limit / max(1.0, self._capacity / self.sharers) if self._capacity else 0.0

    def restore(self, limit_each: float, trust: float) -> None:
        """Start from an earlier process's limit, so far as it is trusted and near the initial one."""
        if limit_each > 0.0 and self._capacity:
            least = INITIAL_LIMIT / MAX_RESTORED_FACTOR
            bounded = min(max(limit_each, least), INITIAL_LIMIT * MAX_RESTORED_FACTOR)
            self.limit *= 1.0 + trust * (bounded / INITIAL_LIMIT - 1.0)

    def update(self, latency_ratio: float, in_flight: int) -> None:
        """Take in an attempt's latency, in latency objectives, and adjust the limit where that is due."""
        load = self.load
        load.update(latency_ratio, in_flight)
        now = self._context.now
        # Not by the mean latency alone: in an overload that grows to the clients' deadline, and cuts that
        # waited for it came every five seconds, while four hundred nodes went on feeding dead requests.
        pause = min(
            self._expected.mean, BASELINE_FACTOR * load.baseline_latency, self._context.latency_objective_ms
        )
        if now - self._adjusted_at < pause:
            return
        self._adjusted_at = now
        settings = self._context.settings
        # An endpoint holds its slot while it waits for the tiers behind it: with a request for each of those
        # its core is just kept busy.  At one request a first tier that had taken a lucky start for its
        # baseline shed 40% all day.
        least = (settings.tiers - settings.tier) * len(self._endpoints.listed) / self.sharers
        if load.load_ratio > 1.0:
            self._decrease(least)
        elif in_flight + 1 >= MIN_USED_FRACTION * self.limit and load.is_baseline_known():
            self._increase(least)
        self._log_change()

    def _decrease(self, least: float) -> None:
        load = self.load
        self._has_been_overloaded = True
        # Cut at most to what was in flight when as much was answered without a queue, times a margin:
        # repeated blind cuts shed at random, and what they let back in overloads the endpoints again.
        enough = DECREASE_MARGIN_FACTOR * load.peak_rate * load.peak_fade()
        enough *= min(load.baseline_latency, load.mean_latency)
        factor = min(MAX_DECREASE_FACTOR, max(MIN_DECREASE_FACTOR, 1.0 / load.load_ratio))
        # The mean in flight, and a deviation more: at one moment few may be far fewer.
        reach = max(1.0, load.mean_in_flight + math.sqrt(load.mean_in_flight))
        self.limit = max(least, enough, min(self.limit, reach) * factor)

    def _increase(self, least: float) -> None:
        load = self.load
        factor = INCREASE_FACTOR if self._has_been_overloaded else INITIAL_INCREASE_FACTOR
        increased = self.limit * factor + INCREASE_STEP
        # By Little's law more in flight than this, at the best rate seen, mean a queue: latencies tell so
        # only after they have been suffered, and by then the limit had doubled once too often.
        enough = max(MAX_LITTLE_FACTOR * load.baseline_latency * load.peak_rate, INITIAL_LIMIT * least)
        enough += math.sqrt(enough)
        self.limit = max(self.limit, min(increased, enough))

    def _log_change(self) -> None:
        load = self.load
        is_shedding = load.load_ratio > 1.0
        if is_shedding == self._is_shedding:
            return
        self._is_shedding = is_shedding
        # The words of this line are part of recorded runs.
        text = (
            f"admission limit {'on' if is_shedding else 'off'}: {self.limit:.1f} calls"
            f", strain {load.load_ratio:.2f}, mean latency {load.mean_latency:.0f} ms"
            f", calmest {load.baseline_latency:.0f} ms"
        )
        self._context.actions.append(Log(text))
