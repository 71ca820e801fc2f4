"""Migration from the previous format version."""

from __future__ import annotations

from pathlib import Path

import pytest

from crowpost.storage.core import Store
from crowpost.storage.disk import Disk
from crowpost.storage.recovery import recover
from crowpost.storage.runner import inspect_store, recover_disk
from tests.storage.helpers import (
    ACKNOWLEDGED,
    ID,
    listing,
    payloads,
    perform,
    run,
    write_format_1,
)


def test_an_unfinished_segment_of_the_old_format_is_removed_once(tmp_path: Path) -> None:
    write_format_1(tmp_path / "s", [b"a"])
    (tmp_path / "s" / f"log-{2:020d}.1").write_bytes(b"")
    disk = Disk(tmp_path / "s", lock=True)
    recover_disk(disk, "n0")
    disk.close()
    assert payloads(inspect_store(tmp_path / "s")) == [b"a"] and not list((tmp_path / "s").glob("*.1"))


@pytest.mark.parametrize("snapshot", [None, [b"state"]])
def test_the_old_format_is_migrated(tmp_path: Path, snapshot: list[bytes] | None) -> None:
    write_format_1(tmp_path / "s", [b"a", b"b"], snapshot)
    disk = Disk(tmp_path / "s", lock=True)
    recovered = recover_disk(disk, "n0")
    assert recovered.notes == ["migrated from format 1 to 2"]
    store = Store(recovered, 0.0)
    store.append(b"c", ACKNOWLEDGED, 0.0)
    run(disk, store)
    disk.close()
    assert not list((tmp_path / "s").glob("*.1"))
    recovered = inspect_store(tmp_path / "s", "n0")
    assert recovered.snapshot == (snapshot or []) and payloads(recovered) == [b"a", b"b", b"c"]


def test_a_migration_interrupted_at_any_step_is_restarted(tmp_path: Path) -> None:
    write_format_1(tmp_path / "probe", [b"a"], [b"state"])
    steps = len(recover(*listing(tmp_path / "probe"), "n0", ID).repairs)
    for cut in range(steps):
        path = tmp_path / f"s{cut}"
        write_format_1(path, [b"a"], [b"state"])
        disk = Disk(path, lock=True)
        perform(disk, recover(disk.names(), disk.read, "n0", ID).repairs[:cut])
        disk.close()
        disk = Disk(path, lock=True)
        recover_disk(disk, "n0")
        disk.close()
        recovered = inspect_store(path)
        assert (recovered.snapshot, payloads(recovered), recovered.next_sequence) == ([b"state"], [b"a"], 12)
    assert steps > 8
