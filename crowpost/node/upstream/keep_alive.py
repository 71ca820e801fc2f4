"""How long an idle upstream connection may be trusted."""

from __future__ import annotations

import math

EARLY_PART = 0.2  # of the idle time after which one was found lost: where some are closed, others drop sooner
TRUST_S = 10.0  # without a new sign of it, trust in idle connections doubles in this time


class KeepAlive:
    """How long an idle connection may be trusted with a request that must not be lost.

    The settings say when servers close at the latest.  Some close or drop them far earlier, without a word,
    and what is written to a dropped one may have run: a request that cannot be repeated has then failed.
    """

    def __init__(self, most_s: float) -> None:
        self._most_s = most_s
        self._trusted_s = most_s
        self._at = 0.0

    def trusted_s(self, now: float) -> float:
        return min(self._most_s, self._trusted_s * math.exp2(min((now - self._at) / TRUST_S, 60.0)))

    def lost(self, idle_s: float, now: float) -> None:
        """A server gave up a connection that had been idle for this long."""
        self._trusted_s = min(self.trusted_s(now), EARLY_PART * idle_s)
        self._at = now
