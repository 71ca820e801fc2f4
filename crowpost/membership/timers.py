"""When a member's timers are due."""

from __future__ import annotations

import heapq
import math
from enum import IntEnum


class Timer(IntEnum):
    """What a timer is for."""

    ROUND = 0
    STEP = 1
    SUSPICION = 2
    GOSSIP = 3
    SYNC = 4
    REJOIN = 5
    JOIN = 6
    FORGET = 7
    NACK = 8
    JUDGE = 9


class Schedule:
    """A heap of timers: time in ms, kind, a name and a number; equal times in the order of setting."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Timer, str, int]] = []
        self._set = 0

    def at(self, when: float, kind: Timer, name: str = "", number: int = 0) -> None:
        """Set a timer."""
        self._set += 1
        heapq.heappush(self._heap, (when, self._set, kind, name, number))

    def next_at(self) -> float:
        """When the next is due; infinity if none is set."""
        return self._heap[0][0] if self._heap else math.inf

    def pop_due(self, now: float) -> tuple[Timer, str, int] | None:
        """The earliest that is due, which is taken off; None if none is."""
        if not self._heap or self._heap[0][0] > now:
            return None
        _, _, kind, name, number = heapq.heappop(self._heap)
        return kind, name, number

    def shift(self, by: float) -> None:
        """Move all on by as long; equal shifts keep the order, so the heap stays one."""
        self._heap = [
            (when + by, place, kind, name, number) for when, place, kind, name, number in self._heap
        ]
