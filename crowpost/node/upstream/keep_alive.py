"""How long an idle upstream connection may be trusted."""

from __future__ import annotations

import math

# Of the idle time after which a connection was found closed: where some are closed, others are dropped
# sooner.
EARLY_CLOSE_FRACTION = 0.2
# Without another early close, the trusted idle time doubles in this time.
TRUST_DOUBLING_S = 10.0


class KeepAlive:
    """Tracks how long an idle connection may be trusted with a request that is not idempotent.

    The settings say when servers close idle connections at the latest.  Some close or drop them far earlier
    without notice, and a request written to a dropped connection may have run, so that it cannot be retried.
    All times are in seconds, of the loop's clock.
    """

    def __init__(self, max_idle_s: float) -> None:
        self._max_idle_s = max_idle_s
        self._trusted_s = max_idle_s
        self._updated_at = 0.0

    def trusted_s(self, now: float) -> float:
        """Return for how long a connection may have been idle and still be trusted."""
        doublings = min((now - self._updated_at) / TRUST_DOUBLING_S, 60.0)
        return min(self._max_idle_s, self._trusted_s * math.exp2(doublings))

    def record_early_close(self, idle_s: float, now: float) -> None:
        """Record that a server closed a connection that had been idle for this long."""
        self._trusted_s = min(self.trusted_s(now), EARLY_CLOSE_FRACTION * idle_s)
        self._updated_at = now
