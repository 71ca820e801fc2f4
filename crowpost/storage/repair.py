"""A directory that recovery refuses: what of it is whole, what would be lost, and a copy that can be opened.

Nothing here writes into the directory itself: a repair copies it first, puts the copy right, and leaves it to
who asked to put the one in the other's place.
"""

from __future__ import annotations

import os
import shutil
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path

from crowpost.storage.disk import Disk, words
from crowpost.storage.file_format import (
    HEAD_BYTES,
    LOG,
    NEW,
    SNAPSHOT,
    STORE,
    FileName,
    FrameKind,
    Framer,
    check_head,
    head,
    log_name,
    read_name,
    read_snapshot,
    read_store,
    snapshot_name,
    snapshot_pieces,
    store_text,
)
from crowpost.storage.model import FORMAT, DamagedError, Found, Record, StoreError
from crowpost.storage.recovery import Read, log_records, recover


@dataclass(slots=True)
class FileReport:
    """What one file holds, read by itself.  damage: empty where it is whole; at: the byte it begins at."""

    name: str
    bytes: int
    first: int = 0  # records, or pieces of a snapshot
    last: int = 0
    sealed: bool = False
    damage: str = ""
    at: int = 0


@dataclass(slots=True)
class Verified:
    """Every file of a directory, and whether it can be opened as a whole.  refused: why not."""

    owner: str = ""
    format: int = 0
    files: list[FileReport] = field(default_factory=list)
    found: Found | None = None
    refused: str = ""


@dataclass(slots=True)
class Salvage:
    """What can be saved of a directory: a state that is whole, what is lost of it, and why."""

    owner: str
    identity: bytes
    base: int = 0  # the snapshot that is used; 0: none
    snapshot: list[bytes] = field(default_factory=list)
    records: list[Record] = field(default_factory=list)
    dropped: list[str] = field(default_factory=list)  # one line each

    @property
    def last(self) -> int:
        """The last record that is saved."""
        return self.base + len(self.records)


def verify(names: Iterable[str], read: Read) -> Verified:
    """Read every file by itself, then the directory as a whole."""
    present = sorted(names)
    told = Verified()
    identity = bytes(8)
    try:
        told.format, told.owner, identity = read_store(read(STORE)) if STORE in present else (0, "", identity)
    except StoreError as error:
        told.refused = str(error)
    for name in present:
        kind = read_name(name)
        if kind is not None:
            told.files.append(_report(name, kind, read(name), identity))
    if not told.refused:
        try:
            told.found, _ = recover(present, read, "", identity)
        except StoreError as error:
            told.refused = str(error)
    return told


def _report(name: str, kind: FileName, data: bytes, identity: bytes) -> FileReport:
    report = FileReport(name, len(data))
    try:
        if kind.log:
            records, report.at, report.sealed = _log_records(name, kind, data, identity)
            report.first, report.last = kind.sequence, kind.sequence + len(records) - 1
            if report.at < len(data):
                report.damage = "no whole record"
        else:
            pieces = read_snapshot(name, data, identity, kind.sequence, kind.format)
            report.first = report.last = kind.sequence
            report.at, report.sealed = len(data), bool(pieces)
    except DamagedError as error:
        report.damage, report.at = error.what, error.offset
    return report


def _log_records(name: str, kind: FileName, data: bytes, identity: bytes) -> tuple[list[Record], int, bool]:
    """As `log_records`, of a file by its name; DamagedError where its head is not whole."""
    first = check_head(name, data, LOG, identity, kind.sequence, kind.format)
    return log_records(Framer(first, kind.format), data, kind.sequence)


