"""The store: what recovery makes of every state, formats, locks, damage, repair, and the checks."""

from __future__ import annotations

import asyncio
import errno
import subprocess
import sys
from collections.abc import Iterable
from pathlib import Path

import pytest

from crowpost.lab.crash_consistency.checker import play, play_broken
from crowpost.lab.crash_consistency.seeded_faults import FAULTS
from crowpost.storage.core import Store
from crowpost.storage.disk import Disk
from crowpost.storage.errors import CorruptionError, DirectoryLockedError, StoreError
from crowpost.storage.file_format import (
    STORE_FILE,
    FileKind,
    FrameCodec,
    FrameKind,
    Header,
    StoreFile,
    log_file_name,
    snapshot_file_name,
)
from crowpost.storage.model import Durability, RecoveredState
from crowpost.storage.operations import JobResult, Operation, Rename, Sync
from crowpost.storage.recovery import FileReader, recover
from crowpost.storage.repair import copy_and_repair, salvage
from crowpost.storage.runner import StoreRunner, inspect_store, open_store, recover_disk
from crowpost.storage.verification import verify
from crowpost.storage.write_policy import WritePolicy

SURE, DELAYED = Durability.ACKNOWLEDGED, Durability.DELAYED
ID = bytes(range(8))


def perform(disk: Disk, operations: Iterable[Operation]) -> int:
    return sum(disk.perform(operation) for operation in operations)


def run(disk: Disk, store: Store, now: float = 1e9) -> None:
    while (job := store.next_job(now)) is not None:
        store.complete_job(job.number, JobResult(None, perform(disk, job.operations)))


def write(
    path: Path, records: int, *, policy: WritePolicy | None = None, close: bool = True, snapshot: int = 0
) -> Store:
    """A directory with so many records; a snapshot after one of them."""
    disk = Disk(path, lock=True)
    found = recover_disk(disk, "n0")
    store = Store(found, 0.0, policy)
    for number in range(1, records + 1):
        store.append(b"record %d" % number, SURE, 0.0)
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


def payloads(found: RecoveredState) -> list[bytes]:
    return [r.payload for r in found.records]


# ---------------------------------------------------------------- power losses


def test_every_state_that_a_power_loss_may_leave_is_recovered_from() -> None:
    tally = play(2, flip_step=101, records=24)
    assert not tally.breaches, tally.stories
    assert sum(tally.states.values()) > 3_000
    kinds = {"torn", "a sector missing", "later without earlier", "names without data", "a bit flipped"}
    assert kinds <= set(tally.states) and any(kind.startswith("in recovery") for kind in tally.states)


@pytest.mark.parametrize("name", FAULTS)
def test_a_store_that_is_broken_on_purpose_is_found(name: str) -> None:
    seeds, tally = play_broken(name, seeds=3, records=16)
    assert tally.breaches, f"{name}: not found on {seeds} seeds"


# ---------------------------------------------------------------- the core


def test_records_that_wait_share_one_fsync() -> None:
    found = recover([], lambda name: b"", "n0", ID)
    store = Store(found, 0.0)
    first = store.append(b"a", SURE, 0.0)
    job = store.next_job(0.0)
    assert job is not None and first == 1
    for number in range(2, 12):
        assert store.append(b"b", SURE, 1.0) == number
    assert store.next_job(1.0) is None and store.next_job_at() == float("inf")  # one job at a time
    store.complete_job(job.number, JobResult())
    assert store.durable_sequence == 1
    job = store.next_job(2.0)
    assert (
        job is not None and sum(isinstance(o, Sync) for o in job.operations) == 1 and job.last_sequence == 11
    )


def test_what_need_not_be_acknowledged_waits_for_company_and_for_its_budget() -> None:
    found = recover([], lambda name: b"", "n0", ID)
    store = Store(found, 0.0, WritePolicy(max_delay_ms=200.0, bytes_per_s=1000.0, burst_bytes=100.0))
    store.append(bytes(600), DELAYED, 10.0)
    assert store.next_job_at() == 210.0 and store.next_job(209.0) is None
    job = store.next_job(210.0)
    assert job is not None
    store.complete_job(job.number, JobResult())
    store.append(bytes(10), DELAYED, 211.0)
    assert 700.0 < store.next_job_at() < 800.0  # half a second's bytes were overdrawn
    store.append(b"x", SURE, 300.0)
    assert store.next_job(300.0) is not None  # that never waits


