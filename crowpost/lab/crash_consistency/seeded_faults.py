"""Faults that are seeded into the store by patches, to verify that the checks find them."""

from __future__ import annotations

import errno
from collections.abc import Callable
from contextlib import AbstractContextManager
from typing import Any
from unittest import mock

from crowpost.storage import file_format, log_segment, recovery
from crowpost.storage.core import Store
from crowpost.storage.file_format import STORE_FILE, TEMPORARY_SUFFIX, FileKind, Header, parse_file_name
from crowpost.storage.model import RecoveredState, StoredFile
from crowpost.storage.operations import (
    Append,
    Create,
    JobResult,
    Operation,
    Remove,
    Rename,
    Sync,
    SyncDirectory,
)

Patch = Callable[[], AbstractContextManager[Any]]
_SEGMENTS = "_segments"  # attribute of Store that a fault changes


def _original(name: str) -> Callable[..., Any]:
    """Return the unpatched method of Store with this name."""
    method: Callable[..., Any] = vars(Store)[name]
    return method


_write_snapshot_file = _original("_write_snapshot_file")
_create_segment = _original("_create_segment")
_write_records = _original("_write_records")
_complete_job = Store.complete_job
_rewrite_last_segment = recovery.rewrite_last_segment
_create_store = recovery.create_store
_read_files = recovery.read_files
_verify_header = Header.verify


def _in_store(name: str, faulty: Callable[..., Any]) -> Patch:
    return lambda: mock.patch.object(Store, name, faulty)


def _in_recovery(name: str, faulty: Callable[..., Any]) -> Patch:
    return lambda: mock.patch.object(recovery, name, faulty)


def _without(operations: list[Operation], *kinds: type) -> list[Operation]:
    return [operation for operation in operations if not isinstance(operation, kinds)]


# ---------------------------------------------------------------- faults of the write path


def _snapshot_without_directory_sync(self: Store, *args: Any) -> list[Operation]:
    return _without(_write_snapshot_file(self, *args), SyncDirectory)


def _snapshot_renamed_before_sync(self: Store, *args: Any) -> list[Operation]:
    operations: list[Operation] = _write_snapshot_file(self, *args)
    if len(operations) > 3 and isinstance(operations[3], Rename):
        rename = operations[3]
        operations[2:4] = [rename, Sync(rename.new_name)]
    return operations


def _segments_removed_first(self: Store, *args: Any) -> list[Operation]:
    """Remove the segments that the snapshot replaces before it is written, and retain none of them."""
    before: list[StoredFile] = list(getattr(self, _SEGMENTS))
    operations = _write_snapshot_file(self, *args)
    remaining = [segment for segment in getattr(self, _SEGMENTS) if segment not in before]
    setattr(self, _SEGMENTS, remaining)
    removals = [Remove(segment.name) for segment in before] if remaining else []
    names = {segment.name for segment in before}
    seal = [
        operation
        for operation in operations
        if isinstance(operation, Append | Sync) and operation.file in names
    ]
    return [
        *removals,
        *(
            operation
            for operation in operations
            if not isinstance(operation, Remove) and operation not in seal
        ),
    ]


def _records_not_synced(self: Store) -> list[Operation]:
    return _without(_write_records(self), Sync)


def _segment_without_directory_sync(self: Store) -> list[Operation]:
    return _without(_create_segment(self), SyncDirectory)


def _synced_too_early(self: Store) -> list[Operation]:
    self.durable_sequence = self.next_sequence - 1
    operations: list[Operation] = _write_records(self)
    return operations


def _error_ignored(code: int) -> Callable[..., None]:
    def complete_job(self: Store, number: int, result: JobResult) -> None:
        if result.error is not None and f"Errno {code}]" in result.error:
            result = JobResult(None, result.generated_bytes)
        _complete_job(self, number, result)

    return complete_job


# ---------------------------------------------------------------- faults of recovery


def _segment_not_rewritten(state: RecoveredState, read: recovery.FileReader) -> list[Operation]:
    name = state.segments[-1].name
    state.tail_bytes = len(read(name))
    return [Sync(name), SyncDirectory()]


def _rewritten_without_sync(state: RecoveredState, read: recovery.FileReader) -> list[Operation]:
    return _without(_rewrite_last_segment(state, read), Sync)


def _store_file_first(owner: str, identity: bytes) -> list[Operation]:
    operations = _create_store(owner, identity)
    temporary = STORE_FILE + TEMPORARY_SUFFIX
    segment = [
        operation
        for operation in operations
        if isinstance(operation, Create | Sync) and operation.file != temporary
    ]
    return [
        *(operation for operation in operations if operation not in segment),
        *segment,
        SyncDirectory(),
    ]


def _corruption_as_torn_tail(state: RecoveredState, *_args: Any, **_options: Any) -> None:
    state.notes.append("something was cut")


def _next_sequence_off_by_one(state: RecoveredState, *args: Any) -> None:
    _read_files(state, *args)
    state.next_sequence += 1


def _newest_snapshot_ignored(state: RecoveredState, names: list[str], read: recovery.FileReader) -> None:
    """Use the oldest of several snapshots, and do not require the log after it."""
    snapshots = sorted(name for name in names if _is_snapshot(name))
    _read_files(state, [name for name in names if name not in snapshots[1:]], read)


def _is_snapshot(name: str) -> bool:
    parsed = parse_file_name(name)
    return parsed is not None and parsed.kind is FileKind.SNAPSHOT


def _log_header_not_verified(self: Header, file: str, data: bytes) -> None:
    if self.kind is FileKind.SNAPSHOT:
        _verify_header(self, file, data)


FAULTS: dict[str, Patch] = {
    "no fsync of the directory after a snapshot": _in_store(
        "_write_snapshot_file", _snapshot_without_directory_sync
    ),
    "no fsync of the directory after a new log": _in_store(
        "_create_segment", _segment_without_directory_sync
    ),
    "no fsync before the acknowledgement": _in_store("_write_records", _records_not_synced),
    "snapshot renamed before its data is synced": _in_store(
        "_write_snapshot_file", _snapshot_renamed_before_sync
    ),
    "logs removed before the snapshot is kept": _in_store("_write_snapshot_file", _segments_removed_first),
    "records called synced before they are": _in_store("_write_records", _synced_too_early),
    "a failed fsync taken for done": _in_store("complete_job", _error_ignored(errno.EIO)),
    "a full disk taken for done": _in_store("complete_job", _error_ignored(errno.ENOSPC)),
    "torn end not cut": _in_recovery("rewrite_last_segment", _segment_not_rewritten),
    "rewritten log not synced": _in_recovery("rewrite_last_segment", _rewritten_without_sync),
    "the store's own file made first": _in_recovery("create_store", _store_file_first),
    "damage passed over as a torn end": lambda: mock.patch.object(
        log_segment, "truncate_torn_tail", _corruption_as_torn_tail
    ),
    "the next sequence off by one": _in_recovery("read_files", _next_sequence_off_by_one),
    "an older snapshot chosen in secret": _in_recovery("read_files", _newest_snapshot_ignored),
    "heads not checked": lambda: mock.patch.object(Header, "verify", _log_header_not_verified),
    "CRC not checked": lambda: mock.patch.object(file_format, "_checksum", return_value=0),
}
