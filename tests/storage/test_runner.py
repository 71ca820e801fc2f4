"""The runner, with error codes from the operating system."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Iterator
from pathlib import Path

import pytest

from crowpost.storage.core import Store
from crowpost.storage.errors import StoreError
from crowpost.storage.file_format import TEMPORARY_SUFFIX, snapshot_file_name
from crowpost.storage.operations import JobResult
from crowpost.storage.runner import StoreRunner, execute_job, inspect_store, open_store
from tests.storage.helpers import ACKNOWLEDGED, payloads


def test_a_full_disk_stops_writing_with_a_reason(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    def raise_no_space(descriptor: int, data: memoryview) -> int:
        raise OSError(errno.ENOSPC, "no space left")

    async def scenario() -> str:
        runner = StoreRunner(open_store(tmp_path / "s", "n0"))
        sequence = runner.append(b"kept", ACKNOWLEDGED)
        await runner.wait_durable(sequence)
        with monkeypatch.context() as patch:
            patch.setattr("crowpost.storage.disk.os.write", raise_no_space)
            with pytest.raises(StoreError, match="writing has stopped: append of .*: the disk is full"):
                await runner.wait_durable(runner.append(b"lost", ACKNOWLEDGED))
        with pytest.raises(StoreError, match="writing has stopped"):
            runner.append(b"later", ACKNOWLEDGED)
        await runner.close()
        return runner.store.failure

    assert "the disk is full" in asyncio.run(scenario())
    assert payloads(inspect_store(tmp_path / "s")) == [b"kept"]


def test_a_failed_fsync_is_not_repeated(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    fsync_calls = 0

    def raise_error(descriptor: int) -> None:
        nonlocal fsync_calls
        fsync_calls += 1
        raise OSError(errno.EIO, "input/output error")

    async def scenario() -> None:
        runner = StoreRunner(open_store(tmp_path / "s", "n0"))
        monkeypatch.setattr("crowpost.storage.disk.os.fsync", raise_error)
        with pytest.raises(StoreError, match="the disk reports an input/output error"):
            await runner.wait_durable(runner.append(b"lost", ACKNOWLEDGED))
        await runner.close()

    asyncio.run(scenario())
    assert fsync_calls == 1


@pytest.mark.parametrize(
    ("call", "text"),
    [
        ("fsync", "fsync of .*/log-00000000000000000001.2: the disk is read-only"),
        ("rename", "rename of .*/store.new: the disk is read-only"),
        ("open", "the disk is read-only"),
    ],
)
def test_a_failed_repair_names_operation_and_file(
    call: str, text: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def raise_error(*arguments: object) -> None:
        raise OSError(errno.EROFS, "read-only")

    monkeypatch.setattr(f"crowpost.storage.disk.os.{call}", raise_error)
    with pytest.raises(StoreError, match=text):
        open_store(tmp_path / "s", "n0")


def test_a_failing_generator_of_pieces_is_reported_as_the_result_of_the_job(tmp_path: Path) -> None:
    def pieces() -> Iterator[bytes]:
        yield b"first"
        raise ValueError("no second piece")

    opened = open_store(tmp_path / "s", "n0")
    store = Store(opened.recovered, 0.0)
    store.append(b"a", ACKNOWLEDGED, 0.0)
    store.write_snapshot(pieces())
    job = store.next_job(0.0)
    assert job is not None
    result = execute_job(opened.disk, job)
    opened.disk.close()
    file = f"{snapshot_file_name(1)}{TEMPORARY_SUFFIX}"
    text = f"generated append of {tmp_path / 's' / file}: ValueError('no second piece')"
    assert result == JobResult(text, generated_bytes=0)
