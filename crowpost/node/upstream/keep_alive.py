"""Tracks how long an idle upstream connection may be reused without a check."""

from __future__ import annotations

import math

# The trusted idle time after an early close, as a fraction of the idle time of the closed connection: a
# server that closes some connections drops others sooner.
EARLY_CLOSE_FRACTION = 0.2
# The trusted idle time doubles in this time, as long as there is no further early close.
TRUST_DOUBLING_S = 10.0


class KeepAlive:
    """Tracks for how long an idle connection may be trusted with a request that is not idempotent.

    The settings contain the time after which servers close idle connections at the latest.  Some servers
    close or drop them far earlier without notice, and a request written to a dropped connection may have run,
    so that it cannot be retried.  All times are in seconds, in the loop's time.
    """

    def __init__(self, max_idle_s: float) -> None:
        self._max_idle_s = max_idle_s
        self._trusted_s = max_idle_s
        self._updated_at = 0.0

    def trusted_s(self, now: float) -> float:
        """Return the longest idle time after which a connection is still trusted."""
        doublings = min((now - self._updated_at) / TRUST_DOUBLING_S, 60.0)
        return min(self._max_idle_s, self._trusted_s * math.exp2(doublings))

    def record_early_close(self, idle_s: float, now: float) -> None:
        """Record that a server closed a connection that had been idle for `idle_s`."""
        self._trusted_s = min(self.trusted_s(now), EARLY_CLOSE_FRACTION * idle_s)
        self._updated_at = now
