"""Migration of a directory from the previous format version to the current one."""

from __future__ import annotations

from collections.abc import Sequence

from crowpost.storage.file_format import (
    STORE_FILE,
    TEMPORARY_SUFFIX,
    FileKind,
    Header,
    StoreFile,
    encode_snapshot,
    log_file_name,
    snapshot_file_name,
)
from crowpost.storage.log_segment import encode_log
from crowpost.storage.model import FORMAT_VERSION, RecoveredState, StoredFile
from crowpost.storage.operations import (
    AppendPieces,
    Create,
    Operation,
    Remove,
    Rename,
    Sync,
    SyncDirectory,
)


def migrate(state: RecoveredState, old_files: Sequence[str]) -> None:
    """Add repairs that rewrite the state in the current format; renaming the store file commits them."""
    state.notes.append(f"migrated from format {state.format_version} to {FORMAT_VERSION}")
    already_removed = {repair.file for repair in state.repairs if isinstance(repair, Remove)}
    if state.snapshots:
        state.repairs += _write_snapshot(state)
    segment = StoredFile(state.snapshot_sequence + 1, log_file_name(state.snapshot_sequence + 1))
    data = encode_log(Header(FileKind.LOG, state.identity, segment.sequence), state.records)
    temporary = STORE_FILE + TEMPORARY_SUFFIX
    state.repairs += [
        Create(segment.name, data),
        Sync(segment.name),
        SyncDirectory(),
        Create(temporary, StoreFile(state.owner, state.identity).encode()),
        Sync(temporary),
        Rename(temporary, STORE_FILE),
        SyncDirectory(),
    ]
    state.repairs += [Remove(name) for name in old_files if name not in already_removed]
    state.segments = [segment]
    state.tail_bytes = len(data)
    state.format_version = FORMAT_VERSION


def _write_snapshot(state: RecoveredState) -> list[Operation]:
    name = snapshot_file_name(state.snapshot_sequence)
    header = Header(FileKind.SNAPSHOT, state.identity, state.snapshot_sequence)
    pieces = tuple(encode_snapshot(header, state.snapshot))
    state.snapshots = [StoredFile(state.snapshot_sequence, name)]
    return [Create(name, header.encode()), AppendPieces(name, pieces), Sync(name)]
