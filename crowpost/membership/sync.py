"""Exchanges of tables between two processes, as frames: hello, table, rest.

The caller names the digests of its table's parts; the other sends what it holds in those that differ, and
gets the caller's in return.  Equal views cost a few hundred bytes whatever the size of the cluster.  No I/O
here either.
"""

from __future__ import annotations

from typing import Any

from crowpost.membership.core import Members
from crowpost.membership.model import MemberError, Verdict
from crowpost.membership.view import BUCKETS
from crowpost.membership.wire import (
    Foreign,
    Kind,
    claim_row,
    pack,
    read_claim,
    seal,
    tag,
    unpack,
    unseal,
)


class Refused(MemberError):  # noqa: N818 - named for what it says
    """The other process will not have this one; its text says why."""


def hello(core: Members) -> bytes:
    """The first frame, from the process that calls."""
    rows = [] if core.yielded else [claim_row(core.me_claim)]
    return _frame(core, Kind.HELLO, [core.cluster, core.view.buckets if core.joined else [], rows])


def answer(core: Members, frame: bytes, now: float) -> bytes:
    """The second frame, from the one called: what it holds in the parts that differ, or why it refuses."""
    try:
        kind, body = unseal(frame, None)
        if kind is not Kind.HELLO:
            raise Foreign("kind", f"{kind.name} is no hello")
        cluster, buckets, rows, *_ = _list(body)
        if cluster != core.cluster:
            raise Foreign("cluster", f"this is cluster {core.cluster!r}, not {str(cluster)[:64]!r}")
        differing = core.view.differing(_digests(buckets))
        claims = [read_claim(row) for row in rows]
    except (Foreign, TypeError, ValueError) as error:
        core.counts[f"dropped_{getattr(error, 'kind', 'malformed')}"] += 1
        return seal(Kind.REFUSED, tag(core.cluster), pack([str(error)[:200]]))
    table = [claim_row(c) for c in core.view.claims(differing)]
    frame = _frame(core, Kind.TABLE, [core.view.buckets, table])
    for claim in claims:
        core.claim(claim, now, from_table=True)
    return frame


def settle(core: Members, frame: bytes, now: float) -> bytes:
    """The third frame, from the caller, which takes in the second; Refused or Foreign where that is none."""
    kind, body = unseal(frame, None)
    if kind is Kind.REFUSED:
        raise Refused(str(_list(body)[0])[:200])
    if kind is not Kind.TABLE:
        raise Foreign("kind", f"{kind.name} is no table")
    buckets, rows, *_ = _list(body)
    differing = core.view.differing(_digests(buckets))
    mine = [] if core.yielded else core.view.claims(differing)
    reply = _frame(core, Kind.REST, [[claim_row(c) for c in mine]])
    _take(core, rows, now)
    core.joined = True
    core.counts["exchanges"] += 1
    return reply


def finish(core: Members, frame: bytes, now: float) -> None:
    """The one called takes in the third frame."""
    kind, body = unseal(frame, tag(core.cluster))
    if kind is not Kind.REST:
        raise Foreign("kind", f"{kind.name} is no rest")
    _take(core, _list(body)[0], now)
    core.counts["exchanges"] += 1


def _take(core: Members, rows: Any, now: float) -> None:
    if not isinstance(rows, list):
        raise Foreign("malformed", "a table that is no list")
    for claim in [read_claim(row) for row in rows]:
        core.claim(claim, now, from_table=True)


def _frame(core: Members, kind: Kind, value: list[Any]) -> bytes:
    return seal(kind, tag(core.cluster), pack(value))


def _list(body: bytes) -> list[Any]:
    value = unpack(body)
    if not isinstance(value, list) or not value:
        raise Foreign("malformed", "a frame that holds no list")
    return value


def _digests(buckets: Any) -> list[int]:
    if not isinstance(buckets, list) or len(buckets) not in (0, BUCKETS):
        raise Foreign("malformed", "digests of another number")
    return [int(b) for b in buckets]


def snapshot(core: Members, now: float) -> dict[str, Any]:
    """The whole view as plain values: times are ages in ms."""
    return {
        "cluster": core.cluster,
        "by": core.me.name,
        "yielded": core.yielded,
        "digest": f"{core.view.digest:08x}",
        "awareness": core.awareness,
        "counts": dict(core.counts),
        "members": [
            {
                "name": m.name,
                "state": m.state,
                "phase": m.phase.name.lower(),
                "address": m.profile.address,
                "zone": m.profile.zone,
                "role": m.profile.role,
                "wire": m.profile.wire,
                "started_s": m.profile.started_s,
                "facts": m.profile.facts,
                "incarnation": m.incarnation,
                "birth": f"{m.birth:08x}",
                "said_by": m.by,
                "why": m.why,
                "since_ms": round(now - m.since, 1),
                "heard_ms": None if m.heard < 0 else round(now - m.heard, 1),
                "accusers": sorted(m.accusers) if m.verdict is Verdict.SUSPECTED else [],
            }
            for m in sorted(core.view.members.values(), key=lambda m: m.name)
        ],
    }
