"""Decides when a follower sends its version vector again because its digest differs from a server's."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(slots=True)
class ResyncTimer:
    """Sets the intervals between version vectors on a connection, which double each time.  Times in ms."""

    initial_wait_ms: float
    max_wait_ms: float
    _wait_ms: float = 0.0
    _due_at: float = -math.inf
    _differed: bool = False  # whether the digests differed at the last heartbeat

    def start(self, now: float) -> None:
        """Start the timer after the first version vector was sent."""
        self._wait_ms = self.initial_wait_ms
        self._due_at = now + self.initial_wait_ms

    def reset(self) -> None:
        """Return to the shortest interval, after a new document was offered on the connection."""
        self._wait_ms = self.initial_wait_ms

    def compare(self, differs: bool, now: float) -> bool:
        """Return whether a version vector is due, given whether the digests differ.

        The digests must differ in two successive heartbeats: at a single difference the headers of new
        documents may still be in flight.
        """
        differed_before = self._differed
        self._differed = differs
        if not differs:
            self.reset()
        return differs and differed_before and now >= self._due_at

    def sent(self, now: float) -> None:
        """Record that a version vector is sent again."""
        self._due_at = now + self._wait_ms
        self._wait_ms = min(2.0 * self._wait_ms, self.max_wait_ms)
