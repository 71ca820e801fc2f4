"""Anti-entropy sync of the views of two processes, in three frames and without I/O.

1. The initiator sends a request with the digests of its buckets.
2. The responder answers with its digests and its updates on the buckets that differ.
3. The initiator completes the sync with its own updates on these buckets.

A sync of equal views takes a few hundred bytes, regardless of the size of the cluster.
"""

from __future__ import annotations

from typing import Any

from crowpost.membership import counters
from crowpost.membership.core import MembershipCore
from crowpost.membership.errors import InvalidMessageError, InvalidMessageReason, SyncRejectedError
from crowpost.membership.model import StateUpdate
from crowpost.membership.view import BUCKET_COUNT
from crowpost.membership.wire import (
    MessageKind,
    cluster_tag,
    decode_frame,
    decode_update,
    encode_frame,
    encode_update,
    malformed,
    pack,
    unpack,
)

MAX_REJECTION_CHARS = 200
MAX_SHOWN_CLUSTER_CHARS = 64


def make_request(core: MembershipCore) -> bytes:
    """Return the initiator's first frame."""
    rows = [] if core.superseded else [encode_update(core.own_update)]
    digests = core.view.bucket_digests if core.joined else []
    return _encode(core, MessageKind.SYNC_REQUEST, [core.cluster, digests, rows])


def handle_request(core: MembershipCore, frame: bytes, now: float) -> bytes:
    """Apply the initiator's request; return the response, or a rejection with its reason."""
    try:
        differing, updates = _decode_request(core, frame)
    except (InvalidMessageError, TypeError, ValueError) as error:
        return _reject(core, error)
    rows = [encode_update(update) for update in core.view.updates_in(differing)]
    response = _encode(core, MessageKind.SYNC_RESPONSE, [core.view.bucket_digests, rows])
    for update in updates:
        core.apply_update(update, now, from_sync=True)
    return response


def _decode_request(core: MembershipCore, frame: bytes) -> tuple[list[int], list[StateUpdate]]:
    """Return the buckets that differ, and the initiator's own update."""
    kind, body = decode_frame(frame, None)
    if kind is not MessageKind.SYNC_REQUEST:
        raise InvalidMessageError(InvalidMessageReason.KIND, f"{kind.label} is no hello")
    cluster, digests, rows, *_ = _decode_list(body)
    if cluster != core.cluster:
        other = str(cluster)[:MAX_SHOWN_CLUSTER_CHARS]
        text = f"this is cluster {core.cluster!r}, not {other!r}"
        raise InvalidMessageError(InvalidMessageReason.CLUSTER, text)
    differing = core.view.differing_buckets(_decode_digests(digests))
    return differing, [decode_update(row) for row in rows]


def _reject(core: MembershipCore, error: Exception) -> bytes:
    reason = error.reason if isinstance(error, InvalidMessageError) else InvalidMessageReason.MALFORMED
    core.counts[counters.dropped(reason)] += 1
    return _encode(core, MessageKind.SYNC_REJECTED, [str(error)[:MAX_REJECTION_CHARS]])


def handle_response(core: MembershipCore, frame: bytes, now: float) -> bytes:
    """Apply the response; return the initiator's completion.

    Raise SyncRejectedError if the responder rejected the sync, InvalidMessageError if the frame is not a
    response.
    """
    kind, body = decode_frame(frame, None)
    if kind is MessageKind.SYNC_REJECTED:
        raise SyncRejectedError(str(_decode_list(body)[0])[:MAX_REJECTION_CHARS])
    if kind is not MessageKind.SYNC_RESPONSE:
        raise InvalidMessageError(InvalidMessageReason.KIND, f"{kind.label} is not a sync response")
    digests, rows, *_ = _decode_list(body)
    differing = core.view.differing_buckets(_decode_digests(digests))
    own_updates = [] if core.superseded else core.view.updates_in(differing)
    own_rows = [encode_update(update) for update in own_updates]
    completion = _encode(core, MessageKind.SYNC_COMPLETION, [own_rows])
    _apply(core, rows, now)
    core.mark_joined()
    core.counts[counters.SYNCS] += 1
    return completion


def handle_completion(core: MembershipCore, frame: bytes, now: float) -> None:
    """Apply the initiator's completion; raise InvalidMessageError if the frame is of another kind."""
    kind, body = decode_frame(frame, cluster_tag(core.cluster))
    if kind is not MessageKind.SYNC_COMPLETION:
        raise InvalidMessageError(InvalidMessageReason.KIND, f"{kind.label} is not a sync completion")
    _apply(core, _decode_list(body)[0], now)
    core.counts[counters.SYNCS] += 1


def _apply(core: MembershipCore, rows: Any, now: float) -> None:
    if not isinstance(rows, list):
        raise malformed("the state updates are not a list")
    updates = [decode_update(row) for row in rows]
    for update in updates:
        core.apply_update(update, now, from_sync=True)


def _encode(core: MembershipCore, kind: MessageKind, items: list[Any]) -> bytes:
    return encode_frame(kind, cluster_tag(core.cluster), pack(items))


def _decode_list(body: bytes) -> list[Any]:
    value = unpack(body)
    if not isinstance(value, list) or not value:
        raise malformed("a frame that holds no list")
    return value


def _decode_digests(digests: Any) -> list[int]:
    if not isinstance(digests, list) or len(digests) not in (0, BUCKET_COUNT):
        raise malformed("digests of another number")
    return [int(digest) for digest in digests]
