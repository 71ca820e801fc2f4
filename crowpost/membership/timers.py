"""The timers of the protocol, ordered by the time at which they are due."""

from __future__ import annotations

import heapq
import math
from dataclasses import dataclass
from enum import IntEnum


class TimerKind(IntEnum):
    """What is to be done when a timer is due."""

    PROBE_ROUND = 0
    INDIRECT_PROBE = 1
    SUSPICION_TIMEOUT = 2
    GOSSIP = 3
    SYNC = 4
    PROBE_DEAD = 5
    JOIN = 6
    REMOVE_EXPIRED = 7
    PING_REQ_TIMEOUT = 8
    PROBE_TIMEOUT = 9


@dataclass(frozen=True, slots=True)
class Timer:
    """What a timer is for; `name` and `number` say which member and probe, where it concerns one."""

    kind: TimerKind
    name: str = ""
    number: int = 0


class TimerQueue:
    """A heap of timers; those due at the same time come in the order in which they were scheduled."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Timer]] = []
        self._scheduled = 0

    def schedule(self, due_ms: float, kind: TimerKind, name: str = "", number: int = 0) -> None:
        """Add a timer."""
        self._scheduled += 1
        heapq.heappush(self._heap, (due_ms, self._scheduled, Timer(kind, name, number)))

    def next_due_ms(self) -> float:
        """Return when the next timer is due; infinity if there is none."""
        return self._heap[0][0] if self._heap else math.inf

    def pop_due(self, now: float) -> Timer | None:
        """Remove and return the earliest timer that is due; None if none is."""
        if not self._heap or self._heap[0][0] > now:
            return None
        _, _, timer = heapq.heappop(self._heap)
        return timer

    def postpone_all(self, delay_ms: float) -> None:
        """Postpone every timer by the same time; their order stays, so the list stays a heap."""
        self._heap = [(due_ms + delay_ms, order, timer) for due_ms, order, timer in self._heap]
