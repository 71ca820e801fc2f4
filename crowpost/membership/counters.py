"""Names of the counters of a member.

The names are an external format: `crowpost members --json` and the records of the lab contain them.
"""

from __future__ import annotations

from crowpost.membership.errors import InvalidMessageReason

# Traffic.  Byte counters include TCP; datagram counters are UDP only.
BYTES_IN = "bytes_in"
BYTES_OUT = "bytes_out"
DATAGRAMS_IN = "datagrams_in"
DATAGRAMS_OUT = "datagrams_out"
UNSENDABLE = "unsendable"  # Datagrams that could not be sent, because the address is invalid

# Dropped datagrams and sync requests: DROPPED_PREFIX plus an InvalidMessageReason, or one of these.
DROPPED_PREFIX = "dropped_"
DROPPED_REPLAYED = "dropped_replayed"
DROPPED_OUTDATED = "dropped_outdated"  # From a process that a newer one of its name has replaced
DROPPED_MISDIRECTED = "dropped_misdirected"  # Pings for a member that had this address before
FRAMES_DROPPED = "frames_dropped"  # Invalid frames on TCP

# Failure detection.
PROBES = "probes"
PROBES_FAILED = "probes_failed"
LATE = "late"  # Timers so late that this process must have been paused
SUSPICIONS = "suspicions"  # Raised by this process
FALSE_SUSPICIONS = "false_suspicions"  # Suspicions by any process that were refuted
DECLARED_DEAD = "declared_dead"  # Deaths declared by this process
RETURNED = "returned"  # Members that were considered dead and turned out to be alive

# State updates and anti-entropy.
REFUTED = "refuted"  # Updates on this process that it refuted
SUPERSEDED = "yielded"  # How often a newer process replaced this one
MISSING_PROFILE = "lacking"  # Updates on unknown processes that came without a profile
SYNCS = "exchanges"
SYNCS_FAILED = "exchanges_failed"
SYNCS_REJECTED = "exchanges_refused"


def dropped(reason: InvalidMessageReason) -> str:
    """Return the name of the counter of messages dropped for a reason."""
    return f"{DROPPED_PREFIX}{reason.value}"
