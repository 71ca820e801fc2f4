"""Recovery of the content of a directory, and the repairs needed before anything is written.

Recovery only reads; the repairs are returned as disk operations.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

from crowpost.storage.errors import CorruptionError, OwnerMismatchError, StoreError
from crowpost.storage.file_format import (
    HEADER_BYTES,
    STORE_FILE,
    TEMPORARY_SUFFIX,
    FileKind,
    FrameCodec,
    Header,
    StoreFile,
    decode_snapshot,
    log_file_name,
    parse_file_name,
)
from crowpost.storage.log_segment import read_segment, segment_header
from crowpost.storage.migration import migrate
from crowpost.storage.model import FORMAT_VERSION, RETAINED_SNAPSHOTS, RecoveredState, StoredFile
from crowpost.storage.operations import Create, Operation, Remove, Rename, Sync, SyncDirectory

FileReader = Callable[[str], bytes]  # returns the content of the file with a name
_FIRST_SEGMENT = StoredFile(1, log_file_name(1))


def find_store_files(names: Iterable[str], read: FileReader) -> list[str]:
    """Return the names of files that belong to a store; none means that the directory holds no store.

    The first segment is created before the store file, and it gets no record before the store file exists: a
    first segment without a record is therefore left out.
    """
    candidates = [name for name in names if name == STORE_FILE or parse_file_name(name) is not None]
    if STORE_FILE in candidates:
        return candidates
    first = _FIRST_SEGMENT.name
    return [name for name in candidates if name != first or len(read(name)) > HEADER_BYTES]


def recover(
    names: Iterable[str], read: FileReader, expected_owner: str, new_identity: bytes
) -> RecoveredState:
    """Return the recovered content of the directory with these files.

    expected_owner: empty to accept any owner.  new_identity: 8 random bytes, used if the directory holds no
    store yet.  Raise CorruptionError or StoreError if durable data is missing or corrupt: without an
    operator's decision no data is skipped and no older snapshot is used.
    """
    present = sorted(names)
    if STORE_FILE not in present:
        return _create_state(present, read, expected_owner, new_identity)
    store = StoreFile.decode(read(STORE_FILE))
    if expected_owner and store.owner != expected_owner:
        raise OwnerMismatchError(
            f"{STORE_FILE}: the directory belongs to {store.owner!r}, not to {expected_owner!r}"
        )
    state = RecoveredState(store.owner, store.identity, format_version=store.format_version)
    state.repairs += _remove_temporary_files(present)
    data_files = _data_files(present)
    current = [name for name in data_files if _format_version(name) == store.format_version]
    # Files of another format were left by an interrupted migration, or by one that has just ended.
    state.repairs += [Remove(name) for name in data_files if name not in current]
    read_files(state, current, read)
    if store.format_version != FORMAT_VERSION:
        migrate(state, current)
    else:
        state.repairs += rewrite_last_segment(state, read)
    return state


def _data_files(present: Sequence[str]) -> list[str]:
    return [name for name in present if parse_file_name(name) is not None]


def _format_version(name: str) -> int:
    parsed = parse_file_name(name)
    return parsed.format_version if parsed is not None else 0


def _remove_temporary_files(present: Sequence[str]) -> list[Operation]:
    """Return the removal of files that were never renamed: nothing depends on them."""
    return [Remove(name) for name in present if name.endswith(TEMPORARY_SUFFIX)]


# ---------------------------------------------------------------- a new store


def _create_state(present: Sequence[str], read: FileReader, owner: str, identity: bytes) -> RecoveredState:
    leftover = find_store_files(present, read)
    if leftover:
        raise StoreError(f"{STORE_FILE} is missing beside {leftover[0]}: it was not removed by crowpost")
    state = RecoveredState(owner, identity, is_new=True)
    state.segments = [_FIRST_SEGMENT]
    state.tail_bytes = HEADER_BYTES
    state.repairs += _remove_temporary_files(present)
    state.repairs += [Remove(name) for name in _data_files(present)]
    state.repairs += create_store(owner, identity)
    return state


def create_store(owner: str, identity: bytes) -> list[Operation]:
    """Return the operations that create a store.

    The store file is created last: no record is written before it exists, so that none can be lost.
    """
    header = Header(FileKind.LOG, identity, _FIRST_SEGMENT.sequence)
    temporary = STORE_FILE + TEMPORARY_SUFFIX
    return [
        Create(_FIRST_SEGMENT.name, header.encode()),
        Sync(_FIRST_SEGMENT.name),
        SyncDirectory(),
        Create(temporary, StoreFile(owner, identity).encode()),
        Sync(temporary),
        Rename(temporary, STORE_FILE),
        SyncDirectory(),
    ]


# ---------------------------------------------------------------- an existing store


def rewrite_last_segment(state: RecoveredState, read: FileReader) -> list[Operation]:
    """Return the operations that write the valid part of the last segment to a new file.

    The data that was read may exist only in the page cache: left there by a killed process, or by a failed
    fsync, which a second fsync would not report.  The new file is synced, and it leaves out a torn tail.
    """
    name = state.segments[-1].name
    temporary = name + TEMPORARY_SUFFIX
    valid = read(name)[: state.tail_bytes]
    return [Create(temporary, valid), Sync(temporary), Rename(temporary, name), SyncDirectory()]


def read_files(state: RecoveredState, names: Sequence[str], read: FileReader) -> None:
    """Read the snapshots and segments with these names into the state."""
    state.snapshots = _stored_files(names, FileKind.SNAPSHOT)
    segments = _stored_files(names, FileKind.LOG)
    if segments and _is_unfinished(state, segments[-1], read):
        name = segments.pop().name
        state.repairs.append(Remove(name))
        state.notes.append(f"{name} was being created when the process ended: removed, it held no record")
    _read_snapshots(state, segments, read)
    last = _read_segments(state, segments, read)
    if not segments:
        name = state.snapshots[-1].name if state.snapshots else STORE_FILE
        raise StoreError(f"the log after {name} is missing")
    base = state.snapshot_sequence
    if last < base:
        raise StoreError(
            f"the log ends with record {last}, before the snapshot of {base}: files were removed"
        )
    state.segments = segments
    state.next_sequence = max(last, base) + 1


def _stored_files(names: Sequence[str], kind: FileKind) -> list[StoredFile]:
    parsed = [(name, parse_file_name(name)) for name in names]
    return sorted(
        StoredFile(file_name.sequence, name)
        for name, file_name in parsed
        if file_name is not None and file_name.kind is kind
    )


def _is_unfinished(state: RecoveredState, segment: StoredFile, read: FileReader) -> bool:
    """Return whether a segment has no valid header and no valid frame: a crash interrupted its creation."""
    data = read(segment.name)
    header = segment_header(state, segment)
    try:
        header.verify(segment.name, data)
    except CorruptionError:
        return next(FrameCodec(header).scan_after(data, -1), None) is None
    return False


def _read_segments(state: RecoveredState, segments: Sequence[StoredFile], read: FileReader) -> int:
    """Read the records after the snapshot into the state, and return the sequence number of the last."""
    base = state.snapshot_sequence
    superseded = [segment for segment in segments if segment.sequence <= base + 1][:-1]
    needed = segments[len(superseded) :]
    if needed and needed[0].sequence > base + 1:
        raise StoreError(
            f"the log lacks records {base + 1} to {needed[0].sequence - 1}, before {needed[0].name}"
        )
    for segment in superseded:
        _check_superseded_segment(state, segment, read)
    last = base
    for segment in needed:
        if segment is not needed[0] and segment.sequence != last + 1:
            raise StoreError(
                f"the log lacks records {last + 1} to {segment.sequence - 1}, before {segment.name}"
            )
        records = read_segment(state, segment, read(segment.name), is_last=segment is segments[-1])
        state.records += [record for record in records if record.sequence > base]
        last = segment.sequence + len(records) - 1
    return last


def _check_superseded_segment(state: RecoveredState, segment: StoredFile, read: FileReader) -> None:
    """Note corruption of a segment that only an older snapshot needs; no record is lost."""
    try:
        read_segment(state, segment, read(segment.name), is_last=False)
    except CorruptionError as error:
        state.notes.append(f"{error}; a later snapshot contains all its records")


# ---------------------------------------------------------------- snapshots


def _load_snapshot(state: RecoveredState, snapshot: StoredFile, read: FileReader) -> list[bytes]:
    header = Header(FileKind.SNAPSHOT, state.identity, snapshot.sequence, state.format_version)
    return decode_snapshot(snapshot.name, read(snapshot.name), header)


def _read_snapshots(state: RecoveredState, segments: Sequence[StoredFile], read: FileReader) -> None:
    """Read the last snapshot into the state, and verify the other retained ones."""
    if not state.snapshots:
        return
    newest = state.snapshots[-1]
    try:
        state.snapshot = _load_snapshot(state, newest, read)
    except CorruptionError as error:
        reason = f"{error.reason}; {_describe_fallback(state, segments, read)}"
        raise CorruptionError(newest.name, error.offset, reason) from error
    state.snapshot_sequence = newest.sequence
    for older in state.snapshots[-RETAINED_SNAPSHOTS:-1]:
        try:
            _load_snapshot(state, older, read)
        except CorruptionError as error:
            state.notes.append(f"{error}; {newest.name} is valid and was used, this one cannot replace it")


def _describe_fallback(state: RecoveredState, segments: Sequence[StoredFile], read: FileReader) -> str:
    """Return a sentence on which older snapshot could replace the last one."""
    for snapshot in reversed(state.snapshots[:-1]):
        try:
            _load_snapshot(state, snapshot, read)
        except CorruptionError:
            continue
        if any(segment.sequence <= snapshot.sequence + 1 for segment in segments):
            return f"{snapshot.name} is intact: `crowpost state repair` goes back to it and the log after it"
    return "no other snapshot is intact: `crowpost state repair` lists what would be lost"
