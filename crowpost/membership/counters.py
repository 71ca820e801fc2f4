"""Names of the counters of a member.

They are an external format: `crowpost members --json` and records of the lab print them.
"""

from __future__ import annotations

from crowpost.membership.errors import InvalidMessageReason

# Traffic.  Bytes include TCP; datagrams do not.
BYTES_IN = "bytes_in"
BYTES_OUT = "bytes_out"
DATAGRAMS_IN = "datagrams_in"
DATAGRAMS_OUT = "datagrams_out"
UNSENDABLE = "unsendable"  # datagrams to addresses that cannot exist

# Dropped datagrams and sync requests: DROPPED_PREFIX with a reason of InvalidMessageReason, or one of these.
DROPPED_PREFIX = "dropped_"
DROPPED_REPLAYED = "dropped_replayed"
DROPPED_OUTDATED = "dropped_outdated"  # from a process that a newer one of its name has replaced
DROPPED_MISDIRECTED = "dropped_misdirected"  # pings for a member that had this address before
FRAMES_DROPPED = "frames_dropped"  # invalid frames on TCP

# Failure detection.
PROBES = "probes"
PROBES_FAILED = "probes_failed"
LATE = "late"  # timers that were so late that this process cannot have run
SUSPICIONS = "suspicions"  # that this process raised
FALSE_SUSPICIONS = "false_suspicions"  # suspicions by any process that were refuted
DECLARED_DEAD = "declared_dead"  # by this process
RETURNED = "returned"  # members that were held dead and are alive

# State updates and anti-entropy.
REFUTED = "refuted"  # updates on this process
SUPERSEDED = "yielded"  # how often a newer process took this one's place
LACKING = "lacking"  # updates on new processes that came without their profiles
SYNCS = "exchanges"
SYNCS_FAILED = "exchanges_failed"
SYNCS_REFUSED = "exchanges_refused"


def dropped(reason: InvalidMessageReason) -> str:
    """Return the counter of messages that were dropped for a reason."""
    return f"{DROPPED_PREFIX}{reason.value}"
