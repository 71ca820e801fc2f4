"""A probability vector with a floor, over members of several kinds."""

from __future__ import annotations

from collections.abc import Sequence

from crowpost.decisions.fenwick_tree import WeightedGroup

MIN_SCALE = 1e-6  # Below this scale the weights are recomputed, to keep floating-point precision


def with_floor(ratios: Sequence[float], floor: float) -> list[float]:
    """Return shares that sum to 1, are at least `floor` / their number, and keep their ratios above it."""
    count = len(ratios)
    if not count:
        return []
    min_share = floor / count
    at_floor: set[int] = set()
    while True:
        total = sum(ratio for i, ratio in enumerate(ratios) if i not in at_floor) if at_floor else sum(ratios)
        scale = (1.0 - len(at_floor) * min_share) / total if total > 0 else 0.0
        min_ratio = min_share / scale if scale else float("inf")
        below = {i for i, ratio in enumerate(ratios) if ratio < min_ratio and i not in at_floor}
        if not below:
            return [min_share if i in at_floor else ratio * scale for i, ratio in enumerate(ratios)]
        at_floor |= below


class ShareVector:
    """A probability vector over members of several kinds, at a cost that does not grow with their number.

    A share is kept as scale * weight + offset, with a scale and an offset for each kind, so that an affine
    map of all shares of a kind is two numbers; a tree of the weights draws in O(log r).
    """

    def __init__(self) -> None:
        self._kinds: list[int] = []  # Kind of each member, numbered from 0
        self._weights: list[float] = []
        self._scale: list[float] = []
        self._offset: list[float] = []
        self._groups: list[WeightedGroup] = []
        self._restricted: list[WeightedGroup] | None = None  # The members that `draw` is restricted to

    @property
    def kind_count(self) -> int:
        """The number of kinds."""
        return len(self._scale)

    def set_members(self, shares: list[float], kinds: list[int]) -> None:
        """Replace the members, by their shares and kinds, and lift any restriction."""
        self._kinds = kinds
        self._restricted = None
        self._scale = [1.0] * (max(kinds, default=-1) + 1)
        self.set_shares(shares)

    def set_shares(self, shares: list[float]) -> None:
        """Replace the shares of the same members."""
        restricted = None
        if self._restricted is not None:
            restricted = [member for group in self._restricted for member in group.members]
        self._weights = shares
        self._scale = [1.0] * len(self._scale)
        self._offset = [0.0] * len(self._scale)
        self._groups = self._grouped(range(len(shares)))
        self.restrict_to(restricted)

    def restrict_to(self, members: Sequence[int] | None) -> None:
        """Restrict `draw` to these members; None lifts the restriction."""
        self._restricted = None if members is None else self._grouped(members)

    def share(self, member: int) -> float:
        """Return the probability of a member by its index."""
        kind = self._kinds[member]
        return self._scale[kind] * self._weights[member] + self._offset[kind]

    def shares(self) -> list[float]:
        """Return the whole vector."""
        scale = self._scale
        offset = self._offset
        return [
            scale[kind] * weight + offset[kind]
            for kind, weight in zip(self._kinds, self._weights, strict=True)
        ]

    def draw(self, random_value: float) -> int:
        """Return the index that a number in [0, 1) draws from the vector, or from its restricted part."""
        groups = self._groups if self._restricted is None else self._restricted
        masses = [self._mass(kind, group) for kind, group in enumerate(groups)]
        remaining = random_value * sum(masses)
        kind = 0
        while remaining >= masses[kind] and kind < len(masses) - 1:
            remaining -= masses[kind]
            kind += 1
        group = groups[kind]
        offset = self._offset[kind]
        offset_mass = offset * len(group.members)
        if remaining < offset_mass:
            return group.members[int(remaining / offset)]
        return group.find((remaining - offset_mass) / self._scale[kind])

    def kind_of(self, member: int) -> tuple[int, float, int]:
        """Return a member's kind, the sum of that kind's shares, and its number of members."""
        kind = self._kinds[member]
        group = self._groups[kind]
        return kind, self._mass(kind, group), len(group.members)

    def shrink(self, kind: int, step: float, toward: float) -> None:
        """Move every share of a kind by a part `step` of its distance to the value `toward`."""
        self._scale[kind] *= 1.0 - step
        self._offset[kind] += step * (toward - self._offset[kind])

    def grow(self, kind: int, factor: float) -> None:
        """Multiply every share of a kind by a factor."""
        self._scale[kind] *= factor
        self._offset[kind] *= factor

    def add(self, member: int, change: float) -> None:
        """Add a change to one share."""
        kind = self._kinds[member]
        weight = change / self._scale[kind]
        self._weights[member] += weight
        self._groups[kind].add(member, weight)
        if self._restricted is not None and member in self._restricted[kind]:
            self._restricted[kind].add(member, weight)

    def renormalize(self) -> None:
        """Reset scales and offsets if a scale has become so small that precision would be lost."""
        if min(self._scale) < MIN_SCALE:
            self.set_shares(self.shares())

    def _mass(self, kind: int, group: WeightedGroup) -> float:
        return self._scale[kind] * group.total + self._offset[kind] * len(group.members)

    def _grouped(self, members: Sequence[int]) -> list[WeightedGroup]:
        by_kind: list[list[int]] = [[] for _ in self._scale]
        for member in members:
            by_kind[self._kinds[member]].append(member)
        return [WeightedGroup(indices, self._weights) for indices in by_kind]
