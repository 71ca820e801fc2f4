"""The time that a core goes by."""

from __future__ import annotations

ROUNDING_MS = 0.001


class MonotonicClock:
    """Takes the times in ms that a core is given, and makes of them one that never goes back.

    Should the clock of the carrier go back, time goes on from where it stood.
    """

    __slots__ = ("_late_ms", "_skew", "now")

    def __init__(self, now: float, late_ms: float) -> None:
        self.now, self._skew, self._late_ms = now, 0.0, late_ms

    def enter(self, given: float, due: float) -> float:
        """Go on to a given time, and say for how long this process stood still: 0 in the ordinary case.

        due: when it should have ticked, in the core's own time.  That it was not called where nothing was due
        is no standing still.
        """
        now = given + self._skew
        if now < self.now:
            self._skew += self.now - now
            now = self.now
        still = now - self.now
        self.now = now
        return still if min(still, now - due) > self._late_ms else 0.0

    def given(self, own: float) -> float:
        """A time of the core's own as the carrier's clock shows it; never before it, by rounding."""
        return own - self._skew + ROUNDING_MS if self._skew else own
