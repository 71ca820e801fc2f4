"""A clock that never goes back, and detects that the process was suspended."""

from __future__ import annotations

ROUNDING_MS = 0.001


class MonotonicClock:
    """Converts the transport's times, in ms, into internal times that never go back.

    If the transport's clock goes back, the internal time continues from its last value.
    """

    __slots__ = ("_skew_ms", "_threshold_ms", "now")

    def __init__(self, now: float, suspend_threshold_ms: float) -> None:
        self.now = now
        self._skew_ms = 0.0
        self._threshold_ms = suspend_threshold_ms

    def advance(self, external: float, due: float) -> float:
        """Advance to an external time.  Return the duration of a suspension in ms, or 0 if there was none.

        due: the internal time at which a call was due.  A gap without calls is no suspension while no call
        was due.
        """
        now = external + self._skew_ms
        if now < self.now:
            self._skew_ms += self.now - now
            now = self.now
        elapsed = now - self.now
        self.now = now
        return elapsed if min(elapsed, now - due) > self._threshold_ms else 0.0

    def to_external(self, internal: float) -> float:
        """Convert an internal time to the transport's clock; rounding never makes it earlier."""
        return internal - self._skew_ms + ROUNDING_MS if self._skew_ms else internal
