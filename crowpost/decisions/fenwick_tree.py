"""Weighted draws from a group of members in logarithmic time."""

from __future__ import annotations

from collections.abc import Sequence


class WeightedGroup:
    """Members with a Fenwick tree of their weights (Fenwick, 1994); `add` and `find` take O(log n)."""

    __slots__ = ("_position", "_tree", "members", "total")

    def __init__(self, members: list[int], weights: Sequence[float]) -> None:
        self.members = members
        self._position = {member: position for position, member in enumerate(members, 1)}
        self._tree = tree = [0.0, *(weights[member] for member in members)]
        self.total = sum(tree)
        for position in range(1, len(tree)):
            parent = position + (position & -position)
            if parent < len(tree):
                tree[parent] += tree[position]

    def __contains__(self, member: int) -> bool:
        return member in self._position

    def add(self, member: int, change: float) -> None:
        """Add a change to the weight of a member."""
        position = self._position[member]
        tree = self._tree
        self.total += change
        while position < len(tree):
            tree[position] += change
            position += position & -position

    def find(self, target: float) -> int:
        """Return the member at which the prefix sum of weights exceeds `target`, or the last member."""
        tree = self._tree
        position = 0
        step = 1 << max(0, (len(tree) - 1).bit_length() - 1)
        while step:
            ahead = position + step
            if ahead < len(tree) and tree[ahead] <= target:
                position = ahead
                target -= tree[position]
            step >>= 1
        return self.members[min(position, len(self.members) - 1)]
