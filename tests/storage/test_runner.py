"""The runner on a real disk that reports errors."""

from __future__ import annotations

import asyncio
import errno
from pathlib import Path

import pytest

from crowpost.storage.errors import StoreError
from crowpost.storage.runner import StoreRunner, inspect_store, open_store
from tests.storage.helpers import (
    ACKNOWLEDGED,
    payloads,
)


def test_a_full_disk_stops_writing_with_a_reason(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    def full(descriptor: int, data: memoryview) -> int:
        raise OSError(errno.ENOSPC, "no space left")

    async def scenario() -> str:
        runner = StoreRunner(open_store(tmp_path / "s", "n0"))
        sequence = runner.append(b"kept", ACKNOWLEDGED)
        await runner.wait_durable(sequence)
        with monkeypatch.context() as patch:
            patch.setattr("crowpost.storage.disk.os.write", full)
            with pytest.raises(StoreError, match="writing has stopped: append of .*: the disk is full"):
                await runner.wait_durable(runner.append(b"lost", ACKNOWLEDGED))
        with pytest.raises(StoreError, match="writing has stopped"):
            runner.append(b"later", ACKNOWLEDGED)
        await runner.close()
        return runner.store.failure

    assert "the disk is full" in asyncio.run(scenario())
    assert payloads(inspect_store(tmp_path / "s")) == [b"kept"]


def test_a_failed_fsync_is_not_repeated(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    asked = 0

    def fails(descriptor: int) -> None:
        nonlocal asked
        asked += 1
        raise OSError(errno.EIO, "input/output error")

    async def scenario() -> None:
        runner = StoreRunner(open_store(tmp_path / "s", "n0"))
        monkeypatch.setattr("crowpost.storage.disk.os.fsync", fails)
        with pytest.raises(StoreError, match="the disk reports an input/output error"):
            await runner.wait_durable(runner.append(b"lost", ACKNOWLEDGED))
        await runner.close()

    asyncio.run(scenario())
    assert asked == 1
