"""Limits on how much a store writes and how soon, and the budget of bytes that enforces them."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class WritePolicy:
    """Limits on the writes of a store."""

    segment_bytes: int = 4 << 20  # a log segment of this size is sealed and the next one created
    bytes_per_s: float = 262_144.0  # average rate; acknowledged records never wait for it
    burst_bytes: float = 1 << 20  # the largest unused budget that accumulates
    max_delay_ms: float = 200.0  # the longest time that a record with delayed durability waits for others


class WriteBudget:
    """A token bucket of bytes.  It may be overdrawn; writes that wait for it resume at a balance of 0."""

    def __init__(self, policy: WritePolicy, now: float) -> None:
        self._policy = policy
        self._bytes = policy.burst_bytes
        self._refilled_at = now

    def refill(self, now: float) -> None:
        """Add the bytes that have become available up to a time in ms."""
        added = (now - self._refilled_at) * self._policy.bytes_per_s / 1000.0
        self._bytes = min(self._bytes + added, self._policy.burst_bytes)
        self._refilled_at = now

    def spend(self, size: int) -> None:
        """Subtract written bytes from the budget, which may become negative."""
        self._bytes -= size

    @property
    def refilled_at(self) -> float:
        """The time of the last refill in ms."""
        return self._refilled_at

    def available_at(self, due: float) -> float:
        """Return the earliest time in ms at which the budget allows a write that is due at a time."""
        if due == math.inf or self._bytes >= 0.0:
            return due
        return max(due, self._refilled_at - 1000.0 * self._bytes / self._policy.bytes_per_s)
