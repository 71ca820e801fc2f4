"""A heap of timers."""

from __future__ import annotations

import heapq
import math
from enum import IntEnum


class TimerKind(IntEnum):
    """The action that is due when a timer fires."""

    HEDGE = 0
    POLL_LIST = 1
    RETURN_ENDPOINT = 2
    RECHECK_QUEUE = 3


class Timers:
    """Timers by time in ms; those of equal times fire in the order in which they were set."""

    def __init__(self) -> None:
        self.set = 0  # Number of timers set so far
        self._heap: list[tuple[float, int, int, int | bytes | None]] = []

    def __len__(self) -> int:
        return len(self._heap)

    def at(self, when: float, kind: int, subject: int | bytes | None = None) -> None:
        """Set a timer."""
        self.set += 1
        heapq.heappush(self._heap, (when, self.set, kind, subject))

    def earliest(self) -> float:
        """Return when the next timer is due; infinity if none is set."""
        return self._heap[0][0] if self._heap else math.inf

    def pop_due(self, now: float) -> tuple[int, int | bytes | None] | None:
        """Remove the earliest timer that is due; return its kind and subject, or None if none is due."""
        if not self._heap or self._heap[0][0] > now:
            return None
        _, _, kind, subject = heapq.heappop(self._heap)
        return kind, subject
