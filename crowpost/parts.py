"""Generic parts that decide nothing: a weighted draw, estimators, a token bucket, and a heap of timers."""

from __future__ import annotations

import heapq
import math
from collections.abc import Sequence
from dataclasses import dataclass


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


SCALE_LEAST = 1e-6  # of a vector: below it weights are taken anew, for floating point


def deal(marks: Sequence[int], hands: int) -> list[int]:
    """The hand that each card is dealt to, by random marks of 48 bits: all hands are alike in size.

    In the order of marks each card goes to the first hand with room, in an order of hands of its own
    (double hashing; hands: a power of two).  One card more or less moves few others, as most hands that a
    card passes over are full either way; cutting the sorted cards into equal runs would move a third of as
    many cards as there are hands.
    """
    least, sizes, dealt = len(marks) // hands, [0] * hands, [0] * len(marks)
    for place, i in enumerate(sorted(range(len(marks)), key=marks.__getitem__)):
        room = least if place < least * hands else least + 1
        hand, step = marks[i] % hands, (marks[i] >> 16) | 1
        while sizes[hand] >= room:
            hand = (hand + step) % hands
        sizes[hand] += 1
        dealt[i] = hand
    return dealt


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


@dataclass(slots=True)
class Rate:
    """An exponentially fading count of units a millisecond, true from its first moments on."""

    span: float  # ms
    start: float | None = None
    count: float = 0.0
    at: float = 0.0

    def add(self, units: float, now: float) -> None:
        """Count units at a time in ms; those below 0 take back what was counted a moment ago."""
        if self.start is None:
            self.start = now
        self.count = self._faded(now) + units
        self.at = now

    def per_ms(self, now: float) -> float:
        """Units a millisecond by now, 0 before the first."""
        if self.start is None:
            return 0.0
        count = max(0.0, self._faded(now))
        return count / (self.span * (1.0 - math.exp(-max(now - self.start, 1.0) / self.span)))

    def _faded(self, now: float) -> float:
        return self.count * math.exp(-(now - self.at) / self.span) if self.count else 0.0


@dataclass(slots=True)
class Spread:
    """Mean and mean deviation of times in ms, as in TCP's time-out (RFC 6298)."""

    deviations: float  # that make a time late
    least: float  # and so many means at the least
    mean: float = 0.0
    deviation: float = 0.0

    def observe(self, time: float) -> None:
        """Take in one more time."""
        if self.mean == 0.0:
            self.mean, self.deviation = time, time / 2
        else:
            self.deviation += 0.1 * (abs(time - self.mean) - self.deviation)
            self.mean += 0.1 * (time - self.mean)

    def late(self) -> float:
        """The time from which on one is late; infinity before the first."""
        bound = max(self.mean + self.deviations * self.deviation, self.least * self.mean)
        return bound if self.mean else math.inf


@dataclass(slots=True)
class Bucket:
    """A token bucket that holds a second's tokens at the most."""

    per_s: float
    tokens: float
    at: float = 0.0  # ms

    def take(self, now: float) -> bool:
        """Take a token at a time in ms, if there is one; a bucket without a rate is never empty."""
        self.tokens = min(self.per_s, self.tokens + (now - self.at) * self.per_s / 1000.0)
        self.at = now
        inside = self.tokens >= 1.0 or self.per_s <= 0.0
        self.tokens -= inside
        return inside


class Timers:
    """Times in ms with what is due then; equal times in the order in which they were set."""

    def __init__(self) -> None:
        self.set = 0  # over the life
        self._heap: list[tuple[float, int, int, int | bytes | None]] = []

    def __len__(self) -> int:
        return len(self._heap)

    def at(self, when: float, kind: int, subject: int | bytes | None = None) -> None:
        """Set a timer."""
        self.set += 1
        heapq.heappush(self._heap, (when, self.set, kind, subject))

    def earliest(self) -> float:
        """When the next is due; infinity if none is set."""
        return self._heap[0][0] if self._heap else math.inf

    def pop_due(self, now: float) -> tuple[int, int | bytes | None] | None:
        """Kind and subject of the earliest timer that is due, which is taken off; None if none is."""
        if not self._heap or self._heap[0][0] > now:
            return None
        _, _, kind, subject = heapq.heappop(self._heap)
        return kind, subject
