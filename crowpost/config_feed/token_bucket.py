"""A token bucket of bytes."""

from __future__ import annotations


class TokenBucket:
    """So many bytes a second, and so many saved up at the most; it begins full.  Times in ms.

    owed: bytes that are paid and yet to come.  They count as saved up: so no stretch of time ever sees more
    than what is saved up at the most, and the rate.
    """

    __slots__ = ("_at", "owed", "rate", "saved", "tokens")

    def __init__(self, rate: float, saved: float, now: float) -> None:
        self.rate, self.saved, self.tokens, self._at = rate, saved, saved, now
        self.owed = 0

    def refill(self, now: float) -> float:
        """The tokens there are now; below 0 after spending in advance."""
        if now > self._at:
            self.tokens = min(self.saved - self.owed, self.tokens + (now - self._at) * self.rate / 1000.0)
            self._at = now
        return self.tokens

    def spend(self, size: float, now: float) -> None:
        """Count bytes, whether there were tokens or not."""
        self.refill(now)
        self.tokens -= size

    def when(self, size: float, now: float) -> float:
        """The time at which there will be that many tokens, or a full bucket; now, if there are."""
        lacking = min(size, self.saved) - self.refill(now)
        return now if lacking <= 0.0 else now + 1000.0 * lacking / self.rate
