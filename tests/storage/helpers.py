"""Directories with known records, for the storage tests."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path

from crowpost.storage.core import Store
from crowpost.storage.disk import Disk
from crowpost.storage.file_format import (
    STORE_FILE,
    FileKind,
    FrameCodec,
    FrameKind,
    Header,
    StoreFile,
)
from crowpost.storage.model import Durability, RecoveredState
from crowpost.storage.operations import JobResult, Operation
from crowpost.storage.recovery import FileReader
from crowpost.storage.runner import recover_disk
from crowpost.storage.write_policy import WritePolicy

ACKNOWLEDGED = Durability.ACKNOWLEDGED
DELAYED = Durability.DELAYED
ID = bytes(range(8))


def perform(disk: Disk, operations: Iterable[Operation]) -> int:
    return sum(disk.perform(operation) for operation in operations)


def run(disk: Disk, store: Store, now: float = 1e9) -> None:
    while (job := store.next_job(now)) is not None:
        store.complete_job(job.number, JobResult(None, perform(disk, job.operations)))


def write(
    path: Path, records: int, *, policy: WritePolicy | None = None, close: bool = True, snapshot: int = 0
) -> Store:
    """Create a directory with this number of records, and a snapshot after the record `snapshot`."""
    disk = Disk(path, lock=True)
    recovered = recover_disk(disk, "n0")
    store = Store(recovered, 0.0, policy)
    for number in range(1, records + 1):
        store.append(b"record %d" % number, ACKNOWLEDGED, 0.0)
        run(disk, store)
        if number == snapshot:
            store.write_snapshot([b"state", b"%d" % number])
            run(disk, store)
    if close:
        store.close()
        run(disk, store)
        assert store.closed
    disk.close()
    return store


def payloads(recovered: RecoveredState) -> list[bytes]:
    return [record.payload for record in recovered.records]


def write_format_1(path: Path, records: list[bytes], snapshot: list[bytes] | None = None) -> None:
    """Create a directory in format 1: its frames do not record what was synced, and it has no seals."""
    path.mkdir()
    base = 0
    if snapshot is not None:
        base = 10
        header = Header(FileKind.SNAPSHOT, ID, base, 1)
        codec = FrameCodec(header)
        pieces = [
            codec.encode(FrameKind.SNAPSHOT_PIECE, index, 0, piece) for index, piece in enumerate(snapshot)
        ]
        pieces.append(codec.encode(FrameKind.SNAPSHOT_END, len(snapshot), 0))
        (path / "snapshot-00000000000000000010.1").write_bytes(header.encode() + b"".join(pieces))
    header = Header(FileKind.LOG, ID, base + 1, 1)
    codec = FrameCodec(header)
    frames = [codec.encode(FrameKind.RECORD, base + 1 + index, 0, data) for index, data in enumerate(records)]
    (path / f"log-{base + 1:020d}.1").write_bytes(header.encode() + b"".join(frames))
    (path / STORE_FILE).write_bytes(StoreFile("n0", ID, 1).encode())


def listing(path: Path) -> tuple[list[str], FileReader]:
    return [file.name for file in path.iterdir()], lambda name: (path / name).read_bytes()
