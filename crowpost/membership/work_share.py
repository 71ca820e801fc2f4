"""The share of the work that falls to a node: how many nodes there are, and its index among them.

The view is damped before the share follows it.  A death counts only after a settling time.  A member that
keeps dying and coming back counts again only after a hold time that grows.  And a view that has shrunk below
a fraction of the configured number of nodes is taken for a network partition and not for deaths; otherwise
every node behind a partition would take the share of all.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Mapping
from dataclasses import dataclass

from crowpost.membership.model import Liveness, Member, Phase

# Facts that a node carries; the keys are part of the wire format.
STAGE_FACT = "stage"
INDEX_FACT = "ordinal"

DEFAULT_SETTLE_MS = 1_000.0
DEFAULT_MIN_NODE_FRACTION = 0.25
MAX_HOLD_FACTOR = 64.0  # of the settling time, for a member that flaps
FLAPPING_DEATHS = 2
MAX_INDEX_DIGITS = 6
_HASH_BYTES = 6
_STEP_SHIFT = 20  # bits of the hash that choose the first index, at the least


@dataclass(frozen=True, slots=True)
class WorkShare:
    """How many nodes share the work, and the index of this one among them, from 0 on."""

    node_count: int
    node_index: int


def is_active_node(member: Member, role: str, stage: str) -> bool:
    """Return whether a member takes its share of the work; a suspected one still does."""
    return (
        member.liveness <= Liveness.SUSPECT
        and member.phase is Phase.PRESENT
        and member.profile.role == role
        and member.profile.facts.get(STAGE_FACT, "0") == stage
    )


def assign_indexes(preferred: Mapping[str, int | None]) -> dict[str, int]:
    """Return an index from 0 on for each name, by names and preferences only.

    Equal views therefore give equal indexes.  A node keeps the index that it prefers if that is in range;
    of two that prefer the same one, the first by name does.  The others get the free indexes by hash.  So
    when a node goes, only the few nodes move whose indexes are beyond the new number.
    """
    count = len(preferred)
    taken: set[int] = set()
    assigned: dict[str, int] = {}
    for name in sorted(preferred):
        index = preferred[name]
        if index is not None and 0 <= index < count and index not in taken:
            taken.add(index)
            assigned[name] = index
    rest = sorted((_hash(name), name) for name in preferred if name not in assigned)
    # Each name probes all indexes in an order of its own: an odd step in a ring whose size is a power of two.
    # The order does not depend on the number of nodes; indexes beyond that are passed over.
    ring_size = 1 << max(count - 1, 0).bit_length()
    for name_hash, name in rest:
        index = name_hash % ring_size
        step = (name_hash >> _STEP_SHIFT) | 1
        while index >= count or index in taken:
            index = (index + step) % ring_size
        taken.add(index)
        assigned[name] = index
    return assigned


def _hash(name: str) -> int:
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=_HASH_BYTES).digest(), "big")


class WorkShareTracker:
    """Follows the members of one role and stage.

    Call `update` at every change of the view and when `next_due_ms` has come.
    """

    def __init__(
        self,
        role: str,
        stage: str,
        configured: WorkShare,
        *,
        settle_ms: float = DEFAULT_SETTLE_MS,
        min_node_fraction: float = DEFAULT_MIN_NODE_FRACTION,
    ) -> None:
        self._role = role
        self._stage = stage
        self._configured = configured
        self._settle_ms = settle_ms
        self._min_node_fraction = min_node_fraction
        self._preferred: dict[str, int | None] = {}  # indexes, by the names of the nodes that count
        self._inactive_since_ms: dict[str, float] = {}  # of nodes that still count
        self._readmit_at_ms: dict[str, float] = {}  # of nodes that flap
        self.share = configured
        self.next_due_ms = math.inf

    def update(self, members: Mapping[str, Member], local_name: str, now: float) -> WorkShare | None:
        """Return the share if it has changed, else None.  Times are in ms."""
        self.next_due_ms = math.inf
        for name, member in members.items():
            if is_active_node(member, self._role, self._stage):
                self._inactive_since_ms.pop(name, None)
                if name not in self._preferred and self._may_admit(member, now):
                    self._preferred[name] = _preferred_index(member)
            else:
                self._readmit_at_ms.pop(name, None)
        for name in list(self._preferred):
            self._update_node(name, members.get(name), now)
        return self._changed_share(local_name)

    def _update_node(self, name: str, member: Member | None, now: float) -> None:
        """Follow one node that counts; remove it if it left, or has been inactive for long."""
        if member is not None:
            if is_active_node(member, self._role, self._stage):
                self._preferred[name] = _preferred_index(member)
                return
            if member.liveness is Liveness.LEFT or member.phase is not Phase.PRESENT:
                self._remove(name)  # it announced that itself
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
        due = self._readmit_at_ms.setdefault(member.name, now + hold_ms)
        if due > now:
            self.next_due_ms = min(self.next_due_ms, due)
        return due <= now

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
