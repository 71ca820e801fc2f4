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
    DIGEST_PREFIX_BYTES,
    MAX_NAME_BYTES,
    MAX_REASON_BYTES,
    MAX_REJECTION_BYTES,
    WIRE_VERSION,
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
FRAME_LENGTH = struct.Struct(">I")
FRAME_HEADER = struct.Struct(">2sBBI")  # magic, wire version, kind, cluster
FRAME_CHECKSUM = struct.Struct(">I")  # of head and body
FRAME_OVERHEAD_BYTES = FRAME_LENGTH.size + FRAME_HEADER.size + FRAME_CHECKSUM.size  # bytes around a body
MAX_FRAME_BYTES = 4_000_000
MAX_HEADERS_PER_FRAME = 64  # in one frame at the most
_MAX_INTEGER = 2**63


class MessageKind(IntEnum):
    """What a message is."""

    HELLO = 1
    MAX_HEADERS_PER_FRAME = 2
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


class FrameError(FeedError):
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


def _key_row(m: VersionKey) -> list[Any]:
    return [m.scope, m.epoch, m.version, m.digest]


def _header_row(h: DocumentHeader) -> list[Any]:
    return [h.scope, h.epoch, h.version, h.digest, h.size, h.author, h.reason, h.writer]


def _message_row(message: Message) -> list[Any]:
    match message:
        case Hello(name, role, region, zone, service, all_scopes, instance_id, version_vector):
            return [
                name,
                role,
                region,
                zone,
                service,
                all_scopes,
                instance_id,
                [_key_row(m) for m in version_vector],
            ]
        case DocumentHeaders(headers):
            return [[_header_row(h) for h in headers]]
        case FetchRequest(key, offset, length):
            return [_key_row(key), offset, length]
        case BodyChunk(key, offset, data):
            return [_key_row(key), offset, data]
        case BodyUnavailable(key, why):
            return [_key_row(key), why]
        case Heartbeat(digest):
            return [digest]
        case ApplyReport(name, instance_id, counter, apply_statuses):
            return [
                name,
                instance_id,
                counter,
                [[_key_row(s.key), str(s.state), s.why] for s in apply_statuses],
            ]
        case StatusRequest(number):
            return [number]
        case StatusResponse(number, value):
            return [number, value]
        case PublishRequest(number, scope, body, author, reason, region, if_version, back):
            return [number, scope, body, author, reason, region, if_version, back]
        case PublishAccepted(number, header):
            return [number, _header_row(header)]
        case PublishRejected(number, why):
            return [number, why]
        case Goodbye(why):
            return [why]


