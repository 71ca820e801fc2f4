"""Settings of the protocol: intervals, multipliers and bounds.

Sources: SWIM (Das, Gupta, Motivala, 2002) and Lifeguard (Dadgar, Phillips, Currey, 2018).  The defaults are
measured in docs/membership.md.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ProtocolSettings:
    """Settings of the protocol; times are in ms."""

    # Failure detection.
    probe_interval_ms: float = 500.0  # the protocol period
    indirect_probes: int = 4  # members asked for a ping-req, at each of two steps
    # Suspicion timeouts, in protocol periods for each power of ten of members.
    suspicion_multiplier: float = 1.2
    # The longest timeout, which holds until others confirm the suspicion, in multiples of the shortest.
    max_suspicion_factor: float = 5.0
    expected_confirmations: int = 3  # that bring the timeout to its shortest
    # Dissemination.
    gossip_interval_ms: float = 150.0  # while anything is queued
    gossip_fanout: int = 3
    # How often an update is sent, for each power of ten of members.
    retransmit_multiplier: float = 5.0
    # Anti-entropy.
    sync_interval_ms: float = 30_000.0  # between syncs with a random member
    mismatch_sync_ms: float = 10_000.0  # views differ for so long before a sync
    dead_probe_interval_ms: float = 5_000.0  # between pings of dead members
    # Bounds.
    dead_retention_ms: float = 7_200_000.0  # dead and left members are remembered
    max_members: int = 5_000
    max_dead_members: int = 4_096  # dead and left members
    max_datagram_bytes: int = 1_200
    # Token bucket of gossip.  Probes are always sent, and count as well.
    send_rate_bytes_per_s: float = 1_800.0
    burst_bytes: float = 54_000.0  # enough for many deaths at once
