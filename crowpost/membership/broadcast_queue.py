"""Claims that are still to be passed on: each so many times, the weightiest first, within a budget of
bytes.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass

from crowpost.membership.model import Claim, Tuning, Verdict
from crowpost.membership.wire import claim_row, pack

OVERDRAWN_ROOM = 200  # bytes of claims that a datagram carries though the budget is overdrawn


@dataclass(slots=True)
class _Rumour:
    name: str
    packed: bytes
    left: int  # 0 also once a later claim on the same member took its place


class Gossip:
    """A queue of claims and a token bucket of bytes.

    Deaths, departures and refutations go before suspicions: under a storm of suspicions those that end them
    must still get through.
    """

    def __init__(self, tuning: Tuning) -> None:
        self._tuning = tuning
        self._queues: tuple[deque[_Rumour], deque[_Rumour]] = (deque(), deque())
        self._latest: dict[str, _Rumour] = {}
        self._tokens = tuning.bytes_saved
        self._at = 0.0

    def __len__(self) -> int:
        return len(self._latest)

    def add(self, claim: Claim, members: int, part: float = 1.0) -> None:
        """Pass this claim on, in place of any earlier one on the same member; part: of the usual repeats."""
        old = self._latest.get(claim.name)
        if old is not None:
            old.left = 0
        left = math.ceil(part * self._tuning.repeats * math.log10(max(members, 2) + 1))
        rumour = self._latest[claim.name] = _Rumour(claim.name, pack(claim_row(claim)), max(left, 2))
        self._queues[claim.verdict is Verdict.SUSPECTED].appendleft(rumour)

    def may_spend(self, now: float) -> bool:
        """Whether the budget lets a round of gossip go that is nothing else; time in ms."""
        self._refill(now)
        return self._tokens > 0.0

    def spend(self, size: int, now: float) -> None:
        """Count bytes sent."""
        self._refill(now)
        self._tokens -= size

    def _refill(self, now: float) -> None:
        rate = self._tuning.bytes_per_s
        self._tokens = min(self._tuning.bytes_saved, self._tokens + (now - self._at) * rate / 1000.0)
        self._at = now

    def take(self, room: int, now: float) -> list[bytes]:
        """Packed claims that fit into so many bytes; into few while the budget is overdrawn.

        Never into none: what goes anyway carries news at little cost, and probes alone may use up the budget.
        """
        taken: list[bytes] = []
        if not self._latest:
            return taken
        if not self.may_spend(now):
            room = min(room, OVERDRAWN_ROOM)
        for queue in self._queues:
            again: list[_Rumour] = []
            while queue and len(queue[0].packed) <= room:
                rumour = queue.popleft()
                if not rumour.left:
                    continue
                room -= len(rumour.packed)
                taken.append(rumour.packed)
                rumour.left -= 1
                if rumour.left:
                    again.append(rumour)
                else:
                    del self._latest[rumour.name]
            queue.extend(again)
        return taken
