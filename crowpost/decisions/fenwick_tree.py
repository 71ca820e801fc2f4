"""A weighted draw from a group of members in logarithmic time."""

from __future__ import annotations

from collections.abc import Sequence


class WeightedGroup:
    """Members with a Fenwick tree of their weights (Fenwick, 1994): add and find in O(log n)."""

    __slots__ = ("_place", "_tree", "members", "total")

    def __init__(self, members: list[int], weights: Sequence[float]) -> None:
        self.members = members
        self._place = {index: at for at, index in enumerate(members, 1)}
        self._tree = tree = [0.0, *(weights[index] for index in members)]
        self.total = sum(tree)
        for at in range(1, len(tree)):
            above = at + (at & -at)
            if above < len(tree):
                tree[above] += tree[at]

    def __contains__(self, index: int) -> bool:
        return index in self._place

    def add(self, index: int, by: float) -> None:
        """Raise a member's weight."""
        at, tree = self._place[index], self._tree
        self.total += by
        while at < len(tree):
            tree[at] += by
            at += at & -at

    def find(self, left: float) -> int:
        """The member at which the running sum of weights passes `left`; the last if none does."""
        tree, at = self._tree, 0
        step = 1 << max(0, (len(tree) - 1).bit_length() - 1)
        while step:
            ahead = at + step
            if ahead < len(tree) and tree[ahead] <= left:
                at = ahead
                left -= tree[at]
            step >>= 1
        return self.members[min(at, len(self.members) - 1)]
