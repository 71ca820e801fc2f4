"""The share of the work of one node: the number of nodes, and its index among them.

The share follows the view with damping.  A death counts only after a settling time.  A flapping member, which
repeatedly dies and returns, counts again only after a hold time that grows with each death.  A view that has
shrunk below a fraction of the configured number of nodes is treated as a network partition and not as
deaths; otherwise each node in a small partition would take the share of all the others.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Mapping
from dataclasses import dataclass

from crowpost.membership.model import Liveness, Member, Phase

# Keys of the facts in a node's profile, which are part of the wire format: its tier, and its index there.
STAGE_FACT = "stage"
INDEX_FACT = "ordinal"

DEFAULT_SETTLE_MS = 1_000.0
DEFAULT_MIN_NODE_FRACTION = 0.25
MAX_HOLD_FACTOR = 64.0  # Longest hold time of a flapping member, in multiples of the settling time
FLAPPING_DEATHS = 2  # Deaths from which on a member counts as flapping
MAX_INDEX_DIGITS = 6
_HASH_BYTES = 6
# Hash bits below this choose the first index, the others the step between probed indexes.
_STEP_SHIFT = 20


@dataclass(frozen=True, slots=True)
class WorkShare:
    """The number of nodes that share the work, and the index of this one among them, starting at 0."""

    node_count: int
    node_index: int


def is_active_node(member: Member, role: str, tier: str) -> bool:
    """Return whether a member is a present node of this role and tier; a suspected one still counts."""
    return (
        member.liveness <= Liveness.SUSPECT
        and member.phase is Phase.PRESENT
        and member.profile.role == role
        and member.profile.facts.get(STAGE_FACT, "0") == tier
    )


def assign_indexes(preferred: Mapping[str, int | None]) -> dict[str, int]:
    """Return an index for each name, starting at 0, which depends on names and preferences only.

    Equal views therefore result in equal indexes.  A node keeps its preferred index if that is in range; if
    two prefer the same one, the first by name gets it.  The others get the free indexes by hash.  So when a
    node leaves, only the few nodes move whose preferred index is now out of range.
    """
    count = len(preferred)
    used_indexes: set[int] = set()
    assigned: dict[str, int] = {}
    for name in sorted(preferred):
        index = preferred[name]
        if index is not None and 0 <= index < count and index not in used_indexes:
            used_indexes.add(index)
            assigned[name] = index
    unassigned = sorted((_hash(name), name) for name in preferred if name not in assigned)
    # Double hashing: each name probes the indexes in its own order, by an odd step modulo a power of two,
    # which reaches all of them.  Indexes out of range are skipped, so the order depends on the number of
    # nodes through the modulus only.
    modulus = 1 << max(count - 1, 0).bit_length()
    for name_hash, name in unassigned:
        index = name_hash % modulus
        step = (name_hash >> _STEP_SHIFT) | 1
        while index >= count or index in used_indexes:
            index = (index + step) % modulus
        used_indexes.add(index)
        assigned[name] = index
    return assigned


def _hash(name: str) -> int:
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=_HASH_BYTES).digest(), "big")


class WorkShareTracker:
    """Tracks the members of one role and tier, and derives this node's share.

    Call `update` after each change of the view, and at the time `next_due_ms`.
    """

    def __init__(
        self,
        role: str,
        tier: str,
        configured: WorkShare,
        *,
        settle_ms: float = DEFAULT_SETTLE_MS,
        min_node_fraction: float = DEFAULT_MIN_NODE_FRACTION,
    ) -> None:
        self._role = role
        self._tier = tier
        self._configured = configured
        self._settle_ms = settle_ms
        self._min_node_fraction = min_node_fraction
        self._preferred: dict[str, int | None] = {}  # Preferred indexes, by names of the nodes that count
        self._inactive_since_ms: dict[str, float] = {}  # Start of inactivity, for nodes that still count
        self._readmit_at_ms: dict[str, float] = {}  # End of the hold time, for flapping nodes
        self.share = configured
        self.next_due_ms = math.inf

    def update(self, members: Mapping[str, Member], local_name: str, now: float) -> WorkShare | None:
        """Return the new share if it has changed, else None.  Times are in ms."""
        self.next_due_ms = math.inf
        for name, member in members.items():
            if is_active_node(member, self._role, self._tier):
                self._inactive_since_ms.pop(name, None)
                if name not in self._preferred and self._may_admit(member, now):
                    self._preferred[name] = _preferred_index(member)
            else:
                self._readmit_at_ms.pop(name, None)
        for name in list(self._preferred):
            self._update_node(name, members.get(name), now)
        return self._changed_share(local_name)

    def _update_node(self, name: str, member: Member | None, now: float) -> None:
        """Update one node that counts; remove it if it left, or after the settling time of inactivity."""
        if member is not None:
            if is_active_node(member, self._role, self._tier):
                self._preferred[name] = _preferred_index(member)
                return
            if member.liveness is Liveness.LEFT or member.phase is not Phase.PRESENT:
                self._remove(name)  # The node announced this itself: no settling time
                return
        since = self._inactive_since_ms.setdefault(name, now)
        if now - since >= self._settle_ms:
            self._remove(name)
        else:
            self.next_due_ms = min(self.next_due_ms, since + self._settle_ms)

    def _may_admit(self, member: Member, now: float) -> bool:
        if member.death_count < FLAPPING_DEATHS:
            return True
        hold_ms = self._settle_ms * min(2.0**member.death_count, MAX_HOLD_FACTOR)
        readmit_at = self._readmit_at_ms.setdefault(member.name, now + hold_ms)
        if readmit_at > now:
            self.next_due_ms = min(self.next_due_ms, readmit_at)
        return readmit_at <= now

    def _remove(self, name: str) -> None:
        del self._preferred[name]
        self._inactive_since_ms.pop(name, None)

    def _changed_share(self, local_name: str) -> WorkShare | None:
        local_index = self._preferred.get(local_name, self._configured.node_index)
        indexes = assign_indexes({**self._preferred, local_name: local_index})
        min_count = math.ceil(self._min_node_fraction * self._configured.node_count)
        share = WorkShare(max(len(indexes), min_count), indexes[local_name])
        if share == self.share:
            return None
        self.share = share
        return share


def _preferred_index(member: Member) -> int | None:
    text = member.profile.facts.get(INDEX_FACT, "")
    valid = text.isascii() and text.isdigit() and len(text) <= MAX_INDEX_DIGITS
    return int(text) if valid else None
