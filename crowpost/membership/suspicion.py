"""The timeout of a suspicion, after which a suspected member is declared dead (Lifeguard, section IV.B)."""

from __future__ import annotations

import math

from crowpost.membership.settings import ProtocolSettings


def suspicion_timeout_ms(
    settings: ProtocolSettings, alive_count: int, accuser_count: int, local_health_score: int
) -> float:
    """Return the timeout of a suspicion in ms, counted from its start.

    The shortest timeout grows with the logarithm of the number of members.  The timeout starts at a multiple
    of the shortest, and decreases to it with the logarithm of the number of accusers, which are the members
    that reported the suspicion independently.  A local health score above 0 lengthens it.
    """
    scale = max(1.0, math.log10(max(alive_count, 1)))
    shortest_ms = settings.suspicion_multiplier * settings.probe_interval_ms * scale
    # All members but this process and the suspected one can confirm the suspicion.
    expected = min(settings.expected_confirmations, alive_count - 2)
    unconfirmed = 0.0
    if expected >= 1:
        unconfirmed = max(0.0, 1.0 - math.log(accuser_count) / math.log(expected + 1))
    confirmation_factor = 1.0 + (settings.max_suspicion_factor - 1.0) * unconfirmed
    return shortest_ms * confirmation_factor * (1.0 + local_health_score / 2)
