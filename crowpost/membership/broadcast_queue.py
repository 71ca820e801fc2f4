"""The queue of state updates to broadcast by gossip, with a byte budget."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass

from crowpost.membership.model import Liveness, StateUpdate
from crowpost.membership.settings import ProtocolSettings
from crowpost.membership.wire import encode_update, pack

OVERDRAWN_BYTES = 200  # Maximum size of the updates in a datagram while the budget is overdrawn
MIN_TRANSMITS = 2


@dataclass(slots=True)
class _Broadcast:
    name: str
    encoded: bytes
    remaining: int  # Transmissions left; 0 also after a later update on the same member replaced this one


class BroadcastQueue:
    """A queue of updates, each sent a limited number of times, with a token bucket in bytes.

    Deaths, departures and refutations are sent before suspicions: when many members are suspected at once,
    the updates that end these suspicions must not be delayed.
    """

    def __init__(self, settings: ProtocolSettings) -> None:
        self._settings = settings
        self._urgent: deque[_Broadcast] = deque()
        self._suspicions: deque[_Broadcast] = deque()
        self._latest: dict[str, _Broadcast] = {}
        self._tokens = settings.burst_bytes
        self._refilled_at_ms = 0.0

    def __len__(self) -> int:
        return len(self._latest)

    def enqueue(self, update: StateUpdate, member_count: int, transmit_fraction: float = 1.0) -> None:
        """Queue an update in place of any earlier one on the same member.

        `transmit_fraction` scales the usual number of transmissions.
        """
        replaced = self._latest.get(update.name)
        if replaced is not None:
            replaced.remaining = 0
        scale = math.log10(max(member_count, 2) + 1)
        transmits = math.ceil(transmit_fraction * self._settings.retransmit_multiplier * scale)
        encoded = pack(encode_update(update))
        broadcast = _Broadcast(update.name, encoded, max(transmits, MIN_TRANSMITS))
        self._latest[update.name] = broadcast
        queue = self._suspicions if update.liveness is Liveness.SUSPECT else self._urgent
        queue.appendleft(broadcast)

    def has_budget(self, now: float) -> bool:
        """Return whether the budget allows datagrams that carry only gossip."""
        self._refill(now)
        return self._tokens > 0.0

    def record_sent(self, size: int, now: float) -> None:
        """Deduct the bytes of a sent datagram from the budget."""
        self._refill(now)
        self._tokens -= size

    def _refill(self, now: float) -> None:
        elapsed_ms = now - self._refilled_at_ms
        added_tokens = elapsed_ms * self._settings.send_rate_bytes_per_s / 1000.0
        self._tokens = min(self._settings.burst_bytes, self._tokens + added_tokens)
        self._refilled_at_ms = now

    def take(self, max_bytes: int, now: float) -> list[bytes]:
        """Return encoded updates that fit into `max_bytes`, and count one transmission of each.

        While the budget is overdrawn a few updates are still returned: a datagram that is sent anyway carries
        them at little cost, and probes alone may use up the budget.
        """
        taken: list[bytes] = []
        if not self._latest:
            return taken
        if not self.has_budget(now):
            max_bytes = min(max_bytes, OVERDRAWN_BYTES)
        for queue in (self._urgent, self._suspicions):
            batch = self._take_from(queue, max_bytes)
            max_bytes -= sum(map(len, batch))
            taken += batch
        return taken

    def _take_from(self, queue: deque[_Broadcast], max_bytes: int) -> list[bytes]:
        taken: list[bytes] = []
        requeued: list[_Broadcast] = []
        while queue and len(queue[0].encoded) <= max_bytes:
            broadcast = queue.popleft()
            if not broadcast.remaining:
                continue
            max_bytes -= len(broadcast.encoded)
            taken.append(broadcast.encoded)
            broadcast.remaining -= 1
            if broadcast.remaining:
                requeued.append(broadcast)
            else:
                del self._latest[broadcast.name]
        queue.extend(requeued)
        return taken
