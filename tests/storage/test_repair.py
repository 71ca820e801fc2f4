"""Verification and repair of a directory that recovery rejects."""

from __future__ import annotations

from pathlib import Path

import pytest

from crowpost.storage.core import Store
from crowpost.storage.disk import Disk
from crowpost.storage.errors import CorruptionError, StoreError
from crowpost.storage.file_format import (
    STORE_FILE,
    log_file_name,
    snapshot_file_name,
)
from crowpost.storage.repair import copy_and_repair, salvage
from crowpost.storage.runner import inspect_store, recover_disk
from crowpost.storage.verification import verify
from tests.storage.helpers import (
    ACKNOWLEDGED,
    payloads,
    run,
    write,
)


def test_a_corrupt_snapshot_is_an_error_that_names_the_previous_snapshot(tmp_path: Path) -> None:
    write(tmp_path / "s", 4, snapshot=2, close=False)
    disk = Disk(tmp_path / "s", lock=True)
    recovered = recover_disk(disk, "n0")
    store = Store(recovered, 0.0)
    store.append(b"record 5", ACKNOWLEDGED, 0.0)
    store.write_snapshot([b"newer"])
    run(disk, store)
    disk.close()
    newest = tmp_path / "s" / snapshot_file_name(5)
    newest.write_bytes(newest.read_bytes()[:-3])
    with pytest.raises(
        CorruptionError, match=f"{snapshot_file_name(2)} is intact: `crowpost state repair` goes back"
    ):
        inspect_store(tmp_path / "s")
    saved = copy_and_repair(tmp_path / "s", tmp_path / "copy")
    assert (
        saved.snapshot_sequence == 2
        and saved.last_sequence == 5
        and snapshot_file_name(5) in saved.dropped[0]
    )
    assert sorted(file.name for file in (tmp_path / "copy").iterdir()) == sorted(
        file.name for file in (tmp_path / "s").iterdir()
    )
    repaired = inspect_store(tmp_path / "copy-repaired")
    assert repaired.snapshot == [b"state", b"2"]
    assert payloads(repaired) == [b"record 3", b"record 4", b"record 5"]
    assert newest.exists()  # the directory itself is unchanged


def test_repair_lists_what_it_drops(tmp_path: Path) -> None:
    write(tmp_path / "s", 9)
    log = tmp_path / "s" / log_file_name(1)
    data = bytearray(log.read_bytes())
    data[data.index(b"record 4")] ^= 1
    log.write_bytes(data)
    (tmp_path / "s" / STORE_FILE).write_bytes(b"gone")
    with pytest.raises(StoreError, match="name its owner"):
        salvage(
            [file.name for file in (tmp_path / "s").iterdir()],
            lambda name: (tmp_path / "s" / name).read_bytes(),
        )
    saved = copy_and_repair(tmp_path / "s", tmp_path / "copy", "n0")
    assert saved.last_sequence == 3 and any(
        "valid records 5 to 9 among them" in line for line in saved.dropped
    )
    assert payloads(inspect_store(tmp_path / "copy-repaired", "n0")) == [
        b"record 1",
        b"record 2",
        b"record 3",
    ]
    report = verify(
        [file.name for file in (tmp_path / "s").iterdir()], lambda name: (tmp_path / "s" / name).read_bytes()
    )
    assert report.recovery_error.startswith("store is damaged")


def test_verify_reads_every_file(tmp_path: Path) -> None:
    write(tmp_path / "s", 6, snapshot=3)
    report = verify(
        [file.name for file in (tmp_path / "s").iterdir()], lambda name: (tmp_path / "s" / name).read_bytes()
    )
    assert (
        not report.recovery_error
        and report.owner == "n0"
        and [file.damage for file in report.files] == [""] * 3
    )
    assert [
        (file.first_sequence, file.last_sequence) for file in report.files if file.name.startswith("log")
    ] == [
        (1, 3),
        (4, 6),
    ]
