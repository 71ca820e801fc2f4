"""Kill real processes that write to real directories: python -m crowpost.lab.crash_consistency.kills DIR.

A worker writes numbered records and takes snapshots, and tells of each record on its standard output once it
has been acknowledged.  It is killed by SIGKILL, what it told is compared with what recovery finds, and the
next worker goes on in the same directory.
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
from pathlib import Path
from random import Random
from subprocess import DEVNULL, PIPE, Popen
from typing import Any

from crowpost.lab.crash_consistency.checker import payload, state
from crowpost.storage.errors import StoreError
from crowpost.storage.model import Durability
from crowpost.storage.runner import StoreRunner, inspect_store, open_store
from crowpost.storage.write_policy import WritePolicy

OWNER = "n0"
POLICY = WritePolicy(segment_bytes=20_000, bytes_per_s=1e9, burst_bytes=1e9)
LIVES_S = 0.25  # a worker is killed within so long after its first word


async def work(path: Path, seed: int) -> None:
    """Write without end; a line for each acknowledged record."""
    runner = StoreRunner(open_store(path, OWNER), POLICY)
    rng, waiting = Random(os.getpid()), set[asyncio.Task[None]]()

    async def tell(sequence: int) -> None:
        await runner.wait_durable(sequence)
        os.write(1, b"%d\n" % sequence)

    os.write(1, b"%d\n" % runner.store.durable_sequence)
    while True:
        for _ in range(rng.choice((1, 1, 3, 20))):
            number = runner.store.next_sequence
            sequence = runner.append(payload(number, seed), Durability.ACKNOWLEDGED)
            task = asyncio.ensure_future(tell(sequence))
            waiting.add(task)
            task.add_done_callback(waiting.discard)
        if rng.random() < 0.05:
            runner.write_snapshot(state(runner.store.next_sequence - 1, seed))
        await asyncio.sleep(0.002 * rng.random())


def kill_again_and_again(path: Path, seed: int, kills: int) -> dict[str, Any]:
    """One directory and one worker after another; what was found wrong is a list of lines."""
    rng, wrong, told, done = Random(f"kills {seed}"), list[str](), 0, 0
    for number in range(kills):
        command = [
            sys.executable,
            "-m",
            "crowpost.lab.crash_consistency.kills",
            str(path),
            "--work",
            str(seed),
        ]
        worker = Popen(command, stdout=PIPE, stderr=DEVNULL)
        assert worker.stdout is not None
        first = worker.stdout.readline()
        time.sleep(LIVES_S * rng.random())
        worker.kill()
        done += 1
        lines = (first + worker.stdout.read()).split()
        worker.stdout.close()
        worker.wait()
        told = max([told, *(int(line) for line in lines)])
        try:
            found = inspect_store(path, OWNER)
        except StoreError as error:
            wrong.append(f"seed {seed}, kill {number}: {error}")
            break
        last = found.last_sequence
        base = found.snapshot_sequence
        if last < told:
            wrong.append(f"seed {seed}, kill {number}: {told} was acknowledged, {last} is there")
        if found.snapshot != (state(base, seed) if base else []):
            wrong.append(f"seed {seed}, kill {number}: the snapshot of {base} is not what was written")
        if any(r.payload != payload(r.sequence, seed) for r in found.records):
            wrong.append(f"seed {seed}, kill {number}: a record is not what was written")
    return {"kills": done, "records": told, "wrong": wrong}


def main(arguments: Sequence[str] | None = None) -> int:
    """Exit code 1 if anything was found wrong."""
    parser = argparse.ArgumentParser(prog="python -m crowpost.lab.crash_consistency.kills")
    parser.add_argument("path", type=Path)
    parser.add_argument("--kills", type=int, default=500)
    parser.add_argument("--jobs", type=int, default=os.cpu_count() or 1)
    parser.add_argument("--work", type=int, help="be a worker with this seed")
    chosen = parser.parse_args(arguments)
    if chosen.work is not None:
        with contextlib.suppress(KeyboardInterrupt):
            asyncio.run(work(chosen.path, chosen.work))
        return 0
    chosen.path.mkdir(parents=True, exist_ok=True)
    each = [chosen.kills // chosen.jobs + (i < chosen.kills % chosen.jobs) for i in range(chosen.jobs)]
    with ThreadPoolExecutor(chosen.jobs) as pool:
        played = [
            pool.submit(kill_again_and_again, chosen.path / f"store-{seed}", seed, kills)
            for seed, kills in enumerate(each, 1)
        ]
        results = [p.result() for p in played]
    wrong = [line for result in results for line in result["wrong"]]
    records = sum(r["records"] for r in results)
    print(json.dumps({"kills": sum(r["kills"] for r in results), "records": records, "wrong": wrong}))
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main())
