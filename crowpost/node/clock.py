"""The clock of a node."""

from __future__ import annotations

import time


class Clock:
    """Unix time in milliseconds, advanced by the monotonic clock.

    It never goes backwards, and stays comparable with the start times of servers, even if the system's clock
    is set.
    """

    def __init__(self) -> None:
        self._base = time.time() - time.monotonic()

    def now(self) -> float:
        """Return Unix time in milliseconds."""
        return 1000.0 * (self._base + time.monotonic())
