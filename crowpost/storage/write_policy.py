"""How much a store writes and how soon: the policy, and the budget of bytes that follows from it."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class WritePolicy:
    """Limits of the writes of a store."""

    segment_bytes: int = 4 << 20  # a log segment of this size is sealed and the next one created
    bytes_per_s: float = 262_144.0  # on average; acknowledged records never wait for it
    burst_bytes: float = 1 << 20  # unused budget that may be saved up
    max_delay_ms: float = 200.0  # that a record with delayed durability waits for others


class WriteBudget:
    """A token bucket of bytes.  It may be overdrawn, and is available again once it is not negative."""

    def __init__(self, policy: WritePolicy, now: float) -> None:
        self._policy = policy
        self._bytes = policy.burst_bytes
        self._refilled_at = now

    def refill(self, now: float) -> None:
        """Add what has become available up to a time in ms."""
        earned = (now - self._refilled_at) * self._policy.bytes_per_s / 1000.0
        self._bytes = min(self._bytes + earned, self._policy.burst_bytes)
        self._refilled_at = now

    def spend(self, size: int) -> None:
        """Take bytes that are written."""
        self._bytes -= size

    @property
    def refilled_at(self) -> float:
        """The time of the last refill in ms."""
        return self._refilled_at

    def available_at(self, due: float) -> float:
        """Return the time in ms from which a write that is due at a time may be done."""
        if due == math.inf or self._bytes >= 0.0:
            return due
        return max(due, self._refilled_at - 1000.0 * self._bytes / self._policy.bytes_per_s)