def test_after_an_error_of_the_disk_nothing_more_is_written() -> None:
    found = recover([], lambda name: b"", "n0", ID)
    store = Store(found, 0.0)
    store.append(b"a", SURE, 0.0)
    job = store.next_job(0.0)
    assert job is not None
    store.complete_job(job.number, JobResult("fsync of log: the disk reports an input/output error"))
    assert store.durable_sequence == 0 and store.next_job(1e9) is None and store.next_job_at() == float("inf")
    with pytest.raises(StoreError, match="writing has stopped: fsync of log"):
        store.append(b"b", SURE, 1.0)


def test_snapshots_let_old_logs_go_and_leave_one_that_may_stand_in(tmp_path: Path) -> None:
    disk = Disk(tmp_path / "s", lock=True)
    found = recover_disk(disk, "n0")
    store = Store(found, 0.0)
    for number in range(1, 41):
        store.append(b"%d" % number, SURE, 0.0)
        if number % 10 == 0:
            store.write_snapshot([b"%d" % number])
        run(disk, store)
    kept = sorted(n for n in disk.names() if n.startswith(("log", "snapshot")))
    assert kept == [log_file_name(31), log_file_name(41), snapshot_file_name(30), snapshot_file_name(40)]
    disk.close()
    found = inspect_store(tmp_path / "s")
    assert (found.snapshot, found.records, found.next_sequence) == ([b"40"], [], 41)


# ---------------------------------------------------------------- damage


def test_a_torn_end_is_cut_and_told(tmp_path: Path) -> None:
    write(tmp_path / "s", 5, close=False)
    log = tmp_path / "s" / log_file_name(1)
    log.write_bytes(log.read_bytes() + b"\xa7R\x00garbage")
    found = inspect_store(tmp_path / "s")
    assert payloads(found)[-1] == b"record 5" and "torn tail of 10 bytes" in found.notes[0]
    disk = Disk(tmp_path / "s", lock=True)
    recover_disk(disk, "n0")
    disk.close()
    assert inspect_store(tmp_path / "s").notes == []


def test_damage_in_the_middle_names_file_and_byte_and_drops_nothing(tmp_path: Path) -> None:
    write(tmp_path / "s", 9)
    log = tmp_path / "s" / log_file_name(1)
    data = bytearray(log.read_bytes())
    at = data.index(b"record 4")
    data[at] ^= 1
    log.write_bytes(data)
    with pytest.raises(CorruptionError, match=f"{log_file_name(1)} is damaged at byte {at - 27}: record 4 "):
        inspect_store(tmp_path / "s")
    assert log.read_bytes() == data


def test_a_damaged_snapshot_is_an_error_that_offers_the_one_before(tmp_path: Path) -> None:
    write(tmp_path / "s", 4, snapshot=2, close=False)
    disk = Disk(tmp_path / "s", lock=True)
    found = recover_disk(disk, "n0")
    store = Store(found, 0.0)
    store.append(b"record 5", SURE, 0.0)
    store.write_snapshot([b"newer"])
    run(disk, store)
    disk.close()
    newest = tmp_path / "s" / snapshot_file_name(5)
    newest.write_bytes(newest.read_bytes()[:-3])
    with pytest.raises(
        CorruptionError, match=f"{snapshot_file_name(2)} is whole: `crowpost state repair` goes back"
    ):
        inspect_store(tmp_path / "s")
    saved = copy_and_repair(tmp_path / "s", tmp_path / "copy")
    assert (
        saved.snapshot_sequence == 2
        and saved.last_sequence == 5
        and snapshot_file_name(5) in saved.dropped[0]
    )
    assert sorted(p.name for p in (tmp_path / "copy").iterdir()) == sorted(
        p.name for p in (tmp_path / "s").iterdir()
    )
    mended = inspect_store(tmp_path / "copy-repaired")
    assert mended.snapshot == [b"state", b"2"]
    assert payloads(mended) == [b"record 3", b"record 4", b"record 5"]
    assert newest.exists()  # the directory itself is as it was


def test_repair_lists_what_it_drops(tmp_path: Path) -> None:
    write(tmp_path / "s", 9)
    log = tmp_path / "s" / log_file_name(1)
    data = bytearray(log.read_bytes())
    data[data.index(b"record 4")] ^= 1
    log.write_bytes(data)
    (tmp_path / "s" / STORE_FILE).write_bytes(b"gone")
    with pytest.raises(StoreError, match="name its owner"):
        salvage([p.name for p in (tmp_path / "s").iterdir()], lambda n: (tmp_path / "s" / n).read_bytes())
    saved = copy_and_repair(tmp_path / "s", tmp_path / "copy", "n0")
    assert saved.last_sequence == 3 and any(
        "valid records 5 to 9 among them" in line for line in saved.dropped
    )
    assert payloads(inspect_store(tmp_path / "copy-repaired", "n0")) == [
        b"record 1",
        b"record 2",
        b"record 3",
    ]
    told = verify([p.name for p in (tmp_path / "s").iterdir()], lambda n: (tmp_path / "s" / n).read_bytes())
    assert told.refusal.startswith("store is damaged")