def salvage(names: Iterable[str], read: Read, owner: str = "") -> Salvage:
    """The longest state without a gap that is whole: from the newest good snapshot, the records behind it.

    owner: for a directory whose own file cannot be read.  StoreError where nothing tells whose it is.
    """
    present = sorted(names)
    dropped: list[str] = []
    kept = [(name, kind) for name in present if (kind := read_name(name)) is not None]
    try:
        version, owner, identity = read_store(read(STORE) if STORE in present else b"")
    except StoreError as error:
        if not owner:
            raise StoreError(f"{error}; name its owner with --owner to repair it all the same") from None
        dropped.append(f"{STORE}: {error}; written anew for {owner!r}")
        version, identity = max((k.format for _, k in kept), default=FORMAT), _identity(kept, read)
    saved = Salvage(owner, identity, dropped=dropped)
    own = [(name, kind) for name, kind in kept if kind.format == version]
    for name, kind in sorted((k for k in own if not k[1].log), key=lambda k: -k[1].sequence):
        try:
            saved.snapshot = read_snapshot(name, read(name), identity, kind.sequence, version)
            saved.base = kind.sequence
            break
        except DamagedError as error:
            saved.dropped.append(f"{name}: {error.what} at byte {error.offset}; the whole snapshot")
    for name, kind in sorted((k for k in own if k[1].log), key=lambda k: k[1].sequence):
        _save_log(saved, name, kind, read(name))
    return saved


def _identity(kept: list[tuple[str, FileName]], read: Read) -> bytes:
    """The directory's identity from the first file whose head is whole."""
    for name, kind in kept:
        data = read(name)
        own = data[11:19]  # behind magic, format and kind
        if data[:HEAD_BYTES] == head(LOG if kind.log else SNAPSHOT, own, kind.sequence, kind.format):
            return own
    raise StoreError("no file's head is whole: nothing can be saved")


def _save_log(saved: Salvage, name: str, kind: FileName, data: bytes) -> None:
    try:
        records, at, _ = _log_records(name, kind, data, saved.identity)
    except DamagedError as error:
        records, at = [], error.offset
    wanted = saved.last + 1
    if records and records[0].sequence > wanted:
        many = f"{records[0].sequence} to {records[-1].sequence}"
        saved.dropped.append(f"{name}: records {many}; those from {wanted} on before them are lost")
    else:
        saved.records += [r for r in records if r.sequence >= wanted]
    if at < len(data):
        framer = Framer(head(LOG, saved.identity, kind.sequence, kind.format), kind.format)
        behind = [f.sequence for f in framer.beyond(data, at) if f.kind is FrameKind.RECORD]
        whole = f", whole records {behind[0]} to {behind[-1]} among them" if behind else ""
        saved.dropped.append(f"{name}: {len(data) - at} bytes from byte {at} on{whole}")


def copy_and_repair(path: Path, to: Path, owner: str = "") -> Salvage:
    """Copy a directory as it is to `to`, and write what can be saved of it to `to` with `-repaired` behind.

    The directory itself stays untouched, and is locked meanwhile.  StoreError where nothing can be saved, or
    either copy is there already.
    """
    repaired = to.with_name(f"{to.name}-repaired")
    disk = Disk(path, lock=True)
    try:
        saved = salvage(disk.names(), disk.read, owner)
        shutil.copytree(path, to)
        repaired.mkdir(mode=0o750)
        _write(repaired, saved)
    except OSError as error:
        raise StoreError(f"{to}: {words(error)}") from None
    finally:
        disk.close()
    return saved


def _write(path: Path, saved: Salvage) -> None:
    """A directory in the present format that holds just this."""
    files: dict[str, bytes] = {}
    if saved.base:
        pieces = b"".join(snapshot_pieces(saved.identity, saved.base, saved.snapshot))
        files[snapshot_name(saved.base)] = head(SNAPSHOT, saved.identity, saved.base) + pieces
    first = head(LOG, saved.identity, saved.base + 1)
    framer = Framer(first)
    frames = [framer.frame(FrameKind.RECORD, r.sequence, r.sequence - 1, r.payload) for r in saved.records]
    seal = framer.frame(FrameKind.SEAL, saved.last, saved.last)
    files[log_name(saved.base + 1)] = b"".join([first, *frames, seal])
    files[STORE + NEW] = store_text(saved.owner, saved.identity)
    for name, data in files.items():
        with (path / name).open("xb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
    (path / (STORE + NEW)).rename(path / STORE)
    descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
