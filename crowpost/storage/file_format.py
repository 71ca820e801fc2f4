"""The on-disk format: the store file, file headers, and frames with length, sequence number and CRC32C.

    store            two lines: JSON with format, owner and identity; its CRC32C in hexadecimal
    log-N.2          a header, then frames of records from sequence number N on, and a seal if it was closed
                     normally
    snapshot-N.2     the state after record N: a header, frames of pieces, and a frame with their count

A frame consists of marker, kind, length, sequence number, `synced`, CRC and payload.  `synced` is the
sequence number of the last record that was known to be durable when the frame was written.  It distinguishes
a torn tail, which is truncated, from corruption of acknowledged records, which is an error.  The CRC also
covers the header of the file, so that a frame of another file or another directory is never accepted.  The
CRC is CRC32C (Castagnoli, 1993) as in iSCSI, RFC 3720.
"""

from __future__ import annotations

import json
import re
import struct
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import Enum, IntEnum

import google_crc32c

from crowpost.storage.errors import CorruptionError, StoreError
from crowpost.storage.model import FORMAT_VERSION, MAX_RECORD_BYTES

STORE_FILE = "store"
TEMPORARY_SUFFIX = ".new"  # suffix of a file that is renamed once it is complete
IDENTITY_BYTES = 8

_MARKER = b"\xa7R"
_MAGIC = b"CROWPOST"
_FRAME = struct.Struct("<2sBIQQI")
_FRAME_VERSION_1 = struct.Struct("<2sBIQI")  # format 1 has no field `synced`
_HEADER = struct.Struct("<8sH1s8sQI")
_CRC = struct.Struct("<I")
_FILE_NAME = re.compile(r"(log|snapshot)-([0-9]{20})\.([0-9]+)")

HEADER_BYTES = _HEADER.size


class FileKind(Enum):
    """The kind of a file; the value is written to the file header."""

    LOG = b"L"
    SNAPSHOT = b"S"


class FrameKind(IntEnum):
    """The kind of content of a frame; the value is written to the frame."""

    RECORD = 0
    SEAL = 1  # has no payload: all records before it are durable, and the file was closed normally
    SNAPSHOT_PIECE = 2  # its sequence number is the index of the piece
    SNAPSHOT_END = 3  # its sequence number is the number of pieces


@dataclass(frozen=True, slots=True)
class Frame:
    """A valid frame, and its start and end positions in the file."""

    kind: FrameKind
    sequence: int
    synced: int
    payload: bytes
    start: int
    end: int


# ---------------------------------------------------------------- file names


@dataclass(frozen=True, slots=True)
class FileName:
    """The parsed name of a log segment or snapshot."""

    kind: FileKind
    sequence: int
    format_version: int


def log_file_name(first_sequence: int) -> str:
    """Return the name of the log segment whose first record has this sequence number."""
    return f"log-{first_sequence:020d}.{FORMAT_VERSION}"


def snapshot_file_name(sequence: int) -> str:
    """Return the name of the snapshot of the state after the record with this sequence number."""
    return f"snapshot-{sequence:020d}.{FORMAT_VERSION}"


def parse_file_name(name: str) -> FileName | None:
    """Parse a file name; return None for a file that is neither a log segment nor a snapshot."""
    match = _FILE_NAME.fullmatch(name)
    if match is None:
        return None
    kind = FileKind.LOG if match[1] == "log" else FileKind.SNAPSHOT
    return FileName(kind, int(match[2]), int(match[3]))


# ---------------------------------------------------------------- headers


@dataclass(frozen=True, slots=True)
class Header:
    """The header of a log segment or snapshot."""

    kind: FileKind
    identity: bytes
    sequence: int
    format_version: int = FORMAT_VERSION

    def encode(self) -> bytes:
        """Return the header as the first bytes of the file."""
        fields = (_MAGIC, self.format_version, self.kind.value, self.identity, self.sequence, 0)
        body = _HEADER.pack(*fields)[: -_CRC.size]
        return body + _CRC.pack(google_crc32c.value(body))

    def verify(self, file: str, data: bytes) -> None:
        """Raise CorruptionError if the data of a file does not begin with this header."""
        first = data[:HEADER_BYTES]
        if len(first) < HEADER_BYTES:
            raise CorruptionError(file, len(first), "its header is incomplete")
        if first == self.encode():
            return
        body = first[: -_CRC.size]
        if first == body + _CRC.pack(google_crc32c.value(body)):
            raise CorruptionError(file, 0, "its header is that of another store or file")
        raise CorruptionError(file, 0, "its header is not as written")


def identity_in_header(data: bytes) -> bytes:
    """Return the identity in the header of a file; the header is not verified."""
    start = len(_MAGIC) + 3  # the identity follows the format version and the kind
    return data[start : start + IDENTITY_BYTES]


# ---------------------------------------------------------------- frames


def _checksum(context: bytes, fields: bytes, payload: bytes) -> int:
    return int(google_crc32c.extend(google_crc32c.value(context + fields), payload))


