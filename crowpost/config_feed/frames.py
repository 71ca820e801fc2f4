"""Messages as frames: a length, a head (magic, version, kind, cluster, CRC-32C), and a MessagePack body.

Reading is strict about types and bounds, and lenient about items that a neighbouring version appends.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from enum import IntEnum
from typing import Any, TypeVar

import google_crc32c
import msgpack

from crowpost.config_feed.documents import (
    NAME_BYTES,
    PREFIX,
    REASON_BYTES,
    WHY_BYTES,
    WIRE,
    ApplyState,
    ApplyStatus,
    DocumentHeader,
    FeedError,
    VersionKey,
    split_scope,
)
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

MAGIC = b"CF"
LENGTH = struct.Struct(">I")
HEAD = struct.Struct(">2sBBI")  # magic, wire version, kind, cluster
CRC = struct.Struct(">I")  # of head and body
FRAME = LENGTH.size + HEAD.size + CRC.size  # bytes around a body
FRAME_BYTES = 4_000_000
HEADS = 64  # in one frame at the most
_WORD = 2**63


class MessageKind(IntEnum):
    """What a message is."""

    HELLO = 1
    HEADS = 2
    FETCH = 3
    BODY = 4
    ABSENT = 5
    BEAT = 6
    REPORT = 7
    ASK_STATUS = 8
    STATUS = 9
    PUBLISH = 10
    PUBLISHED = 11
    REFUSED = 12
    BYE = 13


class FrameError(FeedError):  # noqa: N818 - named for what it says
    """Bytes that are no message of this cluster; `kind` says in a word why, for the counts.

    kinds: magic, wire, cluster, oversized, checksum, kind, malformed.  After the first four the stream cannot
    be followed any further (`fatal`).
    """

    def __init__(self, kind: str, text: str) -> None:
        super().__init__(text)
        self.kind = kind
        self.fatal = kind in ("magic", "wire", "cluster", "oversized")


T = TypeVar("T")


def cluster_tag(cluster: str) -> int:
    """The cluster's name in a head."""
    return int(google_crc32c.value(cluster.encode()))


# ---------------------------------------------------------------- rows


def _mark_row(m: VersionKey) -> list[Any]:
    return [m.scope, m.era, m.version, m.digest]


def _head_row(h: DocumentHeader) -> list[Any]:
    return [h.scope, h.era, h.version, h.digest, h.size, h.author, h.reason, h.writer]


def _row(message: Message) -> list[Any]:
    match message:
        case Hello(name, role, region, zone, service, everything, birth, vector):
            return [name, role, region, zone, service, everything, birth, [_mark_row(m) for m in vector]]
        case DocumentHeaders(heads):
            return [[_head_row(h) for h in heads]]
        case FetchRequest(mark, offset, length):
            return [_mark_row(mark), offset, length]
        case BodyChunk(mark, offset, data):
            return [_mark_row(mark), offset, data]
        case BodyUnavailable(mark, why):
            return [_mark_row(mark), why]
        case Heartbeat(digest):
            return [digest]
        case ApplyReport(name, birth, counter, standings):
            return [name, birth, counter, [[_mark_row(s.mark), str(s.state), s.why] for s in standings]]
        case StatusRequest(number):
            return [number]
        case StatusResponse(number, value):
            return [number, value]
        case PublishRequest(number, scope, body, author, reason, region, if_version, back):
            return [number, scope, body, author, reason, region, if_version, back]
        case PublishAccepted(number, head):
            return [number, _head_row(head)]
        case PublishRejected(number, why):
            return [number, why]
        case Goodbye(why):
            return [why]


_KINDS: dict[type[Any], MessageKind] = {
    Hello: MessageKind.HELLO,
    DocumentHeaders: MessageKind.HEADS,
    FetchRequest: MessageKind.FETCH,
    BodyChunk: MessageKind.BODY,
    BodyUnavailable: MessageKind.ABSENT,
    Heartbeat: MessageKind.BEAT,
    ApplyReport: MessageKind.REPORT,
    StatusRequest: MessageKind.ASK_STATUS,
    StatusResponse: MessageKind.STATUS,
    PublishRequest: MessageKind.PUBLISH,
    PublishAccepted: MessageKind.PUBLISHED,
    PublishRejected: MessageKind.REFUSED,
    Goodbye: MessageKind.BYE,
}


def encode(message: Message, cluster: int) -> bytes:
    """A frame; cluster: its `tag`."""
    body: bytes = msgpack.packb(_row(message))
    head = HEAD.pack(MAGIC, WIRE, _KINDS[type(message)], cluster)
    crc = google_crc32c.extend(google_crc32c.value(head), body)
    return LENGTH.pack(HEAD.size + CRC.size + len(body)) + head + CRC.pack(crc) + body


# ---------------------------------------------------------------- reading


def _text(value: Any, most: int = NAME_BYTES) -> str:
    if not isinstance(value, str) or len(value.encode()) > most:
        raise FrameError("malformed", "a text of another type or beyond its bounds")
    return value


def _whole(value: Any) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or not 0 <= value < _WORD:
        raise FrameError("malformed", "a number of another type or beyond its bounds")
    return value


def _bytes(value: Any, most: int) -> bytes:
    if not isinstance(value, bytes) or len(value) > most:
        raise FrameError("malformed", "bytes of another type or beyond their bounds")
    return value


def _list(value: Any, read: Callable[[Any], T]) -> tuple[T, ...]:
    if not isinstance(value, list):
        raise FrameError("malformed", "a list of another type")
    return tuple(read(item) for item in value)


