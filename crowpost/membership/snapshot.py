"""The view of a process as JSON-compatible values, for `crowpost members` and for other processes.

The keys are an external format: they are sent to other versions and printed as JSON.
"""

from __future__ import annotations

from typing import Any

from crowpost.membership.core import MembershipCore
from crowpost.membership.model import Liveness, Member


def view_snapshot(core: MembershipCore, now: float) -> dict[str, Any]:
    """Return the whole view; times are ages in ms, except for `started_s`."""
    members = sorted(core.view.members.values(), key=lambda member: member.name)
    return {
        "cluster": core.cluster,
        "by": core.local_member.name,
        "yielded": core.superseded,
        "digest": f"{core.view.digest:08x}",
        "awareness": core.local_health_score,
        "counts": dict(core.counts),
        "members": [_member_snapshot(member, now) for member in members],
    }


def _member_snapshot(member: Member, now: float) -> dict[str, Any]:
    profile = member.profile
    was_heard = member.last_heard_ms >= 0
    return {
        "name": member.name,
        "state": member.state,
        "phase": member.phase.label,
        "address": profile.address,
        "zone": profile.zone,
        "role": profile.role,
        "wire": profile.wire_version,
        "started_s": profile.started_s,
        "facts": profile.facts,
        "incarnation": member.incarnation,
        "birth": f"{member.instance_id:08x}",
        "said_by": member.origin,
        "why": member.reason,
        "since_ms": round(now - member.state_since_ms, 1),
        "heard_ms": round(now - member.last_heard_ms, 1) if was_heard else None,
        "accusers": sorted(member.suspected_by) if member.liveness is Liveness.SUSPECT else [],
    }
