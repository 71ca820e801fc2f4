"""Computes the cost of the rejected alternative: changes distributed by gossip among the members.

Measured on the broadcast queue of membership: a member that learns of an update forwards it a number of times
for each power of ten of members.  The bytes that a member sends until its queue is empty equal those that it
receives on average.
"""

from __future__ import annotations

from typing import Any

from crowpost.config_feed.apply_status import ApplyState, ApplyStatus
from crowpost.config_feed.documents import make_document
from crowpost.config_feed.frames import encode
from crowpost.config_feed.messages import ApplyReport, DocumentHeaders
from crowpost.membership.broadcast_queue import BroadcastQueue
from crowpost.membership.model import Liveness, Phase, Profile, StateUpdate
from crowpost.membership.settings import ProtocolSettings

BODY_BYTES = 2_000  # size of a change


def update(name: str, header: str) -> StateUpdate:
    """Return a member's update with the header of a document, or its apply status, as a fact."""
    profile = Profile(name, "10.20.30.40:7000", "e1", started_s=1_700_000_000.123, facts={"feed": header})
    return StateUpdate(name, 0xFFFF_FFFF, 7, Phase.PRESENT, Liveness.ALIVE, name, "", profile)


def drain_queue(updates: int, members: int, settings: ProtocolSettings) -> tuple[int, float]:
    """Return the bytes of updates that one member sends until its queue is empty, and the repeats."""
    queue = BroadcastQueue(settings)
    for i in range(updates):
        queue.enqueue(update(f"node-{i:04}", "all 1 12 0123456789abcdef"), members)
    sent = count = 0
    while len(queue):
        taken = queue.take(settings.max_datagram_bytes, 0.0)
        sent += sum(map(len, taken))
        count += len(taken)
    return sent, count / updates


def cost(members: int) -> dict[str, Any]:
    """Return the bytes that a node sends by gossip, and sends or receives by the feed, for a change of 2 kB.

    The result also has the seconds that the apply statuses of all members would take within the send rate of
    gossip.
    """
    settings = ProtocolSettings()
    header, repeats = drain_queue(1, members, settings)
    apply_statuses, _ = drain_queue(members, members, settings)
    document = make_document(
        "all", 1, 12, b"x" * BODY_BYTES, author="ops", reason="a change", writer="p-east"
    )
    apply_status = ApplyStatus(document.header.key, ApplyState.APPLIED)
    return {
        "members": members,
        "repeats": repeats,
        "claim_bytes": round(header / repeats),
        "gossip_head_bytes": header,
        "gossip_body_bytes": round(repeats * BODY_BYTES),
        "gossip_standings_bytes": apply_statuses,
        "gossip_standings_s_at_budget": round(apply_statuses / settings.send_rate_bytes_per_s),
        "feed_standing_bytes": 2 * len(encode(ApplyReport("node-0001", 2**32 - 1, 12, (apply_status,)), 0)),
        "feed_head_bytes": 2 * len(encode(DocumentHeaders((document.header,)), 0)),
        "feed_body_bytes": BODY_BYTES,
    }