def _mark(row: Any) -> VersionKey:
    scope, era, version, digest, *_ = row
    split_scope(_text(scope, 80))
    if len(_bytes(digest, PREFIX)) != PREFIX:
        raise FrameError("malformed", "a mark with a short digest")
    return VersionKey(scope, _whole(era), _whole(version), digest)


def _head(row: Any) -> DocumentHeader:
    scope, era, version, digest, size, author, reason, writer, *_ = row
    return DocumentHeader(
        _text(scope, 80),
        _whole(era),
        _whole(version),
        _bytes(digest, 32),
        _whole(size),
        _text(author),
        _text(reason, REASON_BYTES),
        _text(writer),
    )


def _standing(row: Any) -> ApplyStatus:
    mark, state, why, *_ = row
    return ApplyStatus(_mark(mark), ApplyState(state), _text(why, WHY_BYTES))


def _message(kind: MessageKind, row: Any) -> Message:
    match kind:
        case MessageKind.HELLO:
            name, role, region, zone, service, everything, birth, vector, *_ = row
            return Hello(
                _text(name),
                _text(role),
                _text(region),
                _text(zone),
                _text(service),
                everything is True,
                _whole(birth),
                _list(vector, _mark),
            )
        case MessageKind.HEADS:
            return DocumentHeaders(_list(row[0], _head))
        case MessageKind.FETCH:
            return FetchRequest(_mark(row[0]), _whole(row[1]), _whole(row[2]))
        case MessageKind.BODY:
            return BodyChunk(_mark(row[0]), _whole(row[1]), _bytes(row[2], FRAME_BYTES))
        case MessageKind.ABSENT:
            return BodyUnavailable(_mark(row[0]), _text(row[1]))
        case MessageKind.BEAT:
            return Heartbeat(_whole(row[0]))
        case MessageKind.REPORT:
            return ApplyReport(_text(row[0]), _whole(row[1]), _whole(row[2]), _list(row[3], _standing))
        case MessageKind.ASK_STATUS:
            return StatusRequest(_whole(row[0]))
        case MessageKind.STATUS:
            if not isinstance(row[1], dict):
                raise FrameError("malformed", "a status that is no map")
            return StatusResponse(_whole(row[0]), row[1])
        case MessageKind.PUBLISH:
            number, scope, body, author, reason, region, if_version, back, *_ = row
            split_scope(_text(scope, 80))
            if if_version != -1:
                _whole(if_version)
            return PublishRequest(
                _whole(number),
                scope,
                _bytes(body, FRAME_BYTES),
                _text(author),
                _text(reason, REASON_BYTES),
                _text(region),
                if_version,
                back is True,
            )
        case MessageKind.PUBLISHED:
            return PublishAccepted(_whole(row[0]), _head(row[1]))
        case MessageKind.REFUSED:
            return PublishRejected(_whole(row[0]), _text(row[1], 1_000))
        case MessageKind.BYE:
            return Goodbye(_text(row[0], WHY_BYTES))


def decode(frame: bytes, cluster: int | None) -> Message:
    """The message of a frame without its length; Foreign for anything else.  cluster None: of any."""
    if len(frame) < HEAD.size + CRC.size:
        raise FrameError("malformed", f"a frame of {len(frame)} bytes")
    magic, wire, kind, named = HEAD.unpack_from(frame)
    if magic != MAGIC:
        raise FrameError("magic", "bytes of another protocol")
    (crc,) = CRC.unpack_from(frame, HEAD.size)
    body = frame[HEAD.size + CRC.size :]
    if google_crc32c.extend(google_crc32c.value(frame[: HEAD.size]), body) != crc:
        raise FrameError("checksum", "a frame whose checksum is wrong")
    if abs(wire - WIRE) > 1:
        raise FrameError("wire", f"wire version {wire}, this process speaks {WIRE}")
    if cluster is not None and named != cluster:
        raise FrameError("cluster", "a message of another cluster")
    try:
        return _message(MessageKind(kind), msgpack.unpackb(body, max_bin_len=FRAME_BYTES))
    except FrameError:
        raise
    except FeedError as error:
        raise FrameError("malformed", str(error)) from None
    except (ValueError, TypeError, IndexError, RecursionError, msgpack.exceptions.UnpackException) as error:
        kind_word = "kind" if kind not in list(MessageKind) else "malformed"
        raise FrameError(kind_word, f"a message that cannot be read: {error}") from None


class FrameReader:
    """A stream of bytes as messages.  most: bytes of a frame; cluster: its tag, None for any."""

    def __init__(self, cluster: int | None, most: int = FRAME_BYTES) -> None:
        self._cluster, self._most = cluster, most
        self._buffer = bytearray()
        self._broken = False

    def feed(self, data: bytes) -> list[tuple[Message | FrameError, int]]:
        """The messages that are whole by now, each with the size of its frame in bytes.

        In place of a frame that is none stands why; after one that is `fatal` nothing more is read.
        """
        found: list[tuple[Message | FrameError, int]] = []
        if self._broken:
            return found
        self._buffer += data
        at = 0
        while len(self._buffer) - at >= LENGTH.size:
            (size,) = LENGTH.unpack_from(self._buffer, at)
            item: Message | FrameError
            if size > self._most:
                item = FrameError("oversized", f"a frame of {size} bytes, {self._most} at the most")
                self._broken = True
                found.append((item, LENGTH.size))
                break
            if len(self._buffer) - at < LENGTH.size + size:
                break
            start = at + LENGTH.size
            try:
                item = decode(bytes(self._buffer[start : start + size]), self._cluster)
            except FrameError as error:
                item = error
            found.append((item, LENGTH.size + size))
            at = start + size
            if isinstance(item, FrameError) and item.fatal:
                self._broken = True
                break
        del self._buffer[:at]
        return found
