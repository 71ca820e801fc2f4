"""The membership view of one process: the recorded state of each member, digests, and the changes."""

from __future__ import annotations

import zlib
from collections.abc import Iterable

from crowpost.membership.model import Liveness, Member, Profile, StateChange, StateUpdate
from crowpost.membership.settings import ProtocolSettings
from crowpost.membership.wire import pack

BUCKET_COUNT = 64  # Parts of the view that are compared and synced separately


class MembershipView:
    """The members by name, with digests to compare views.

    Equal digests mean that both views have the same processes alive, in the same phases.  Dead and left
    members are not part of the digest, because two processes may remove them at different times.
    """

    def __init__(self, settings: ProtocolSettings) -> None:
        self._settings = settings
        self.members: dict[str, Member] = {}
        self.bucket_digests = [0] * BUCKET_COUNT
        self.digest = 0
        self.alive_count = 0  # Members that are neither dead nor left
        self.changes: list[StateChange] = []
        self.rejected_updates = 0  # Updates on new members that arrived while the view was full

    def get(self, name: str) -> Member | None:
        """Return the member of this name, in any state; None if it is not known."""
        return self.members.get(name)

    def add(self, profile: Profile, update: StateUpdate, now: float) -> Member | None:
        """Add and return a member that was not known; None if the view is full."""
        if len(self.members) >= self._settings.max_members + self._settings.max_dead_members:
            self.rejected_updates += 1
            return None
        member = Member(
            profile,
            update.instance_id,
            update.incarnation,
            update.phase,
            update.liveness,
            update.origin,
            update.reason,
            now,
        )
        self.members[profile.name] = member
        self._count(member, 1)
        self._record_change(member, "", now)
        return member

    def apply(self, member: Member, update: StateUpdate, now: float) -> None:
        """Set the state of a member to that of an update, regardless of its recorded state."""
        before = member.state
        was_alive = member.alive
        self._count(member, -1)
        if update.instance_id != member.instance_id:
            member.instance_id = update.instance_id
            member.datagram_counter = -1
            before = f"{before} (another process)"
        member.incarnation = update.incarnation
        member.phase = update.phase
        member.liveness = update.liveness
        member.origin = update.origin
        member.reason = update.reason
        if update.profile is not None:
            member.profile = update.profile
        if was_alive and update.liveness is Liveness.DEAD:
            member.death_count += 1
        self._count(member, 1)
        if member.state != before:
            member.state_since_ms = now
            self._record_change(member, before, now)

    @staticmethod
    def supersedes(update: StateUpdate, member: Member) -> bool:
        """Return whether an update takes precedence over the recorded state of a member."""
        if update.instance_id != member.instance_id:
            recorded = (member.incarnation, member.instance_id)
            return (update.incarnation, update.instance_id) > recorded
        return update.precedence > (member.incarnation, int(member.liveness))

    def _record_change(self, member: Member, before: str, now: float) -> None:
        change = StateChange(
            now,
            member.name,
            before,
            member.state,
            member.origin,
            member.reason,
            member.profile.role,
            member.incarnation,
            member.instance_id,
        )
        self.changes.append(change)

    def _count(self, member: Member, delta: int) -> None:
        """Add (1) or remove (-1) an alive member from count and digests; XOR is the same for both."""
        if not member.alive:
            return
        self.alive_count += delta
        identity = [member.name, member.instance_id, member.incarnation, int(member.phase)]
        checksum = zlib.crc32(pack(identity))
        self.bucket_digests[bucket_of(member.name)] ^= checksum
        self.digest ^= checksum

    # ------------------------------------------------------------ sync and expiry

    def updates_in(self, buckets: Iterable[int]) -> list[StateUpdate]:
        """Return updates with profiles on all members of these buckets."""
        requested = set(buckets)
        return [member.to_update() for member in self.members.values() if bucket_of(member.name) in requested]

    def differing_buckets(self, other_digests: list[int]) -> list[int]:
        """Return the buckets in which another view differs; all of them if it sent no digests."""
        if len(other_digests) != BUCKET_COUNT:
            return list(range(BUCKET_COUNT))
        return [index for index, own in enumerate(self.bucket_digests) if own != other_digests[index]]

    def remove_expired(self, now: float, keep: str) -> None:
        """Remove members that died or left long ago, and the oldest of them beyond the maximum number."""
        inactive = [member for member in self.members.values() if not member.alive and member.name != keep]
        inactive.sort(key=lambda member: member.state_since_ms)
        excess = len(inactive) - self._settings.max_dead_members
        for index, member in enumerate(inactive):
            if index < excess or now - member.state_since_ms >= self._settings.dead_retention_ms:
                del self.members[member.name]


def bucket_of(name: str) -> int:
    """Return the bucket of a member name."""
    return zlib.crc32(name.encode()) % BUCKET_COUNT
