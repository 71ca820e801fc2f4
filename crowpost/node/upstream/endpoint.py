"""A listed endpoint and the idle connections to it."""

from __future__ import annotations

import bisect
import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from crowpost.node.upstream.interfaces import IdleConnection

# A call that would wait for an idle connection longer than this fraction of the endpoint's smoothed response
# time dials a new connection in parallel.
MAX_WAIT_FRACTION = 0.1
# Weight of a new response time, as for the smoothed round-trip time of TCP (RFC 6298, section 2).
SMOOTHING_FACTOR = 0.125


ConnectionT = TypeVar("ConnectionT", bound="IdleConnection")


def _idle_since(connection: IdleConnection) -> float:
    return connection.idle_since


@dataclass(slots=True, eq=False)
class EndpointConnections(Generic[ConnectionT]):
    """One listed server process and the idle connections to it, in the order of `idle_since`."""

    name: str
    address: tuple[str, int]
    started_ms: float
    idle: list[ConnectionT] = field(default_factory=list)
    listed: bool = True  # False once it drains, is removed or has restarted: its connections are closed
    response_time_s: float | None = None  # smoothed time of successful responses; None before the first
    extra_dials: int = 0  # dials in progress in parallel to a wait for an idle connection

    def most_recent(self, before: float) -> ConnectionT:
        """Return the connection idle for the shortest time among those idle since `before` or earlier.

        If there is none, return the one that became idle first.  `idle` must not be empty.
        """
        position = bisect.bisect_right(self.idle, before, key=_idle_since)
        return self.idle[max(0, position - 1)]

    def add_idle(self, connection: ConnectionT) -> None:
        """Add an idle connection."""
        bisect.insort(self.idle, connection, key=_idle_since)

    def record_response_time(self, elapsed_s: float) -> None:
        """Record the time from the write of a call to its successful response."""
        smoothed = elapsed_s if self.response_time_s is None else self.response_time_s
        self.response_time_s = smoothed + SMOOTHING_FACTOR * (elapsed_s - smoothed)

    def max_wait_s(self) -> float:
        """Return how long a call may wait for an idle connection before a handshake costs less."""
        return math.inf if self.response_time_s is None else MAX_WAIT_FRACTION * self.response_time_s
