"""Settings of the protocol: intervals, multipliers and limits.

Sources: SWIM (Das, Gupta, Motivala, 2002) and Lifeguard (Dadgar, Phillips, Currey, 2018).  The
measurements behind the defaults are in docs/membership.md.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ProtocolSettings:
    """Settings of the protocol; times are in ms."""

    # Failure detection.
    probe_interval_ms: float = 500.0  # The protocol period
    indirect_probes: int = 4  # Members asked to ping the target, at each of two steps of a probe
    # The shortest suspicion timeout, in protocol periods for each power of ten in the number of members.
    suspicion_multiplier: float = 1.2
    # The timeout of a suspicion that no other member has confirmed, as a multiple of the shortest.
    max_suspicion_factor: float = 5.0
    expected_confirmations: int = 3  # Number of confirmations that reduce the timeout to its shortest
    # Dissemination.
    gossip_interval_ms: float = 150.0  # Applies while updates are queued
    gossip_fanout: int = 3
    # Transmissions of each update, for each power of ten in the number of members.
    retransmit_multiplier: float = 5.0
    # Anti-entropy.
    sync_interval_ms: float = 30_000.0  # Mean interval between syncs with a random member
    mismatch_sync_ms: float = 10_000.0  # How long views must differ before a sync is triggered
    dead_probe_interval_ms: float = 5_000.0  # Mean interval between pings of dead members
    # Limits.
    dead_retention_ms: float = 7_200_000.0  # How long dead and left members are kept in the view
    max_members: int = 5_000
    max_dead_members: int = 4_096  # Dead and left members together
    max_datagram_bytes: int = 1_200
    # Token bucket of gossip.  Probes are always sent, but count against the budget.
    send_rate_bytes_per_s: float = 1_800.0
    burst_bytes: float = 54_000.0  # Enough for many simultaneous deaths