_KINDS: dict[type[Any], MessageKind] = {
    Hello: MessageKind.HELLO,
    DocumentHeaders: MessageKind.MAX_HEADERS_PER_FRAME,
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
    body: bytes = msgpack.packb(_message_row(message))
    header = FRAME_HEADER.pack(MAGIC, WIRE_VERSION, _KINDS[type(message)], cluster)
    crc = google_crc32c.extend(google_crc32c.value(header), body)
    return (
        FRAME_LENGTH.pack(FRAME_HEADER.size + FRAME_CHECKSUM.size + len(body))
        + header
        + FRAME_CHECKSUM.pack(crc)
        + body
    )


# ---------------------------------------------------------------- reading


def _read_text(value: Any, most: int = MAX_NAME_BYTES) -> str:
    if not isinstance(value, str) or len(value.encode()) > most:
        raise FrameError("malformed", "a text of another type or beyond its bounds")
    return value


def _read_integer(value: Any) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or not 0 <= value < _MAX_INTEGER:
        raise FrameError("malformed", "a number of another type or beyond its bounds")
    return value


def _read_bytes(value: Any, most: int) -> bytes:
    if not isinstance(value, bytes) or len(value) > most:
        raise FrameError("malformed", "bytes of another type or beyond their bounds")
    return value


def _read_list(value: Any, read: Callable[[Any], T]) -> tuple[T, ...]:
    if not isinstance(value, list):
        raise FrameError("malformed", "a list of another type")
    return tuple(read(item) for item in value)


def _read_key(row: Any) -> VersionKey:
    scope, epoch, version, digest, *_ = row
    split_scope(_read_text(scope, 80))
    if len(_read_bytes(digest, DIGEST_PREFIX_BYTES)) != DIGEST_PREFIX_BYTES:
        raise FrameError("malformed", "a mark with a short digest")
    return VersionKey(scope, _read_integer(epoch), _read_integer(version), digest)


def _read_header(row: Any) -> DocumentHeader:
    scope, epoch, version, digest, size, author, reason, writer, *_ = row
    return DocumentHeader(
        _read_text(scope, 80),
        _read_integer(epoch),
        _read_integer(version),
        _read_bytes(digest, 32),
        _read_integer(size),
        _read_text(author),
        _read_text(reason, MAX_REASON_BYTES),
        _read_text(writer),
    )


def _read_apply_status(row: Any) -> ApplyStatus:
    key, state, why, *_ = row
    return ApplyStatus(_read_key(key), ApplyState(state), _read_text(why, MAX_REJECTION_BYTES))


def _read_message(kind: MessageKind, row: Any) -> Message:
    match kind:
        case MessageKind.HELLO:
            name, role, region, zone, service, all_scopes, instance_id, version_vector, *_ = row
            return Hello(
                _read_text(name),
                _read_text(role),
                _read_text(region),
                _read_text(zone),
                _read_text(service),
                all_scopes is True,
                _read_integer(instance_id),
                _read_list(version_vector, _read_key),
            )
        case MessageKind.MAX_HEADERS_PER_FRAME:
            return DocumentHeaders(_read_list(row[0], _read_header))
        case MessageKind.FETCH:
            return FetchRequest(_read_key(row[0]), _read_integer(row[1]), _read_integer(row[2]))
        case MessageKind.BODY:
            return BodyChunk(_read_key(row[0]), _read_integer(row[1]), _read_bytes(row[2], MAX_FRAME_BYTES))
        case MessageKind.ABSENT:
            return BodyUnavailable(_read_key(row[0]), _read_text(row[1]))
        case MessageKind.BEAT:
            return Heartbeat(_read_integer(row[0]))
        case MessageKind.REPORT:
            return ApplyReport(
                _read_text(row[0]),
                _read_integer(row[1]),
                _read_integer(row[2]),
                _read_list(row[3], _read_apply_status),
            )
        case MessageKind.ASK_STATUS:
            return StatusRequest(_read_integer(row[0]))
        case MessageKind.STATUS:
            if not isinstance(row[1], dict):
                raise FrameError("malformed", "a status that is no map")
            return StatusResponse(_read_integer(row[0]), row[1])
        case MessageKind.PUBLISH:
            number, scope, body, author, reason, region, if_version, back, *_ = row
            split_scope(_read_text(scope, 80))
            if if_version != -1:
                _read_integer(if_version)
            return PublishRequest(
                _read_integer(number),
                scope,
                _read_bytes(body, MAX_FRAME_BYTES),
                _read_text(author),
                _read_text(reason, MAX_REASON_BYTES),
                _read_text(region),
                if_version,
                back is True,
            )
        case MessageKind.PUBLISHED:
            return PublishAccepted(_read_integer(row[0]), _read_header(row[1]))
        case MessageKind.REFUSED:
            return PublishRejected(_read_integer(row[0]), _read_text(row[1], 1_000))
        case MessageKind.BYE:
            return Goodbye(_read_text(row[0], MAX_REJECTION_BYTES))


def decode(frame: bytes, cluster: int | None) -> Message:
    """The message of a frame without its length; Foreign for anything else.  cluster None: of any."""
    if len(frame) < FRAME_HEADER.size + FRAME_CHECKSUM.size:
        raise FrameError("malformed", f"a frame of {len(frame)} bytes")
    magic, wire, kind, named = FRAME_HEADER.unpack_from(frame)
    if magic != MAGIC:
        raise FrameError("magic", "bytes of another protocol")
    (crc,) = FRAME_CHECKSUM.unpack_from(frame, FRAME_HEADER.size)
    body = frame[FRAME_HEADER.size + FRAME_CHECKSUM.size :]
    if google_crc32c.extend(google_crc32c.value(frame[: FRAME_HEADER.size]), body) != crc:
        raise FrameError("checksum", "a frame whose checksum is wrong")
    if abs(wire - WIRE_VERSION) > 1:
        raise FrameError("wire", f"wire version {wire}, this process speaks {WIRE_VERSION}")
    if cluster is not None and named != cluster:
        raise FrameError("cluster", "a message of another cluster")
    try:
        return _read_message(MessageKind(kind), msgpack.unpackb(body, max_bin_len=MAX_FRAME_BYTES))
    except FrameError:
        raise
    except FeedError as error:
        raise FrameError("malformed", str(error)) from None
    except (ValueError, TypeError, IndexError, RecursionError, msgpack.exceptions.UnpackException) as error:
        kind_word = "kind" if kind not in list(MessageKind) else "malformed"
        raise FrameError(kind_word, f"a message that cannot be read: {error}") from None


class FrameReader:
    """A stream of bytes as messages.  most: bytes of a frame; cluster: its tag, None for any."""

    def __init__(self, cluster: int | None, most: int = MAX_FRAME_BYTES) -> None:
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
        while len(self._buffer) - at >= FRAME_LENGTH.size:
            (size,) = FRAME_LENGTH.unpack_from(self._buffer, at)
            item: Message | FrameError
            if size > self._most:
                item = FrameError("oversized", f"a frame of {size} bytes, {self._most} at the most")
                self._broken = True
                found.append((item, FRAME_LENGTH.size))
                break
            if len(self._buffer) - at < FRAME_LENGTH.size + size:
                break
            start = at + FRAME_LENGTH.size
            try:
                item = decode(bytes(self._buffer[start : start + size]), self._cluster)
            except FrameError as error:
                item = error
            found.append((item, FRAME_LENGTH.size + size))
            at = start + size
            if isinstance(item, FrameError) and item.fatal:
                self._broken = True
                break
        del self._buffer[:at]
        return found
