"""Deterministic discrete-event engine: a heap of calls ordered by time, then by the order of scheduling."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

# [due in ms, sequence number, call or None once cancelled, arguments]: a list, so that cancelling is one
# assignment.
Planned = list[Any]


class Engine:
    """Simulated time in milliseconds from 0.

    The same calls scheduled in the same order run in the same order: equal times run in the order of
    scheduling.
    """

    __slots__ = ("_heap", "_planned", "handled", "now")

    def __init__(self) -> None:
        self.now = 0.0
        self.handled = 0  # number of calls made
        self._planned = 0
        self._heap: list[Planned] = []

    def at(self, when: float, call: Callable[..., None], *arguments: Any) -> Planned:
        """Schedule a call at a time in ms; a time in the past means the present."""
        self._planned += 1
        planned = [when if when > self.now else self.now, self._planned, call, arguments]
        heapq.heappush(self._heap, planned)
        return planned

    def after(self, delay: float, call: Callable[..., None], *arguments: Any) -> Planned:
        """Schedule a call after a delay in ms."""
        return self.at(self.now + delay, call, *arguments)

    @staticmethod
    def cancel(planned: Planned) -> None:
        """Cancel a scheduled call; no effect if it was made already."""
        planned[2] = None

    def run(self, until: float) -> None:
        """Make all calls due up to this time in ms, including those scheduled meanwhile."""
        heap = self._heap
        while heap and heap[0][0] <= until:
            when, _, call, arguments = heapq.heappop(heap)
            if call is not None:
                self.now = when
                self.handled += 1
                call(*arguments)
        self.now = max(self.now, until)
