"""A token bucket that limits bytes per second."""

from __future__ import annotations

from crowpost.config_feed.tuning import Tuning


class TokenBucket:
    """Limits bytes to a mean rate and a burst size; the bucket starts full.

    Times are in ms.  `outstanding` counts bytes whose tokens are spent but which are not received yet.  They
    count towards the burst, so that in no interval more bytes are received than burst and rate allow.
    """

    __slots__ = ("_refilled_at", "burst", "bytes_per_s", "outstanding", "tokens")

    def __init__(self, bytes_per_s: float, burst: float, now: float) -> None:
        self.bytes_per_s = bytes_per_s
        self.burst = burst
        self.tokens = burst
        self.outstanding = 0
        self._refilled_at = now

    def refill(self, now: float) -> float:
        """Add the tokens gained until `now` and return the balance, which is negative after overspending."""
        if now > self._refilled_at:
            gained = (now - self._refilled_at) * self.bytes_per_s / 1000.0
            self.tokens = min(self.burst - self.outstanding, self.tokens + gained)
            self._refilled_at = now
        return self.tokens

    def spend(self, size: float, now: float) -> None:
        """Spend tokens; the balance may become negative."""
        self.refill(now)
        self.tokens -= size

    def available_at(self, size: float, now: float) -> float:
        """Return when there are that many tokens or the bucket is full; `now` if that is already so."""
        lacking = min(size, self.burst) - self.refill(now)
        return now if lacking <= 0.0 else now + 1000.0 * lacking / self.bytes_per_s


def follower_bucket(tuning: Tuning, all_scopes: bool, now: float) -> TokenBucket:
    """Return the bucket for all traffic of a follower of one node's scopes or of all scopes."""
    if all_scopes:
        return TokenBucket(tuning.relay_bytes_per_s, tuning.relay_burst_bytes, now)
    return TokenBucket(tuning.bytes_per_s, tuning.burst_bytes, now)
