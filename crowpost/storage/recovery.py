"""What a directory holds after whatever happened to it: the last snapshot, the records behind it, and what
must be put right before anything is written.  It reads and decides; what to do comes out as operations.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

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
from crowpost.storage.model import (
    FORMAT,
    SNAPSHOTS_KEPT,
    Create,
    DamagedError,
    Fill,
    ForeignError,
    Found,
    Operation,
    Record,
    Remove,
    Rename,
    StoreError,
    Sync,
    SyncDirectory,
)

Read = Callable[[str], bytes]


def store_files(names: Iterable[str], read: Read) -> list[str]:
    """Of these files those that only a store leaves; without any of them there is no store.

    The first log is made before the store's own file, and nothing is written to it until then: without a
    record it is none.
    """
    own = [name for name in names if name == STORE or read_name(name) is not None]
    return [n for n in own if STORE in own or n != log_name(1) or len(read(n)) > HEAD_BYTES]


def recover(names: Iterable[str], read: Read, owner: str, fresh_identity: bytes) -> tuple[Found, bytes]:
    """What the directory holds, and its identity.

    names: of its files; read: the whole content of one.  owner: whose directory it must be; empty: anybody's.
    fresh_identity: 8 random bytes for a directory that holds no store yet.  DamagedError or StoreError where
    something that was kept is not there as it was written: nothing is passed over or chosen in secret.
    """
    present = sorted(names)
    found = Found(owner)
    kept = [(name, told) for name in present if (told := read_name(name)) is not None]
    for name in present:
        if name.endswith(NEW):
            found.repairs.append(Remove(name))  # never got its name: nothing depended on it
    if STORE not in present:
        for name in store_files(present, read):
            raise StoreError(f"{STORE} is missing beside {name}: it was removed by other hands")
        found.repairs += [Remove(name) for name, _ in kept]
        found.fresh = True
        found.repairs += _begin(owner, fresh_identity)
        found.segments = [(1, log_name(1))]
        found.tail_bytes = HEAD_BYTES
        return found, fresh_identity
    version, written, identity = read_store(read(STORE))
    if owner and written != owner:
        raise ForeignError(f"{STORE}: the directory belongs to {written!r}, not to {owner!r}")
    found.owner, found.format = written, version
    foreign = [name for name, told in kept if told.format != version]
    found.repairs += [Remove(name) for name in foreign]  # of a migration that was cut off, or just done
    own = [(name, told) for name, told in kept if told.format == version]
    _read_all(own, read, identity, found)
    if version != FORMAT:
        _migrate(found, own, identity)
    else:
        found.repairs += _rewrite(found, read)
    return found, identity


def _rewrite(found: Found, read: Read) -> list[Operation]:
    """The last log, as far as it is whole, in a file of its own.

    What is read may be in the system's memory only: left there by a process that was killed, or for good
    after an fsync that failed, which no further fsync would tell of.  Written anew it is kept, and a torn end
    is cut.
    """
    name = found.segments[-1][1]
    new = name + NEW
    whole = read(name)[: found.tail_bytes]
    return [Create(new, whole), Sync(new), Rename(new, name), SyncDirectory()]


def _begin(owner: str, identity: bytes) -> list[Operation]:
    """Make a store where there is none.  Its own file comes last: without it there is nothing to be lost."""
    return [
        *_create_log(identity, 1),
        Create(STORE + NEW, store_text(owner, identity)),
        Sync(STORE + NEW),
        Rename(STORE + NEW, STORE),
        SyncDirectory(),
    ]


def _create_log(identity: bytes, first: int) -> list[Operation]:
    name = log_name(first)
    return [Create(name, head(LOG, identity, first)), Sync(name), SyncDirectory()]


def _read_all(own: Sequence[tuple[str, FileName]], read: Read, identity: bytes, found: Found) -> None:
    """Snapshots and logs into `found`."""
    found.snapshots = sorted((told.sequence, name) for name, told in own if not told.log)
    segments = sorted((told.sequence, name) for name, told in own if told.log)
    if segments and _unfinished(*segments[-1], read, identity, found.format):
        _, name = segments.pop()
        found.repairs.append(Remove(name))
        found.notes.append(f"{name} was being made when the process ended: removed, it held no record")
    _read_snapshots(found, read, identity, segments)
    base = found.snapshot_sequence
    needed = [i for i, (first, _) in enumerate(segments) if first <= base + 1]
    if segments and not needed:
        raise StoreError(f"the log lacks records {base + 1} to {segments[0][0] - 1}, before {segments[0][1]}")
    begin = needed[-1] if needed else 0
    for first, name in segments[:begin]:
        _check_spare(found, name, first, read, identity)
    last = base
    for i, (first, name) in enumerate(segments[begin:], begin):
        if i > begin and first != last + 1:
            raise StoreError(f"the log lacks records {last + 1} to {first - 1}, before {name}")
        whole = _read_log(found, name, first, read(name), identity, last_file=i == len(segments) - 1)
        found.records += [r for r in whole if r.sequence > base]
        last = first + len(whole) - 1
    if not segments:
        raise StoreError(f"the log behind {found.snapshots[-1][1] if found.snapshots else STORE} is missing")
    if last < base:
        raise StoreError(f"the log ends with record {last}, before the snapshot of {base}: some were removed")
    found.segments, found.next_sequence = segments, max(last, base) + 1


def _read_snapshots(found: Found, read: Read, identity: bytes, segments: list[tuple[int, str]]) -> None:
    if not found.snapshots:
        return
    sequence, name = found.snapshots[-1]
    version = found.format
    try:
        found.snapshot = read_snapshot(name, read(name), identity, sequence, version)
    except DamagedError as error:
        raise DamagedError(
            name, error.offset, f"{error.what}; {_offer(found, read, identity, segments)}"
        ) from None
    found.snapshot_sequence = sequence
    for older, spare in found.snapshots[-SNAPSHOTS_KEPT:-1]:
        try:
            read_snapshot(spare, read(spare), identity, older, version)
        except DamagedError as error:
            found.notes.append(f"{error}; {name} is whole and was used, this one can stand in for it no more")


def _offer(found: Found, read: Read, identity: bytes, segments: list[tuple[int, str]]) -> str:
    """Which snapshot could stand in for the last one."""
    for sequence, name in reversed(found.snapshots[:-1]):
        try:
            read_snapshot(name, read(name), identity, sequence, found.format)
        except DamagedError:
            continue
        if any(first <= sequence + 1 for first, _ in segments):
            return f"{name} is whole: `crowpost state repair` goes back to it and the log behind it"
    return "no other snapshot is whole: `crowpost state repair` lists what would be lost"


def _check_spare(found: Found, name: str, first: int, read: Read, identity: bytes) -> None:
    """A log that only an older snapshot needs: damage is told, and harms nothing."""
    try:
        _read_log(found, name, first, read(name), identity, last_file=False)
    except DamagedError as error:
        found.notes.append(f"{error}; a later snapshot holds all that is in it")


def _unfinished(first: int, name: str, read: Read, identity: bytes, version: int) -> bool:
    """Whether a crash came before a log could hold anything: it lacks a head, and holds no frame."""
    data = read(name)
    try:
        check_head(name, data, LOG, identity, first, version)
    except DamagedError:
        framer = Framer(head(LOG, identity, first, version), version)
        return next(framer.beyond(data, -1), None) is None
    return False


def _read_log(
    found: Found, name: str, first: int, data: bytes, identity: bytes, *, last_file: bool
) -> list[Record]:
    """The records of one file, up to a torn end."""
    version = found.format
    framer = Framer(check_head(name, data, LOG, identity, first, version), version)
    records, at, sealed = log_records(framer, data, first)
    if at < len(data):
        _tear(found, framer, name, data, at, first + len(records), last_file)
    if not last_file and not sealed and version == FORMAT:
        raise DamagedError(name, at, "it ends without its seal, though another follows")
    found.tail_bytes = at
    return records


def log_records(framer: Framer, data: bytes, first: int) -> tuple[list[Record], int, bool]:
    """The records of a log up to the first that is not whole, where that is, and whether a seal was last."""
    records: list[Record] = []
    at, sealed = HEAD_BYTES, False
    while (frame := framer.at(data, at)) is not None:
        expected = first + len(records)
        if frame.kind is FrameKind.RECORD and frame.sequence == expected:
            records.append(Record(frame.sequence, frame.payload))
        elif frame.kind is not FrameKind.SEAL or frame.sequence != expected - 1:
            break
        sealed = frame.kind is FrameKind.SEAL
        at = frame.end
    return records, at, sealed


def _tear(
    found: Found, framer: Framer, name: str, data: bytes, at: int, expected: int, last_file: bool
) -> None:
    """What does not read as the next frame: cut as a torn end, unless it had been acknowledged.

    A power loss may leave any part of what no fsync has covered, later bytes without earlier ones as well.
    A whole frame that says the missing record was synced before it was itself written shows damage.
    """
    behind = list(framer.beyond(data, at))
    # Format 1 did not say what had been synced: whatever is whole behind it counts.
    acknowledged = any(f.synced >= expected or found.format < FORMAT for f in behind)
    if acknowledged or not last_file:
        raise DamagedError(name, at, f"record {expected} is not as it was written, and had been kept")
    lost = f", {len(behind)} whole records among them" if behind else ""
    found.notes.append(f"{name}: a torn end of {len(data) - at} bytes from byte {at} on was cut{lost}")


def _migrate(found: Found, own: Sequence[tuple[str, FileName]], identity: bytes) -> None:
    """Write what was read anew in the present format; the directory's own file is the moment of change."""
    found.notes.append(f"migrated from format {found.format} to {FORMAT}")
    repairs = list(found.repairs)  # files that never got their name, and of a migration that was cut off
    gone = {r.file for r in repairs if isinstance(r, Remove)}
    base = found.snapshot_sequence
    if found.snapshots:
        name = snapshot_name(base)
        pieces = tuple(snapshot_pieces(identity, base, found.snapshot))
        repairs += [Create(name, head(SNAPSHOT, identity, base)), Fill(name, pieces), Sync(name)]
        found.snapshots = [(base, name)]
    log = log_name(base + 1)
    first = head(LOG, identity, base + 1)
    framer = Framer(first)
    frames = [framer.frame(FrameKind.RECORD, r.sequence, r.sequence - 1, r.payload) for r in found.records]
    data = b"".join([first, *frames])
    repairs += [Create(log, data), Sync(log), SyncDirectory()]
    repairs += [Create(STORE + NEW, store_text(found.owner, identity)), Sync(STORE + NEW)]
    repairs += [Rename(STORE + NEW, STORE), SyncDirectory()]
    repairs += [Remove(name) for name, _ in own if name not in gone]
    found.repairs, found.segments, found.tail_bytes = repairs, [(base + 1, log)], len(data)
    found.format = FORMAT
