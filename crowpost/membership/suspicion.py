"""The timeout of a suspicion, after which a suspected member is declared dead (Lifeguard, section IV.B)."""

from __future__ import annotations

import math

from crowpost.membership.settings import ProtocolSettings


def suspicion_timeout_ms(
    settings: ProtocolSettings, alive_count: int, accuser_count: int, local_health_score: int
) -> float:
    """Return how long a suspicion lasts.

    The shortest timeout grows with the logarithm of the number of members.  The timeout starts at a multiple
    of that, and falls towards the shortest with the logarithm of the number of independent accusers.
    """
    scale = max(1.0, math.log10(max(alive_count, 1)))
    shortest_ms = settings.suspicion_multiplier * settings.probe_interval_ms * scale
    expected = min(settings.expected_confirmations, alive_count - 2)  # neither itself nor the suspected one
    unconfirmed = 0.0
    if expected >= 1:
        unconfirmed = max(0.0, 1.0 - math.log(accuser_count) / math.log(expected + 1))
    confirmation_factor = 1.0 + (settings.max_suspicion_factor - 1.0) * unconfirmed
    return shortest_ms * confirmation_factor * (1.0 + local_health_score / 2)
