"""Check recovery after kills of processes that write: python -m crowpost.lab.crash_consistency.kills DIR.

A worker process writes numbered records and snapshots, and prints the number of each record once it has been
acknowledged.  It is killed by SIGKILL, its output is compared with the recovered state, and the next worker
continues in the same directory.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import os
import sys
import time
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from subprocess import DEVNULL, PIPE, Popen

from crowpost.lab.crash_consistency.workload import OWNER, record_payload, snapshot_pieces
from crowpost.storage.errors import StoreError
from crowpost.storage.model import Durability, RecoveredState
from crowpost.storage.runner import StoreRunner, inspect_store, open_store
from crowpost.storage.write_policy import WritePolicy

MODULE = "crowpost.lab.crash_consistency.kills"
POLICY = WritePolicy(segment_bytes=20_000, bytes_per_s=1e9, burst_bytes=1e9)
MAX_LIFETIME_S = 0.25  # time from the first line of a worker to its kill
MAX_PAUSE_S = 0.002  # pause of a worker between its batches
BATCH_SIZES = (1, 1, 3, 20)
SNAPSHOT_PROBABILITY = 0.05


# ---------------------------------------------------------------- a worker


async def write_records(path: Path, seed: int) -> None:
    """Write records until the process is killed, and print a line for each acknowledged one."""
    runner = StoreRunner(open_store(path, OWNER), POLICY)
    rng = Random(os.getpid())
    waiting: set[asyncio.Task[None]] = set()

    async def print_when_durable(sequence: int) -> None:
        await runner.wait_durable(sequence)
        _print_sequence(sequence)

    _print_sequence(runner.store.durable_sequence)
    while True:
        for _ in range(rng.choice(BATCH_SIZES)):
            payload = record_payload(runner.store.next_sequence, seed)
            sequence = runner.append(payload, Durability.ACKNOWLEDGED)
            task = asyncio.create_task(print_when_durable(sequence))
            waiting.add(task)
            task.add_done_callback(waiting.discard)
        if rng.random() < SNAPSHOT_PROBABILITY:
            runner.write_snapshot(snapshot_pieces(runner.store.next_sequence - 1, seed))
        await asyncio.sleep(MAX_PAUSE_S * rng.random())


def _print_sequence(sequence: int) -> None:
    os.write(sys.stdout.fileno(), b"%d\n" % sequence)


# ---------------------------------------------------------------- killing the workers


@dataclass
class KillResults:
    """The results of the kills in one directory."""

    kills: int = 0
    records: int = 0  # sequence number of the last acknowledged record
    violations: list[str] = field(default_factory=list)


def kill_repeatedly(path: Path, seed: int, kills: int) -> KillResults:
    """Start and kill workers in one directory, one after another, and check recovery after each kill."""
    rng = Random(f"kills {seed}")
    results = KillResults()
    for number in range(kills):
        results.records = max([results.records, *_run_and_kill(path, seed, rng)])
        results.kills += 1
        label = f"seed {seed}, kill {number}"
        try:
            recovered = inspect_store(path, OWNER)
        except StoreError as error:
            results.violations.append(f"{label}: {error}")
            break
        results.violations += [
            f"{label}: {text}" for text in _find_violations(recovered, seed, results.records)
        ]
    return results


def _run_and_kill(path: Path, seed: int, rng: Random) -> list[int]:
    """Return the sequence numbers that a worker printed before it was killed."""
    command = [sys.executable, "-m", MODULE, str(path), "--work", str(seed)]
    with Popen(command, stdout=PIPE, stderr=DEVNULL) as worker:
        assert worker.stdout is not None
        first = worker.stdout.readline()
        time.sleep(MAX_LIFETIME_S * rng.random())
        worker.kill()
        printed = first + worker.stdout.read()
    return [int(line) for line in printed.split()]


def _find_violations(recovered: RecoveredState, seed: int, acknowledged: int) -> list[str]:
    violations = []
    last = recovered.last_sequence
    base = recovered.snapshot_sequence
    if last < acknowledged:
        violations.append(f"record {acknowledged} was acknowledged, the last recovered one is {last}")
    if recovered.snapshot != (snapshot_pieces(base, seed) if base else []):
        violations.append(f"the snapshot of record {base} differs from what was written")
    if any(record.payload != record_payload(record.sequence, seed) for record in recovered.records):
        violations.append("a record differs from what was written")
    return violations


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the command line; return 1 if a violation was found, else 0."""
    parser = argparse.ArgumentParser(prog=f"python -m {MODULE}")
    parser.add_argument("path", type=Path)
    parser.add_argument("--kills", type=int, default=500)
    parser.add_argument("--jobs", type=int, default=os.cpu_count() or 1)
    parser.add_argument("--work", type=int, help="run as a worker with this seed")
    options = parser.parse_args(arguments)
    if options.work is not None:
        with contextlib.suppress(KeyboardInterrupt):
            asyncio.run(write_records(options.path, options.work))
        return 0
    results = _kill_in_parallel(options.path, options.kills, options.jobs)
    violations = [violation for result in results for violation in result.violations]
    kills = sum(result.kills for result in results)
    records = sum(result.records for result in results)
    print(json.dumps({"kills": kills, "records": records, "wrong": violations}))
    return 1 if violations else 0


def _kill_in_parallel(path: Path, kills: int, jobs: int) -> list[KillResults]:
    """Divide the kills among `jobs` directories."""
    path.mkdir(parents=True, exist_ok=True)
    kills_by_directory = [kills // jobs + (index < kills % jobs) for index in range(jobs)]
    with ThreadPoolExecutor(jobs) as pool:
        futures = [
            pool.submit(kill_repeatedly, path / f"store-{seed}", seed, directory_kills)
            for seed, directory_kills in enumerate(kills_by_directory, 1)
        ]
        return [future.result() for future in futures]


if __name__ == "__main__":
    sys.exit(main())