def test_verify_reads_every_file(tmp_path: Path) -> None:
    write(tmp_path / "s", 6, snapshot=3)
    told = verify([p.name for p in (tmp_path / "s").iterdir()], lambda n: (tmp_path / "s" / n).read_bytes())
    assert not told.refusal and told.owner == "n0" and [f.damage for f in told.files] == [""] * 3
    assert [(f.first_sequence, f.last_sequence) for f in told.files if f.name.startswith("log")] == [
        (1, 3),
        (4, 6),
    ]


def test_a_log_that_was_removed_is_missed(tmp_path: Path) -> None:
    write(tmp_path / "s", 30, policy=WritePolicy(segment_bytes=300))
    logs = sorted((tmp_path / "s").glob("log-*"))
    logs[1].unlink()
    with pytest.raises(StoreError, match=r"the log lacks records \d+ to \d+, before log-"):
        inspect_store(tmp_path / "s")


def test_a_file_of_another_store_is_refused(tmp_path: Path) -> None:
    write(tmp_path / "a", 3)
    write(tmp_path / "b", 3)
    (tmp_path / "a" / log_file_name(1)).write_bytes((tmp_path / "b" / log_file_name(1)).read_bytes())
    with pytest.raises(CorruptionError, match="another store or file"):
        inspect_store(tmp_path / "a")


# ---------------------------------------------------------------- formats, owners and locks


def _format_1(path: Path, records: list[bytes], snapshot: list[bytes] | None = None) -> None:
    """A directory as the format before wrote it: frames that do not say what was synced, and no seals."""
    path.mkdir()
    base = 0
    if snapshot is not None:
        base = 10
        header = Header(FileKind.SNAPSHOT, ID, base, 1)
        codec = FrameCodec(header)
        pieces = [codec.encode(FrameKind.SNAPSHOT_PIECE, i, 0, piece) for i, piece in enumerate(snapshot)]
        pieces.append(codec.encode(FrameKind.SNAPSHOT_END, len(snapshot), 0))
        (path / "snapshot-00000000000000000010.1").write_bytes(header.encode() + b"".join(pieces))
    header = Header(FileKind.LOG, ID, base + 1, 1)
    codec = FrameCodec(header)
    frames = [codec.encode(FrameKind.RECORD, base + 1 + i, 0, data) for i, data in enumerate(records)]
    (path / f"log-{base + 1:020d}.1").write_bytes(header.encode() + b"".join(frames))
    (path / STORE_FILE).write_bytes(StoreFile("n0", ID, 1).encode())


def test_a_log_of_the_format_before_that_never_got_its_head_is_removed_once(tmp_path: Path) -> None:
    _format_1(tmp_path / "s", [b"a"])
    (tmp_path / "s" / f"log-{2:020d}.1").write_bytes(b"")
    disk = Disk(tmp_path / "s", lock=True)
    recover_disk(disk, "n0")
    disk.close()
    assert payloads(inspect_store(tmp_path / "s")) == [b"a"] and not list((tmp_path / "s").glob("*.1"))


@pytest.mark.parametrize("snapshot", [None, [b"state"]])
def test_the_format_before_is_migrated(tmp_path: Path, snapshot: list[bytes] | None) -> None:
    _format_1(tmp_path / "s", [b"a", b"b"], snapshot)
    disk = Disk(tmp_path / "s", lock=True)
    found = recover_disk(disk, "n0")
    assert found.notes == ["migrated from format 1 to 2"]
    store = Store(found, 0.0)
    store.append(b"c", SURE, 0.0)
    run(disk, store)
    disk.close()
    assert not list((tmp_path / "s").glob("*.1"))
    found = inspect_store(tmp_path / "s", "n0")
    assert found.snapshot == (snapshot or []) and payloads(found) == [b"a", b"b", b"c"]


