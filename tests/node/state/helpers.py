"""Helpers for the tests of the stored state of a node."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import msgpack

from crowpost.decision_api import RememberedEndpoint
from crowpost.storage.config import StateConfig
from crowpost.storage.core import Store
from crowpost.storage.disk import Disk
from crowpost.storage.model import Durability
from crowpost.storage.runner import execute_job, recover_disk
from tests.node.stubs import WAIT_TIMEOUT_S


def remembered(number: int, ratio: float, average: float = 20.0, **more: Any) -> RememberedEndpoint:
    return RememberedEndpoint(bytes([number]), more.pop("started", 5.0), ratio, average, **more)


def config(path: Path, **more: Any) -> StateConfig:
    return StateConfig(path / "state", "n0", write_interval_ms=50.0, **more)


def write_malformed_list(path: Path) -> None:
    """Create a store of n0 whose second record is a list with an endpoint that lacks its lifecycle."""
    _write_records(path, ("drain", False), ("list", True, 7, [{"instanceId": "a"}], False))


def write_change_without_list(path: Path, lifecycle: str) -> None:
    """Create a store of n0 that holds a change to a list, but not the list."""
    entry = {"instanceId": "s", "hostPort": "127.0.0.1:1", "lifecycle": lifecycle}
    _write_records(path, ("list", False, 42, [entry], False))


def _write_records(path: Path, *records: tuple[Any, ...]) -> None:
    disk = Disk(path, lock=True)
    try:
        store = Store(recover_disk(disk, "n0"), 0.0)
        for record in records:
            store.append(msgpack.packb(record), Durability.ACKNOWLEDGED, 0.0)
        job = store.next_job(0.0)
        assert job is not None and execute_job(disk, job).error is None
    finally:
        disk.close()


async def until(condition: Any) -> None:
    async def wait() -> None:
        while not condition():
            await asyncio.sleep(0.01)

    await asyncio.wait_for(wait(), WAIT_TIMEOUT_S)
