"""The way not taken: what a change would cost a node if the members passed it on among themselves.

Measured on the broadcast queue that membership has: whoever learns a claim passes it on so many times for
each power of ten of members.  What a member sends until its queue is empty is what it receives in the mean.
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

BODY = 2_000  # bytes of a change


def claim(name: str, header: str) -> StateUpdate:
    """A member's claim with the head of a document, or how it stands to it, as a fact."""
    profile = Profile(name, "10.20.30.40:7000", "e1", started_s=1_700_000_000.123, facts={"feed": header})
    return StateUpdate(name, 0xFFFF_FFFF, 7, Phase.PRESENT, Liveness.ALIVE, name, "", profile)


def drained(claims: int, members: int, tuning: ProtocolSettings) -> tuple[int, float]:
    """Bytes of claims that one member sends until it has nothing left to pass on, and how often each."""
    queue = BroadcastQueue(tuning)
    for i in range(claims):
        queue.enqueue(claim(f"node-{i:04}", "all 1 12 0123456789abcdef"), members)
    sent = rows = 0
    while len(queue):
        taken = queue.take(tuning.max_datagram_bytes, 0.0)
        sent += sum(map(len, taken))
        rows += len(taken)
    return sent, rows / claims


def cost(members: int) -> dict[str, Any]:
    """Bytes that one node sends for one change of 2 kB by gossip, and sends or receives by the feed.

    Also the seconds that the standings of all would take at gossip's budget.
    """
    tuning = ProtocolSettings()
    header, repeats = drained(1, members, tuning)
    apply_statuses, _ = drained(members, members, tuning)
    document = make_document("all", 1, 12, b"x" * BODY, author="ops", reason="a change", writer="p-east")
    apply_status = ApplyStatus(document.header.key, ApplyState.APPLIED)
    return {
        "members": members,
        "repeats": repeats,
        "claim_bytes": round(header / repeats),
        "gossip_head_bytes": header,
        "gossip_body_bytes": round(repeats * BODY),
        "gossip_standings_bytes": apply_statuses,
        "gossip_standings_s_at_budget": round(apply_statuses / tuning.send_rate_bytes_per_s),
        "feed_standing_bytes": 2 * len(encode(ApplyReport("node-0001", 2**32 - 1, 12, (apply_status,)), 0)),
        "feed_head_bytes": 2 * len(encode(DocumentHeaders((document.header,)), 0)),
        "feed_body_bytes": BODY,
    }
