"""Bytes on disk: the directory's own file, heads of files, and frames with length, sequence and CRC32C.

    store            two lines: JSON with format, owner and identity; its CRC32C in hexadecimal
    log-N.2          a head, then frames of records from sequence N on, a seal where it ended in order
    snapshot-N.2     a head, then frames of pieces and one that counts them: the state after record N

A frame is marker, kind, length, sequence, synced, CRC and payload.  `synced` is the last record that was
known to be kept when the frame was written: that tells a torn end, which is cut, from damage to what had been
acknowledged, which is an error.  The CRC also covers the head of the file, so that no frame of another file,
or of another directory's, passes for one of this.  CRC32C (Castagnoli, 1993) as in iSCSI, RFC 3720.
"""

from __future__ import annotations

import json
import re
import struct
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import IntEnum

import google_crc32c

from crowpost.storage.model import FORMAT, RECORD_BYTES, DamagedError, StoreError

STORE = "store"
NEW = ".new"  # the end of a name that is not yet what it will be
MARKER = b"\xa7R"
_FRAME = struct.Struct("<2sBIQQI")
_FRAME_1 = struct.Struct("<2sBIQI")  # of format 1, which did not say what was synced
_HEAD = struct.Struct("<8sH1s8sQI")
_MAGIC = b"CROWPOST"
HEAD_BYTES = _HEAD.size
LOG, SNAPSHOT = b"L", b"S"
_NAME = re.compile(r"(log|snapshot)-([0-9]{20})\.([0-9]+)")


class FrameKind(IntEnum):
    """What a frame holds."""

    RECORD = 0
    SEAL = 1  # nothing: all before it is kept, and the file was ended in order
    PIECE = 2  # of a snapshot; its sequence counts them
    END = 3  # of a snapshot; its sequence is how many pieces there were


@dataclass(frozen=True, slots=True)
class Frame:
    """A whole frame, and where it begins and ends in its file."""

    kind: FrameKind
    sequence: int
    synced: int
    payload: bytes
    at: int
    end: int


@dataclass(frozen=True, slots=True)
class FileName:
    """What the name of a log or snapshot says."""

    log: bool
    sequence: int
    format: int


def log_name(first: int) -> str:
    """The file of records from this sequence on."""
    return f"log-{first:020d}.{FORMAT}"


def snapshot_name(sequence: int) -> str:
    """The file of the state after this record."""
    return f"snapshot-{sequence:020d}.{FORMAT}"


def read_name(name: str) -> FileName | None:
    """What a file name says; None for one that is no log and no snapshot."""
    found = _NAME.fullmatch(name)
    return FileName(found[1] == "log", int(found[2]), int(found[3])) if found else None


def head(kind: bytes, identity: bytes, sequence: int, version: int = FORMAT) -> bytes:
    """The first bytes of a log or snapshot."""
    body = _HEAD.pack(_MAGIC, version, kind, identity, sequence, 0)[:-4]
    return body + struct.pack("<I", google_crc32c.value(body))


def _crc(context: bytes, fields: bytes, payload: bytes) -> int:
    return int(google_crc32c.extend(google_crc32c.value(context + fields), payload))


