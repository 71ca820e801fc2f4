"""Encodes the datagrams that this process sends, adds queued broadcasts, and counts them."""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

from crowpost.membership import counters
from crowpost.membership.model import StateUpdate
from crowpost.membership.settings import ProtocolSettings
from crowpost.membership.updates import UpdateProcessor
from crowpost.membership.wire import Message, MessageKind, Sender, encode_datagram, encode_update, pack

# Reserved for header and sender; enough for the longest names and addresses.
DATAGRAM_OVERHEAD_BYTES = 270
_COUNTER_END = 2**32


class OutgoingDatagram(NamedTuple):
    """A datagram to send."""

    address: str
    data: bytes


class Outbox:
    """Encodes datagrams, and queues them until `take` is called."""

    def __init__(
        self, updates: UpdateProcessor, settings: ProtocolSettings, counts: Counter[str], tag: int
    ) -> None:
        self._updates = updates
        self._settings = settings
        self._counts = counts
        self._tag = tag
        self._datagram_counter = 0
        self._datagrams: list[OutgoingDatagram] = []

    def take(self) -> list[OutgoingDatagram]:
        """Return the datagrams queued since the last call."""
        datagrams = self._datagrams
        self._datagrams = []
        return datagrams

    def send(
        self,
        address: str,
        kind: MessageKind,
        now: float,
        number: int = 0,
        target: str = "",
        first_updates: list[StateUpdate] | None = None,
    ) -> None:
        """Queue a datagram with `first_updates` and as many queued broadcasts as fit.

        Nothing is sent while this process is superseded: the newer process acts under the name.
        """
        updates = self._updates
        if updates.superseded:
            return
        encoded = [pack(encode_update(update)) for update in first_updates or ()]
        free_bytes = self._settings.max_datagram_bytes - DATAGRAM_OVERHEAD_BYTES - sum(map(len, encoded))
        encoded += updates.broadcasts.take(free_bytes, now)
        expects_reply = kind in (MessageKind.PING, MessageKind.PING_REQ)
        reply_to = updates.local_member.profile.address if expects_reply else ""
        message = Message(kind, self._next_sender(), number, target, reply_to)
        data = encode_datagram(message, self._tag, encoded)
        updates.broadcasts.record_sent(len(data), now)
        self._counts[counters.BYTES_OUT] += len(data)
        self._counts[counters.DATAGRAMS_OUT] += 1
        self._datagrams.append(OutgoingDatagram(address, data))

    def _next_sender(self) -> Sender:
        """Return the sender of the next datagram, with the next datagram counter."""
        self._datagram_counter = (self._datagram_counter + 1) % _COUNTER_END
        own = self._updates.own_update
        return Sender(
            own.name,
            own.instance_id,
            own.incarnation,
            own.phase,
            self._datagram_counter,
            self._updates.view.digest,
        )
