"""What the store costs on a real disk."""

from __future__ import annotations

import os
import shutil
import time
from pathlib import Path
from typing import Any

from crowpost.decision_api import RememberedEndpoint
from crowpost.node.state.node_state import NodeState, read_node_state
from crowpost.node.state.records import EndpointListPart, LearnedEndpoints
from crowpost.storage.core import Store
from crowpost.storage.disk import Disk, describe_os_error
from crowpost.storage.errors import StoreError
from crowpost.storage.model import Durability
from crowpost.storage.runner import execute_job, open_store
from crowpost.storage.write_policy import WritePolicy

RECORD = 256  # bytes
LONG_LOG = 100_000_000  # bytes
SERVERS = 10_000
SPAN_S = 1.5  # that each rate is measured over
POLICY = WritePolicy(bytes_per_s=1e12, burst_bytes=1e12)


def measure(directory: Path) -> list[dict[str, Any]]:
    """Rows of what, figure and unit; StoreError where the directory cannot be made.  It is removed again."""
    try:
        directory.mkdir()
    except OSError as error:
        raise StoreError(f"{directory}: {describe_os_error(error)}") from None
    rows: list[dict[str, Any]] = []

    def row(what: str, figure: float, unit: str) -> None:
        rows.append({"what": what, "figure": figure, "unit": unit})

    try:
        for batch in (1, 10, 100):
            row(
                f"appends with an fsync for each {batch}",
                _appends(directory / f"a{batch}", batch),
                "a second",
            )
            row(f"the raw file, an fsync for each {batch}", _raw(directory / f"r{batch}", batch), "a second")
        size, opening = _long_log(directory / "long")
        row("a long log", size / 1e6, "MB")
        row("opening it", opening, "s")
        for what, figure, unit in _snapshot(directory / "snapshot"):
            row(what, figure, unit)
    finally:
        shutil.rmtree(directory)
    return rows


def _execute_jobs(disk: Disk, store: Store) -> None:
    while (job := store.next_job(time.monotonic() * 1000.0)) is not None:
        result = execute_job(disk, job)
        store.complete_job(job.number, result)
        store.require_no_failure()


def _appends(path: Path, batch: int) -> float:
    opened = open_store(path, "speed")
    store, data, count = Store(opened.recovered, 0.0, POLICY), bytes(RECORD), 0
    began = time.perf_counter()
    while time.perf_counter() - began < SPAN_S:
        for _ in range(batch):
            store.append(data, Durability.ACKNOWLEDGED, 0.0)
        _execute_jobs(opened.disk, store)
        count += batch
    rate = count / (time.perf_counter() - began)
    opened.disk.close()
    return rate


def _raw(path: Path, batch: int) -> float:
    data, count = bytes(RECORD) * batch, 0
    with path.open("wb", buffering=0) as file:
        began = time.perf_counter()
        while time.perf_counter() - began < SPAN_S:
            file.write(data)
            os.fsync(file.fileno())
            count += batch
        return count / (time.perf_counter() - began)


def _long_log(path: Path) -> tuple[int, float]:
    opened = open_store(path, "speed")
    store, data = Store(opened.recovered, 0.0, POLICY), bytes(10 * RECORD)
    while store.counters.bytes < LONG_LOG:
        for _ in range(500):
            store.append(data, Durability.DELAYED, 0.0)
        _execute_jobs(opened.disk, store)
    opened.disk.close()
    began = time.perf_counter()
    opened = open_store(path, "speed")
    took = time.perf_counter() - began
    opened.disk.close()
    return store.counters.bytes, took


def _snapshot(path: Path) -> list[tuple[str, float, str]]:
    state = NodeState()
    instances = [
        {
            "instanceId": f"s-{i:08x}",
            "hostPort": f"10.0.{i // 250}.{i % 250}:8080",
            "zone": "a",
            "lifecycle": "SERVING",
            "machineType": "m",
            "cell": i % 20,
            "weight": 1.0,
            "startedAtMs": 1_700_000_000_000 + i,
        }
        for i in range(SERVERS)
    ]
    state.apply(EndpointListPart(True, 1, instances))
    state.apply(
        LearnedEndpoints(1.0, [RememberedEndpoint(str(i).encode(), 1.0, 1.0, 20.0) for i in range(SERVERS)])
    )
    opened = open_store(path, "speed")
    store = Store(opened.recovered, 0.0, POLICY)
    store.append(b"\x00", Durability.DELAYED, 0.0)
    began = time.perf_counter()
    pieces = state.snapshot_pieces()
    copied = time.perf_counter() - began
    store.write_snapshot(pieces)
    _execute_jobs(opened.disk, store)
    took = time.perf_counter() - began
    size = store.counters.bytes - store.counters.log_bytes
    opened.disk.close()
    began = time.perf_counter()
    opened = open_store(path, "speed")
    read_node_state(opened.recovered)
    back = time.perf_counter() - began
    opened.disk.close()
    return [
        (f"a snapshot of {SERVERS} servers", took * 1000.0, "ms"),
        ("of which the loop is held", copied * 1000.0, "ms"),
        ("its size", size / 1e6, "MB"),
        ("reading it back", back * 1000.0, "ms"),
    ]
