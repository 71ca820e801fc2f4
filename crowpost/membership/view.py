"""The table of members at one process: which claim holds, a digest of it, and what changed."""

from __future__ import annotations

import zlib
from collections.abc import Iterable

from crowpost.membership.model import Change, Claim, Member, Profile, Tuning, Verdict
from crowpost.membership.wire import pack

BUCKETS = 64  # parts of the table that are compared and exchanged apart


class View:
    """Members by name.  Equal digests mean: the same processes held to be alive, in the same phases.

    Dead and left members are no part of the digest: that one process has forgotten a death which another
    still remembers is no disagreement.
    """

    def __init__(self, tuning: Tuning) -> None:
        self._tuning = tuning
        self.members: dict[str, Member] = {}
        self.buckets = [0] * BUCKETS
        self.digest = 0
        self.alive = 0  # members neither dead nor left
        self.changes: list[Change] = []
        self.refused = 0  # claims that found no room

    def get(self, name: str) -> Member | None:
        """The member of this name, in whatever state."""
        return self.members.get(name)

    def add(self, profile: Profile, claim: Claim, now: float) -> Member | None:
        """A member that was not known; None where the table is full."""
        if len(self.members) >= self._tuning.most_members + self._tuning.most_gone:
            self.refused += 1
            return None
        member = Member(
            profile, claim.birth, claim.incarnation, claim.phase, claim.verdict, claim.by, claim.why, now
        )
        self.members[profile.name] = member
        self._count(member, 1)
        self._note(member, "", now)
        return member

    def set(self, member: Member, claim: Claim, now: float) -> None:
        """Let a claim hold of a member, whatever held before."""
        before, alive = member.state, member.alive
        self._count(member, -1)
        if claim.birth != member.birth:
            member.birth, member.counter = claim.birth, -1
            before = f"{before} (another process)"
        member.incarnation, member.phase, member.verdict = claim.incarnation, claim.phase, claim.verdict
        member.by, member.why = claim.by, claim.why
        if claim.profile is not None:
            member.profile = claim.profile
        if alive and not member.alive:
            member.deaths += claim.verdict is Verdict.DEAD
        self._count(member, 1)
        if member.state != before:
            member.since = now
            self._note(member, before, now)

    def wins(self, claim: Claim, member: Member) -> bool:
        """Whether a claim holds against what is known."""
        if claim.birth != member.birth:
            return (claim.incarnation, claim.birth) > (member.incarnation, member.birth)
        return claim.rank > (member.incarnation, int(member.verdict))

    def _note(self, member: Member, before: str, now: float) -> None:
        self.changes.append(
            Change(
                now,
                member.name,
                before,
                member.state,
                member.by,
                member.why,
                member.profile.role,
                member.incarnation,
                member.birth,
            )
        )

    def _count(self, member: Member, by: int) -> None:
        if member.alive:
            self.alive += by
            entry = zlib.crc32(pack([member.name, member.birth, member.incarnation, int(member.phase)]))
            self.buckets[bucket(member.name)] ^= entry
            self.digest ^= entry

    # ------------------------------------------------------------ exchange and age

    def claims(self, buckets: Iterable[int]) -> list[Claim]:
        """Whole claims on all members of these parts of the table."""
        wanted = set(buckets)
        return [m.claim() for m in self.members.values() if bucket(m.name) in wanted]

    def differing(self, others: list[int]) -> list[int]:
        """The parts in which another's table differs; all, where it names none."""
        if len(others) != BUCKETS:
            return list(range(BUCKETS))
        return [i for i, own in enumerate(self.buckets) if own != others[i]]

    def forget(self, now: float, keep: str) -> None:
        """Drop members that died or left long ago, and the oldest of them beyond the bound."""
        gone = sorted(
            (m for m in self.members.values() if not m.alive and m.name != keep), key=lambda m: m.since
        )
        spare = len(gone) - self._tuning.most_gone
        for i, member in enumerate(gone):
            if i < spare or now - member.since >= self._tuning.forget_ms:
                del self.members[member.name]


def bucket(name: str) -> int:
    """The part of the table that a member is in."""
    return zlib.crc32(name.encode()) % BUCKETS
