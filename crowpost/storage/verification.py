"""Verification of every file of a directory, and of the directory as a whole; it changes nothing."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from crowpost.storage.errors import CorruptionError, StoreError
from crowpost.storage.file_format import (
    IDENTITY_BYTES,
    STORE_FILE,
    FileKind,
    FileName,
    Header,
    StoreFile,
    decode_snapshot,
    parse_file_name,
)
from crowpost.storage.log_segment import decode_log
from crowpost.storage.model import RecoveredState
from crowpost.storage.recovery import FileReader, recover


@dataclass(slots=True)
class FileReport:
    """The result of reading one file on its own."""

    name: str
    bytes: int
    first_sequence: int = 0
    last_sequence: int = 0
    sealed: bool = False
    damage: str = ""  # empty if the file is intact
    damage_offset: int = 0


@dataclass(slots=True)
class VerificationReport:
    """The files of a directory, and the result of recovering the directory."""

    files: list[FileReport] = field(default_factory=list)
    owner: str = ""
    recovered: RecoveredState | None = None
    recovery_error: str = ""  # why recovery rejects the directory; empty if it does not

    @property
    def notes(self) -> list[str]:
        """The notes of recovery for an operator; empty if recovery failed."""
        return self.recovered.notes if self.recovered is not None else []


def verify(names: Iterable[str], read: FileReader) -> VerificationReport:
    """Read every file on its own, then recover the directory as a whole."""
    present = sorted(names)
    report = VerificationReport()
    identity = bytes(IDENTITY_BYTES)
    try:
        if STORE_FILE in present:
            store = StoreFile.decode(read(STORE_FILE))
            report.owner = store.owner
            identity = store.identity
    except StoreError as error:
        report.recovery_error = str(error)
    for name in present:
        parsed = parse_file_name(name)
        if parsed is not None:
            report.files.append(_check_file(name, parsed, read(name), identity))
    if not report.recovery_error:
        try:
            report.recovered = recover(present, read, "", identity)
        except StoreError as error:
            report.recovery_error = str(error)
    return report


def _check_file(name: str, parsed: FileName, data: bytes, identity: bytes) -> FileReport:
    report = FileReport(name, len(data))
    header = Header(parsed.kind, identity, parsed.sequence, parsed.format_version)
    try:
        if parsed.kind is FileKind.LOG:
            _check_log(report, data, header)
        else:
            report.sealed = bool(decode_snapshot(name, data, header))
            report.first_sequence = parsed.sequence
            report.last_sequence = parsed.sequence
    except CorruptionError as error:
        report.damage = error.reason
        report.damage_offset = error.offset
    return report


def _check_log(report: FileReport, data: bytes, header: Header) -> None:
    content = decode_log(report.name, data, header)
    report.sealed = content.sealed
    report.first_sequence = header.sequence
    report.last_sequence = header.sequence + len(content.records) - 1
    if content.valid_bytes < len(data):
        report.damage = "no valid record"
        report.damage_offset = content.valid_bytes
