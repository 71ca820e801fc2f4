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


@dataclass(slots=True)
class Rate:
    """An exponentially fading count of units a millisecond, true from its first moments on."""

    span: float  # ms
    start: float | None = None
    count: float = 0.0
    at: float = 0.0

    def add(self, units: float, now: float) -> None:
        """Count units at a time in ms."""
        if self.start is None:
            self.start = now
        self.count = self._faded(now) + units
        self.at = now

    def per_ms(self, now: float) -> float:
        """Units a millisecond by now, 0 before the first."""
        if self.start is None:
            return 0.0
        return self._faded(now) / (self.span * (1.0 - math.exp(-max(now - self.start, 1.0) / self.span)))

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
