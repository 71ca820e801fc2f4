"""A workload of a store on a simulated disk, which can be interrupted after each step of the disk.

Records are numbered and their content follows from the number, so that recovered records can be compared with
what was written.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Generator, Iterator
from random import Random

from crowpost.lab.crash_consistency.simulated_disk import SimulatedDisk
from crowpost.storage.core import Store
from crowpost.storage.model import Durability, RecoveredState
from crowpost.storage.operations import Job, JobResult
from crowpost.storage.recovery import recover
from crowpost.storage.write_policy import WritePolicy

OWNER = "n0"
RECORDS = 36  # number of records of each process; two processes run one after the other
POLICY = WritePolicy(segment_bytes=1_500, bytes_per_s=1e9, burst_bytes=1e9)
LATER_MS = 1e6  # a time at which every job is due
BATCH_SIZES = (1, 1, 2, 5)
ACKNOWLEDGED_RATIO = 0.7
SNAPSHOT_PROBABILITY = 0.15


def record_payload(number: int, seed: int) -> bytes:
    """Return the content of the record with a number, of 1 to 700 bytes."""
    digest = hashlib.blake2b(b"%d %d" % (number, seed), digest_size=32).digest()
    return digest * (1 + digest[0] % 22) if digest[1] % 3 else digest[: 1 + digest[2] % 31]


def snapshot_pieces(number: int, seed: int) -> list[bytes]:
    """Return the pieces of the snapshot after the record with a number."""
    recent = range(max(1, number - 8), number + 1)
    return [b"%d" % number, *(record_payload(recent_number, seed)[:64] for recent_number in recent)]


def recover_disk(disk: SimulatedDisk, identity: bytes, owner: str = OWNER) -> RecoveredState:
    """Return the recovered content of a simulated disk; the repairs are not executed."""
    return recover(disk.names(), disk.read, owner, identity)


def run_jobs(disk: SimulatedDisk, store: Store, on_result: Callable[[], None]) -> Iterator[None]:
    """Execute all jobs of a store, and yield after each step.

    on_result: called after the store has processed the result of a job.
    """
    while (job := store.next_job(LATER_MS)) is not None:
        result = yield from _run_job(disk, job)
        store.complete_job(job.number, result)
        on_result()
        yield


def _run_job(disk: SimulatedDisk, job: Job) -> Generator[None, None, JobResult]:
    generated = 0
    try:
        for operation in job.operations:
            for step in disk.steps(operation):
                generated += disk.perform(step)
                yield
    except OSError as error:
        return JobResult(str(error), generated)
    return JobResult(None, generated)


class Workload:
    """Processes that write one after the other with one seed; each call of `run` is one process."""

    def __init__(self, seed: int, rng: Random, identity: bytes, records: int = RECORDS) -> None:
        self.seed = seed
        self.appended = 0  # number of records that the store accepted
        self.durable = 0  # number of records that the store reported as durable
        self._rng = rng
        self._identity = identity
        self._records = records

    def run(self, disk: SimulatedDisk, *, close: bool = False) -> Iterator[None]:
        """Open the store, write records and snapshots, and close the store if `close` is set.

        Yields after every step of the disk, and ends early if the store has stopped writing.
        """
        last = self.appended + self._records
        recovered = recover_disk(disk, self._identity)
        for operation in recovered.repairs:
            disk.perform(operation)
            yield
        store = Store(recovered, 0.0, POLICY)
        while self.appended < last and not store.failure:
            self._append(store)
            yield from self._run_jobs(disk, store)
        if close and not store.failure:
            store.close()
            yield from self._run_jobs(disk, store)

    def _append(self, store: Store) -> None:
        rng = self._rng
        for _ in range(rng.choice(BATCH_SIZES)):
            is_acknowledged = rng.random() < ACKNOWLEDGED_RATIO
            durability = Durability.ACKNOWLEDGED if is_acknowledged else Durability.DELAYED
            payload = record_payload(self.appended + 1, self.seed)
            self.appended = store.append(payload, durability, 0.0)
        if rng.random() < SNAPSHOT_PROBABILITY:
            store.write_snapshot(snapshot_pieces(self.appended, self.seed))

    def _run_jobs(self, disk: SimulatedDisk, store: Store) -> Iterator[None]:
        def on_result() -> None:
            self.durable = store.durable_sequence

        return run_jobs(disk, store, on_result)
