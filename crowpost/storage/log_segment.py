"""Encoding and reading of a log segment, and the distinction of a torn tail from corruption."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from crowpost.storage.errors import CorruptionError
from crowpost.storage.file_format import (
    HEADER_BYTES,
    FileKind,
    FrameCodec,
    FrameKind,
    Header,
)
from crowpost.storage.model import FORMAT_VERSION, Record, RecoveredState, StoredFile


@dataclass(frozen=True, slots=True)
class LogContent:
    """The valid part of a log segment."""

    records: list[Record]
    valid_bytes: int
    sealed: bool  # True if the last valid frame is a seal


def decode_log(file: str, data: bytes, header: Header) -> LogContent:
    """Return the records up to the first invalid frame.

    Raise CorruptionError if the file does not begin with this header.
    """
    header.verify(file, data)
    codec = FrameCodec(header)
    records: list[Record] = []
    position = HEADER_BYTES
    sealed = False
    while (frame := codec.decode_at(data, position)) is not None:
        expected = header.sequence + len(records)
        if frame.kind is FrameKind.RECORD and frame.sequence == expected:
            records.append(Record(frame.sequence, frame.payload))
        elif frame.kind is not FrameKind.SEAL or frame.sequence != expected - 1:
            break
        sealed = frame.kind is FrameKind.SEAL
        position = frame.end
    return LogContent(records, position, sealed)


def encode_log(header: Header, records: Iterable[Record]) -> bytes:
    """Return a complete log segment.

    Its frames mark all preceding records as durable, so that it has to be synced before it is used.
    """
    codec = FrameCodec(header)
    frames = [
        codec.encode(FrameKind.RECORD, record.sequence, record.sequence - 1, record.payload)
        for record in records
    ]
    return b"".join([header.encode(), *frames])


def segment_header(state: RecoveredState, segment: StoredFile) -> Header:
    """Return the header that a segment of the directory must have."""
    return Header(FileKind.LOG, state.identity, segment.sequence, state.format_version)


def read_segment(state: RecoveredState, segment: StoredFile, data: bytes, *, is_last: bool) -> list[Record]:
    """Return the records of a segment; a torn tail is left out and noted in the state.

    Raise CorruptionError if a durable record is not valid.
    """
    header = segment_header(state, segment)
    content = decode_log(segment.name, data, header)
    if content.valid_bytes < len(data):
        truncate_torn_tail(state, segment, data, content, is_last=is_last)
    if not is_last and not content.sealed and header.format_version == FORMAT_VERSION:
        raise CorruptionError(
            segment.name, content.valid_bytes, "it ends without its seal, though another segment follows"
        )
    state.tail_bytes = content.valid_bytes
    return content.records


def truncate_torn_tail(
    state: RecoveredState, segment: StoredFile, data: bytes, content: LogContent, *, is_last: bool
) -> None:
    """Note a torn tail, which is truncated when the segment is rewritten.

    A power loss may leave any part of the unsynced data, even later bytes without earlier ones.  Raise
    CorruptionError if a valid frame after the gap marks the missing record as synced, or if this is not the
    last segment.
    """
    header = segment_header(state, segment)
    position = content.valid_bytes
    missing = segment.sequence + len(content.records)
    following = list(FrameCodec(header).scan_after(data, position))
    # Format 1 did not record what was synced: any valid frame after the gap counts as proof.
    was_durable = any(
        frame.synced >= missing or header.format_version < FORMAT_VERSION for frame in following
    )
    if was_durable or not is_last:
        raise CorruptionError(segment.name, position, f"record {missing} is not as written, and was durable")
    lost = f", {len(following)} valid records among them" if following else ""
    size = len(data) - position
    state.notes.append(f"{segment.name}: a torn tail of {size} bytes from byte {position} on was cut{lost}")
