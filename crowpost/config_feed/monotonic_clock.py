"""A clock for the cores that never goes back and notices when the process was suspended."""

from __future__ import annotations

ROUNDING_MS = 0.001


class MonotonicClock:
    """Turns the times that a core is given, in ms, into times that never go back.

    Should the transport's clock go back, time continues from where it stood.
    """

    __slots__ = ("_skew_ms", "_threshold_ms", "now")

    def __init__(self, now: float, suspend_threshold_ms: float) -> None:
        self.now = now
        self._skew_ms = 0.0
        self._threshold_ms = suspend_threshold_ms

    def advance(self, external: float, due: float) -> float:
        """Advance to an external time and return for how long the process was suspended, ordinarily 0.

        due: when the core should have been called, in its own time.  That it was not called while nothing
        was due is no suspension.
        """
        now = external + self._skew_ms
        if now < self.now:
            self._skew_ms += self.now - now
            now = self.now
        elapsed = now - self.now
        self.now = now
        return elapsed if min(elapsed, now - due) > self._threshold_ms else 0.0

    def to_external(self, internal: float) -> float:
        """Convert a time of the core to the transport's clock; never earlier than exact, by rounding."""
        return internal - self._skew_ms + ROUNDING_MS if self._skew_ms else internal
