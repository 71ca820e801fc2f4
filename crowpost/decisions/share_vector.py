"""A probability vector with a floor, over members of several kinds."""

from __future__ import annotations

from collections.abc import Sequence

from crowpost.decisions.fenwick_tree import WeightedGroup

SCALE_LEAST = 1e-6  # of a vector: below it weights are taken anew, for floating point


def floored(ratios: Sequence[float], floor: float) -> list[float]:
    """Shares that sum to 1 and keep the ratios of all that stand above the floor, `floor` / their number."""
    r = len(ratios)
    if not r:
        return []
    p_min = floor / r
    low: set[int] = set()
    while True:
        total = sum(x for i, x in enumerate(ratios) if i not in low) if low else sum(ratios)
        scale = (1.0 - len(low) * p_min) / total if total > 0 else 0.0
        least = p_min / scale if scale else float("inf")
        under = {i for i, x in enumerate(ratios) if x < least and i not in low}
        if not under:
            return [p_min if i in low else x * scale for i, x in enumerate(ratios)]
        low |= under


class Vector:
    """A probability vector over members of several kinds, at a cost that does not grow with their number.

    A share is kept as scale * weight + offset, with a scale and an offset for each kind, so that an affine
    map of all shares of a kind is two numbers; a tree of the weights draws in O(log r).
    """

    def __init__(self) -> None:
        self._kinds: list[int] = []  # of the members, numbered from 0
        self._weights: list[float] = []
        self._scale: list[float] = []
        self._offset: list[float] = []
        self._all: list[WeightedGroup] = []
        self._home: list[WeightedGroup] | None = None

    @property
    def kinds(self) -> int:
        """How many kinds there are."""
        return len(self._scale)

    def set(self, shares: list[float], kinds: list[int]) -> None:
        """New members with their shares and kinds; whatever `pick` kept to is forgotten."""
        self._kinds, self._home = kinds, None
        self._scale = [1.0] * (max(kinds, default=-1) + 1)
        self.renew(shares)

    def share(self, i: int) -> float:
        """The probability of a member by its index."""
        kind = self._kinds[i]
        return self._scale[kind] * self._weights[i] + self._offset[kind]

    def shares(self) -> list[float]:
        """The whole vector."""
        scale, offset = self._scale, self._offset
        return [scale[k] * w + offset[k] for k, w in zip(self._kinds, self._weights, strict=True)]

    def pick(self, u: float) -> int:
        """The index drawn by u in [0, 1) from the vector, or from the part of it that is kept to."""
        groups = self._all if self._home is None else self._home
        masses = [self._mass(kind, g) for kind, g in enumerate(groups)]
        left, kind = u * sum(masses), 0
        while left >= masses[kind] and kind < len(masses) - 1:
            left -= masses[kind]
            kind += 1
        group, offset = groups[kind], self._offset[kind]
        flat = offset * len(group.members)
        if left < flat:
            return group.members[int(left / offset)]
        return group.find((left - flat) / self._scale[kind])

    def keep_to(self, members: Sequence[int] | None) -> None:
        """From now on `pick` draws from these; None: from all."""
        self._home = None if members is None else self._grouped(members)

    def kind_of(self, i: int) -> tuple[int, float, int]:
        """A member's kind, the sum of that kind's shares, and how many are of it."""
        kind = self._kinds[i]
        return kind, self._mass(kind, self._all[kind]), len(self._all[kind].members)

    def shrink(self, kind: int, step: float, toward: float) -> None:
        """Move every share of a kind by a part of its distance to one value."""
        self._scale[kind] *= 1.0 - step
        self._offset[kind] += step * (toward - self._offset[kind])

    def grow(self, kind: int, times: float) -> None:
        """Multiply every share of a kind."""
        self._scale[kind] *= times
        self._offset[kind] *= times

    def add(self, i: int, by: float) -> None:
        """Raise one share."""
        kind = self._kinds[i]
        weight = by / self._scale[kind]
        self._weights[i] += weight
        self._all[kind].add(i, weight)
        if self._home is not None and i in self._home[kind]:
            self._home[kind].add(i, weight)

    def settle(self) -> None:
        """Take the shares themselves as weights where a scale has faded so far that digits would be lost."""
        if min(self._scale) < SCALE_LEAST:
            self.renew(self.shares())

    def _mass(self, kind: int, group: WeightedGroup) -> float:
        return self._scale[kind] * group.total + self._offset[kind] * len(group.members)

    def _grouped(self, members: Sequence[int]) -> list[WeightedGroup]:
        by_kind: list[list[int]] = [[] for _ in self._scale]
        for index in members:
            by_kind[self._kinds[index]].append(index)
        return [WeightedGroup(indices, self._weights) for indices in by_kind]

    def renew(self, shares: list[float]) -> None:
        """Other shares for the same members."""
        home = None if self._home is None else [i for group in self._home for i in group.members]
        self._weights = shares
        self._scale, self._offset = [1.0] * len(self._scale), [0.0] * len(self._scale)
        self._all = self._grouped(range(len(shares)))
        self.keep_to(home)
