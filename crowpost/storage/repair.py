"""Repair of a directory that recovery rejects: a copy that can be opened, and a list of what is lost.

The directory itself is never written to.  A repair copies it first and writes a repaired directory beside the
copy; the operator then moves that to the place of the original.
"""

from __future__ import annotations

import os
import shutil
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path

from crowpost.storage.disk import Disk, describe_os_error
from crowpost.storage.errors import CorruptionError, StoreError
from crowpost.storage.file_format import (
    HEADER_BYTES,
    STORE_FILE,
    TEMPORARY_SUFFIX,
    FileKind,
    FrameCodec,
    FrameKind,
    Header,
    StoreFile,
    decode_snapshot,
    encode_snapshot,
    identity_in_header,
    log_file_name,
    parse_file_name,
    snapshot_file_name,
)
from crowpost.storage.log_segment import decode_log, encode_log
from crowpost.storage.model import FORMAT_VERSION, Record
from crowpost.storage.recovery import FileReader

REPAIRED_SUFFIX = "-repaired"


@dataclass(slots=True)
class Salvage:
    """The salvageable content of a directory: a state without a gap, and one line for each loss."""

    owner: str
    identity: bytes
    snapshot_sequence: int = 0  # sequence number of the snapshot that is used; 0 if there is none
    snapshot: list[bytes] = field(default_factory=list)
    records: list[Record] = field(default_factory=list)
    dropped: list[str] = field(default_factory=list)

    @property
    def last_sequence(self) -> int:
        """Sequence number of the last salvaged record."""
        return self.snapshot_sequence + len(self.records)


@dataclass(frozen=True, slots=True)
class _DataFile:
    """A log segment or snapshot of the directory to repair."""

    name: str
    kind: FileKind
    sequence: int
    format_version: int

    def header(self, identity: bytes) -> Header:
        return Header(self.kind, identity, self.sequence, self.format_version)


# ---------------------------------------------------------------- reading the damaged directory


def salvage(names: Iterable[str], read: FileReader, owner: str = "") -> Salvage:
    """Return the longest intact state without a gap: the newest intact snapshot and the records after it.

    owner: used if the store file cannot be read.  Raise StoreError if the owner is then empty, or if no file
    has a valid header.
    """
    present = sorted(names)
    files = _data_files(present)
    store, dropped = _read_store_file(present, read, files, owner)
    saved = Salvage(store.owner, store.identity, dropped=dropped)
    current = [file for file in files if file.format_version == store.format_version]
    snapshots = [file for file in current if file.kind is FileKind.SNAPSHOT]
    for file in sorted(snapshots, key=lambda file: -file.sequence):
        if _salvage_snapshot(saved, file, read(file.name)):
            break
    segments = [file for file in current if file.kind is FileKind.LOG]
    for file in sorted(segments, key=lambda file: file.sequence):
        _salvage_segment(saved, file, read(file.name))
    return saved


def _data_files(present: Iterable[str]) -> list[_DataFile]:
    parsed = [(name, parse_file_name(name)) for name in present]
    return [
        _DataFile(name, file_name.kind, file_name.sequence, file_name.format_version)
        for name, file_name in parsed
        if file_name is not None
    ]


def _read_store_file(
    present: list[str], read: FileReader, files: list[_DataFile], owner: str
) -> tuple[StoreFile, list[str]]:
    """Return the content of the store file, or a replacement, and lines on what is lost by replacing it.

    The replacement is made from the owner and the headers of the other files.
    """
    try:
        return StoreFile.decode(read(STORE_FILE) if STORE_FILE in present else b""), []
    except StoreError as error:
        if not owner:
            raise StoreError(f"{error}; name its owner with --owner to repair it anyway") from error
        version = max((file.format_version for file in files), default=FORMAT_VERSION)
        dropped = [f"{STORE_FILE}: {error}; replaced by a new one for {owner!r}"]
        return StoreFile(owner, _find_identity(files, read), version), dropped


