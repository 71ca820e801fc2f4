"""From a view to the two numbers that decisions need: how many nodes share the work, and this one's place.

Facts only: what follows from them is the module's.  A death counts after a while only, a member that keeps
dying and coming back counts after longer each time, and a view that has shrunk below a part of what the
settings name is taken for a cut, not for deaths: from behind a cut every node would take the whole fleet's
part.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Mapping
from dataclasses import dataclass

from crowpost.membership.model import Member, Phase, Verdict

STAGE, ORDINAL = "stage", "ordinal"  # facts that a node carries
HOLD_MOST = 64.0  # times the settling time, for a member that flaps
SETTLE_MS = 1_000.0
LEAST_PART = 0.25


@dataclass(frozen=True, slots=True)
class Share:
    """How many nodes share the work, and this one's place among them, from 0 on."""

    present: int
    node_index: int


def counts(member: Member, role: str, stage: str) -> bool:
    """Whether a member takes its part of the work: a suspected one still does."""
    return (
        member.verdict <= Verdict.SUSPECTED
        and member.phase is Phase.PRESENT
        and member.profile.role == role
        and member.profile.facts.get(STAGE, "0") == stage
    )


def seats(wishes: Mapping[str, int | None]) -> dict[str, int]:
    """A place from 0 on for each name, by names and wishes alone, so that equal views give equal places.

    Who wished for one that there is keeps it, the first by name where two did; the others are dealt what is
    left, by hash.  So one that goes moves no more than the few that sat beyond the new number.
    """
    count, taken, placed = len(wishes), set[int](), dict[str, int]()
    for name in sorted(wishes):
        wish = wishes[name]
        if wish is not None and 0 <= wish < count and wish not in taken:
            taken.add(wish)
            placed[name] = wish
    rest = [(_mark(name), name) for name in wishes if name not in placed]
    # Each goes through all places in an order of its own (an odd step round a power of two), which does not
    # hang on the number: what lies beyond it is passed over.
    ring = 1 << max(count - 1, 0).bit_length()
    for mark, name in sorted(rest):
        place, step = mark % ring, (mark >> 20) | 1
        while place >= count or place in taken:
            place = (place + step) % ring
        taken.add(place)
        placed[name] = place
    return placed


def _mark(name: str) -> int:
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=6).digest(), "big")


class Presence:
    """Follows the members of one role and stage; `look` at every change and at `next_at`."""

    def __init__(
        self,
        role: str,
        stage: str,
        told: Share,
        *,
        settle_ms: float = SETTLE_MS,
        least_part: float = LEAST_PART,
    ) -> None:
        self._role, self._stage, self._told = role, stage, told
        self._settle, self._least_part = settle_ms, least_part
        self._since: dict[str, float] = {}  # counted members that are gone, and since when
        self._counted: dict[str, int | None] = {}  # with the places that they wish for
        self._back: dict[str, float] = {}  # members that flap: when they are counted again
        self.share = told
        self.next_at = math.inf

    def look(self, members: Mapping[str, Member], me: str, now: float) -> Share | None:
        """The share, if it is another one than before.  Times in ms."""
        self.next_at = math.inf
        for name, member in members.items():
            if counts(member, self._role, self._stage):
                self._since.pop(name, None)
                if name not in self._counted and self._may_count(member, now):
                    self._counted[name] = _wish(member)
            else:
                self._back.pop(name, None)
        for name in list(self._counted):
            held = members.get(name)
            if held is not None and counts(held, self._role, self._stage):
                self._counted[name] = _wish(held)
            elif held is not None and (held.verdict is Verdict.LEFT or held.phase is not Phase.PRESENT):
                self._drop(name)  # it said so itself
            elif now - self._since.setdefault(name, now) >= self._settle:
                self._drop(name)
            else:
                self.next_at = min(self.next_at, self._since[name] + self._settle)
        return self._update(me)

    def _may_count(self, member: Member, now: float) -> bool:
        if member.deaths < 2:
            return True
        hold = self._settle * min(2.0**member.deaths, HOLD_MOST)
        due = self._back.setdefault(member.name, now + hold)
        self.next_at = min(self.next_at, due) if due > now else self.next_at
        return due <= now

    def _drop(self, name: str) -> None:
        del self._counted[name]
        self._since.pop(name, None)

    def _update(self, me: str) -> Share | None:
        places = seats({**self._counted, me: self._counted.get(me, self._told.node_index)})
        least = math.ceil(self._least_part * self._told.present)
        share = Share(max(len(places), least), places[me])
        if share == self.share:
            return None
        self.share = share
        return share


def _wish(member: Member) -> int | None:
    text = member.profile.facts.get(ORDINAL, "")
    return int(text) if text.isascii() and text.isdigit() and len(text) < 7 else None
