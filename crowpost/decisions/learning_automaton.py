"""The two-time-scale learning automaton, at a cost that does not grow with the fleet.

A payoff is an affine map of all shares of each listed kind and a rise of one, which the vector takes in a few
numbers; the mean of averages is a running sum.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from crowpost.decision_api import EndpointId
from crowpost.decisions.share_vector import Vector, floored

# A copy sees few calls over many servers, so both steps are far above the paper's.
ALPHA = 0.15  # an average spans about seven of its server's calls
THETA_SHARE = 0.06  # theta = this / r; with the floor the walk of equals stays under a sixth of a share
# N nodes share the calls, so each learns at an N-th of the rate, while the walks of their vectors cancel out
# in what a server gets from all of them.  theta = this * N / r keeps that sum as steady as three nodes at
# the share above keep it; over K listed kinds in place of r servers the same holds.
THETA_NODES = 0.02
ALPHA_NODES = ALPHA / 3  # per node, for the same reason
ALPHA_MOST = 0.5  # an average of a sparse view still spans two calls
THETA_MOST = 0.1  # of alpha: the averages must stay well ahead of the shares of servers
THETA_KIND_MOST = 1 / 3  # of alpha: the shares of kinds rest on the averages of many servers
FLOOR_SHARE = 0.4  # p_min = this / r; also pulls shares that latency cannot tell apart back to uniform
NEWCOMER_SHARE = 0.5  # a newcomer's part of the mean share until it has shown what it can do
CHARGE_CAP = 3.0  # a failure enters an average at no more than this many means: silence lifts no threshold


class Automaton:
    """A floored probability vector over servers and a latency average for each."""

    def __init__(self, nodes: int = 1) -> None:
        self.servers: list[EndpointId] = []
        self.average: list[float | None] = []  # None: not called yet, counts as the mean of the others
        self.theta_kind = 0.0  # 0 where all are listed as of one kind
        self._index: dict[EndpointId, int] = {}
        self._vector = Vector()
        self.share, self.pick, self.keep_to = self._vector.share, self._vector.pick, self._vector.keep_to
        self._known, self._sum = 0, 0.0  # averages that are known
        self.set_steps(nodes)

    @property
    def p(self) -> list[float]:
        """The whole vector."""
        return self._vector.shares()

    def mean(self) -> float | None:
        """The payoff threshold: the mean of all averages, None before any answer."""
        return self._sum / self._known if self._known else None

    def draw(self, eligible: Sequence[int], u: float) -> int:
        """The index drawn by u in [0, 1) from the vector conditioned on the eligible."""
        shares = [self.share(i) for i in eligible]
        left = u * sum(shares)
        for i, share in zip(eligible, shares, strict=True):
            left -= share
            if left < 0.0:
                return i
        return eligible[-1]

    def learn(self, server: EndpointId, latency: float) -> bool:
        """An answered call: move its server's average, and the vector if the call paid off."""
        i = self._index.get(server)
        if i is None:
            return False
        threshold = self._move(i, latency)
        if latency >= threshold:
            return False
        vector, r, theta = self._vector, len(self.servers), self.theta
        p_min = FLOOR_SHARE / r
        for kind in range(vector.kinds):
            vector.shrink(kind, theta, p_min)
        vector.add(i, theta * (1.0 - r * p_min))
        if self.theta_kind:
            self._favour_kind(i, p_min)
        vector.settle()
        return True

    def _favour_kind(self, i: int, p_min: float) -> None:
        """A payoff speaks for the servers listed as of the same kind, too: their shares grow in proportion.

        Guards against a fleet in which a node's calls to any one server are too few to tell slow machines
        from fast ones before the slow are driven into the ground, seen within four seconds at full size.
        """
        theta, (kind, same, members) = self.theta_kind, self._vector.kind_of(i)
        for other in range(self._vector.kinds):
            if other != kind:
                self._vector.shrink(other, theta, p_min)
        rest = 1.0 - same - p_min * (len(self.servers) - members)
        self._vector.grow(kind, 1.0 + theta * rest / same)

    def charge(self, server: EndpointId, latency: float) -> None:
        """A failed call: a miss.  A fast error must not look quick, nor a silence lift the threshold."""
        i = self._index.get(server)
        mean = self.mean()
        if i is not None and mean is not None:
            self._move(i, min(max(latency, mean), CHARGE_CAP * mean))

    def _move(self, i: int, latency: float) -> float:
        """Move the chosen server's average only; returns the threshold for this call."""
        mean = self.mean()
        if mean is None:  # the first answer of all is every server's starting value
            self.average = [latency] * len(self.average)
            self._known, self._sum = len(self.average), latency * len(self.average)
            return latency
        old = self.average[i]
        start = mean if old is None else old
        self.average[i] = moved = start + self.alpha * (latency - start)
        self._known += old is None
        self._sum += moved - (old or 0.0)
        return self.mean() or latency

    def recall(self, known: Mapping[EndpointId, tuple[float, float | None, float]]) -> None:
        """What an earlier process knew: ratio, average and the trust by which each leaves its start value."""
        shares, mean = self.p, 1.0 / max(len(self.servers), 1)
        averages = [average for _, average, _ in known.values() if average is not None]
        level = sum(averages) / max(len(averages), 1)
        for server, (ratio, average, trust) in known.items():
            i = self._index[server]
            shares[i] += trust * (ratio * mean - shares[i])
            if average is not None and self.average[i] is None:
                self.average[i] = level + trust * (average - level)
        self._vector.renew(floored(shares, FLOOR_SHARE))
        told = [a for a in self.average if a is not None]
        self._known, self._sum = len(told), sum(told)

    def resize(
        self, weights: Mapping[EndpointId, float], kinds: Mapping[EndpointId, int] | None = None
    ) -> None:
        """Take in a new set of servers: the others keep their ratios, a newcomer gets a modest share."""
        stay = [s for s in self.servers if s in weights]
        p, places = self.p, [self._index[s] for s in stay]
        ratios, averages = [p[i] for i in places], [self.average[i] for i in places]
        new = [s for s in weights if s not in self._index]
        unit = NEWCOMER_SHARE * sum(ratios) / sum(weights[s] for s in stay) if stay else 1.0
        self.servers = stay + new
        self.average = averages + [None] * len(new)
        known = [a for a in averages if a is not None]
        self._known, self._sum = len(known), sum(known)
        self._index = {s: i for i, s in enumerate(self.servers)}
        numbers: dict[int, int] = {}
        own = [numbers.setdefault(kinds[s] if kinds else 0, len(numbers)) for s in self.servers]
        self._vector.set(floored(ratios + [unit * weights[s] for s in new], FLOOR_SHARE), own)
        self.set_steps(self._nodes)

    def set_steps(self, nodes: int) -> None:
        """The step sizes, by the servers and by how many nodes call them."""
        self._nodes, of_nodes = nodes, THETA_NODES * nodes
        self.alpha = min(max(ALPHA, ALPHA_NODES * nodes), ALPHA_MOST)
        self.theta = min(max(THETA_SHARE, of_nodes) / max(len(self.servers), 1), THETA_MOST * self.alpha)
        step = min(of_nodes / max(self._vector.kinds, 1), THETA_KIND_MOST * self.alpha)
        self.theta_kind = step if self._vector.kinds > 1 else 0.0
