"""Benchmark of a store on a real disk: appends, a long log and a large snapshot."""

from __future__ import annotations

import os
import shutil
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from crowpost.decision_api import RememberedEndpoint
from crowpost.node.state.node_state import NodeState, read_node_state
from crowpost.node.state.records import EndpointListPart, LearnedEndpoints
from crowpost.storage.core import Store
from crowpost.storage.disk import Disk, describe_os_error
from crowpost.storage.errors import StoreError
from crowpost.storage.model import Durability
from crowpost.storage.runner import OpenedStore, execute_job, open_store
from crowpost.storage.write_policy import WritePolicy

OWNER = "speed"
RECORD_BYTES = 256
LONG_LOG_BYTES = 100_000_000
LONG_LOG_BATCH = 500  # number of records
BATCHES = (1, 10, 100)  # number of records for each fsync
ENDPOINTS = 10_000
MEASURED_S = 1.5  # duration of each measured rate
POLICY = WritePolicy(bytes_per_s=1e12, burst_bytes=1e12)

Row = dict[str, Any]  # its keys what, figure and unit are those of the command's --json


def measure(directory: Path) -> list[Row]:
    """Return the results.

    The directory is created, and removed at the end.  Raise StoreError if it cannot be created.
    """
    try:
        directory.mkdir()
    except OSError as error:
        raise StoreError(f"{directory}: {describe_os_error(error)}") from error
    try:
        rows: list[Row] = []
        for batch in BATCHES:
            appends_per_s = _measure_appends(directory / f"a{batch}", batch)
            raw_appends_per_s = _measure_raw_file(directory / f"r{batch}", batch)
            rows.append(_row(f"appends with an fsync for each {batch}", appends_per_s, "a second"))
            rows.append(_row(f"the raw file, an fsync for each {batch}", raw_appends_per_s, "a second"))
        rows += _measure_long_log(directory / "long")
        rows += _measure_snapshot(directory / "snapshot")
        return rows
    finally:
        shutil.rmtree(directory)


def _row(what: str, figure: float, unit: str) -> Row:
    return {"what": what, "figure": figure, "unit": unit}


@contextmanager
def _opened(path: Path) -> Iterator[OpenedStore]:
    opened = open_store(path, OWNER)
    try:
        yield opened
    finally:
        opened.disk.close()


def _execute_jobs(disk: Disk, store: Store) -> None:
    while (job := store.next_job(time.monotonic() * 1000.0)) is not None:
        result = execute_job(disk, job)
        store.complete_job(job.number, result)
        store.require_no_failure()


def _measure_appends(path: Path, batch: int) -> float:
    data = bytes(RECORD_BYTES)
    count = 0
    with _opened(path) as opened:
        store = Store(opened.recovered, 0.0, POLICY)
        started = time.perf_counter()
        while time.perf_counter() - started < MEASURED_S:
            for _ in range(batch):
                store.append(data, Durability.ACKNOWLEDGED, 0.0)
            _execute_jobs(opened.disk, store)
            count += batch
        return count / (time.perf_counter() - started)


def _measure_raw_file(path: Path, batch: int) -> float:
    data = bytes(RECORD_BYTES) * batch
    count = 0
    with path.open("wb", buffering=0) as file:
        started = time.perf_counter()
        while time.perf_counter() - started < MEASURED_S:
            file.write(data)
            os.fsync(file.fileno())
            count += batch
        return count / (time.perf_counter() - started)


def _measure_long_log(path: Path) -> list[Row]:
    data = bytes(10 * RECORD_BYTES)
    with _opened(path) as opened:
        store = Store(opened.recovered, 0.0, POLICY)
        while store.counters.bytes < LONG_LOG_BYTES:
            for _ in range(LONG_LOG_BATCH):
                store.append(data, Durability.DELAYED, 0.0)
            _execute_jobs(opened.disk, store)
    started = time.perf_counter()
    with _opened(path):
        opened_in_s = time.perf_counter() - started
    return [_row("a long log", store.counters.bytes / 1e6, "MB"), _row("opening it", opened_in_s, "s")]


def _measure_snapshot(path: Path) -> list[Row]:
    state = _large_state()
    with _opened(path) as opened:
        store = Store(opened.recovered, 0.0, POLICY)
        store.append(b"\x00", Durability.DELAYED, 0.0)
        started = time.perf_counter()
        pieces = state.snapshot_pieces()
        copied_in_s = time.perf_counter() - started
        store.write_snapshot(pieces)
        _execute_jobs(opened.disk, store)
        written_in_s = time.perf_counter() - started
        size = store.counters.bytes - store.counters.log_bytes
    started = time.perf_counter()
    with _opened(path) as opened:
        read_node_state(opened.recovered)
        read_in_s = time.perf_counter() - started
    return [
        _row(f"a snapshot of {ENDPOINTS} servers", written_in_s * 1000.0, "ms"),
        _row("of which the loop is held", copied_in_s * 1000.0, "ms"),
        _row("its size", size / 1e6, "MB"),
        _row("reading it back", read_in_s * 1000.0, "ms"),
    ]


def _large_state() -> NodeState:
    state = NodeState()
    instances = [
        {
            "instanceId": f"s-{index:08x}",
            "hostPort": f"10.0.{index // 250}.{index % 250}:8080",
            "zone": "a",
            "lifecycle": "SERVING",
            "machineType": "m",
            "cell": index % 20,
            "weight": 1.0,
            "startedAtMs": 1_700_000_000_000 + index,
        }
        for index in range(ENDPOINTS)
    ]
    learned = [RememberedEndpoint(str(index).encode(), 1.0, 1.0, 20.0) for index in range(ENDPOINTS)]
    state.apply(EndpointListPart(True, 1, instances))
    state.apply(LearnedEndpoints(1.0, learned))
    return state
