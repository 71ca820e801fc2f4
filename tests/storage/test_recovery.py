"""Recovery of directories after a crash, a disk error or a mistake of an operator."""

from __future__ import annotations

from pathlib import Path

import pytest

from crowpost.storage.disk import Disk
from crowpost.storage.errors import CorruptionError, StoreError
from crowpost.storage.file_format import (
    STORE_FILE,
    StoreFile,
    log_file_name,
)
from crowpost.storage.operations import Rename, Sync
from crowpost.storage.recovery import recover
from crowpost.storage.runner import inspect_store, recover_disk
from crowpost.storage.write_policy import WritePolicy
from tests.storage.helpers import (
    ID,
    listing,
    payloads,
    write,
)


def test_a_torn_tail_is_truncated_and_noted(tmp_path: Path) -> None:
    write(tmp_path / "s", 5, close=False)
    log = tmp_path / "s" / log_file_name(1)
    log.write_bytes(log.read_bytes() + b"\xa7R\x00garbage")
    recovered = inspect_store(tmp_path / "s")
    assert payloads(recovered)[-1] == b"record 5" and "torn tail of 10 bytes" in recovered.notes[0]
    disk = Disk(tmp_path / "s", lock=True)
    recover_disk(disk, "n0")
    disk.close()
    assert inspect_store(tmp_path / "s").notes == []


def test_corruption_names_file_and_byte_and_drops_nothing(tmp_path: Path) -> None:
    write(tmp_path / "s", 9)
    log = tmp_path / "s" / log_file_name(1)
    data = bytearray(log.read_bytes())
    at = data.index(b"record 4")
    data[at] ^= 1
    log.write_bytes(data)
    with pytest.raises(CorruptionError, match=f"{log_file_name(1)} is damaged at byte {at - 27}: record 4 "):
        inspect_store(tmp_path / "s")
    assert log.read_bytes() == data


def test_a_removed_segment_is_an_error(tmp_path: Path) -> None:
    write(tmp_path / "s", 30, policy=WritePolicy(segment_bytes=300))
    logs = sorted((tmp_path / "s").glob("log-*"))
    logs[1].unlink()
    with pytest.raises(StoreError, match=r"the log lacks records \d+ to \d+, before log-"):
        inspect_store(tmp_path / "s")


def test_a_file_of_another_store_is_rejected(tmp_path: Path) -> None:
    write(tmp_path / "a", 3)
    write(tmp_path / "b", 3)
    (tmp_path / "a" / log_file_name(1)).write_bytes((tmp_path / "b" / log_file_name(1)).read_bytes())
    with pytest.raises(CorruptionError, match="another store or file"):
        inspect_store(tmp_path / "a")


def test_a_newer_format_and_another_owner_are_errors_of_one_line(tmp_path: Path) -> None:
    write(tmp_path / "s", 1)
    with pytest.raises(StoreError, match="the directory belongs to 'n0', not to 'n1'"):
        inspect_store(tmp_path / "s", "n1")
    (tmp_path / "s" / STORE_FILE).write_bytes(StoreFile("n0", ID, 3).encode())
    with pytest.raises(StoreError, match="format 3 is newer than 2"):
        inspect_store(tmp_path / "s")


def test_recovery_renames_a_file_only_after_its_fsync(tmp_path: Path) -> None:
    write(tmp_path / "s", 2, close=False)
    repairs = recover(*listing(tmp_path / "s"), "n0", ID).repairs
    renamed = next(index for index, operation in enumerate(repairs) if isinstance(operation, Rename))
    assert isinstance(repairs[renamed - 1], Sync)
