"""The timers of the protocol, ordered by the time at which they are due."""

from __future__ import annotations

import heapq
import math
from dataclasses import dataclass
from enum import IntEnum


class TimerKind(IntEnum):
    """The action that is performed when a timer is due."""

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
    """The action of a timer; `name` and `number` identify the member and the probe or attempt, if any."""

    kind: TimerKind
    name: str = ""
    number: int = 0


class TimerQueue:
    """A heap of timers; timers due at the same time are returned in the order of scheduling."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Timer]] = []
        self._schedule_count = 0

    def schedule(self, due_ms: float, kind: TimerKind, name: str = "", number: int = 0) -> None:
        """Add a timer."""
        self._schedule_count += 1
        heapq.heappush(self._heap, (due_ms, self._schedule_count, Timer(kind, name, number)))

    def next_due_ms(self) -> float:
        """Return the due time of the next timer; infinity if there is none."""
        return self._heap[0][0] if self._heap else math.inf

    def pop_due(self, now: float) -> Timer | None:
        """Remove and return the earliest timer that is due; None if none is."""
        if not self._heap or self._heap[0][0] > now:
            return None
        _, _, timer = heapq.heappop(self._heap)
        return timer

    def postpone_all(self, delay_ms: float) -> None:
        """Postpone every timer by the same delay; this keeps their order, so the list remains a heap."""
        self._heap = [(due_ms + delay_ms, order, timer) for due_ms, order, timer in self._heap]