class FrameCodec:
    """Encoder and decoder of the frames of the file with this header."""

    def __init__(self, header: Header) -> None:
        self._context = header.encode()
        self._has_synced = header.format_version == FORMAT_VERSION
        self._struct = _FRAME if self._has_synced else _FRAME_VERSION_1

    def encode(self, kind: FrameKind, sequence: int, synced: int, payload: bytes = b"") -> bytes:
        """Return an encoded frame.  Raise StoreError for a payload larger than MAX_RECORD_BYTES."""
        if len(payload) > MAX_RECORD_BYTES:
            raise StoreError(f"a record has {len(payload)} bytes, the limit is {MAX_RECORD_BYTES}")
        numbers = (sequence, synced) if self._has_synced else (sequence,)
        fields = self._struct.pack(_MARKER, kind, len(payload), *numbers, 0)[: -_CRC.size]
        return fields + _CRC.pack(_checksum(self._context, fields, payload)) + payload

    def decode_at(self, data: bytes, start: int) -> Frame | None:
        """Return the frame that starts at a position; None if there is no valid one."""
        size = self._struct.size
        if not data.startswith(_MARKER, start) or start + size > len(data):
            return None
        _, kind, length, sequence, *synced, crc = self._struct.unpack_from(data, start)
        end = start + size + length
        if kind > FrameKind.SNAPSHOT_END or length > MAX_RECORD_BYTES or end > len(data):
            return None
        fields = data[start : start + size - _CRC.size]
        payload = data[start + size : end]
        if _checksum(self._context, fields, payload) != crc:
            return None
        return Frame(FrameKind(kind), sequence, synced[0] if synced else 0, payload, start, end)

    def scan_after(self, data: bytes, position: int) -> Iterator[Frame]:
        """Yield the valid frames that start anywhere after a position."""
        start = data.find(_MARKER, position + 1)
        while start >= 0:
            frame = self.decode_at(data, start)
            if frame is not None:
                yield frame
            start = data.find(_MARKER, frame.end if frame is not None else start + 1)


# ---------------------------------------------------------------- snapshots


def encode_snapshot(header: Header, pieces: Iterable[bytes]) -> Iterator[bytes]:
    """Yield the frames of a snapshot, without the file header; the pieces are generated on demand."""
    codec = FrameCodec(header)
    count = 0
    for piece in pieces:
        yield codec.encode(FrameKind.SNAPSHOT_PIECE, count, 0, piece)
        count += 1
    yield codec.encode(FrameKind.SNAPSHOT_END, count, 0)


def decode_snapshot(file: str, data: bytes, header: Header) -> list[bytes]:
    """Return the pieces of a snapshot.  Raise CorruptionError unless the whole file is valid."""
    header.verify(file, data)
    codec = FrameCodec(header)
    pieces: list[bytes] = []
    position = HEADER_BYTES
    while (frame := codec.decode_at(data, position)) is not None and frame.sequence == len(pieces):
        position = frame.end
        if frame.kind is FrameKind.SNAPSHOT_END:
            if position < len(data):
                raise CorruptionError(file, position, f"{len(data) - position} bytes after its end")
            return pieces
        if frame.kind is not FrameKind.SNAPSHOT_PIECE:
            break
        pieces.append(frame.payload)
    raise CorruptionError(file, position, "no valid piece of a snapshot")


# ---------------------------------------------------------------- the store file


@dataclass(frozen=True, slots=True)
class StoreFile:
    """The content of the file `store`: format, owner and identity of a directory."""

    owner: str
    identity: bytes
    format_version: int = FORMAT_VERSION

    def encode(self) -> bytes:
        """Return the content of the file."""
        values = {"format": self.format_version, "owner": self.owner, "identity": self.identity.hex()}
        line = json.dumps(values).encode()
        return b"%s\n%08x\n" % (line, google_crc32c.value(line))

    @classmethod
    def decode(cls, data: bytes) -> StoreFile:
        """Parse the content of the file.

        Raise CorruptionError if the checksum does not match, and StoreError for invalid content or a format
        version that this version of crowpost cannot read.
        """
        line, _, crc = data.partition(b"\n")
        if crc != b"%08x\n" % google_crc32c.value(line):
            raise CorruptionError(STORE_FILE, 0, "its checksum does not match its content")
        try:
            raw = json.loads(line)
            content = cls(str(raw["owner"]), bytes.fromhex(raw["identity"]), int(raw["format"]))
        except (ValueError, KeyError, TypeError) as error:
            raise StoreError(f"{STORE_FILE}: not the file of a store: {error}") from error
        _require_supported_format(content.format_version)
        return content


def _require_supported_format(version: int) -> None:
    if version > FORMAT_VERSION:
        supported = f"{FORMAT_VERSION}, the newest supported: use a newer version of crowpost"
        raise StoreError(f"{STORE_FILE}: format {version} is newer than {supported}")
    if version < FORMAT_VERSION - 1:
        supported = f"{FORMAT_VERSION - 1} is the oldest that can be migrated"
        raise StoreError(f"{STORE_FILE}: format {version} is too old, {supported}")