def _find_identity(files: list[_DataFile], read: FileReader) -> bytes:
    """Return the identity of the directory from the first file with a valid header."""
    for file in files:
        data = read(file.name)
        identity = identity_in_header(data)
        if len(data) >= HEADER_BYTES and data[:HEADER_BYTES] == file.header(identity).encode():
            return identity
    raise StoreError("no file has a valid header: nothing can be saved")


def _salvage_snapshot(saved: Salvage, file: _DataFile, data: bytes) -> bool:
    """Use a snapshot if it is intact; return whether it is."""
    try:
        saved.snapshot = decode_snapshot(file.name, data, file.header(saved.identity))
    except CorruptionError as error:
        saved.dropped.append(f"{file.name}: {error.reason} at byte {error.offset}; the whole snapshot")
        return False
    saved.snapshot_sequence = file.sequence
    return True


def _salvage_segment(saved: Salvage, file: _DataFile, data: bytes) -> None:
    """Add the records of a segment that continue the state, and note the others as dropped."""
    header = file.header(saved.identity)
    try:
        content = decode_log(file.name, data, header)
        records = content.records
        valid_bytes = content.valid_bytes
    except CorruptionError as error:
        records = []
        valid_bytes = error.offset
    expected = saved.last_sequence + 1
    if records and records[0].sequence > expected:
        span = f"{records[0].sequence} to {records[-1].sequence}"
        saved.dropped.append(f"{file.name}: records {span}; the records from {expected} up to these are lost")
    else:
        saved.records += [record for record in records if record.sequence >= expected]
    if valid_bytes < len(data):
        saved.dropped.append(_describe_invalid_bytes(file.name, data, valid_bytes, header))


def _describe_invalid_bytes(name: str, data: bytes, valid_bytes: int, header: Header) -> str:
    frames = FrameCodec(header).scan_after(data, valid_bytes)
    following = [frame.sequence for frame in frames if frame.kind is FrameKind.RECORD]
    lost = f", valid records {following[0]} to {following[-1]} among them" if following else ""
    return f"{name}: {len(data) - valid_bytes} bytes from byte {valid_bytes} on{lost}"


# ---------------------------------------------------------------- the repaired copy


def repaired_path(copy: Path) -> Path:
    """Return the path of the repaired directory, beside the copy."""
    return copy.with_name(f"{copy.name}{REPAIRED_SUFFIX}")


def copy_and_repair(path: Path, copy: Path, owner: str = "") -> Salvage:
    """Copy a directory unchanged, and write its salvageable content to `repaired_path(copy)`.

    The directory is locked meanwhile and not changed.  Raise StoreError if nothing can be salvaged, or if the
    copy or the repaired directory exists already.
    """
    disk = Disk(path, lock=True)
    try:
        saved = salvage(disk.names(), disk.read, owner)
        shutil.copytree(path, copy)
        repaired = repaired_path(copy)
        repaired.mkdir(mode=0o750)
        _write_directory(repaired, saved)
    except OSError as error:
        raise StoreError(f"{copy}: {describe_os_error(error)}") from error
    finally:
        disk.close()
    return saved


def _encode_files(saved: Salvage) -> dict[str, bytes]:
    """Return the files of the repaired directory by name, in the current format."""
    files: dict[str, bytes] = {}
    base = saved.snapshot_sequence
    if base:
        header = Header(FileKind.SNAPSHOT, saved.identity, base)
        pieces = encode_snapshot(header, saved.snapshot)
        files[snapshot_file_name(base)] = b"".join([header.encode(), *pieces])
    header = Header(FileKind.LOG, saved.identity, base + 1)
    seal = FrameCodec(header).encode(FrameKind.SEAL, saved.last_sequence, saved.last_sequence)
    files[log_file_name(base + 1)] = encode_log(header, saved.records) + seal
    files[STORE_FILE + TEMPORARY_SUFFIX] = StoreFile(saved.owner, saved.identity).encode()
    return files


def _write_directory(path: Path, saved: Salvage) -> None:
    for name, data in _encode_files(saved).items():
        with (path / name).open("xb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
    (path / (STORE_FILE + TEMPORARY_SUFFIX)).rename(path / STORE_FILE)
    descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
