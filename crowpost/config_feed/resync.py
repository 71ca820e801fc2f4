"""When a follower sends its version vector again, because its digest differs from a server's."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(slots=True)
class ResyncTimer:
    """Spaces the version vectors on one connection, with a wait that doubles each time.  Times in ms."""

    initial_wait_ms: float
    max_wait_ms: float
    _wait_ms: float = 0.0
    _due_at: float = -math.inf
    _differed: bool = False  # at the last heartbeat

    def start(self, now: float) -> None:
        """Begin with a version vector that was just sent."""
        self._wait_ms = self.initial_wait_ms
        self._due_at = now + self.initial_wait_ms

    def reset(self) -> None:
        """Begin anew with the shortest wait, after news on the connection."""
        self._wait_ms = self.initial_wait_ms

    def compare(self, differs: bool, now: float) -> bool:
        """Return whether a version vector is due, given whether the digests differ.

        A single difference is news on its way.
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