class Framer:
    """Makes and reads the frames of one file.  first: the file's whole head."""

    def __init__(self, first: bytes, version: int = FORMAT) -> None:
        self._context = first
        self._struct = _FRAME if version == FORMAT else _FRAME_1

    def frame(self, kind: FrameKind, sequence: int, synced: int, payload: bytes = b"") -> bytes:
        """One frame."""
        if len(payload) > RECORD_BYTES:
            raise StoreError(f"a record of {len(payload)} bytes, {RECORD_BYTES} at the most")
        numbers = (sequence, synced) if self._struct is _FRAME else (sequence,)
        fields = self._struct.pack(MARKER, kind, len(payload), *numbers, 0)[:-4]
        return fields + struct.pack("<I", _crc(self._context, fields, payload)) + payload

    def at(self, data: bytes, at: int) -> Frame | None:
        """The whole frame that begins there; None where there is none."""
        size = self._struct.size
        if data[at : at + 2] != MARKER or at + size > len(data):
            return None
        _, kind, length, sequence, *synced, crc = self._struct.unpack_from(data, at)
        end = at + size + length
        if kind > FrameKind.END or length > RECORD_BYTES or end > len(data):
            return None
        payload = data[at + size : end]
        if _crc(self._context, data[at : at + size - 4], payload) != crc:
            return None
        return Frame(FrameKind(kind), sequence, synced[0] if synced else 0, payload, at, end)

    def beyond(self, data: bytes, at: int) -> Iterator[Frame]:
        """Whole frames that begin after a place where none does, wherever they may lie."""
        at = data.find(MARKER, at + 1)
        while at >= 0:
            frame = self.at(data, at)
            if frame is not None:
                yield frame
            at = data.find(MARKER, frame.end if frame is not None else at + 1)


def check_head(file: str, data: bytes, kind: bytes, identity: bytes, sequence: int, version: int) -> bytes:
    """The head of a file, if it is the one that its name promises; DamagedError if not."""
    first = data[:HEAD_BYTES]
    if len(first) < HEAD_BYTES:
        raise DamagedError(file, len(first), "its head is cut short")
    if first != head(kind, identity, sequence, version):
        own = first[:-4] + struct.pack("<I", google_crc32c.value(first[:-4]))
        why = "its head is that of another store or file" if own == first else "its head is not as written"
        raise DamagedError(file, 0, why)
    return first


def snapshot_pieces(identity: bytes, sequence: int, payloads: Iterable[bytes]) -> Iterator[bytes]:
    """What comes behind a snapshot's head, made as it is asked for."""
    framer = Framer(head(SNAPSHOT, identity, sequence))
    count = 0
    for payload in payloads:
        yield framer.frame(FrameKind.PIECE, count, 0, payload)
        count += 1
    yield framer.frame(FrameKind.END, count, 0)


def read_snapshot(file: str, data: bytes, identity: bytes, sequence: int, version: int) -> list[bytes]:
    """The payloads of a snapshot; DamagedError if it is not whole to the last byte."""
    framer = Framer(check_head(file, data, SNAPSHOT, identity, sequence, version), version)
    payloads: list[bytes] = []
    at = HEAD_BYTES
    while (frame := framer.at(data, at)) is not None and frame.sequence == len(payloads):
        at = frame.end
        if frame.kind is FrameKind.END:
            if at < len(data):
                raise DamagedError(file, at, f"{len(data) - at} bytes behind its end")
            return payloads
        if frame.kind is not FrameKind.PIECE:
            break
        payloads.append(frame.payload)
    raise DamagedError(file, at, "no whole piece of a snapshot")


def store_text(owner: str, identity: bytes, version: int = FORMAT) -> bytes:
    """The content of the directory's own file."""
    line = json.dumps({"format": version, "owner": owner, "identity": identity.hex()}).encode()
    return b"%s\n%08x\n" % (line, google_crc32c.value(line))


def read_store(data: bytes) -> tuple[int, str, bytes]:
    """Format, owner and identity of a directory; DamagedError or StoreError if none that can be used."""
    line, _, crc = data.partition(b"\n")
    if crc != b"%08x\n" % google_crc32c.value(line):
        raise DamagedError(STORE, 0, "its checksum is not that of its content")
    try:
        raw = json.loads(line)
        version, owner, identity = int(raw["format"]), str(raw["owner"]), bytes.fromhex(raw["identity"])
    except (ValueError, KeyError, TypeError) as error:
        raise StoreError(f"{STORE}: not a store's own file: {error}") from None
    if version > FORMAT:
        raise StoreError(
            f"{STORE}: format {version} is newer than {FORMAT}, the newest known: use a newer crowpost"
        )
    if version < FORMAT - 1:
        raise StoreError(f"{STORE}: format {version} is too old, {FORMAT - 1} is the oldest that is migrated")
    return version, owner, identity
