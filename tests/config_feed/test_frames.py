"""Frames: encoding of all messages, and rejection of invalid ones."""

from __future__ import annotations

import tracemalloc

import pytest

from crowpost.config_feed.apply_status import ApplyState, ApplyStatus
from crowpost.config_feed.errors import FrameError
from crowpost.config_feed.frames import (
    FRAME_LENGTH,
    MAX_INVALID_FRAMES,
    FrameReader,
    cluster_tag,
    decode,
    encode,
)
from crowpost.config_feed.message_codec import MessageKind
from crowpost.config_feed.messages import (
    ApplyReport,
    BodyChunk,
    BodyUnavailable,
    DocumentHeaders,
    FetchRequest,
    Goodbye,
    Heartbeat,
    Hello,
    Message,
    PublishAccepted,
    PublishRejected,
    PublishRequest,
    StatusRequest,
    StatusResponse,
)
from tests.config_feed.harness import CLUSTER_TAG, HEADER, KEY, doc

MESSAGES: list[Message] = [
    Hello("n1", "node", "east", "e1", "s1", False, 7, (KEY,)),
    DocumentHeaders((HEADER, doc(2).header)),
    FetchRequest(KEY, 16, 24),
    BodyChunk(KEY, 16, b"\x00" * 24),
    BodyUnavailable(KEY, "busy"),
    Heartbeat(2**55),
    ApplyReport("n1", 7, 3, (ApplyStatus(KEY, ApplyState.REJECTED, "no such key"),)),
    StatusRequest(9),
    StatusResponse(9, {"name": "r1", "heads": []}),
    PublishRequest(1, "node/n1", b"{}", "me", "why", "east", 4, True),
    PublishAccepted(1, HEADER),
    PublishRejected(1, "publish to p-west"),
    Goodbye("in order"),
]


@pytest.mark.parametrize("message", MESSAGES, ids=lambda message: type(message).__name__)
def test_messages_are_decoded_as_encoded_and_damaged_frames_are_rejected(message: Message) -> None:
    frame = encode(message, CLUSTER_TAG)
    reader = FrameReader(CLUSTER_TAG)
    found = [item for byte in frame for item in reader.feed(bytes([byte]))]
    assert found == [(message, len(frame))]
    body = frame[FRAME_LENGTH.size :]
    for offset in range(len(body)):
        for bit in (0, 3, 7):
            damaged = body[:offset] + bytes([body[offset] ^ (1 << bit)]) + body[offset + 1 :]
            with pytest.raises(FrameError):
                decode(damaged, CLUSTER_TAG)
    for length in range(len(body)):
        with pytest.raises(FrameError):
            decode(body[:length], CLUSTER_TAG)


def test_every_kind_of_message_is_covered() -> None:
    assert len({type(m) for m in MESSAGES}) == len(MessageKind)


def test_each_invalid_frame_is_reported_with_its_kind() -> None:
    good = encode(Heartbeat(1), CLUSTER_TAG)
    cases = {
        "cluster": encode(Heartbeat(1), cluster_tag("other")),
        "magic": FRAME_LENGTH.pack(20) + b"GET / HTTP/1.1\r\n\r\n..",
        "oversized": FRAME_LENGTH.pack(2_000_000),
        "checksum": good[:-1] + bytes([good[-1] ^ 1]),
        "malformed": FRAME_LENGTH.pack(3) + b"CF\x01",
    }
    for kind, data in cases.items():
        reader = FrameReader(CLUSTER_TAG, 1_000_000)
        found = [item for item, _ in reader.feed(data + good)]
        assert isinstance(found[0], FrameError) and found[0].kind == kind
        # Reading continues after a damaged frame, but not after a fatal error.
        assert found[1:] == ([Heartbeat(1)] if not found[0].fatal else [])


def test_a_read_full_of_invalid_frames_ends_the_stream() -> None:
    """Guards against thousands of errors for one read, which hold up a process and fill its memory."""
    reader = FrameReader(CLUSTER_TAG)
    found = [item for item, _ in reader.feed(bytes(256 * 1024))]
    assert len(found) == MAX_INVALID_FRAMES + 1
    assert isinstance(found[-1], FrameError) and found[-1].fatal
    assert list(reader.feed(encode(Heartbeat(1), CLUSTER_TAG))) == []


def test_messages_of_one_read_are_decoded_one_at_a_time() -> None:
    """Guards against a peer whose small messages take hundreds of times their size."""
    frame = encode(Heartbeat(1), CLUSTER_TAG)
    reader = FrameReader(CLUSTER_TAG)
    text = frame * 10_000
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        assert sum(1 for _ in reader.feed(text)) == 10_000
        peak = tracemalloc.get_traced_memory()[1] - before
    finally:
        tracemalloc.stop()
    assert peak < 2 * len(text)
