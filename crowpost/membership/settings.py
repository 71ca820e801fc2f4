"""Settings of the protocol: intervals, multipliers and bounds.

Sources: SWIM (Das, Gupta, Motivala, 2002) and Lifeguard (Dadgar, Phillips, Currey, 2018).  The defaults are
measured in docs/membership.md.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any


def _setting(key: str, default: float) -> Any:
    """Return a dataclass field that is read from this key of the table [members.tuning]."""
    return field(default=default, metadata={"toml": key})


@dataclass(frozen=True, slots=True)
class ProtocolSettings:
    """Settings of the protocol; times are in ms."""

    # Failure detection.
    probe_interval_ms: float = _setting("probe_ms", 500.0)  # the protocol period
    indirect_probes: int = _setting("helpers", 4)  # members asked for a ping-req, at each of two steps
    # Suspicion timeouts, in protocol periods for each power of ten of members.
    suspicion_multiplier: float = _setting("suspicion", 1.2)
    # The longest timeout, which holds until others confirm the suspicion, in multiples of the shortest.
    max_suspicion_factor: float = _setting("suspicion_most", 5.0)
    expected_confirmations: int = _setting("confirmations", 3)  # that bring the timeout to its shortest
    # Dissemination.
    gossip_interval_ms: float = _setting("gossip_ms", 150.0)  # while anything is queued
    gossip_fanout: int = _setting("fanout", 3)
    # How often an update is sent, for each power of ten of members.
    retransmit_multiplier: float = _setting("repeats", 5.0)
    # Anti-entropy.
    sync_interval_ms: float = _setting("sync_ms", 30_000.0)  # between syncs with a random member
    mismatch_sync_ms: float = _setting("mismatch_ms", 10_000.0)  # views differ for so long before a sync
    dead_probe_interval_ms: float = _setting("rejoin_ms", 5_000.0)  # between pings of dead members
    # Bounds.
    dead_retention_ms: float = _setting("forget_ms", 7_200_000.0)  # dead and left members are remembered
    max_members: int = _setting("most_members", 5_000)
    max_dead_members: int = _setting("most_gone", 4_096)  # dead and left members
    max_datagram_bytes: int = _setting("datagram_bytes", 1_200)
    # Token bucket of gossip.  Probes are always sent, and count as well.
    send_rate_bytes_per_s: float = _setting("bytes_per_s", 1_800.0)
    burst_bytes: float = _setting("bytes_saved", 54_000.0)  # enough for many deaths at once
