"""The two-time-scale learning automaton, at a cost that does not grow with the fleet.

A payoff is one affine map of all shares, so a share is kept as scale * weight + offset, both for each listed
kind; a Fenwick tree over the weights draws in O(log r), and the mean of averages is a running sum.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from fawngw.interface import ServerId
from fawngw.parts import WeightedGroup, floored

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
SCALE_LEAST = 1e-6  # below it weights are taken anew, for floating point


class Automaton:
    """A floored probability vector over servers and a latency average for each."""

    def __init__(self, nodes: int = 1) -> None:
        self.servers: list[ServerId] = []
        self.average: list[float | None] = []  # None: not called yet, counts as the mean of the others
        self.theta_kind = 0.0  # 0 where all are listed as of one kind
        self._index: dict[ServerId, int] = {}
        self._kinds: list[int] = []  # numbered from 0 as they come
        self._weights: list[float] = []
        self._scale: list[float] = []
        self._offset: list[float] = []
        self._all: list[WeightedGroup] = []
        self._home: list[WeightedGroup] | None = None
        self._known, self._sum = 0, 0.0  # averages that are known
        self.set_steps(nodes)

    def share(self, i: int) -> float:
        """The probability of a server by its index."""
        kind = self._kinds[i]
        return self._scale[kind] * self._weights[i] + self._offset[kind]

    @property
    def p(self) -> list[float]:
        """The whole vector."""
        scale, offset = self._scale, self._offset
        return [scale[k] * w + offset[k] for k, w in zip(self._kinds, self._weights, strict=True)]

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

    def pick(self, u: float) -> int:
        """The index drawn by u in [0, 1) from the vector, or from the home's part of it, in O(log r)."""
        groups = self._all if self._home is None else self._home
        masses = [self._mass(kind, g.total, len(g.members)) for kind, g in enumerate(groups)]
        left, kind = u * sum(masses), 0
        while left >= masses[kind] and kind < len(masses) - 1:
            left -= masses[kind]
            kind += 1
        group, offset = groups[kind], self._offset[kind]
        flat = offset * len(group.members)
        if left < flat:
            return group.members[int(left / offset)]
        return group.find((left - flat) / self._scale[kind])

    def _mass(self, kind: int, weight: float, count: int) -> float:
        return self._scale[kind] * weight + self._offset[kind] * count

    def keep_to(self, home: Sequence[int] | None) -> None:
        """From now on `pick` draws from these; None: from all."""
        self._home = None if home is None else self._grouped(home)

    def _grouped(self, members: Sequence[int]) -> list[WeightedGroup]:
        by_kind: list[list[int]] = [[] for _ in self._scale]
        for index in members:
            by_kind[self._kinds[index]].append(index)
        return [WeightedGroup(indices, self._weights) for indices in by_kind]

    def learn(self, server: ServerId, latency: float) -> bool:
        """An answered call: move its server's average, and the vector if the call paid off."""
        i = self._index.get(server)
        if i is None:
            return False
        threshold = self._move(i, latency)
        if latency >= threshold:
            return False
        r = len(self._weights)
        theta, p_min = self.theta, FLOOR_SHARE / r
        p_max = 1.0 - (r - 1) * p_min
        for kind in range(len(self._scale)):
            self._shrink(kind, theta, p_min)
        self._raise(i, theta * (p_max - p_min))
        if self.theta_kind:
            self._favour_kind(self._kinds[i], p_min)
        if min(self._scale) < SCALE_LEAST:
            self._renew(self.p)
        return True

    def _shrink(self, kind: int, theta: float, p_min: float) -> None:
        self._scale[kind] *= 1.0 - theta
        self._offset[kind] += theta * (p_min - self._offset[kind])

    def _raise(self, i: int, by: float) -> None:
        kind = self._kinds[i]
        weight = by / self._scale[kind]
        self._weights[i] += weight
        self._all[kind].add(i, weight)
        if self._home is not None and i in self._home[kind]:
            self._home[kind].add(i, weight)

    def _favour_kind(self, kind: int, p_min: float) -> None:
        """A payoff speaks for the servers listed as of the same kind, too: their shares grow in proportion.

        Guards against a fleet in which a node's calls to any one server are too few to tell slow machines
        from fast ones before the slow are driven into the ground, seen within four seconds at full size.
        """
        theta, group = self.theta_kind, self._all[kind]
        same = self._mass(kind, group.total, len(group.members))
        grow = 1.0 + theta * (1.0 - same - p_min * (len(self._weights) - len(group.members))) / same
        for other in range(len(self._scale)):
            if other == kind:
                self._scale[kind] *= grow
                self._offset[kind] *= grow
            else:
                self._shrink(other, theta, p_min)

    def charge(self, server: ServerId, latency: float) -> None:
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

    def resize(self, weights: Mapping[ServerId, float], kinds: Mapping[ServerId, int] | None = None) -> None:
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
        self._kinds = [numbers.setdefault(kinds[s] if kinds else 0, len(numbers)) for s in self.servers]
        self._scale, self._offset = [1.0] * len(numbers), [0.0] * len(numbers)
        self._home = None
        self._renew(floored(ratios + [unit * weights[s] for s in new], FLOOR_SHARE))
        self.set_steps(self._nodes)

    def set_steps(self, nodes: int) -> None:
        """The step sizes, by the servers and by how many nodes call them."""
        self._nodes, of_nodes = nodes, THETA_NODES * nodes
        self.alpha = min(max(ALPHA, ALPHA_NODES * nodes), ALPHA_MOST)
        self.theta = min(max(THETA_SHARE, of_nodes) / max(len(self.servers), 1), THETA_MOST * self.alpha)
        step = min(of_nodes / max(len(self._scale), 1), THETA_KIND_MOST * self.alpha)
        self.theta_kind = step if len(self._scale) > 1 else 0.0

    def _renew(self, shares: list[float]) -> None:
        """Take the shares themselves as weights."""
        home = None if self._home is None else [i for group in self._home for i in group.members]
        self._weights = shares
        self._scale, self._offset = [1.0] * len(self._scale), [0.0] * len(self._scale)
        self._all = self._grouped(range(len(shares)))
        self.keep_to(home)
