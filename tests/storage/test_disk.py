"""Locking a directory on a real disk, and the errors of opening it."""

from __future__ import annotations

from pathlib import Path

import pytest

from crowpost.storage.disk import Disk
from crowpost.storage.errors import DirectoryLockedError, StoreError


def test_only_one_process_can_lock_a_directory(tmp_path: Path) -> None:
    disk = Disk(tmp_path / "s", lock=True)
    with pytest.raises(DirectoryLockedError, match="another process has this state directory"):
        Disk(tmp_path / "s", lock=True)
    disk.close()
    Disk(tmp_path / "s", lock=True).close()


def test_a_directory_that_cannot_be_used_is_an_error_of_one_line(tmp_path: Path) -> None:
    with pytest.raises(StoreError, match="No such file or directory"):
        Disk(tmp_path / "none" / "s", lock=True)
    (tmp_path / "file").write_text("")
    with pytest.raises(StoreError, match="file: "):
        Disk(tmp_path / "file", lock=True)