def test_a_migration_that_is_cut_off_anywhere_is_begun_again(tmp_path: Path) -> None:
    _format_1(tmp_path / "probe", [b"a"], [b"state"])
    steps = len(recover(*_listing(tmp_path / "probe"), "n0", ID).repairs)
    for cut in range(steps):
        path = tmp_path / f"s{cut}"
        _format_1(path, [b"a"], [b"state"])
        disk = Disk(path, lock=True)
        perform(disk, recover(disk.names(), disk.read, "n0", ID).repairs[:cut])
        disk.close()
        disk = Disk(path, lock=True)
        recover_disk(disk, "n0")
        disk.close()
        found = inspect_store(path)
        assert (found.snapshot, payloads(found), found.next_sequence) == ([b"state"], [b"a"], 12)
    assert steps > 8


def _listing(path: Path) -> tuple[list[str], FileReader]:
    return [p.name for p in path.iterdir()], lambda name: (path / name).read_bytes()


def test_a_newer_format_and_another_owner_are_one_clear_line(tmp_path: Path) -> None:
    write(tmp_path / "s", 1)
    with pytest.raises(StoreError, match="the directory belongs to 'n0', not to 'n1'"):
        inspect_store(tmp_path / "s", "n1")
    (tmp_path / "s" / STORE_FILE).write_bytes(StoreFile("n0", ID, 3).encode())
    with pytest.raises(StoreError, match="format 3 is newer than 2"):
        inspect_store(tmp_path / "s")


def test_only_one_process_has_a_directory(tmp_path: Path) -> None:
    disk = Disk(tmp_path / "s", lock=True)
    with pytest.raises(DirectoryLockedError, match="another process has this state directory"):
        Disk(tmp_path / "s", lock=True)
    disk.close()
    Disk(tmp_path / "s", lock=True).close()


def test_a_directory_that_cannot_be_used_is_one_line(tmp_path: Path) -> None:
    with pytest.raises(StoreError, match="No such file or directory"):
        Disk(tmp_path / "none" / "s", lock=True)
    (tmp_path / "file").write_text("")
    with pytest.raises(StoreError, match="file: "):
        Disk(tmp_path / "file", lock=True)


# ---------------------------------------------------------------- on a real disk


def test_a_full_disk_stops_the_writing_and_says_so(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    def full(descriptor: int, data: memoryview) -> int:
        raise OSError(errno.ENOSPC, "no space left")

    async def play_it() -> str:
        runner = StoreRunner(open_store(tmp_path / "s", "n0"))
        sequence = runner.append(b"kept", SURE)
        await runner.wait_durable(sequence)
        with monkeypatch.context() as patch:
            patch.setattr("crowpost.storage.disk.os.write", full)
            with pytest.raises(StoreError, match="writing has stopped: append of .*: the disk is full"):
                await runner.wait_durable(runner.append(b"lost", SURE))
        with pytest.raises(StoreError, match="writing has stopped"):
            runner.append(b"later", SURE)
        await runner.close()
        return runner.store.failure

    assert "the disk is full" in asyncio.run(play_it())
    assert payloads(inspect_store(tmp_path / "s")) == [b"kept"]


def test_a_failed_fsync_is_not_asked_again(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    asked = 0

    def fails(descriptor: int) -> None:
        nonlocal asked
        asked += 1
        raise OSError(errno.EIO, "input/output error")

    async def play_it() -> None:
        runner = StoreRunner(open_store(tmp_path / "s", "n0"))
        monkeypatch.setattr("crowpost.storage.disk.os.fsync", fails)
        with pytest.raises(StoreError, match="the disk reports an input/output error"):
            await runner.wait_durable(runner.append(b"lost", SURE))
        await runner.close()

    asyncio.run(play_it())
    assert asked == 1


def test_acknowledged_records_survive_kills_of_a_process_at_work(tmp_path: Path) -> None:
    done = subprocess.run(
        [
            sys.executable,
            "-m",
            "crowpost.lab.crash_consistency.kills",
            str(tmp_path),
            "--kills",
            "24",
            "--jobs",
            "4",
        ],
        capture_output=True,
        text=True,
        timeout=120,
    )
    assert done.returncode == 0, done.stdout + done.stderr
    assert '"kills": 24' in done.stdout


def test_a_rename_of_recovery_comes_after_its_fsync(tmp_path: Path) -> None:
    write(tmp_path / "s", 2, close=False)
    repairs = recover(*_listing(tmp_path / "s"), "n0", ID).repairs
    renamed = next(i for i, o in enumerate(repairs) if isinstance(o, Rename))
    assert isinstance(repairs[renamed - 1], Sync)
