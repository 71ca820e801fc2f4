"""Encodes messages as frames: length, header (magic, version, kind, cluster), CRC-32C, MessagePack body."""

from __future__ import annotations

import struct
from collections.abc import Iterator

import google_crc32c
import msgpack

from crowpost.config_feed.errors import FeedError, FrameError
from crowpost.config_feed.message_codec import KINDS, MAX_BODY_BYTES, MessageKind, message_row, read_message
from crowpost.config_feed.messages import Message

WIRE_VERSION = 1
MAGIC = b"CF"
FRAME_LENGTH = struct.Struct(">I")  # number of bytes after this field
FRAME_HEADER = struct.Struct(">2sBBI")  # magic, wire version, kind, cluster
FRAME_CHECKSUM = struct.Struct(">I")  # CRC-32C over header and body
_BODY_OFFSET = FRAME_HEADER.size + FRAME_CHECKSUM.size  # distance from the end of the length field
FRAME_OVERHEAD_BYTES = FRAME_LENGTH.size + _BODY_OFFSET
MAX_FRAME_BYTES = MAX_BODY_BYTES
PACKET_OVERHEAD_BYTES = 40  # TCP and IP headers of a frame, which count towards the byte budgets
MAX_HEADERS_PER_FRAME = 64
# A peer that has sent more invalid frames than these speaks another protocol.
MAX_INVALID_FRAMES = 64


def cluster_tag(cluster: str) -> int:
    """Return the number that identifies a cluster in frame headers."""
    return int(google_crc32c.value(cluster.encode()))


def encode(message: Message, cluster: int) -> bytes:
    """Return the frame of a message.  cluster: the `cluster_tag` of its cluster."""
    body: bytes = msgpack.packb(message_row(message))
    header = FRAME_HEADER.pack(MAGIC, WIRE_VERSION, KINDS[type(message)], cluster)
    checksum = google_crc32c.extend(google_crc32c.value(header), body)
    length = FRAME_LENGTH.pack(_BODY_OFFSET + len(body))
    return length + header + FRAME_CHECKSUM.pack(checksum) + body


def decode(frame: bytes, cluster: int | None) -> Message:
    """Return the message of a frame, given without its length field.  Raise FrameError if it is invalid.

    cluster: the accepted `cluster_tag`; None accepts messages of any cluster.
    """
    if len(frame) < _BODY_OFFSET:
        raise FrameError("malformed", f"a truncated frame of {len(frame)} bytes")
    magic, wire_version, kind, frame_cluster = FRAME_HEADER.unpack_from(frame)
    if magic != MAGIC:
        raise FrameError("magic", "bytes of another protocol")
    (checksum,) = FRAME_CHECKSUM.unpack_from(frame, FRAME_HEADER.size)
    body = frame[_BODY_OFFSET:]
    if google_crc32c.extend(google_crc32c.value(frame[: FRAME_HEADER.size]), body) != checksum:
        raise FrameError("checksum", "a frame with a wrong checksum")
    if abs(wire_version - WIRE_VERSION) > 1:
        raise FrameError("wire", f"wire version {wire_version}, this process uses {WIRE_VERSION}")
    if cluster is not None and frame_cluster != cluster:
        raise FrameError("cluster", "a message of another cluster")
    return _decode_body(kind, body)


def _decode_body(kind: int, body: bytes) -> Message:
    try:
        return read_message(MessageKind(kind), msgpack.unpackb(body, max_bin_len=MAX_FRAME_BYTES))
    except FrameError:
        raise
    except FeedError as error:
        raise FrameError("malformed", str(error)) from error
    except (ValueError, TypeError, IndexError, RecursionError, msgpack.exceptions.UnpackException) as error:
        reason = "kind" if kind not in list(MessageKind) else "malformed"
        raise FrameError(reason, f"a message that cannot be read: {error}") from error


class FrameReader:
    """Splits a stream of bytes into messages.

    cluster: the accepted `cluster_tag`, None for any; max_frame_bytes: limit without the length field.
    """

    def __init__(self, cluster: int | None, max_frame_bytes: int = MAX_FRAME_BYTES) -> None:
        self._cluster = cluster
        self._max_frame_bytes = max_frame_bytes
        self._buffer = bytearray()
        self._broken = False
        self._invalid_frames = 0

    def feed(self, data: bytes) -> Iterator[tuple[Message | FrameError, int]]:
        """Yield the messages that are now complete, each with the size of its frame in bytes.

        An invalid frame is yielded as a FrameError; after a `fatal` one no further data is read.  One message
        exists at a time: a peer may send thousands in one read.
        """
        if self._broken:
            return
        self._buffer += data
        offset = 0
        try:
            while not self._broken and len(self._buffer) - offset >= FRAME_LENGTH.size:
                (length,) = FRAME_LENGTH.unpack_from(self._buffer, offset)
                start = offset + FRAME_LENGTH.size
                end = start + length
                if length > self._max_frame_bytes:
                    text = f"a frame of {length} bytes, {self._max_frame_bytes} at most"
                    self._broken = True
                    yield FrameError("oversized", text), FRAME_LENGTH.size
                elif len(self._buffer) < end:
                    break
                else:
                    item = self._decode(bytes(self._buffer[start:end]))
                    offset = end
                    if isinstance(item, FrameError):
                        item = self._count_invalid(item)
                        self._broken = item.fatal
                    yield item, FRAME_LENGTH.size + length
        finally:
            del self._buffer[:offset]

    def _count_invalid(self, error: FrameError) -> FrameError:
        """Return the error, or a fatal one once there have been too many: each costs time."""
        self._invalid_frames += 1
        if self._invalid_frames <= MAX_INVALID_FRAMES:
            return error
        return FrameError("magic", f"{self._invalid_frames} invalid frames, the last one: {error}")

    def _decode(self, frame: bytes) -> Message | FrameError:
        try:
            return decode(frame, self._cluster)
        except FrameError as error:
            return error
