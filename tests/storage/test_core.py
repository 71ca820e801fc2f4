"""The write path of a store, without I/O."""

from __future__ import annotations

from pathlib import Path

import pytest

from crowpost.storage.core import Store
from crowpost.storage.disk import Disk
from crowpost.storage.errors import StoreError
from crowpost.storage.file_format import (
    log_file_name,
    snapshot_file_name,
)
from crowpost.storage.operations import JobResult, Sync
from crowpost.storage.recovery import recover
from crowpost.storage.runner import inspect_store, recover_disk
from crowpost.storage.write_policy import WritePolicy
from tests.storage.helpers import (
    ACKNOWLEDGED,
    DELAYED,
    ID,
    run,
)


def test_waiting_records_share_one_fsync() -> None:
    recovered = recover([], lambda name: b"", "n0", ID)
    store = Store(recovered, 0.0)
    first = store.append(b"a", ACKNOWLEDGED, 0.0)
    job = store.next_job(0.0)
    assert job is not None and first == 1
    for number in range(2, 12):
        assert store.append(b"b", ACKNOWLEDGED, 1.0) == number
    assert store.next_job(1.0) is None and store.next_job_at() == float("inf")  # there is one job at a time
    store.complete_job(job.number, JobResult())
    assert store.durable_sequence == 1
    job = store.next_job(2.0)
    assert (
        job is not None
        and sum(isinstance(operation, Sync) for operation in job.operations) == 1
        and job.last_sequence == 11
    )


def test_delayed_records_wait_for_others_and_for_the_write_budget() -> None:
    recovered = recover([], lambda name: b"", "n0", ID)
    store = Store(recovered, 0.0, WritePolicy(max_delay_ms=200.0, bytes_per_s=1000.0, burst_bytes=100.0))
    store.append(bytes(600), DELAYED, 10.0)
    assert store.next_job_at() == 210.0 and store.next_job(209.0) is None
    job = store.next_job(210.0)
    assert job is not None
    store.complete_job(job.number, JobResult())
    store.append(bytes(10), DELAYED, 211.0)
    assert 700.0 < store.next_job_at() < 800.0  # the budget of half a second was overdrawn
    store.append(b"x", ACKNOWLEDGED, 300.0)
    assert store.next_job(300.0) is not None  # an acknowledged record does not wait for the budget


def test_after_a_disk_error_nothing_more_is_written() -> None:
    recovered = recover([], lambda name: b"", "n0", ID)
    store = Store(recovered, 0.0)
    store.append(b"a", ACKNOWLEDGED, 0.0)
    job = store.next_job(0.0)
    assert job is not None
    store.complete_job(job.number, JobResult("fsync of log: the disk reports an input/output error"))
    assert store.durable_sequence == 0 and store.next_job(1e9) is None and store.next_job_at() == float("inf")
    with pytest.raises(StoreError, match="writing has stopped: fsync of log"):
        store.append(b"b", ACKNOWLEDGED, 1.0)


def test_compaction_removes_old_segments_and_retains_two_snapshots(tmp_path: Path) -> None:
    disk = Disk(tmp_path / "s", lock=True)
    recovered = recover_disk(disk, "n0")
    store = Store(recovered, 0.0)
    for number in range(1, 41):
        store.append(b"%d" % number, ACKNOWLEDGED, 0.0)
        if number % 10 == 0:
            store.write_snapshot([b"%d" % number])
        run(disk, store)
    retained = sorted(name for name in disk.names() if name.startswith(("log", "snapshot")))
    assert retained == [log_file_name(31), log_file_name(41), snapshot_file_name(30), snapshot_file_name(40)]
    disk.close()
    recovered = inspect_store(tmp_path / "s")
    assert (recovered.snapshot, recovered.records, recovered.next_sequence) == ([b"40"], [], 41)
