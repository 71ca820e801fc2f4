"""The two-time-scale learning automaton, at a cost that does not grow with the number of endpoints.

A response that pays off applies an affine map to all shares of each listed kind and raises one share; the
share vector stores that in a few numbers.  The mean of the averages is a running sum.  alpha, theta and p_min
are the paper's symbols.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from crowpost.decision_api import EndpointId
from crowpost.decisions.share_vector import ShareVector, with_floor

# One node sees few requests over many endpoints, so both steps are far above the paper's.
ALPHA = 0.15  # An average spans about seven requests of its endpoint
# theta = this / r.  With the floor, the random walk of equal endpoints stays within a sixth of a share.
THETA_FRACTION = 0.06
# N nodes share the requests, so each learns at an N-th of the rate, while the random walks of their vectors
# cancel out in what an endpoint gets from all of them.  theta = this * N / r keeps that sum as steady as
# three nodes with THETA_FRACTION do.  The same holds for K listed kinds in place of r endpoints.
THETA_PER_NODE = 0.02
ALPHA_PER_NODE = ALPHA / 3  # Grows with the number of nodes for the same reason
MAX_ALPHA = 0.5  # An average still spans two requests where a node sees few
# Greatest ratio of theta to alpha, as the averages must move well ahead of the shares of endpoints.
MAX_THETA_RATIO = 0.1
# Greatest ratio of theta to alpha for kinds; it is larger as their shares rest on many averages.
MAX_KIND_THETA_RATIO = 1 / 3
# p_min = this / r.  The floor also pulls shares back to uniform where latencies do not differ.
FLOOR_FRACTION = 0.4
NEWCOMER_FRACTION = 0.5  # Share of a new endpoint, as a part of the mean share, until its latency is known
# A failure counts as at most this many means, so that an unresponsive endpoint cannot raise the threshold.
MAX_FAILURE_FACTOR = 3.0


@dataclass(frozen=True, slots=True)
class LearnedEndpoint:
    """What an earlier process learned about an endpoint."""

    share_ratio: float  # Share as a multiple of the mean share
    average_ms: float | None  # None if the endpoint has not responded yet
    trust: float  # Weight from 0 to 1 against the initial share and average


class LearningAutomaton:
    """A probability vector with a floor over the endpoints, and a latency average for each."""

    def __init__(self, node_count: int = 1) -> None:
        self.endpoints: list[EndpointId] = []
        # None before the endpoint's first response; counts as the mean of the others.
        self.averages: list[float | None] = []
        self.theta_kind = 0.0  # 0 if all endpoints are of one kind
        self._index: dict[EndpointId, int] = {}
        self._vector = ShareVector()
        # Bound methods, which save a call for each request.
        self.share = self._vector.share
        self.draw = self._vector.draw
        self.restrict_to = self._vector.restrict_to
        self._known_averages = 0
        self._sum_of_averages = 0.0
        self.set_steps(node_count)

    @property
    def shares(self) -> list[float]:
        """The whole share vector."""
        return self._vector.shares()

    def mean(self) -> float | None:
        """Return the payoff threshold, the mean of all averages; None before any response."""
        return self._sum_of_averages / self._known_averages if self._known_averages else None

    def draw_among(self, eligible: Sequence[int], random_value: float) -> int:
        """Return the index that a number in [0, 1) draws from the vector conditioned on the eligible."""
        shares = [self.share(index) for index in eligible]
        remaining = random_value * sum(shares)
        for index, share in zip(eligible, shares, strict=True):
            remaining -= share
            if remaining < 0.0:
                return index
        return eligible[-1]

    # ------------------------------------------------------------ learning

    def record_response(self, endpoint: EndpointId, latency: float) -> bool:
        """Update an endpoint's average, and the vector if the response pays off; return whether it does.

        A response pays off if its latency is below the threshold.
        """
        index = self._index.get(endpoint)
        if index is None:
            return False
        threshold = self._move_average(index, latency)
        if latency >= threshold:
            return False
        vector = self._vector
        theta = self.theta
        count = len(self.endpoints)
        p_min = FLOOR_FRACTION / count
        for kind in range(vector.kind_count):
            vector.shrink(kind, theta, p_min)
        vector.add(index, theta * (1.0 - count * p_min))
        if self.theta_kind:
            self._raise_kind_shares(index, p_min)
        vector.renormalize()
        return True

    def _raise_kind_shares(self, index: int, p_min: float) -> None:
        """Raise the shares of all listed endpoints of the same kind, in proportion.

        In large sets a node sends too few requests to any one endpoint to tell slow machines from fast ones
        before the slow ones are overloaded, which took under four seconds at full size.
        """
        theta = self.theta_kind
        kind, kind_share, members = self._vector.kind_of(index)
        for other in range(self._vector.kind_count):
            if other != kind:
                self._vector.shrink(other, theta, p_min)
        available = 1.0 - kind_share - p_min * (len(self.endpoints) - members)
        self._vector.grow(kind, 1.0 + theta * available / kind_share)

    def record_failure(self, endpoint: EndpointId, latency: float) -> None:
        """Count a failure as a response that does not pay off.

        Its latency counts as at least the mean, so that a fast error does not look like a fast response, and
        as at most MAX_FAILURE_FACTOR means, so that an unresponsive endpoint does not raise the threshold.
        """
        index = self._index.get(endpoint)
        mean = self.mean()
        if index is not None and mean is not None:
            self._move_average(index, min(max(latency, mean), MAX_FAILURE_FACTOR * mean))

    def _move_average(self, index: int, latency: float) -> float:
        """Update only the average of an endpoint; return the payoff threshold for this latency."""
        mean = self.mean()
        if mean is None:  # The first response of all is the initial value of every endpoint
            self.averages = [latency] * len(self.averages)
            self._known_averages = len(self.averages)
            self._sum_of_averages = latency * len(self.averages)
            return latency
        before = self.averages[index]
        start = mean if before is None else before
        after = start + self.alpha * (latency - start)
        self.averages[index] = after
        self._known_averages += before is None
        self._sum_of_averages += after - (before or 0.0)
        return self.mean() or latency

    # ------------------------------------------------------------ changes of the endpoint set

    def restore(self, learned: Mapping[EndpointId, LearnedEndpoint]) -> None:
        """Move shares and averages toward what an earlier process learned, by its trust."""
        shares = self.shares
        mean_share = 1.0 / max(len(self.endpoints), 1)
        averages = [endpoint.average_ms for endpoint in learned.values() if endpoint.average_ms is not None]
        level = sum(averages) / max(len(averages), 1)
        for name, endpoint in learned.items():
            index = self._index[name]
            shares[index] += endpoint.trust * (endpoint.share_ratio * mean_share - shares[index])
            if endpoint.average_ms is not None and self.averages[index] is None:
                self.averages[index] = level + endpoint.trust * (endpoint.average_ms - level)
        self._vector.set_shares(with_floor(shares, FLOOR_FRACTION))
        self._sum_averages()

    def set_endpoints(
        self, weights: Mapping[EndpointId, float], kinds: Mapping[EndpointId, int] | None = None
    ) -> None:
        """Replace the endpoints; those that stay keep their ratios, new ones get a reduced share."""
        staying = [name for name in self.endpoints if name in weights]
        new = [name for name in weights if name not in self._index]
        shares = self.shares
        old_indices = [self._index[name] for name in staying]
        ratios = [shares[old_index] for old_index in old_indices]
        averages = [self.averages[old_index] for old_index in old_indices]
        unit = 1.0
        if staying:
            unit = NEWCOMER_FRACTION * sum(ratios) / sum(weights[name] for name in staying)
        self.endpoints = staying + new
        self.averages = averages + [None] * len(new)
        self._sum_averages()
        self._index = {name: index for index, name in enumerate(self.endpoints)}
        kind_numbers: dict[int, int] = {}
        endpoint_kinds = [
            kind_numbers.setdefault(kinds[name] if kinds else 0, len(kind_numbers)) for name in self.endpoints
        ]
        ratios += [unit * weights[name] for name in new]
        self._vector.set_members(with_floor(ratios, FLOOR_FRACTION), endpoint_kinds)
        self.set_steps(self._node_count)

    def _sum_averages(self) -> None:
        known = [average for average in self.averages if average is not None]
        self._known_averages = len(known)
        self._sum_of_averages = sum(known)

    def set_steps(self, node_count: int) -> None:
        """Set the step sizes by the number of endpoints and the number of nodes that call them."""
        self._node_count = node_count
        theta_of_nodes = THETA_PER_NODE * node_count
        self.alpha = min(max(ALPHA, ALPHA_PER_NODE * node_count), MAX_ALPHA)
        theta = max(THETA_FRACTION, theta_of_nodes) / max(len(self.endpoints), 1)
        self.theta = min(theta, MAX_THETA_RATIO * self.alpha)
        kinds = self._vector.kind_count
        theta_kind = min(theta_of_nodes / max(kinds, 1), MAX_KIND_THETA_RATIO * self.alpha)
        self.theta_kind = theta_kind if kinds > 1 else 0.0
